//! Upstreams that announce themselves, leave, crash and come back as new lives; [`runs`] holds
//! what they do with requests.

pub mod runs;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use futures_util::FutureExt;
use hatchpitch_net::{Body, ServerLimits, Stop, Upstream, bind, serve};
use http::Request;

use self::runs::RunState;
use crate::condition::Party;
use crate::context::RunCx;
use crate::plan::DOMAINS;
use crate::proxy::Proxy;
use crate::record::{LifeId, RequestId};
use crate::wire::Announcement;

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
/// Time between looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(20);

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
struct Place {
    at: usize,
    engine: bool,
    /// Where boxes reach it.
    addr: SocketAddr,
    life: RefCell<Option<Rc<Life>>>,
    trouble: Cell<Trouble>,
    /// Requests a second that it says it takes; `None` for no limit.
    limit: Cell<Option<f64>>,
    /// The rest that it asks for with all that it turns away; `None` while it takes requests.
    rest: Cell<Option<Duration>>,
}

/// How a pool is set up.
#[derive(Debug, Clone)]
pub struct PoolPlan {
    /// Upstreams that are engines; they come first.
    pub engines: usize,
    /// Upstreams that are plain services.
    pub plain: usize,
    /// Address at which boxes reach upstreams, which is the proxies'.
    pub ip: Ipv4Addr,
    /// Address at which upstreams listen.
    pub listen_ip: Ipv4Addr,
    /// Where announcements are sent.
    pub control: Vec<SocketAddr>,
    /// Whether late work at upstreams that leave is noted.
    pub notes_late_work: bool,
}

/// All upstreams.
pub struct Pool {
    cx: Rc<RunCx>,
    plan: PoolPlan,
    /// Places, engines first.
    places: Vec<Rc<Place>>,
    /// Copies by name: the request and its run.
    copies: RefCell<HashMap<String, (RequestId, Rc<RunState>)>>,
    names: Cell<u64>,
}

impl Pool {
    /// Starts upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound.
    pub async fn start(cx: Rc<RunCx>, plan: PoolPlan) -> anyhow::Result<Rc<Self>> {
        let mut places = Vec::new();
        let mut listeners = Vec::new();
        for at in 0..plan.engines + plan.plain {
            let listener = bind(SocketAddr::from((plan.listen_ip, 0))).await?;
            let target = listener.local_addr()?;
            let addr = SocketAddr::from((plan.ip, target.port()));
            let proxy = Proxy { addr, target, party: Party::Upstream(at), by_box: false };
            proxy.open(cx.clone()).await?;
            listeners.push(listener);
            places.push(Rc::new(Place {
                at,
                engine: at < plan.engines,
                addr,
                life: RefCell::default(),
                trouble: Cell::default(),
                limit: Cell::default(),
                rest: Cell::default(),
            }));
        }
        let (copies, names) = (RefCell::default(), Cell::new(0));
        let stop = cx.stop.clone();
        let pool = Rc::new(Self { cx, plan, places, copies, names });
        for (place, listener) in pool.places.iter().zip(listeners) {
            pool.begin_life(place);
            pool.serve(place.clone(), listener, stop.clone());
        }
        Ok(pool)
    }

    /// Serves the requests that reach a place.
    fn serve(self: &Rc<Self>, place: Rc<Place>, listener: TcpListener, stop: Stop) {
        let pool = self.clone();
        let handler = Rc::new(move |req, _| {
            let (pool, place) = (pool.clone(), place.clone());
            async move {
                let leaves = pool.current(place.at).is_some_and(|life| life.leaves.get());
                let mut res = pool.answer(&place, req).await;
                if leaves {
                    (pool.cx.wire.say_leaving)(&mut res);
                }
                if let Some(limit) = place.limit.get() {
                    (pool.cx.wire.name_limit)(&mut res, limit);
                }
                res
            }
            .boxed_local()
        });
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
    }

    /// Returns a number that nothing else in the pool has.
    fn next_name(&self) -> u64 {
        self.names.set(self.names.get() + 1);
        self.names.get()
    }

    /// Lets a new life begin at a place, and announce itself.
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

    /// Announces a life until it ends, and at once when it begins to leave.
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
        let first = rand::random_range(0..self.plan.control.len());
        for at in 0..self.plan.control.len() {
            if life.dead.get() {
                return;
            }
            life.sequence.set(life.sequence.get() + 1);
            let leaves = life.leaves.get();
            let message = (self.cx.wire.announce)(&Announcement {
                life: life.id.clone(),
                engine: place.engine,
                addr: place.addr,
                domain: DOMAINS[place.at % DOMAINS.len()].to_owned(),
                leaves,
                sequence: life.sequence.get(),
            });
            let addr = self.plan.control[(first + at) % self.plan.control.len()];
            if acknowledged(addr, message).await {
                if leaves && life.leaving_acked.get().is_none() {
                    life.leaving_acked.set(Some((Instant::now(), self.cx.record.calm())));
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
            // What it ran is over at once, not when its next event would be due.
            life.runs.borrow().values().for_each(|run| run.over.set(true));
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
        let control = self.plan.control[rand::random_range(0..self.plan.control.len())];
        acknowledged(control, (self.cx.wire.end_life)(&life.id)).await;
        self.crash(at);
        compio::time::sleep(NEXT_LIFE).await;
        self.revive(at);
    }

    /// Sets what goes wrong with an upstream.
    pub fn trouble(&self, at: usize, trouble: Trouble) {
        self.places[at].trouble.set(trouble);
    }

    /// Has an upstream name a limit from now on, or none.
    pub fn limit(&self, at: usize, per_second: Option<f64>) {
        self.places[at].limit.set(per_second);
    }

    /// Has an upstream turn all requests away from now on and ask for rest, or take them.
    pub fn rest(&self, at: usize, rest: Option<Duration>) {
        self.places[at].rest.set(rest);
    }

    /// Returns the life at a place, if there is one.
    fn current(&self, at: usize) -> Option<Rc<Life>> {
        self.places[at].life.borrow().clone()
    }
}

/// Sends a message to a control box; returns whether it was taken.
async fn acknowledged(addr: SocketAddr, message: Request<Body>) -> bool {
    let control = Upstream { addr, connect_timeout: ACK_LIMIT };
    matches!(control.send(message, ACK_LIMIT).await, Ok(res) if res.status().is_success())
}
