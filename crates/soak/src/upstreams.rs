//! Upstreams that run requests, keep what runs, copy runs to each other, and go wrong.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use hatchpitch_net::{Body, BodySender, ServerLimits, Stop, Upstream, bind, read_body, serve};
use http::{Request, Response};
use hyper::body::Incoming;

use crate::callers::answer_text;
use crate::condition::Party;
use crate::proxy::{self, ProxyCx};
use crate::record::{Begun, LifeId, Record, RequestId};
use crate::wire::{Announcement, Ask, Reply, Wire};

/// Events of a whole stream.
pub const EVENTS: u64 = 60;
/// Time between two events: a stream takes a second and a half.
const BETWEEN_EVENTS: Duration = Duration::from_millis(25);
/// Time that a plain call takes.
const WORK: Duration = Duration::from_millis(8);
/// Time that a copy takes.
const COPY: Duration = Duration::from_millis(25);
/// Time between announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for an announcement to be acknowledged, after which another control box is called.
const ACK_LIMIT: Duration = Duration::from_secs(1);
/// Notice that a reclaimed upstream gives.
const NOTICE: Duration = Duration::from_millis(1_500);
/// Time after an acknowledged leaving from which on new work counts as late: twice what the
/// platform's bound allows, for machines that are busy.
const LATE_AFTER: Duration = Duration::from_secs(4);
/// Longest time that an upstream which leaves in peace waits for its runs.
const LEAVE_PATIENCE: Duration = Duration::from_secs(15);
/// Time between the end of a life and the start of the next at its address.
const NEXT_LIFE: Duration = Duration::from_millis(500);
/// Largest request that is read, in bytes.
const MAX_REQUEST: usize = 1 << 20;
/// Time between looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(20);

/// A run at an upstream.
struct RunState {
    /// Differs from generation to generation; stands in each event.
    generation: u64,
    made: Cell<u64>,
    stopped: Cell<bool>,
    over: Cell<bool>,
}

/// What went wrong with an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Trouble {
    /// Nothing.
    #[default]
    None,
    /// It runs requests and answers none.
    LosesAnswers,
    /// It breaks answers off.
    SpoilsAnswers,
}

/// One life of an upstream.
struct Life {
    id: LifeId,
    sequence: Cell<u64>,
    leaves: Cell<bool>,
    /// When its leaving was acknowledged, in which calm part.
    leaving_acked: Cell<Option<(Instant, Option<u32>)>>,
    dead: Cell<bool>,
    runs: RefCell<HashMap<RequestId, Rc<RunState>>>,
}

/// A place in the pool, at which one life follows another.
pub struct Place {
    at: usize,
    engine: bool,
    /// Where boxes reach it.
    addr: SocketAddr,
    life: RefCell<Option<Rc<Life>>>,
    trouble: Cell<Trouble>,
}

/// All upstreams.
pub struct Pool {
    wire: Wire,
    cx: Rc<ProxyCx>,
    record: Rc<Record>,
    /// Places, engines first.
    pub places: Vec<Rc<Place>>,
    /// Copies by name: request, its run, and events made when it was copied last.
    copies: RefCell<HashMap<String, (RequestId, Rc<RunState>)>>,
    /// Where announcements are sent.
    control: Vec<SocketAddr>,
    names: Cell<u64>,
    /// Whether late work at upstreams that leave is noted.
    timed: bool,
}

impl Pool {
    /// Starts upstreams, the first `engines` of which are engines.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound.
    pub async fn start(
        wire: Wire,
        cx: Rc<ProxyCx>,
        record: Rc<Record>,
        ips: [Ipv4Addr; 2],
        [engines, all]: [usize; 2],
        control: Vec<SocketAddr>,
        timed: bool,
    ) -> anyhow::Result<Rc<Self>> {
        let mut places = Vec::new();
        let mut listeners = Vec::new();
        for at in 0..all {
            let listener = bind(SocketAddr::from((ips[1], 0))).await?;
            let target = listener.local_addr()?;
            let addr = SocketAddr::from((ips[0], target.port()));
            proxy::open(cx.clone(), addr, target, Party::Upstream(at), false).await?;
            listeners.push(listener);
            places.push(Rc::new(Place {
                at,
                engine: at < engines,
                addr,
                life: RefCell::default(),
                trouble: Cell::default(),
            }));
        }
        let (copies, names) = (RefCell::default(), Cell::new(0));
        let stop = cx.stop.clone();
        let pool = Rc::new(Self { wire, cx, record, places, copies, control, names, timed });
        for (place, listener) in pool.places.iter().zip(listeners) {
            pool.begin_life(place);
            pool.serve(place.clone(), listener, stop.clone());
        }
        Ok(pool)
    }

    fn serve(self: &Rc<Self>, place: Rc<Place>, listener: compio::net::TcpListener, stop: Stop) {
        let pool = self.clone();
        let handler = Rc::new(move |req, _| {
            let (pool, place) = (pool.clone(), place.clone());
            async move { pool.answer(&place, req).await }.boxed_local()
        });
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
    }

    fn next_name(&self) -> u64 {
        self.names.set(self.names.get() + 1);
        self.names.get()
    }

    fn begin_life(self: &Rc<Self>, place: &Rc<Place>) {
        let life = Rc::new(Life {
            id: format!("u{}-{}", place.at, self.next_name()),
            sequence: Cell::new(0),
            leaves: Cell::new(false),
            leaving_acked: Cell::new(None),
            dead: Cell::new(false),
            runs: RefCell::default(),
        });
        *place.life.borrow_mut() = Some(life.clone());
        compio::runtime::spawn(self.clone().announce_regularly(place.clone(), life)).detach();
    }

    async fn announce_regularly(self: Rc<Self>, place: Rc<Place>, life: Rc<Life>) {
        while !life.dead.get() && !self.cx.stop.is_set() {
            self.announce(&place, &life).await;
            let started = Instant::now();
            let leaves = life.leaves.get();
            while started.elapsed() < ANNOUNCE_PERIOD && life.leaves.get() == leaves {
                compio::time::sleep(LOOK).await;
            }
        }
    }

    /// Announces a life at one control box after another until one acknowledges it.
    async fn announce(&self, place: &Place, life: &Life) {
        let first = rand::random_range(0..self.control.len());
        for at in 0..self.control.len() {
            if life.dead.get() {
                return;
            }
            life.sequence.set(life.sequence.get() + 1);
            let leaves = life.leaves.get();
            let message = (self.wire.announce)(&Announcement {
                life: life.id.clone(),
                engine: place.engine,
                addr: place.addr,
                domain: format!("domain-{}", ['a', 'b', 'c'][place.at % 3]),
                leaves,
                sequence: life.sequence.get(),
            });
            let addr = self.control[(first + at) % self.control.len()];
            if acknowledged(addr, message).await {
                if leaves && life.leaving_acked.get().is_none() {
                    life.leaving_acked.set(Some((Instant::now(), self.record.calm())));
                }
                return;
            }
        }
    }

    /// Ends a life at once; what it ran is gone.
    pub fn crash(&self, at: usize) {
        let place = &self.places[at];
        self.cx.links.refuse(Party::Upstream(at), true);
        self.cx.links.reset(Party::Upstream(at));
        if let Some(life) = place.life.borrow_mut().take() {
            life.dead.set(true);
        }
    }

    /// Lets a new life begin at a place that has none.
    pub fn revive(self: &Rc<Self>, at: usize) {
        self.cx.links.refuse(Party::Upstream(at), false);
        let place = self.places[at].clone();
        if place.life.borrow().is_none() {
            self.begin_life(&place);
        }
    }

    /// Gives notice, and is gone when it is over, whatever runs.
    pub async fn reclaim(self: &Rc<Self>, at: usize) {
        if let Some(life) = self.current(at) {
            life.leaves.set(true);
            compio::time::sleep(NOTICE).await;
        }
        self.crash(at);
        compio::time::sleep(NEXT_LIFE).await;
        self.revive(at);
    }

    /// Leaves as upstreams do that are replaced: says so, waits for its runs, ends its life.
    pub async fn leave(self: &Rc<Self>, at: usize) {
        let Some(life) = self.current(at) else { return };
        life.leaves.set(true);
        let started = Instant::now();
        let waits = |life: &Life| {
            let acked = life.leaving_acked.get();
            let settled = acked.is_some_and(|(at, _)| at.elapsed() > LATE_AFTER);
            !settled || life.runs.borrow().values().any(|run| !run.over.get())
        };
        while started.elapsed() < LEAVE_PATIENCE && waits(&life) && !life.dead.get() {
            compio::time::sleep(LOOK).await;
        }
        let control = self.control[rand::random_range(0..self.control.len())];
        acknowledged(control, (self.wire.end_life)(&life.id)).await;
        self.crash(at);
        compio::time::sleep(NEXT_LIFE).await;
        self.revive(at);
    }

    /// Sets what goes wrong with an upstream.
    pub fn trouble(&self, at: usize, trouble: Trouble) {
        self.places[at].trouble.set(trouble);
    }

    fn current(&self, at: usize) -> Option<Rc<Life>> {
        self.places[at].life.borrow().clone()
    }

    async fn answer(self: Rc<Self>, place: &Place, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let unknown = |reply: Reply| (self.wire.reply)(&reply);
        let Ok(body) = read_body(body, MAX_REQUEST, ACK_LIMIT).await else {
            return unknown(Reply::Unknown);
        };
        let Some(life) = self.current(place.at) else { return unknown(Reply::OtherLife) };
        match (self.wire.read_ask)(&parts, &body) {
            Ask::Run { id, life: meant, stream, resume } => {
                if meant != life.id {
                    return unknown(Reply::OtherLife);
                }
                self.note_late_work(&life, &id, resume.is_some());
                match resume {
                    Some((copy, after)) => self.go_on(place, &life, &id, &copy, after),
                    None => self.run(place, &life, &id, stream).await,
                }
            }
            Ask::Copy { id, to, stop } => self.copy(&life, &id, to, stop).await,
            Ask::Other => unknown(Reply::Unknown),
        }
    }

    fn note_late_work(&self, life: &Life, id: &str, resumed: bool) {
        let Some((at, calm)) = life.leaving_acked.get() else { return };
        let late = at.elapsed() >= LATE_AFTER && calm.is_some() && calm == self.record.calm();
        if self.timed && late && !resumed {
            let seen = format!("{id} reached {} {:?} after that", life.id, at.elapsed());
            self.record.late_work.borrow_mut().push(seen);
        }
    }

    async fn run(
        self: &Rc<Self>,
        place: &Place,
        life: &Rc<Life>,
        id: &str,
        stream: bool,
    ) -> Response<Body> {
        let begun = |resumed| Begun {
            id: id.to_owned(),
            life: life.id.clone(),
            resumed,
            beside_another: false,
        };
        self.record.runs.borrow_mut().push(begun(false));
        if stream {
            let run = Rc::new(RunState {
                generation: self.next_name(),
                made: Cell::new(0),
                stopped: Cell::new(false),
                over: Cell::new(false),
            });
            return self.stream(place, life, id, run);
        }
        compio::time::sleep(WORK).await;
        match place.trouble.get() {
            Trouble::LosesAnswers => {
                compio::time::sleep(LEAVE_PATIENCE).await;
                (self.wire.answer)(id, false, broken_body())
            }
            Trouble::SpoilsAnswers => (self.wire.answer)(id, false, broken_body()),
            Trouble::None => {
                let text = answer_text(id, &life.id);
                (self.wire.answer)(id, false, Body::from(text))
            }
        }
    }

    fn go_on(
        self: &Rc<Self>,
        place: &Place,
        life: &Rc<Life>,
        id: &str,
        copy: &str,
        after: u64,
    ) -> Response<Body> {
        let Some((of, run)) = self.copies.borrow_mut().remove(copy) else {
            return (self.wire.reply)(&Reply::NotRun);
        };
        if of != id || after > run.made.get() {
            return (self.wire.reply)(&Reply::NotRun);
        }
        self.record.runs.borrow_mut().push(Begun {
            id: id.to_owned(),
            life: life.id.clone(),
            resumed: true,
            beside_another: !run.stopped.get() && !run.over.get(),
        });
        let next = Rc::new(RunState {
            generation: run.generation,
            made: Cell::new(after),
            stopped: Cell::new(false),
            over: Cell::new(false),
        });
        self.stream(place, life, id, next)
    }

    fn stream(
        self: &Rc<Self>,
        place: &Place,
        life: &Rc<Life>,
        id: &str,
        run: Rc<RunState>,
    ) -> Response<Body> {
        life.runs.borrow_mut().insert(id.to_owned(), run.clone());
        let (tx, body) = Body::stream(4);
        let spoils = place.trouble.get() == Trouble::SpoilsAnswers;
        compio::runtime::spawn(make_events(tx, life.clone(), id.to_owned(), run, spoils)).detach();
        (self.wire.answer)(id, true, body)
    }

    async fn copy(&self, life: &Life, id: &str, to: SocketAddr, stop: bool) -> Response<Body> {
        let reply = |reply: Reply| (self.wire.reply)(&reply);
        let run = life.runs.borrow().get(id).cloned();
        let Some(run) = run.filter(|run| !run.over.get() && run.made.get() > 0) else {
            return reply(Reply::NoSuchRun);
        };
        let target = self.places.iter().find(|place| place.addr == to);
        let lives = target.is_some_and(|place| place.life.borrow().is_some());
        if stop {
            run.stopped.set(true);
        }
        compio::time::sleep(COPY).await;
        if !lives {
            return reply(Reply::NoRoom);
        }
        let handle = format!("c{}", self.next_name());
        self.copies.borrow_mut().insert(handle.clone(), (id.to_owned(), run.clone()));
        reply(Reply::Copied { handle, made: run.made.get() })
    }
}

/// Makes the events of a run until it is whole, stopped, or its upstream or reader is gone.
async fn make_events(
    mut tx: BodySender,
    life: Rc<Life>,
    id: RequestId,
    run: Rc<RunState>,
    spoils: bool,
) {
    while run.made.get() < EVENTS {
        compio::time::sleep(BETWEEN_EVENTS).await;
        let cut = spoils && run.made.get() > EVENTS / 2;
        if run.stopped.get() || life.dead.get() || tx.is_closed() || cut {
            run.over.set(true);
            return tx.abort();
        }
        let n = run.made.get() + 1;
        run.made.set(n);
        let event = format!("id: {n}\ndata: {id} {} {n}\n\n", run.generation);
        if tx.send(Bytes::from(event)).await.is_err() {
            break;
        }
    }
    run.over.set(true);
}

fn broken_body() -> Body {
    let (tx, body) = Body::stream(1);
    tx.abort();
    body
}

async fn acknowledged(addr: SocketAddr, message: Request<Body>) -> bool {
    let control = Upstream { addr, connect_timeout: ACK_LIMIT };
    matches!(control.send(message, ACK_LIMIT).await, Ok(res) if res.status().is_success())
}
