//! Fault schedules drawn from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::heads::{HEAD_SPOILS, HeadSpoil};
use crate::replacement::Replacement;
use crate::wire::PROXIED_PORTS;

/// Range of fault durations, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..2_500;
/// Range of the number of faults per storm. With a storm of six seconds, several overlap at any
/// time.
const FAULT_COUNT: std::ops::Range<usize> = 6..18;
/// Range of link delays, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 5..120;

/// Size of a fleet, as far as schedules depend on it.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of boxes. The first `log_boxes` of them hold the log.
    pub boxes: usize,
    /// Number of boxes that hold the log.
    pub log_boxes: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of engines, which answer streams and are the first of the upstreams.
    pub engines: usize,
}

/// Number of boxes with a control process: three that hold the log and three without a disk, as in
/// a fleet with two per failure domain. More would only add calls between control boxes.
const CONTROL_BOXES: usize = 6;

impl FleetSize {
    /// Returns the indices of the boxes that have a control process.
    pub fn control_boxes(&self) -> std::ops::Range<usize> {
        0..self.boxes.min(CONTROL_BOXES)
    }

    /// Returns the indices of all boxes.
    pub fn all_boxes(&self) -> Vec<usize> {
        (0..self.boxes).collect()
    }
}

/// A fault, or a maintenance action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Kills and restarts the processes of a box.
    KillBox(usize),
    /// Kills and restarts the control processes of all boxes.
    KillCore,
    /// Kills and restarts all processes of all boxes.
    KillAll,
    /// Suspends the processes of a box.
    Freeze(usize),
    /// Stops a box with SIGTERM and restarts it.
    StopBox(usize),
    /// Sends SIGHUP to a box: its settings may have changed.
    HangUp(usize),
    /// Kills the control process of a box and deletes its data.
    LoseDisk(usize),
    /// Kills the control process of a box and leaves a partial record in its log.
    TornWrite(usize),
    /// Makes writes to the disk of a box fail.
    FullDisk(usize),
    /// Blocks everything that the first box sends to the second.
    CutOneWay(usize, usize),
    /// Partitions a box from all other boxes.
    CutOff(usize),
    /// Delays the links between a box and all others, in milliseconds.
    Slow(usize, u64),
    /// Resets the connections to a box.
    ResetBox(usize),
    /// Makes an upstream end its answers in order midway, where they have neither a length nor
    /// chunks.
    EndAnswers(usize),
    /// Kills an upstream, whose connections end in order, and restarts it as a new instance.
    KillUpstream(usize),
    /// Crashes an upstream and restarts it as a new instance.
    CrashUpstream(usize),
    /// Blocks everything that an upstream sends.
    SilenceUpstream(usize),
    /// Resets the connections to an upstream.
    ResetUpstream(usize),
    /// Makes an upstream run requests without delivering the answers.
    LoseAnswers(usize),
    /// Makes an upstream abort its answers midway.
    SpoilAnswers(usize),
    /// Spoils the heads of the answers of an upstream.
    SpoilHeads(usize, HeadSpoil),
    /// Makes an upstream announce that it is leaving and crash shortly afterwards.
    Reclaim(usize),
    /// Makes an upstream leave gracefully, after its active runs have ended.
    Leave(usize),
    /// Makes an upstream begin streams with an event that never ends.
    EndlessEvents(usize),
    /// Makes an upstream send large events.
    LargeEvents(usize),
    /// Makes all callers stop reading, while an upstream sends large events.
    StalledCallers(usize),
    /// Sends many requests with large bodies to a box.
    LargeBodies(usize),
    /// Sends large messages without a signature to a box, as if other boxes did.
    UnsignedMessages(usize),
    /// Sends large bodies to the operators' listener of a box.
    OperatorBodies(usize),
    /// Kills a box and restarts it while another socket holds one of its ports, given by its
    /// position among them.
    HeldPort(usize, usize),
    /// Kills the control process of a box and restarts it with a disk that takes no bytes.
    FullDiskAtStart(usize),
    /// Kills the control process of a box, deletes its data and restarts it with a disk that takes no
    /// bytes.
    FullNewDisk(usize),
    /// Replaces a box that holds the log for good, and deletes the data of another one.
    Replace(Replacement),
}

/// Separates the random numbers of the rate limits from those of the faults.
const LIMITS_SALT: u64 = 0x6c69_6d69_7473;
/// Range of rate limits, in tenths of a request per second; far below the load that callers offer.
const LIMIT_TENTHS: std::ops::Range<u32> = 5..80;

/// Separates the random numbers of the rests from those of the faults.
const RESTS_SALT: u64 = 0x0072_6573_7473;
/// Maximum number of upstreams that ask for a rest in a round.
const MAX_RESTING: usize = 2;
/// Range of rests, in milliseconds.
const REST_MS: std::ops::Range<u64> = 800..4_000;

/// Separates the random numbers of the framing of answers from those of the faults.
const FRAMING_SALT: u64 = 0x0066_7261_6d65;
/// Shares of an upstream's answers that have neither a length nor chunks.
const UNFRAMED_SHARES: [f64; 3] = [0.0, 0.5, 1.0];
/// Range of the number of faults per storm that cut such answers short.
const CUT_COUNT: std::ops::Range<usize> = 2..6;

/// Separates the random numbers of loads on memory and of failed starts from those of the faults.
const MEMORY_SALT: u64 = 0x6d65_6d6f_7279;
const STARTS_SALT: u64 = 0x7374_6172_7473;
/// Separates the random numbers of spoilt heads from those of the faults.
const HEADS_SALT: u64 = 0x0068_6561_6473;
/// Range of the number of faults per storm that spoil heads.
const HEADS_COUNT: std::ops::Range<usize> = 2..6;
/// Separates the random numbers of replacements from those of the faults.
const REPLACE_SALT: u64 = 0x7265_706c_6163;
/// Ranges of the time from the stop of a replaced box to the loss of another disk, in milliseconds.
const PLANNED_GAP_MS: std::ops::Range<u64> = 100..1_500;
/// The same for a killed box. The proxies accept connections for a box that is down, so it is only
/// found to be gone by its silence.
const KILLED_GAP_MS: std::ops::Range<u64> = 3_000..4_500;
/// Ranges of the number of such faults per storm.
const LOAD_COUNT: std::ops::Range<usize> = 3..7;
const START_COUNT: std::ops::Range<usize> = 2..5;

/// How upstreams frame their answers in a round.
#[derive(Debug, Clone, PartialEq)]
pub struct FramingPlan {
    /// Share of the answers of each upstream that have neither a length nor chunks, in the storm
    /// phase.
    pub storm: Vec<f64>,
    /// The same share for all upstreams in the calm phase. There, the upstreams of a service are of
    /// one kind, since a stream breaks off that is moved to a kind that marks no end.
    pub calm: f64,
    /// Faults of the storm phase that cut such answers short.
    pub faults: Vec<ScheduledFault>,
}

/// A fault with its start time and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time since the start of the phase.
    pub at: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults of a storm phase, which may overlap.
pub fn storm(seed: u64, size: FleetSize, length: Duration) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(FAULT_COUNT);
    let mut has_lost_disk = false;
    let mut faults: Vec<ScheduledFault> = (0..count)
        .map(|_| {
            let mut fault = random_fault(&mut rng, size);
            // The log survives the loss of one disk only.
            if matches!(fault, Fault::LoseDisk(_)) {
                if has_lost_disk {
                    fault = Fault::KillCore;
                }
                has_lost_disk = true;
            }
            schedule_fault(&mut rng, fault, length)
        })
        .collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws the maintenance actions of a calm phase, sorted by time.
pub fn calm(seed: u64, size: FleetSize, length: Duration) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let box_index = rng.random_range(0..size.boxes);
    let leaver = rng.random_range(0..size.upstreams);
    let maintenance = [Fault::StopBox(box_index), Fault::HangUp(box_index), Fault::Leave(leaver)];
    let mut faults: Vec<ScheduledFault> =
        maintenance.into_iter().map(|fault| schedule_fault(&mut rng, fault, length)).collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws the upstreams that announce rate limits in a round, with their limits in requests per
/// second. A separate generator keeps the faults of a seed unchanged.
pub fn limits(seed: u64, size: FleetSize) -> Vec<(usize, f64)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ LIMITS_SALT);
    let count = rng.random_range(1..=size.upstreams);
    (0..count)
        .map(|_| {
            let index = rng.random_range(0..size.upstreams);
            (index, f64::from(rng.random_range(LIMIT_TENTHS)) / 10.0)
        })
        .collect()
}

/// Draws the upstreams that ask for a rest in a round, with its duration, from a separate
/// generator.
pub fn rests(seed: u64, size: FleetSize) -> Vec<(usize, Duration)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ RESTS_SALT);
    let count = rng.random_range(1..=MAX_RESTING.min(size.upstreams));
    (0..count)
        .map(|_| {
            let index = rng.random_range(0..size.upstreams);
            (index, Duration::from_millis(rng.random_range(REST_MS)))
        })
        .collect()
}

/// Draws how upstreams frame their answers in a round, and the faults that cut unframed answers
/// short, from a separate generator.
pub fn framing(seed: u64, size: FleetSize, storm_length: Duration) -> FramingPlan {
    let mut rng = SmallRng::seed_from_u64(seed ^ FRAMING_SALT);
    let share = |rng: &mut SmallRng| UNFRAMED_SHARES[rng.random_range(0..UNFRAMED_SHARES.len())];
    let storm = (0..size.upstreams).map(|_| share(&mut rng)).collect();
    let calm = f64::from(u8::from(rng.random_bool(0.5)));
    let count = rng.random_range(CUT_COUNT);
    let faults = (0..count).map(|_| {
        let upstream = rng.random_range(0..size.upstreams);
        let all = [
            Fault::EndAnswers(upstream),
            Fault::SpoilAnswers(upstream),
            Fault::KillUpstream(upstream),
        ];
        let fault = *all.choose(&mut rng).expect("the list is not empty");
        schedule_fault(&mut rng, fault, storm_length)
    });
    let faults = faults.collect();
    FramingPlan { storm, calm, faults }
}

/// Draws the loads on the memory of processes in a storm phase, from a separate generator.
pub fn memory(seed: u64, size: FleetSize, storm_length: Duration) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ MEMORY_SALT);
    let count = rng.random_range(LOAD_COUNT);
    let faults = (0..count).map(|_| {
        let any_box = rng.random_range(0..size.boxes);
        let engine = rng.random_range(0..size.engines);
        let all = [
            Fault::EndlessEvents(engine),
            Fault::LargeEvents(engine),
            Fault::StalledCallers(engine),
            Fault::LargeBodies(any_box),
            Fault::UnsignedMessages(any_box),
            Fault::OperatorBodies(rng.random_range(size.control_boxes())),
        ];
        let fault = *all.choose(&mut rng).expect("the list is not empty");
        schedule_fault(&mut rng, fault, storm_length)
    });
    faults.collect()
}

/// Draws the starts under bad conditions in a storm phase, from a separate generator. One of them
/// loses the data of a box if none of the faults in `storm` does.
pub fn starts(
    seed: u64,
    size: FleetSize,
    storm_length: Duration,
    storm: &[ScheduledFault],
) -> Vec<ScheduledFault> {
    let mut may_lose_disk = !storm.iter().any(|other| matches!(other.fault, Fault::LoseDisk(_)));
    let mut rng = SmallRng::seed_from_u64(seed ^ STARTS_SALT);
    let count = rng.random_range(START_COUNT);
    let faults = (0..count).map(|_| {
        let any_box = rng.random_range(0..size.boxes);
        let log_box = rng.random_range(0..size.log_boxes);
        let port = rng.random_range(0..PROXIED_PORTS);
        let all = [Fault::HeldPort(any_box, port), Fault::FullDiskAtStart(log_box)];
        let mut fault = *all.choose(&mut rng).expect("the list is not empty");
        if let (Fault::FullDiskAtStart(index), true) = (fault, may_lose_disk) {
            fault = Fault::FullNewDisk(index);
            may_lose_disk = false;
        }
        schedule_fault(&mut rng, fault, storm_length)
    });
    faults.collect()
}

/// Draws the faults of a storm phase that spoil the heads of answers, from a separate generator.
pub fn heads(seed: u64, size: FleetSize, storm_length: Duration) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ HEADS_SALT);
    let count = rng.random_range(HEADS_COUNT);
    let faults = (0..count).map(|_| {
        let upstream = rng.random_range(0..size.upstreams);
        let spoil = *HEAD_SPOILS.choose(&mut rng).expect("the list is not empty");
        schedule_fault(&mut rng, Fault::SpoilHeads(upstream, spoil), storm_length)
    });
    faults.collect()
}

/// Draws the replacement of a box, from a separate generator. `holders` are the boxes that hold the
/// log and `spares` the control boxes without a disk.
pub fn replacement(seed: u64, holders: &[usize], spares: &[usize]) -> Option<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ REPLACE_SALT);
    let chosen: Vec<usize> = holders.choose_multiple(&mut rng, 2).copied().collect();
    let [old, lost] = chosen[..] else { return None };
    let new = *spares.choose(&mut rng)?;
    let planned = rng.random_bool(0.5);
    let gap = rng.random_range(if planned { PLANNED_GAP_MS } else { KILLED_GAP_MS });
    let fault = Fault::Replace(Replacement { old, new, lost, planned });
    Some(ScheduledFault { at: Duration::ZERO, duration: Duration::from_millis(gap), fault })
}

/// Draws the start and the duration of a fault within a phase of the given length.
fn schedule_fault(rng: &mut SmallRng, fault: Fault, length: Duration) -> ScheduledFault {
    let at = rng.random_range(0..length.as_millis().max(1)) as u64;
    let duration = Duration::from_millis(rng.random_range(DURATION_MS));
    ScheduledFault { at: Duration::from_millis(at), duration, fault }
}

/// Draws a fault, each entry of the list being equally likely.
fn random_fault(rng: &mut SmallRng, size: FleetSize) -> Fault {
    let any_box = rng.random_range(0..size.boxes);
    let other = (any_box + rng.random_range(1..size.boxes)) % size.boxes;
    let log_box = rng.random_range(0..size.log_boxes);
    let upstream = rng.random_range(0..size.upstreams);
    let all = [
        Fault::KillBox(any_box),
        Fault::KillBox(log_box),
        Fault::KillCore,
        Fault::KillAll,
        Fault::Freeze(any_box),
        Fault::Freeze(log_box),
        Fault::StopBox(any_box),
        Fault::HangUp(any_box),
        Fault::LoseDisk(log_box),
        Fault::TornWrite(log_box),
        Fault::FullDisk(log_box),
        Fault::CutOneWay(any_box, other),
        Fault::CutOff(any_box),
        Fault::CutOff(log_box),
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
