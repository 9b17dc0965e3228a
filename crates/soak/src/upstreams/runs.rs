//! What upstreams do with requests: they run them, stream events, copy runs to each other, go on
//! from copies, and spoil or lose answers when they are told to.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hatchpitch_net::{Body, BodySender, read_body};
use http::{Request, Response};
use hyper::body::Incoming;

use super::{ACK_LIMIT, LATE_AFTER, LEAVE_PATIENCE, Life, Place, Pool, Trouble};
use crate::callers::answer_text;
use crate::record::{Begun, LimitedWork, RequestId, RestedWork};
use crate::wire::{Ask, Reply};

/// Events of a whole stream.
pub const EVENTS: u64 = 60;
/// Time between two events: a stream takes a second and a half.
const BETWEEN_EVENTS: Duration = Duration::from_millis(25);
/// Time that a plain call takes.
const WORK: Duration = Duration::from_millis(8);
/// Time that a copy takes.
const COPY: Duration = Duration::from_millis(25);
/// Largest request that is read, in bytes.
const MAX_REQUEST: usize = 1 << 20;

/// A run at an upstream.
pub(super) struct RunState {
    /// Differs from generation to generation; stands in each event.
    generation: u64,
    /// Events made so far.
    made: Cell<u64>,
    /// Whether it was stopped in order to go on elsewhere.
    stopped: Cell<bool>,
    /// Whether it makes no more events.
    pub(super) over: Cell<bool>,
}

impl RunState {
    /// Creates a run that goes on after `made` events.
    fn new(generation: u64, made: u64) -> Rc<Self> {
        let (stopped, over) = (Cell::new(false), Cell::new(false));
        Rc::new(Self { generation, made: Cell::new(made), stopped, over })
    }
}

impl Pool {
    /// Answers a request that reached a place.
    pub(super) async fn answer(&self, place: &Place, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let reply = |reply: Reply| (self.cx.wire.reply)(&reply);
        let Ok(body) = read_body(body, MAX_REQUEST, ACK_LIMIT).await else {
            return reply(Reply::Unknown);
        };
        let Some(life) = self.current(place.at) else { return reply(Reply::OtherLife) };
        match (self.cx.wire.read_ask)(&parts, &body) {
            Ask::Run { id, life: meant, stream, resume } => {
                if meant != life.id {
                    return reply(Reply::OtherLife);
                }
                if let Some(rest) = place.rest.get() {
                    return self.turn_away(&life, rest);
                }
                self.note_limited_work(place, &life);
                self.note_late_work(&life, &id, resume.is_some());
                match resume {
                    Some((copy, after)) => self.go_on(place, &life, &id, &copy, after),
                    None => self.run(place, &life, &id, stream).await,
                }
            }
            Ask::Copy { id, to, stop } => {
                self.note_limited_work(place, &life);
                self.copy(&life, &id, to, stop).await
            }
            Ask::Other => reply(Reply::Unknown),
        }
    }

    /// Turns a request away and asks for rest.
    fn turn_away(&self, life: &Life, rest: Duration) -> Response<Body> {
        self.cx.record.rested.borrow_mut().push(RestedWork {
            life: life.id.clone(),
            rest,
            at: Instant::now(),
            calm: self.cx.record.calm(),
        });
        let mut res = (self.cx.wire.reply)(&Reply::NotRun);
        (self.cx.wire.ask_rest)(&mut res, rest);
        res
    }

    /// Notes a request that came while the upstream names a limit.
    fn note_limited_work(&self, place: &Place, life: &Life) {
        let Some(per_second) = place.limit.get() else { return };
        self.cx.record.limited.borrow_mut().push(LimitedWork {
            life: life.id.clone(),
            per_second,
            at: Instant::now(),
            calm: self.cx.record.calm(),
        });
    }

    /// Notes a request that came long after the leaving was acknowledged.
    fn note_late_work(&self, life: &Life, id: &str, resumed: bool) {
        let Some((at, calm)) = life.leaving_acked.get() else { return };
        let late = at.elapsed() >= LATE_AFTER && calm.is_some() && calm == self.cx.record.calm();
        if self.plan.notes_late_work && late && !resumed {
            let seen = format!("{id} reached {} {:?} after that", life.id, at.elapsed());
            self.cx.record.late_work.borrow_mut().push(seen);
        }
    }

    /// Runs a request from its beginning.
    async fn run(&self, place: &Place, life: &Rc<Life>, id: &str, stream: bool) -> Response<Body> {
        self.cx.record.runs.borrow_mut().push(Begun {
            id: id.to_owned(),
            life: life.id.clone(),
            resumed: false,
            beside_another: false,
        });
        if stream {
            let run = RunState::new(self.next_name(), 0);
            return self.stream(place, life, id, run);
        }
        compio::time::sleep(WORK).await;
        match place.trouble.get() {
            Trouble::LosesAnswers => {
                compio::time::sleep(LEAVE_PATIENCE).await;
                (self.cx.wire.answer)(id, false, broken_body())
            }
            Trouble::SpoilsAnswers => (self.cx.wire.answer)(id, false, broken_body()),
            Trouble::None => {
                let text = answer_text(id, &life.id);
                (self.cx.wire.answer)(id, false, Body::from(text))
            }
        }
    }

    /// Goes on with a run from its copy, after the last event that was delivered.
    fn go_on(
        &self,
        place: &Place,
        life: &Rc<Life>,
        id: &str,
        copy: &str,
        after: u64,
    ) -> Response<Body> {
        let Some((of, run)) = self.copies.borrow_mut().remove(copy) else {
            return (self.cx.wire.reply)(&Reply::NotRun);
        };
        if of != id || after > run.made.get() {
            return (self.cx.wire.reply)(&Reply::NotRun);
        }
        self.cx.record.runs.borrow_mut().push(Begun {
            id: id.to_owned(),
            life: life.id.clone(),
            resumed: true,
            beside_another: !run.stopped.get() && !run.over.get(),
        });
        let next = RunState::new(run.generation, after);
        self.stream(place, life, id, next)
    }

    /// Begins to make the events of a run, and answers with them.
    fn stream(
        &self,
        place: &Place,
        life: &Rc<Life>,
        id: &str,
        run: Rc<RunState>,
    ) -> Response<Body> {
        life.runs.borrow_mut().insert(id.to_owned(), run.clone());
        let (tx, body) = Body::stream(4);
        let spoils = place.trouble.get() == Trouble::SpoilsAnswers;
        compio::runtime::spawn(make_events(tx, life.clone(), id.to_owned(), run, spoils)).detach();
        (self.cx.wire.answer)(id, true, body)
    }

    /// Copies a run to another upstream; the copy is kept here under its name.
    async fn copy(&self, life: &Life, id: &str, to: SocketAddr, stop: bool) -> Response<Body> {
        let reply = |reply: Reply| (self.cx.wire.reply)(&reply);
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

/// Returns a body that breaks off.
fn broken_body() -> Body {
    let (tx, body) = Body::stream(1);
    tx.abort();
    body
}
