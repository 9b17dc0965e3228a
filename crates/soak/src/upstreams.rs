//! Simulated upstreams, which announce themselves, leave, crash and restart as new instances.
//! [`runs`] implements request handling.

mod delivery;
pub mod runs;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use futures_util::FutureExt;
use hatchpitch_net::{Body, Framing, ServerLimits, Stop, Upstream, bind, serve};
use http::Request;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::runs::RunState;
use crate::condition::Party;
use crate::context::RunCx;
use crate::plan::DOMAINS;
use crate::proxy::Proxy;
use crate::record::{InstanceId, RequestId};
use crate::wire::Announcement;

/// Interval between announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(1_000);
/// Time limit for the acknowledgement of an announcement, after which another control box is
/// called.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between the leaving notice of a reclaimed upstream and its end.
const RECLAIM_NOTICE: Duration = Duration::from_millis(1_500);
/// Time after an acknowledged leaving from which new requests count as late: twice the platform's
/// bound, to allow for busy machines.
const LATE_THRESHOLD: Duration = Duration::from_secs(4);
/// Longest time that a gracefully leaving upstream waits for its active runs.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay between the end of an instance and the start of its successor at the same address.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Polling interval of wait loops.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fault in how an upstream answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerFault {
    /// Answers are delivered.
    #[default]
    None,
    /// Requests run, but their answers are never delivered.
    Lost,
    /// Answers are aborted before they are complete.
    Truncated,
    /// Answers without a length or chunks end in order before they are complete, and others are
    /// aborted.
    Ended,
    /// Streams begin with an event that never ends.
    Endless,
    /// The events of streams are large.
    Large,
}

impl AnswerFault {
    /// Returns whether a plain answer ends before it is complete.
    fn cuts_text(self) -> bool {
        !matches!(self, Self::None | Self::Endless | Self::Large)
    }
}

/// One upstream instance, from its start to its end or crash.
struct Instance {
    id: InstanceId,
    sequence: Cell<u64>,
    is_leaving: Cell<bool>,
    /// When the leaving was acknowledged, and the calm phase at that time.
    leaving_acked: Cell<Option<(Instant, Option<u32>)>>,
    ended: Cell<bool>,
    /// Whether its connections end in order, as those of a process that dies.
    died: Cell<bool>,
    runs: RefCell<HashMap<RequestId, Rc<RunState>>>,
}

/// One address of the pool, used by successive instances.
struct Slot {
    index: usize,
    engine: bool,
    /// Address at which boxes reach the upstream.
    addr: SocketAddr,
    instance: RefCell<Option<Rc<Instance>>>,
    answer_fault: Cell<AnswerFault>,
    /// Share of answers that are sent without a length or chunks.
    unframed_share: Cell<f64>,
    /// Announced rate limit in requests per second; `None` for no limit.
    limit: Cell<Option<f64>>,
    /// Rest that it asks for while it rejects all requests; `None` while it accepts them.
    rest: Cell<Option<Duration>>,
}

/// Setup of a pool.
#[derive(Debug, Clone)]
pub struct PoolPlan {
    /// Number of engines, which have the first indices.
    pub engines: usize,
    /// Number of plain upstreams.
    pub plain: usize,
    /// Proxy address at which boxes reach upstreams.
    pub ip: Ipv4Addr,
    /// Address at which upstreams listen.
    pub listen_ip: Ipv4Addr,
    /// Addresses of the control boxes, to which announcements are sent.
    pub control: Vec<SocketAddr>,
    /// Whether late requests at leaving upstreams are recorded.
    pub records_late_requests: bool,
    /// Seed for how single answers are sent.
    pub seed: u64,
}

/// All upstreams of a run.
pub struct Pool {
    cx: Rc<RunCx>,
    plan: PoolPlan,
    /// Slots, engines first.
    slots: Vec<Rc<Slot>>,
    /// Copies by handle, each with the id and state of the copied run.
    copies: RefCell<HashMap<String, (RequestId, Rc<RunState>)>>,
    last_number: Cell<u64>,
    rng: RefCell<SmallRng>,
}

impl Pool {
    /// Starts the upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound.
    pub async fn start(cx: Rc<RunCx>, plan: PoolPlan) -> anyhow::Result<Rc<Self>> {
        let mut slots = Vec::new();
        let mut listeners = Vec::new();
        for index in 0..plan.engines + plan.plain {
            let listener = bind(SocketAddr::from((plan.listen_ip, 0))).await?;
            let target = listener.local_addr()?;
            let addr = SocketAddr::from((plan.ip, target.port()));
            let proxy =
                Proxy { addr, target, party: Party::Upstream(index), identifies_box: false };
            proxy.open(cx.clone()).await?;
            listeners.push(listener);
            slots.push(Rc::new(Slot {
                index,
                engine: index < plan.engines,
                addr,
                instance: RefCell::default(),
                answer_fault: Cell::default(),
                unframed_share: Cell::default(),
                limit: Cell::default(),
                rest: Cell::default(),
            }));
        }
        let (copies, last_number) = (RefCell::default(), Cell::new(0));
        let stop = cx.stop.clone();
        let rng = RefCell::new(SmallRng::seed_from_u64(plan.seed));
        let pool = Rc::new(Self { cx, plan, slots, copies, last_number, rng });
        for (slot, listener) in pool.slots.iter().zip(listeners) {
            pool.start_instance(slot);
            pool.serve(slot.clone(), listener, stop.clone());
        }
        Ok(pool)
    }

    /// Serves the requests that arrive at a slot.
    fn serve(self: &Rc<Self>, slot: Rc<Slot>, listener: TcpListener, stop: Stop) {
        let pool = self.clone();
        let handler = Rc::new(move |req, _| {
            let (pool, slot) = (pool.clone(), slot.clone());
            async move {
                let is_leaving =
                    pool.current(slot.index).is_some_and(|instance| instance.is_leaving.get());
                let mut res = pool.answer(&slot, req).await;
                if is_leaving {
                    (pool.cx.wire.mark_leaving)(&mut res);
                }
                if let Some(limit) = slot.limit.get() {
                    (pool.cx.wire.set_limit)(&mut res, limit);
                }
                res
            }
            .boxed_local()
        });
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
    }

    /// Returns a number that is unique in the pool.
    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Starts a new instance in a slot and its periodic announcements.
    fn start_instance(self: &Rc<Self>, slot: &Rc<Slot>) {
        let instance = Rc::new(Instance {
            id: format!("u{}-{}", slot.index, self.next_number()),
            sequence: Cell::new(0),
            is_leaving: Cell::new(false),
            leaving_acked: Cell::new(None),
            ended: Cell::new(false),
            died: Cell::new(false),
            runs: RefCell::default(),
        });
        *slot.instance.borrow_mut() = Some(instance.clone());
        compio::runtime::spawn(self.clone().announce_periodically(slot.clone(), instance)).detach();
    }

    /// Announces an instance periodically until it ends, and immediately when it starts to leave.
    async fn announce_periodically(self: Rc<Self>, slot: Rc<Slot>, instance: Rc<Instance>) {
        while !instance.ended.get() && !self.cx.stop.is_set() {
            self.announce(&slot, &instance).await;
            let started = Instant::now();
            let is_leaving = instance.is_leaving.get();
            while started.elapsed() < ANNOUNCE_PERIOD && instance.is_leaving.get() == is_leaving {
                compio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Announces an instance to one control box after another until one acknowledges.
    async fn announce(&self, slot: &Slot, instance: &Instance) {
        let first = rand::random_range(0..self.plan.control.len());
        for offset in 0..self.plan.control.len() {
            if instance.ended.get() {
                return;
            }
            instance.sequence.set(instance.sequence.get() + 1);
            let is_leaving = instance.is_leaving.get();
            let message = (self.cx.wire.announce)(&Announcement {
                instance: instance.id.clone(),
                engine: slot.engine,
                addr: slot.addr,
                failure_domain: DOMAINS[slot.index % DOMAINS.len()].to_owned(),
                is_leaving,
                sequence: instance.sequence.get(),
            });
            let addr = self.plan.control[(first + offset) % self.plan.control.len()];
            if acknowledged(addr, message).await {
                if is_leaving && instance.leaving_acked.get().is_none() {
                    instance.leaving_acked.set(Some((Instant::now(), self.cx.record.calm())));
                }
                return;
            }
        }
    }

    /// Ends the instance in a slot at once, along with its runs.
    pub fn crash(&self, index: usize) {
        let slot = &self.slots[index];
        self.cx.links.refuse(Party::Upstream(index), true);
        self.cx.links.reset(Party::Upstream(index));
        if let Some(instance) = slot.instance.borrow_mut().take() {
            instance.ended.set(true);
            // Runs end now, not when their next event is due.
            instance.runs.borrow().values().for_each(|run| run.finished.set(true));
        }
    }

    /// Ends the instance in a slot at once, along with its runs. Its connections end in order.
    pub fn kill(&self, index: usize) {
        let slot = &self.slots[index];
        self.cx.links.refuse(Party::Upstream(index), true);
        self.cx.links.end(Party::Upstream(index));
        if let Some(instance) = slot.instance.borrow_mut().take() {
            instance.died.set(true);
            instance.ended.set(true);
            instance.runs.borrow().values().for_each(|run| run.finished.set(true));
        }
    }

    /// Starts a new instance in a slot that has none.
    pub fn restart(self: &Rc<Self>, index: usize) {
        self.cx.links.refuse(Party::Upstream(index), false);
        let slot = self.slots[index].clone();
        if slot.instance.borrow().is_none() {
            self.start_instance(&slot);
        }
    }

    /// Announces that an upstream is leaving, ends it after the notice period even if runs are
    /// active, and restarts it.
    pub async fn reclaim(self: &Rc<Self>, index: usize) {
        if let Some(instance) = self.current(index) {
            instance.is_leaving.set(true);
            compio::time::sleep(RECLAIM_NOTICE).await;
        }
        self.crash(index);
        compio::time::sleep(RESTART_DELAY).await;
        self.restart(index);
    }

    /// Leaves gracefully: announces the leaving, waits for active runs, ends the instance and
    /// restarts.
    pub async fn leave(self: &Rc<Self>, index: usize) {
        let Some(instance) = self.current(index) else { return };
        instance.is_leaving.set(true);
        let started = Instant::now();
        let must_wait = |instance: &Instance| {
            let acked = instance.leaving_acked.get();
            let settled = acked.is_some_and(|(at, _)| at.elapsed() > LATE_THRESHOLD);
            !settled || instance.runs.borrow().values().any(|run| !run.finished.get())
        };
        while started.elapsed() < DRAIN_TIMEOUT && must_wait(&instance) && !instance.ended.get() {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        let control = self.plan.control[rand::random_range(0..self.plan.control.len())];
        acknowledged(control, (self.cx.wire.end_instance)(&instance.id)).await;
        self.crash(index);
        compio::time::sleep(RESTART_DELAY).await;
        self.restart(index);
    }

    /// Sets the answer fault of an upstream.
    pub fn set_answer_fault(&self, index: usize, answer_fault: AnswerFault) {
        self.slots[index].answer_fault.set(answer_fault);
    }

    /// Sets the share of an upstream's answers that are sent without a length or chunks.
    pub fn set_unframed_share(&self, index: usize, share: f64) {
        self.slots[index].unframed_share.set(share);
    }

    /// Draws the framing of an answer.
    fn draw_framing(&self, slot: &Slot) -> Framing {
        let is_unframed = self.rng.borrow_mut().random_bool(slot.unframed_share.get());
        if is_unframed { Framing::UntilClose } else { Framing::Delimited }
    }

    /// Sets or removes the rate limit that an upstream announces.
    pub fn set_limit(&self, index: usize, per_second: Option<f64>) {
        self.slots[index].limit.set(per_second);
    }

    /// Makes an upstream reject all requests and ask for a rest, or accept them again.
    pub fn set_rest(&self, index: usize, rest: Option<Duration>) {
        self.slots[index].rest.set(rest);
    }

    /// Returns the current instance in a slot, if any.
    fn current(&self, index: usize) -> Option<Rc<Instance>> {
        self.slots[index].instance.borrow().clone()
    }
}

/// Sends a message to a control box. Returns whether it answered with success.
async fn acknowledged(addr: SocketAddr, message: Request<Body>) -> bool {
    let control = Upstream { addr, connect_timeout: ACK_TIMEOUT, source: None };
    matches!(control.send(message, ACK_TIMEOUT).await, Ok(res) if res.status().is_success())
}
