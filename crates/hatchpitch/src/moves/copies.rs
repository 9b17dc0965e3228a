//! The decision whether a run is copied once more before it is stopped, without I/O.

use std::time::Duration;

/// Duration of a copy above which the run is copied again before its final copy. A final copy as
/// long as this one, with the stop and the resumption, comes close to the shortest pause that a
/// route allows (180 ms).
const LONG_COPY: Duration = Duration::from_millis(100);
/// Largest number of copies of a running generation after the first one.
const MAX_REPEATED_COPIES: usize = 2;
/// Time from the notice of a runner within which a repeated copy and the final one must end. The
/// shortest notice is 1,500 ms; the rest is for the announcement to reach this box and for the
/// resumption.
const COPY_WINDOW: Duration = Duration::from_millis(1_200);

/// Returns whether a run is copied once more before the final copy, given the durations of its
/// copies so far and the time since this box learned that the runner is shutting down.
///
/// A repeated copy transfers only what is new, so it takes at most as long as the copy before it.
/// It delays the stop by its own duration, which also delays the moves that wait at the same
/// runner. It is made only if:
/// - the last copy was long enough to make a final copy of that duration a noticeable pause;
/// - a repeated copy and a final copy, each as long as the last copy, end before the runner may
///   shut down;
/// - the last repeated copy, if any, shortened the next one by more than it took. Otherwise the
///   duration is not due to the amount of data, and repeating the copy does not reduce it.
pub fn copies_again(copies: &[Duration], leaving_for: Duration) -> bool {
    let [before @ .., last] = copies else { return false };
    if *last <= LONG_COPY || before.len() >= MAX_REPEATED_COPIES {
        return false;
    }
    let saved = before.last().map(|previous| previous.saturating_sub(*last));
    leaving_for + *last * 2 <= COPY_WINDOW && saved.is_none_or(|saved| saved > *last)
}
