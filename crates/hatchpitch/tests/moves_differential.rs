//! Compares moves that take turns with uncoordinated moves, on a model of one runner's link.
//!
//! The link of a runner that is shutting down copies one generation at a time, in the order of the
//! requests. A stream pauses from the time it is stopped until its final copy is made. A generation
//! whose final copy is not made when the runner exits is cut off.

use std::time::{Duration, Instant};

use hatchpitch::moves::Turns;

/// Tokens that the link copies per second.
const RATE: f64 = 18_000.0;
/// Tokens of a final copy: what a run produces during its first copy, and a few more.
const FINAL_COPY: f64 = 40.0;
/// Longest pause of a stream that does not count as late.
const ALLOWED_PAUSE: Duration = Duration::from_millis(180);

/// A generation on the runner.
#[derive(Debug, Clone)]
struct Run {
    id: String,
    /// Tokens in memory.
    tokens: f64,
}

#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    /// Generations that were cut off.
    cut: usize,
    /// Streams that were moved but paused for longer than [`ALLOWED_PAUSE`].
    late: usize,
}

fn copy_time(tokens: f64) -> Duration {
    Duration::from_secs_f64(tokens / RATE)
}

/// Models moves that all start when the runner gives notice: the first copies queue in the order of
/// the runs, and the final copies queue behind them.
fn uncoordinated(runs: &[Run], notice: Duration) -> Outcome {
    let mut outcome = Outcome { cut: 0, late: 0 };
    let mut link_free_at = Duration::ZERO;
    let first_done: Vec<Duration> = runs
        .iter()
        .map(|run| {
            link_free_at += copy_time(run.tokens);
            link_free_at
        })
        .collect();
    // Each final copy is requested when its first copy ends, and queues behind all first copies.
    for stopped in first_done {
        link_free_at += copy_time(FINAL_COPY);
        outcome.cut += usize::from(link_free_at > notice);
        outcome.late +=
            usize::from(link_free_at <= notice && link_free_at - stopped > ALLOWED_PAUSE);
    }
    outcome
}

/// Models moves one after another, in the order in which [`Turns`] grants the turn.
fn by_turns(runs: &[Run], notice: Duration) -> Outcome {
    let (start, mut turns) = (Instant::now(), Turns::default());
    let mut outcome = Outcome { cut: 0, late: 0 };
    let mut now = Duration::ZERO;
    let mut waiting: Vec<Run> = runs.to_vec();
    while !waiting.is_empty() {
        let request = |run: &Run| turns.request("r", &run.id, run.tokens as u64, start + now);
        let granted: Vec<bool> = waiting.iter().map(request).collect();
        let at = granted.iter().position(|granted| *granted).expect("one move has the turn");
        let run = waiting.remove(at);
        let stopped = now + copy_time(run.tokens);
        now = stopped + copy_time(FINAL_COPY);
        outcome.cut += usize::from(now > notice);
        outcome.late += usize::from(now <= notice && now - stopped > ALLOWED_PAUSE);
        turns.release("r", &run.id, start + now);
    }
    outcome
}

#[test]
fn turns_make_no_stream_late_and_save_most_generations() {
    let (mut late_without, mut cut_by_turns, mut total) = (0, 0, 0);
    for seed in 0..200_u64 {
        arbtest::arbtest(|u| {
            let notice = Duration::from_millis(u.int_in_range(1_500..=2_100)?);
            let mut runs = Vec::new();
            for i in 0..u.int_in_range(1..=9_u8)? {
                let tokens = f64::from(u.int_in_range(1_500..=6_000_u16)?);
                runs.push(Run { id: format!("g{i}"), tokens });
            }
            let (uncoordinated, turns) = (uncoordinated(&runs, notice), by_turns(&runs, notice));
            assert_eq!(turns.late, 0, "{runs:?}");
            late_without += uncoordinated.late;
            cut_by_turns += turns.cut;
            total += runs.len();
            Ok(())
        })
        .seed(seed << 32 | 500)
        .run();
    }
    assert!(late_without > total / 4, "{late_without} of {total} pause too long without turns");
    // Without moves, all generations would be cut off.
    assert!(cut_by_turns < total / 4, "{cut_by_turns} of {total} are cut by turns");
}
