//! Observations of callers, upstreams and the operator during a run, in one total order.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use hatchpitch_net::Framing;

/// Request id chosen by a caller.
pub type RequestId = String;
/// Id of an upstream instance, unique across restarts.
pub type InstanceId = String;
/// Position of an event in the total order of a run.
pub type LogicalTime = u64;

/// Kind of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A call that may run more than once.
    Repeatable,
    /// A call that must run at most once.
    Once,
    /// A stream of events, which must run at most once.
    Stream,
    /// A repeatable call on a route that exists only in the configuration with this number.
    Marker(u64),
}

/// Outcome of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request is still open.
    Open,
    /// The caller received its own complete answer.
    Answered,
    /// The answer ended with its connection, in order and before it was whole.
    Partial(String),
    /// The caller received content that violates a guarantee.
    Wrong(String),
    /// The request was refused, with the guarantee that it was not run.
    Refused,
    /// Another failure, with its HTTP status.
    Failed(u16),
    /// The connection broke before the answer was complete.
    Broken(String),
    /// No connection could be established.
    NotConnected,
    /// The caller closed the connection early.
    Left,
    /// The caller timed out.
    Unanswered,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Box that received the request, and the start count of its entry process.
    pub sent_to: (usize, u64),
    /// When the request was sent.
    pub sent_at: LogicalTime,
    /// When the request ended.
    pub ended_at: LogicalTime,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Framing of the answer, if its head arrived.
    pub framing: Option<Framing>,
    /// Calm phase that contains the whole request, if any.
    pub calm: Option<u32>,
}

/// Start of a run at an upstream.
#[derive(Debug, Clone)]
pub struct RunStart {
    /// Id of the request.
    pub id: RequestId,
    /// Upstream instance.
    pub instance: InstanceId,
    /// Whether the run continues from a copy.
    pub resumed: bool,
    /// Whether the copied run was still active when this run started.
    pub concurrent: bool,
}

/// A request that arrived at an upstream while it announced a rate limit.
#[derive(Debug, Clone)]
pub struct LimitedRequest {
    /// Upstream instance.
    pub instance: InstanceId,
    /// The rate limit, in requests per second.
    pub per_second: f64,
    /// Arrival time.
    pub at: Instant,
    /// Calm phase in which the request arrived, if any.
    pub calm: Option<u32>,
}

/// A request that an upstream rejected, asking for a rest before the next one.
#[derive(Debug, Clone)]
pub struct RejectedRequest {
    /// Upstream instance.
    pub instance: InstanceId,
    /// The rest that the upstream asked for.
    pub rest: Duration,
    /// Arrival time.
    pub at: Instant,
    /// Calm phase in which the request arrived, if any.
    pub calm: Option<u32>,
}

/// Most resident memory of one process, from a start to its end.
#[derive(Debug, Clone, Default)]
pub struct MemoryPeak {
    /// Most resident memory that was seen, in bytes.
    pub bytes: u64,
    /// When it first passed the limit, since the start of the run, and the faults in force then.
    pub passed: Option<(Duration, Vec<String>)>,
}

/// How a process of a box ended.
#[derive(Debug, Clone)]
pub struct ProcessEnd {
    /// Name of the process.
    pub process: String,
    /// Exit status, or the signal that ended it.
    pub status: ExitStatus,
    /// Time since the start of the run.
    pub at: Duration,
    /// Time since the start of the process.
    pub age: Duration,
    /// Signals that the run sent to it, with the time since the start of the run.
    pub signals: Vec<(i32, Duration)>,
    /// Last lines of its log.
    pub log: String,
}

/// A configuration event observed by the operator.
#[derive(Debug, Clone)]
pub enum ConfigEvent {
    /// A configuration was acknowledged.
    Acknowledged {
        /// Number of the configuration.
        number: u64,
        /// When the acknowledgement arrived.
        at: LogicalTime,
    },
    /// A read returned a configuration.
    Read {
        /// Number of the configuration, or 0 if it was never sent.
        number: u64,
        /// Text of the configuration.
        text: String,
        /// When the read was sent.
        asked_at: LogicalTime,
    },
}

/// All observations of a run.
#[derive(Debug, Default)]
pub struct Record {
    clock: Cell<LogicalTime>,
    calm: Cell<Option<u32>>,
    /// Requests of callers.
    pub calls: RefCell<BTreeMap<RequestId, Call>>,
    /// Runs started at upstreams, in order.
    pub runs: RefCell<Vec<RunStart>>,
    /// Configuration events, in order.
    pub configs: RefCell<Vec<ConfigEvent>>,
    /// Descriptions of requests that arrived long after the upstream's leaving was acknowledged.
    pub late_requests: RefCell<Vec<String>>,
    /// Requests that arrived at upstreams with a rate limit, in order.
    pub limited: RefCell<Vec<LimitedRequest>>,
    /// Requests that resting upstreams rejected, in order.
    pub rejected: RefCell<Vec<RejectedRequest>>,
    /// Requests whose answers an upstream sent without a length or chunks and ended in order before
    /// they were whole, in plain text or between two events. Runs that stop in order to continue
    /// elsewhere do not count.
    pub cut: RefCell<HashSet<RequestId>>,
    /// Number of such answers, and of those of stopped runs, that ended inside an event, where a box
    /// can tell that they were cut.
    pub cut_inside_events: Cell<usize>,
    /// Number of boxes that send requests to upstreams.
    pub boxes: Cell<usize>,
    /// Descriptions of messages that were accepted but had to be rejected.
    pub accepted: RefCell<Vec<String>>,
    /// Limit of the resident memory of each process, in bytes.
    pub memory_limit: Cell<u64>,
    /// Memory of each process, by its name and the number of its start.
    pub memory: RefCell<BTreeMap<(String, u64), MemoryPeak>>,
    /// Faults that are in force.
    pub faults: RefCell<Vec<String>>,
    /// Ends of processes of boxes, in order.
    pub ends: RefCell<Vec<ProcessEnd>>,
}

impl Record {
    /// Advances the logical clock and returns the new time.
    pub fn tick(&self) -> LogicalTime {
        self.clock.set(self.clock.get() + 1);
        self.clock.get()
    }

    /// Sets the current calm phase, or `None` outside of calm phases.
    pub fn set_calm(&self, part: Option<u32>) {
        self.calm.set(part);
    }

    /// Returns the current calm phase, if any.
    pub fn calm(&self) -> Option<u32> {
        self.calm.get()
    }

    /// Records that a request is sent.
    pub fn begin(&self, id: &str, kind: RequestKind, sent_to: (usize, u64)) {
        let sent_at = self.tick();
        let calm = self.calm.get();
        let (ended_at, outcome, framing) = (sent_at, Outcome::Open, None);
        let call = Call { kind, sent_to, sent_at, ended_at, outcome, framing, calm };
        self.calls.borrow_mut().insert(id.to_owned(), call);
    }

    /// Records the framing of the answer to a request.
    pub fn set_framing(&self, id: &str, framing: Framing) {
        if let Some(call) = self.calls.borrow_mut().get_mut(id) {
            call.framing = Some(framing);
        }
    }

    /// Returns the framing of the answer to a request, if its head arrived.
    pub fn framing(&self, id: &str) -> Option<Framing> {
        self.calls.borrow().get(id)?.framing
    }

    /// Records the outcome of a request.
    pub fn finish(&self, id: &str, outcome: Outcome) {
        let now = self.tick();
        if let Some(call) = self.calls.borrow_mut().get_mut(id) {
            call.ended_at = now;
            call.outcome = outcome;
            if call.calm != self.calm.get() {
                call.calm = None;
            }
        }
    }

    /// Returns the highest configuration number acknowledged before `time`, or 0.
    pub fn acknowledged_before(&self, time: LogicalTime) -> u64 {
        let configs = self.configs.borrow();
        let numbers = configs.iter().filter_map(|event| match event {
            ConfigEvent::Acknowledged { number, at } if *at < time => Some(*number),
            _ => None,
        });
        numbers.max().unwrap_or(0)
    }

    /// Records the resident memory of a process at this time since the start of the run.
    pub fn note_memory(&self, process: &str, starts: u64, bytes: u64, at: Duration) {
        let mut memory = self.memory.borrow_mut();
        let peak = memory.entry((process.to_owned(), starts)).or_default();
        peak.bytes = peak.bytes.max(bytes);
        if bytes > self.memory_limit.get() && peak.passed.is_none() {
            peak.passed = Some((at, self.faults.borrow().clone()));
        }
    }

    /// Returns the number of requests that were answered.
    pub fn answered(&self) -> usize {
        self.calls.borrow().values().filter(|call| call.outcome == Outcome::Answered).count()
    }

    /// Returns the number of requests per outcome.
    pub fn outcome_counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for call in self.calls.borrow().values() {
            *counts.entry(call.outcome.label()).or_default() += 1;
            if call.framing == Some(Framing::UntilClose) {
                *counts.entry("of these unframed").or_default() += 1;
            }
        }
        counts.insert("cut by upstreams", self.cut.borrow().len());
        counts.insert("cut by upstreams inside an event", self.cut_inside_events.get());
        counts
    }
}

impl Outcome {
    /// Returns the label under which the outcome is counted.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Answered => "answered",
            Self::Partial(_) => "partial",
            Self::Wrong(_) => "wrong",
            Self::Refused => "refused",
            Self::Failed(_) => "failed",
            Self::Broken(_) => "broken",
            Self::NotConnected => "not connected",
            Self::Left => "left",
            Self::Unanswered => "unanswered",
        }
    }
}
