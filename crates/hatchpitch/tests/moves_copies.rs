//! The decision whether a run is copied once more before its final copy.

use std::time::Duration;

use hatchpitch::moves::copies::copies_again;

/// Shortest notice that a runner gives before it shuts down.
const SHORTEST_NOTICE: Duration = Duration::from_millis(1_500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against final copies that are as long as the first one, which pause the stream for longer
/// than its route allows.
#[test]
fn a_run_whose_first_copy_was_long_is_copied_again() {
    assert!(copies_again(&[ms(200)], ms(0)));
    assert!(copies_again(&[ms(101)], ms(500)));
    assert!(copies_again(&[ms(400), ms(150)], ms(600)), "the repeated copy saved 250 ms");
}

/// Guards against copies that occupy the link of the source and delay the next move for nothing.
#[test]
fn a_run_is_not_copied_again_for_nothing() {
    assert!(!copies_again(&[], ms(0)), "the first copy is not a repeated one");
    assert!(!copies_again(&[ms(100)], ms(0)), "the final copy is short already");
    assert!(!copies_again(&[ms(200), ms(20)], ms(300)), "the final copy is short by now");
    assert!(
        !copies_again(&[ms(200), ms(190)], ms(400)),
        "a repeated copy that takes as long as the first is not limited by the amount of data"
    );
    assert!(
        !copies_again(&[ms(210), ms(105)], ms(0)),
        "the last copy took as long as it shortened the next one"
    );
    assert!(!copies_again(&[ms(450), ms(220), ms(101)], ms(0)), "at most two repeated copies");
}

/// Guards against a runner that shuts down before the final copy because its run was copied again:
/// the generation is lost, where a longer pause would have saved it.
#[test]
fn a_repeated_copy_leaves_time_for_the_final_one_before_the_shortest_notice_ends() {
    assert!(!copies_again(&[ms(200)], ms(1_000)));
    assert!(!copies_again(&[ms(700)], ms(0)), "a busy link");
    for age in (0..3_000).step_by(10) {
        for first in (0..2_000).step_by(10) {
            for second in [None, Some(first / 3), Some(first)] {
                let copies: Vec<_> = [Some(first), second].into_iter().flatten().map(ms).collect();
                let last = *copies.last().unwrap();
                let end = ms(age) + last * 2;
                assert!(
                    !copies_again(&copies, ms(age)) || end + ms(300) <= SHORTEST_NOTICE,
                    "{copies:?} after {age} ms"
                );
            }
        }
    }
}
