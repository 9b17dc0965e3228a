//! Scheduling policy of a box: one value that is validated with the settings.

use super::memory::MemoryPolicy;

/// Default number of standard deviations that admission keeps free above the mean memory use. A
/// generation that is preempted from a full memory stalls until its prompt has been prefilled
/// again. With two deviations almost none is preempted, and first tokens come no later.
pub const DEFAULT_DEVIATIONS: f64 = 2.0;

/// Which box decides where a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Placement {
    /// Each box decides for its own requests, based on load reports that lag.
    Local,
    /// The box that owns an engine decides for it.
    #[default]
    Owner,
}

/// Order in which waiting requests are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Order {
    /// In order of arrival.
    Arrival,
    /// By paid priority, then by fair queueing between workspaces.
    #[default]
    Fair,
}

/// How one of the engines that have room is picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pick {
    /// In rotation.
    RoundRobin,
    /// The engine with the lowest load.
    #[default]
    LeastLoaded,
    /// The engine with the lowest load and the lowest risk that a stream pauses for longer than its
    /// route allows.
    Objective,
}

/// Decisions of admission and routing, and the mechanisms that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Which box decides where a request runs.
    pub placement: Placement,
    /// Order in which waiting requests are served.
    pub order: Order,
    /// How an engine is picked.
    pub pick: Pick,
    /// When a generation is admitted to an engine's memory.
    pub memory: MemoryPolicy,
    /// Whether running generations are migrated off runners that shut down.
    pub moves: bool,
    /// Whether a failed call to a repeatable route is retried at a second upstream.
    pub second_tries: bool,
    /// Whether a generation whose expected wait is too long is refused on arrival.
    pub early_refusal: bool,
    /// Whether upstreams of the box's own failure domain are preferred.
    pub near: bool,
    /// Whether several owners are asked for the load of their engines before one is chosen.
    pub quotes: bool,
    /// Whether failing upstreams are ejected, that is, get no work for a while.
    pub ejection: bool,
    /// Whether queued requests that can no longer be served are refused before their wait is over.
    pub requeue_checks: bool,
}

impl Policy {
    /// The baseline for comparisons: the simplest choice for every decision.
    pub const NAIVE: Self = Self {
        placement: Placement::Local,
        order: Order::Arrival,
        pick: Pick::RoundRobin,
        memory: MemoryPolicy::Unlimited,
        moves: false,
        second_tries: false,
        early_refusal: false,
        near: false,
        quotes: false,
        ejection: false,
        requeue_checks: false,
    };
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            placement: Placement::default(),
            order: Order::default(),
            pick: Pick::default(),
            memory: MemoryPolicy::Survival(DEFAULT_DEVIATIONS),
            moves: true,
            second_tries: true,
            early_refusal: true,
            near: true,
            quotes: true,
            ejection: true,
            requeue_checks: false,
        }
    }
}
