//! How callers judge answers, for each way in which an answer may end.

use hatchpitch_net::Framing::{Delimited, UntilClose};
use hatchpitch_soak::answers::{
    EVENTS, Ending, answer_text, event_text, judge_plain, judge_stream, large_event_text,
};
use hatchpitch_soak::record::Outcome;

fn events(count: u64) -> String {
    (1..=count).map(|n| event_text("r1", 7, n)).collect()
}

fn is_wrong(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Wrong(_))
}

fn is_partial(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Partial(_))
}

#[test]
fn whole_answers_are_answered_in_both_framings() {
    for framing in [Delimited, UntilClose] {
        let text = answer_text("r1", "u0-1");
        assert_eq!(judge_plain("r1", &text, framing), Outcome::Answered);
        let ending = Ending::InOrder(framing);
        assert_eq!(judge_stream("r1", &events(EVENTS), ending), Outcome::Answered);
    }
}

#[test]
fn a_truncated_plain_answer_is_wrong_if_it_is_framed_as_complete() {
    let whole = answer_text("r1", "u0-1");
    for length in 0..whole.len() {
        let text = &whole[..length];
        assert!(is_wrong(&judge_plain("r1", text, Delimited)), "{text:?}");
        assert!(is_partial(&judge_plain("r1", text, UntilClose)), "{text:?}");
    }
    for text in [answer_text("r2", "u0-1"), format!("{whole} And more."), "r2 was".to_owned()] {
        assert!(is_wrong(&judge_plain("r1", &text, UntilClose)), "{text:?}");
    }
}

#[test]
fn a_truncated_stream_is_wrong_if_it_is_framed_as_complete() {
    for count in [0, 1, EVENTS - 1] {
        let text = events(count);
        assert!(is_wrong(&judge_stream("r1", &text, Ending::InOrder(Delimited))), "{count}");
        assert!(is_partial(&judge_stream("r1", &text, Ending::InOrder(UntilClose))), "{count}");
        let cause = "reset".to_owned();
        let broken = Outcome::Broken(cause.clone());
        assert_eq!(judge_stream("r1", &text, Ending::Broken(cause)), broken);
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_wrong_in_both_framings() {
    let text = events(EVENTS);
    let event = event_text("r1", 7, EVENTS);
    for left_out in [1, event.len() / 2, event.len() - 1] {
        for framing in [Delimited, UntilClose] {
            let part = &text[..text.len() - left_out];
            let outcome = judge_stream("r1", part, Ending::InOrder(framing));
            assert!(is_wrong(&outcome), "{left_out} {framing:?}: {outcome:?}");
        }
    }
}

#[test]
fn foreign_and_additional_events_are_wrong_in_both_framings() {
    for text in [
        events(EVENTS + 1),
        event_text("r2", 7, 1),
        event_text("r1", 7, 2),
        event_text("r1", 7, 1) + &event_text("r1", 8, 2),
    ] {
        for framing in [Delimited, UntilClose] {
            let outcome = judge_stream("r1", &text, Ending::InOrder(framing));
            assert!(is_wrong(&outcome), "{text:?} {framing:?}: {outcome:?}");
        }
    }
}

/// Guards against large events that an upstream can't build, or that lack a part of their comment
/// and still pass for whole.
#[test]
fn a_large_event_that_lacks_a_part_is_wrong() {
    let rest: String = (2..=EVENTS).map(|n| event_text("r1", 7, n)).collect();
    let first = large_event_text("r1", 7, 1);
    let judge =
        |first: &str| judge_stream("r1", &format!("{first}{rest}"), Ending::InOrder(Delimited));
    assert_eq!(judge(&first), Outcome::Answered);
    assert!(is_wrong(&judge(&first.replacen('x', "", 1))));
}
