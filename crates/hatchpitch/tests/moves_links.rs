//! Replays the moves off several runners that shut down at once, on a model of the links of all
//! runners, and compares ways to make the final copies short.
//!
//! A copy occupies the links of its source and its target from the time at which both are free, in
//! the order of the requests. A repeated copy transfers what the run produced since the copy before
//! it began. A generation whose final copy is not made when its source exits is cut off.

use std::time::{Duration, Instant};

use hatchpitch::moves::copies::copies_again;
use hatchpitch::moves::wait::{WaitStep, next_step, wait_limit};
use hatchpitch::moves::{TurnAnswer, Turns};

/// Tokens that a link copies per second.
const LINK_RATE: f64 = 18_000.0;
/// Tokens that a run produces per second.
const RUN_RATE: f64 = 90.0;
/// Duration of an order to copy besides the transfer.
const ORDER_TIME: Duration = Duration::from_millis(5);
/// Time to obtain a slot.
const SLOT_TIME: Duration = Duration::from_millis(10);
/// Duration of a final copy above which a stream pauses for too long: 180 ms, less the resumption.
const LONG_FINAL_COPY: Duration = Duration::from_millis(120);
/// Interval between polls for a turn.
const POLL: Duration = Duration::from_millis(20);
const TICK: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, PartialEq, Eq)]
struct Rules {
    repeats: bool,
    target_turns: bool,
}

#[derive(Clone, Copy)]
enum Step {
    Source,
    Slot { until: Duration },
    Target { since: Duration },
    Copy { sent: Duration, done: Duration },
    Final { sent: Duration, done: Duration },
    Over,
}

/// One generation that is moved.
#[derive(Clone)]
struct Move {
    id: String,
    source: usize,
    target: usize,
    tokens: f64,
    step: Step,
    poll_at: Duration,
    copies: Vec<Duration>,
    /// When the last copy began.
    copied_at: Option<Duration>,
}

#[derive(Debug, Default)]
struct Outcome {
    moved: usize,
    cut: usize,
    long: usize,
    /// Sum of the durations of the final copies.
    final_copies: Duration,
}

struct Replay {
    rules: Rules,
    start: Instant,
    free_at: Vec<Duration>,
    sources: Turns,
    targets: Turns,
    outcome: Outcome,
}

impl Replay {
    /// Books both links for a copy; returns when it ends.
    fn copy(&mut self, run: &mut Move, now: Duration) -> Duration {
        let tokens = match run.copied_at {
            None => run.tokens,
            Some(since) => RUN_RATE * (now - since).as_secs_f64() + 4.0,
        };
        run.copied_at = Some(now);
        let begin = now.max(self.free_at[run.source]).max(self.free_at[run.target]);
        let end = begin + ORDER_TIME + Duration::from_secs_f64(tokens / LINK_RATE);
        (self.free_at[run.source], self.free_at[run.target]) = (end, end);
        end
    }

    fn advance(&mut self, run: &mut Move, now: Duration, notice: Duration) {
        let (source, target) = (format!("e{}", run.source), format!("e{}", run.target));
        let at = self.start + now;
        let polls = now >= run.poll_at;
        if polls {
            run.poll_at = now + POLL;
        }
        match run.step {
            Step::Over => {}
            _ if now >= notice => {
                self.outcome.cut += 1;
                run.step = Step::Over;
            }
            Step::Source if polls => {
                if self.sources.request(&source, &run.id, run.tokens as u64, at) {
                    run.step = Step::Slot { until: now + SLOT_TIME };
                }
            }
            Step::Source => {}
            Step::Slot { until } if now >= until => {
                run.step = Step::Target { since: now };
                run.poll_at = now;
            }
            Step::Target { since } if polls => {
                // The limit is set once, when the move begins to wait.
                let limit = wait_limit(since);
                if self.rules.target_turns && !limit.is_zero() {
                    let granted = self.targets.request(&target, &run.id, run.tokens as u64, at);
                    let answer = if granted { TurnAnswer::Yours } else { TurnAnswer::NotYet };
                    match next_step(Some(answer), now - since, limit) {
                        WaitStep::Poll => return,
                        WaitStep::GiveUp => self.targets.release(&target, &run.id, at),
                        WaitStep::Granted => {}
                    }
                }
                run.step = Step::Copy { sent: now, done: self.copy(run, now) };
            }
            Step::Copy { sent, done } if now >= done => {
                run.copies.push(done - sent);
                let repeats = self.rules.repeats && copies_again(&run.copies, now);
                let done = self.copy(run, now);
                run.step = match repeats {
                    true => Step::Copy { sent: now, done },
                    false => Step::Final { sent: now, done },
                };
            }
            Step::Final { sent, done } if now >= done => {
                let took = done - sent;
                self.outcome.moved += 1;
                self.outcome.long += usize::from(took > LONG_FINAL_COPY);
                self.outcome.final_copies += took;
                self.sources.release(&source, &run.id, at);
                self.targets.release(&target, &run.id, at);
                run.step = Step::Over;
            }
            Step::Slot { .. } | Step::Target { .. } | Step::Copy { .. } | Step::Final { .. } => {}
        }
    }
}

fn replay(moves: &[Move], notices: &[Duration], engines: usize, rules: Rules) -> Outcome {
    let mut replay = Replay {
        rules,
        start: Instant::now(),
        free_at: vec![Duration::ZERO; engines],
        sources: Turns::default(),
        targets: Turns::default(),
        outcome: Outcome::default(),
    };
    let mut moves = moves.to_vec();
    for tick in 0..2_200 {
        for run in &mut moves {
            replay.advance(run, TICK * tick, notices[run.source]);
        }
    }
    replay.outcome
}

/// Returns the sums over replays of 8 of 48 runners that shut down, with 1 to 9 generations each.
fn replays(rules: Rules) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..40_u64 {
        arbtest::arbtest(|u| {
            let (mut moves, mut notices) = (Vec::new(), Vec::new());
            for source in 0..8_usize {
                notices.push(Duration::from_millis(u.int_in_range(1_500..=2_100)?));
                for i in 0..u.int_in_range(1..=9_u8)? {
                    moves.push(Move {
                        id: format!("g{source}-{i}"),
                        source,
                        target: u.int_in_range(8..=47_usize)?,
                        tokens: f64::from(u.int_in_range(1_500..=6_000_u16)?),
                        step: Step::Source,
                        poll_at: Duration::ZERO,
                        copies: Vec::new(),
                        copied_at: None,
                    });
                }
            }
            let outcome = replay(&moves, &notices, 48, rules);
            sum.moved += outcome.moved;
            sum.cut += outcome.cut;
            sum.long += outcome.long;
            sum.final_copies += outcome.final_copies;
            Ok(())
        })
        .seed(seed << 32 | 2_000)
        .run();
    }
    sum
}

/// Guards against rules that shorten final copies at the expense of generations that are cut off,
/// and against final copies that queue behind bulk copies of other generations at their target.
#[test]
fn repeated_copies_and_turns_at_targets_shorten_final_copies_and_lose_no_generations() {
    let before = replays(Rules { repeats: false, target_turns: false });
    let repeats = replays(Rules { repeats: true, target_turns: false });
    let both = replays(Rules { repeats: true, target_turns: true });
    println!("before {before:?}\nrepeated copies {repeats:?}\nand turns at targets {both:?}");
    assert!(both.long * 4 <= before.long, "{both:?}, before {before:?}");
    assert!(both.final_copies <= before.final_copies, "{both:?}, before {before:?}");
    let all = before.moved + before.cut;
    assert!(both.cut <= before.cut, "{both:?}, before {before:?}");
    assert!(repeats.cut <= before.cut + all / 100, "{repeats:?}, before {before:?}");
}
