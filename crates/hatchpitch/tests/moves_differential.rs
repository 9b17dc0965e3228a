//! Turns against moves of each stream for itself, and against none, on a model of one link.
//!
//! A leaver's link copies one generation at a time, in the order asked. A stream pauses from the
//! moment it is stopped until its last part is copied; what is not copied when the runner goes
//! is cut.

use std::time::{Duration, Instant};

use hatchpitch::moves::Turns;

/// Tokens that the link copies in a second.
const RATE: f64 = 18_000.0;
/// Tokens of a last part: what a run makes during its first copy, and a little more.
const LAST: f64 = 40.0;
/// Pause that still counts as in time.
const ALLOWED_PAUSE: Duration = Duration::from_millis(180);

/// A generation with so many tokens in memory.
#[derive(Debug, Clone)]
struct Run {
    id: String,
    tokens: f64,
}

#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    cut: usize,
    late: usize,
}

fn seconds(tokens: f64) -> Duration {
    Duration::from_secs_f64(tokens / RATE)
}

/// All ask at the notice: first copies queue in the order asked, last parts behind them.
fn each_for_itself(runs: &[Run], notice: Duration) -> Outcome {
    let mut outcome = Outcome { cut: 0, late: 0 };
    let mut free = Duration::ZERO;
    let first_done: Vec<Duration> = runs
        .iter()
        .map(|run| {
            free += seconds(run.tokens);
            free
        })
        .collect();
    // Each last part is asked for when its first copy ends, behind all first copies.
    for stopped in first_done {
        free += seconds(LAST);
        outcome.cut += usize::from(free > notice);
        outcome.late += usize::from(free <= notice && free - stopped > ALLOWED_PAUSE);
    }
    outcome
}

/// One after the other, in the order that [`Turns`] gives.
fn by_turns(runs: &[Run], notice: Duration) -> Outcome {
    let (start, mut turns) = (Instant::now(), Turns::default());
    let mut outcome = Outcome { cut: 0, late: 0 };
    let mut now = Duration::ZERO;
    let mut waiting: Vec<Run> = runs.to_vec();
    while !waiting.is_empty() {
        let ask = |run: &Run| turns.ask("r", &run.id, run.tokens as u64, start + now);
        let granted: Vec<bool> = waiting.iter().map(ask).collect();
        let at = granted.iter().position(|granted| *granted).expect("somebody has the turn");
        let run = waiting.remove(at);
        let stopped = now + seconds(run.tokens);
        now = stopped + seconds(LAST);
        outcome.cut += usize::from(now > notice);
        outcome.late += usize::from(now <= notice && now - stopped > ALLOWED_PAUSE);
        turns.done("r", &run.id, start + now);
    }
    outcome
}

#[test]
fn turns_make_no_stream_late_and_save_most_of_them() {
    let (mut late_without, mut cut_by_turns, mut total) = (0, 0, 0);
    for seed in 0..200_u64 {
        arbtest::arbtest(|u| {
            let notice = Duration::from_millis(u.int_in_range(1_500..=2_100)?);
            let mut runs = Vec::new();
            for i in 0..u.int_in_range(1..=9_u8)? {
                let tokens = f64::from(u.int_in_range(1_500..=6_000_u16)?);
                runs.push(Run { id: format!("g{i}"), tokens });
            }
            let (alone, turns) = (each_for_itself(&runs, notice), by_turns(&runs, notice));
            assert_eq!(turns.late, 0, "{runs:?}");
            late_without += alone.late;
            cut_by_turns += turns.cut;
            total += runs.len();
            Ok(())
        })
        .seed(seed << 32 | 500)
        .run();
    }
    assert!(late_without > total / 4, "{late_without} of {total} pause too long without turns");
    // Without any move all of them are cut.
    assert!(cut_by_turns < total / 4, "{cut_by_turns} of {total} are cut by turns");
}
