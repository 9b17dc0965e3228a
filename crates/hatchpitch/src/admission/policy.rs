//! Which decisions are taken how: one value, checked with the settings.

use super::memory::MemoryPolicy;

/// Standard deviations that memory keeps free above the mean of what will be held. A generation
/// that is pushed out of a full memory pauses for the time in which its prompt is read again;
/// with two deviations next to none is, and first tokens come no later.
pub const DEFAULT_DEVIATIONS: f64 = 2.0;

/// Who decides where a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Placement {
    /// Each box for itself, on lagging reports.
    Local,
    /// The box that owns the engine.
    #[default]
    Owner,
}

/// In which order requests wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Order {
    /// In the order in which they came.
    Arrival,
    /// By paid priority, then by fair service.
    #[default]
    Fair,
}

/// Which of the fitting engines is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pick {
    /// Each in turn.
    RoundRobin,
    /// The least loaded one.
    #[default]
    LeastLoaded,
}

/// How requests are let in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Who decides.
    pub placement: Placement,
    /// In which order requests wait.
    pub order: Order,
    /// Which engine is taken.
    pub pick: Pick,
    /// When an engine's memory is full.
    pub memory: MemoryPolicy,
    /// Whether running generations are moved off runners that leave.
    pub moves: bool,
    /// Whether a repeatable call that failed goes to a second upstream.
    pub second_tries: bool,
    /// Whether a generation that would wait too long is refused at once.
    pub early_refusal: bool,
    /// Whether upstreams of the box's own failure domain are preferred.
    pub near: bool,
    /// Whether several owners are asked how busy their engines are.
    pub quotes: bool,
    /// Whether upstreams that fail get no work for a while.
    pub ejection: bool,
}

impl Policy {
    /// The baseline that others are measured against: every decision the simplest way.
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
        }
    }
}
