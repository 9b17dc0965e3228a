//! Engines that leave during a burst, a failure domain that is evacuated, and capacity that comes
//! back, with less urgent long and more urgent short requests in the same queues: queues that check
//! whether what waits can still start in time, beside queues that refuse after the whole wait.

use crate::fleet::{Event, Fleet, Policy, Request, RequestResult};
use crate::loads::Load;
use crate::{AFTER_MS, DOMAINS, ENGINES, MEMORY, SPEEDS};

/// Output above which a generation is a long stream, in tokens.
const LONG: u64 = 100;
/// Target time to the first token of a long stream.
const LONG_TARGET_MS: u64 = 4_000;
/// Wait from which on a refusal counts as one after a long wait.
const LONG_WAIT_MS: u64 = 1_500;

/// Figures of one replay.
#[derive(Debug, Default)]
struct Figures {
    /// Requests whose last attempt got its first token within the target, and that completed.
    in_time: usize,
    /// Requests that were served late.
    late: usize,
    /// Requests that were not served.
    failed: usize,
    /// Refusals after the whole wait that the request allows, of short and of long requests.
    waited_out: (usize, usize),
    /// Refusals after a wait of [`LONG_WAIT_MS`] or more.
    after_long_wait: usize,
    /// Refusals of queued requests that could no longer start in time.
    untimely: usize,
    /// Attempts that were found to be unable to start in time but not refused, and those of them
    /// that were served in time and late.
    found: (usize, usize, usize),
    /// Requests whose caller returned after a refusal, and those of them that were served in time
    /// and late.
    returned: (usize, usize, usize),
    /// Time to a refusal in a queue, of short and of long requests: median and maximum.
    refusal_ms: [(u64, u64); 2],
}

#[derive(Debug, Clone, Copy)]
struct Replay {
    boxes: usize,
    engines: usize,
    seed: u64,
    /// Arrival rate in the burst relative to the standard rate.
    burst: f64,
}

impl Replay {
    const LENGTH_MS: u64 = 18_000;

    fn load(self) -> Vec<Request> {
        let mut load = Load::new(self.seed, Self::LENGTH_MS);
        load.rate = 0.9 * self.engines as f64 / ENGINES as f64;
        load.burst = Some((3_000..8_000, self.burst));
        let mut requests = load.requests();
        for req in requests.iter_mut().filter(|req| req.output > LONG) {
            req.target_ms = LONG_TARGET_MS;
        }
        requests
    }

    /// Returns the changes of capacity: a sixth of the engines leaves during the burst, and another
    /// one 3.3 s later; in between, a failure domain is evacuated. All of it comes back.
    fn events(self) -> Vec<(u64, Event)> {
        let sixth = self.engines / 6;
        let mut events = Vec::new();
        for engine in 0..sixth {
            events.push((4_500, Event::Drains { engine }));
            events.push((9_500, Event::Resumes { engine }));
            events.push((7_800, Event::Drains { engine: engine + sixth }));
            events.push((12_800, Event::Resumes { engine: engine + sixth }));
        }
        for engine in (0..self.engines).filter(|engine| engine % DOMAINS == 1) {
            events.push((6_500, Event::Drains { engine }));
            events.push((11_500, Event::Resumes { engine }));
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }

    fn run(self, rechecks: bool) -> Figures {
        let load = self.load();
        let fleet = Fleet::new(Policy::Sharded, DOMAINS, self.engines, &SPEEDS, MEMORY);
        let mut fleet = fleet.with_callers(rechecks, self.boxes);
        let results = fleet.simulate(&load, &self.events(), Self::LENGTH_MS + AFTER_MS);
        self.figures(&fleet, &load, &results)
    }

    fn figures(self, fleet: &Fleet, load: &[Request], results: &[RequestResult]) -> Figures {
        let mut figures = Figures::default();
        let mut times = [Vec::new(), Vec::new()];
        for (i, (req, result)) in load.iter().zip(results).enumerate() {
            let first = result.first_ms.filter(|_| result.completed);
            let first = first.map(|first| fleet.since_last_attempt(i, req, first));
            let outcome = first.map(|first| first <= req.target_ms);
            if fleet.returned(i, req) {
                figures.returned.0 += 1;
                figures.returned.1 += usize::from(outcome == Some(true));
                figures.returned.2 += usize::from(outcome == Some(false));
            }
            if fleet.was_found(i) {
                figures.found.1 += usize::from(outcome == Some(true));
                figures.found.2 += usize::from(outcome == Some(false));
            }
            match outcome {
                Some(true) => figures.in_time += 1,
                Some(false) => figures.late += 1,
                None => figures.failed += 1,
            }
            let refusals = &fleet.refusals()[i];
            for refusal in refusals {
                if refusal.is_waited && req.output > LONG {
                    figures.waited_out.1 += 1;
                } else if refusal.is_waited {
                    figures.waited_out.0 += 1;
                }
                figures.after_long_wait += usize::from(refusal.held_ms >= LONG_WAIT_MS);
                figures.untimely += usize::from(refusal.is_untimely);
                if refusal.is_untimely || refusal.is_waited {
                    times[usize::from(req.output > LONG)].push(refusal.held_ms);
                }
            }
        }
        figures.found.0 = fleet.found();
        figures.refusal_ms = times.map(|mut times| {
            times.sort_unstable();
            let median = times.get(times.len() / 2).copied();
            (median.unwrap_or(0), times.last().copied().unwrap_or(0))
        });
        figures
    }

    fn compare(self) -> (Figures, Figures) {
        let (before, after) = (self.run(false), self.run(true));
        println!("{self:?}\n  before {before:?}\n  after  {after:?}");
        (before, after)
    }
}

/// Checks that requests which the queue refuses early would hardly have been served, that fewer
/// wait for as long as they allow, and that as many are served in time.
fn check(replays: impl IntoIterator<Item = Replay>) {
    let figures = replays.into_iter().map(Replay::compare);
    let (before, after): (Vec<Figures>, Vec<Figures>) = figures.unzip();
    let sum =
        |of: fn(&Figures) -> usize, figures: &[Figures]| figures.iter().map(of).sum::<usize>();
    let both = |of| (sum(of, &before), sum(of, &after));
    let (found, _) = both(|f| f.found.0);
    let (found_in_time, _) = both(|f| f.found.1);
    let (found_late, _) = both(|f| f.found.2);
    let (waited_before, waited_after) = both(|f| f.waited_out.0 + f.waited_out.1);
    let (short_before, short_after) = both(|f| f.waited_out.0);
    let (in_time_before, in_time_after) = both(|f| f.in_time);
    let (served_before, served_after) = both(|f| f.in_time + f.late);
    println!(
        "found {found}, of which served in time {found_in_time} and late {found_late}; refused \
         after the whole wait {waited_before} and {waited_after}, short ones {short_before} and \
         {short_after}; in time {in_time_before} and {in_time_after}; served {served_before} and \
         {served_after}"
    );
    assert!(found > 100, "the load shows nothing");
    assert!(found_in_time * 100 <= found, "{found_in_time} of {found}");
    assert!((found_in_time + found_late) * 10 <= found, "{found_late} of {found}");
    assert!(waited_after * 4 <= waited_before * 3, "{waited_after} {waited_before}");
    assert!(short_after * 4 <= short_before, "{short_after} {short_before}");
    assert!(in_time_after * 100 >= in_time_before * 99, "{in_time_after} {in_time_before}");
    assert!(served_after * 100 >= served_before * 98, "{served_after} {served_before}");
}

const AT_12: Replay = Replay { boxes: 12, engines: 60, seed: 31, burst: 5.0 };

/// Guards against queued requests that are refused only after their whole wait, and against
/// refusals of requests that would have been served.
#[test]
fn queued_requests_are_refused_once_capacity_is_lost_at_12_boxes() {
    let bursts = [31, 33].into_iter().flat_map(|seed| [4.0, 5.0, 6.0].map(|burst| (seed, burst)));
    check(bursts.map(|(seed, burst)| Replay { seed, burst, ..AT_12 }));
}

/// Guards against the same in a larger fleet.
#[test]
fn queued_requests_are_refused_once_capacity_is_lost_at_71_boxes() {
    check([Replay { boxes: 71, engines: 150, seed: 32, ..AT_12 }]);
}
