//! What goes wrong when, drawn from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Shortest and longest time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..2_500;
/// Fewest and most faults of a storm: in six seconds several of them last at any moment.
const FAULTS: std::ops::Range<usize> = 6..18;
/// Shortest and longest delay of a link, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 5..120;

/// The size of a fleet, as far as a schedule depends on it.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Boxes; the first ones hold the log.
    pub boxes: usize,
    /// Boxes that hold the log.
    pub core: usize,
    /// Upstreams.
    pub upstreams: usize,
}

/// Boxes with a control process: three that hold the log and three without a disk, as where
/// each of three failure domains has two. More of them would only call each other.
const CONTROL_BOXES: usize = 6;

impl Shape {
    /// Returns the places of the boxes that have a control process.
    pub fn control_boxes(&self) -> std::ops::Range<usize> {
        0..self.boxes.min(CONTROL_BOXES)
    }

    /// Returns the places of all boxes.
    pub fn all_boxes(&self) -> Vec<usize> {
        (0..self.boxes).collect()
    }
}

/// One thing that goes wrong, or that is done to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The processes of a box are killed and started again.
    KillBox(usize),
    /// The control processes of all boxes are.
    KillCore,
    /// All processes are.
    KillAll,
    /// A box stands still.
    Freeze(usize),
    /// A box is asked to stop and started again.
    StopBox(usize),
    /// A box is told that its settings may have changed.
    HangUp(usize),
    /// A box loses its disk, and its control process with it.
    LoseDisk(usize),
    /// The control process of a box is killed in the middle of a write.
    TornWrite(usize),
    /// The disk of a box takes no more bytes.
    FullDisk(usize),
    /// Nothing that one box sends reaches another.
    CutOneWay(usize, usize),
    /// A box and all other boxes do not reach each other.
    CutOff(usize),
    /// Links to a box are slow.
    Slow(usize, u64),
    /// Connections to a box are reset.
    ResetBox(usize),
    /// An upstream crashes and comes back as a new life.
    CrashUpstream(usize),
    /// An upstream says nothing.
    SilenceUpstream(usize),
    /// Connections to an upstream are reset.
    ResetUpstream(usize),
    /// Answers of an upstream are lost after it ran the requests.
    LoseAnswers(usize),
    /// An upstream spoils answers.
    SpoilAnswers(usize),
    /// An upstream gives notice and is gone soon after.
    Reclaim(usize),
    /// An upstream leaves, and waits for its runs.
    Leave(usize),
}

/// Tells the chance of limits from that of faults.
const LIMITS_DRAW: u64 = 0x6c69_6d69_7473;
/// Limits that upstreams name, in tenths of a request a second: far below what callers send.
const LIMIT_TENTHS: std::ops::Range<u32> = 5..80;

/// Tells the chance of rests from that of faults.
const RESTS_DRAW: u64 = 0x0072_6573_7473;
/// Upstreams that ask for rest in a round at the most, and rests in milliseconds.
const MOST_AT_REST: usize = 2;
const REST_MS: std::ops::Range<u64> = 800..4_000;

/// When something goes wrong, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the part began.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// Draws the faults of a storm, which overlap as they come.
pub fn storm(seed: u64, shape: Shape, length: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(FAULTS);
    let mut disk_lost = false;
    let mut steps: Vec<Step> = (0..count)
        .map(|_| {
            let mut fault = any_fault(&mut rng, shape);
            // Two lost disks at once are more than such a fleet bears.
            if matches!(fault, Fault::LoseDisk(_)) {
                if disk_lost {
                    fault = Fault::KillCore;
                }
                disk_lost = true;
            }
            step(&mut rng, fault, length)
        })
        .collect();
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws the planned work of a calm part: one thing after the other.
pub fn calm(seed: u64, shape: Shape, length: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let box_at = rng.random_range(0..shape.boxes);
    let leaver = rng.random_range(0..shape.upstreams);
    let work = [Fault::StopBox(box_at), Fault::HangUp(box_at), Fault::Leave(leaver)];
    let mut steps: Vec<Step> =
        work.into_iter().map(|fault| step(&mut rng, fault, length)).collect();
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws which upstreams name limits in a round, and the limits in requests a second. It has a chance
/// of its own, so that the faults of a seed stay what they were.
pub fn limits(seed: u64, shape: Shape) -> Vec<(usize, f64)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ LIMITS_DRAW);
    let count = rng.random_range(1..=shape.upstreams);
    (0..count)
        .map(|_| {
            let at = rng.random_range(0..shape.upstreams);
            (at, f64::from(rng.random_range(LIMIT_TENTHS)) / 10.0)
        })
        .collect()
}

/// Draws which upstreams ask for rest in a round, and for how long, with a chance of its own.
pub fn rests(seed: u64, shape: Shape) -> Vec<(usize, Duration)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ RESTS_DRAW);
    let count = rng.random_range(1..=MOST_AT_REST.min(shape.upstreams));
    (0..count)
        .map(|_| {
            let at = rng.random_range(0..shape.upstreams);
            (at, Duration::from_millis(rng.random_range(REST_MS)))
        })
        .collect()
}

/// Draws when a fault of a part of this length begins, and how long it lasts.
fn step(rng: &mut SmallRng, fault: Fault, length: Duration) -> Step {
    let at = rng.random_range(0..length.as_millis().max(1)) as u64;
    let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
    Step { at: Duration::from_millis(at), lasts, fault }
}

/// Draws a fault, each entry of the list as likely as the others.
fn any_fault(rng: &mut SmallRng, shape: Shape) -> Fault {
    let any_box = rng.random_range(0..shape.boxes);
    let other = (any_box + rng.random_range(1..shape.boxes)) % shape.boxes;
    let core = rng.random_range(0..shape.core);
    let upstream = rng.random_range(0..shape.upstreams);
    let all = [
        Fault::KillBox(any_box),
        Fault::KillBox(core),
        Fault::KillCore,
        Fault::KillAll,
        Fault::Freeze(any_box),
        Fault::Freeze(core),
        Fault::StopBox(any_box),
        Fault::HangUp(any_box),
        Fault::LoseDisk(core),
        Fault::TornWrite(core),
        Fault::FullDisk(core),
        Fault::CutOneWay(any_box, other),
        Fault::CutOff(any_box),
        Fault::CutOff(core),
        Fault::Slow(any_box, rng.random_range(DELAY_MS)),
        Fault::ResetBox(any_box),
        Fault::CrashUpstream(upstream),
        Fault::SilenceUpstream(upstream),
        Fault::ResetUpstream(upstream),
        Fault::LoseAnswers(upstream),
        Fault::SpoilAnswers(upstream),
        Fault::Reclaim(upstream),
        Fault::Leave(upstream),
    ];
    *all.choose(rng).expect("the list is not empty")
}
