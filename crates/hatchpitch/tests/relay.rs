//! Tests of the event splitter and of the retry budgets that all boxes share.

use hatchpitch::relay::events::EventSplitter;
use hatchpitch::relay::{RetryBudgets, RetryLimits};

fn forward(splitter: &mut EventSplitter, chunk: &str) -> String {
    let passed = splitter.push(chunk.as_bytes());
    passed.map_or_else(String::new, |bytes| String::from_utf8(bytes.to_vec()).unwrap())
}

#[test]
fn only_complete_events_are_returned() {
    let mut splitter = EventSplitter::default();
    assert_eq!(forward(&mut splitter, "id: 1\ndata: a"), "");
    assert_eq!(forward(&mut splitter, "b\n"), "");
    assert_eq!(forward(&mut splitter, "\nid: 2\n"), "id: 1\ndata: ab\n\n");
    assert_eq!(forward(&mut splitter, "data: c\n\nid: 3\n\nid"), "id: 2\ndata: c\n\nid: 3\n\n");
    assert_eq!((splitter.events(), splitter.last_id()), (3, Some("3")));
    assert_eq!(splitter.take_remainder().as_deref(), Some(b"id".as_slice()));
    assert!(!splitter.out_of_order());
}

#[test]
fn events_end_with_empty_lines_in_lf_or_crlf() {
    let mut splitter = EventSplitter::default();
    assert_eq!(forward(&mut splitter, "id: 1\r\ndata: a\r\n\r"), "");
    assert_eq!(forward(&mut splitter, "\nrest"), "id: 1\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.last_id(), Some("1"));
}

#[test]
fn events_that_end_with_bare_carriage_returns_are_held_to_the_end() {
    let mut splitter = EventSplitter::default();
    let text = "id: 1\rdata: a\r\rid: 2\rdata: b\r\r";
    assert_eq!(forward(&mut splitter, &text[..20]), text[..15]);
    assert_eq!(forward(&mut splitter, &text[20..]), text[15..]);
    assert_eq!((splitter.events(), splitter.last_id()), (2, Some("2")));
    assert_eq!(splitter.take_remainder(), None);
}

#[test]
fn an_event_that_is_repeated_after_a_move_is_detected() {
    let mut splitter = EventSplitter::default();
    forward(&mut splitter, "id: 7\n\nid: 8\ndata: par");
    splitter.discard_incomplete();
    forward(&mut splitter, "id: 8\ndata: part\n\n");
    assert!(!splitter.out_of_order());
    forward(&mut splitter, "id: 8\ndata: part\n\n");
    assert!(splitter.out_of_order());
}

#[test]
fn events_do_not_depend_on_how_the_bytes_are_split() {
    let text = "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\nid: 3\ndata: z\n\n";
    for seed in 0..100_u64 {
        arbtest::arbtest(|u| {
            let mut splitter = EventSplitter::default();
            let (mut passed, mut rest) = (String::new(), text);
            while !rest.is_empty() {
                let cut = u.int_in_range(1..=rest.len())?;
                passed += &forward(&mut splitter, &rest[..cut]);
                rest = &rest[cut..];
            }
            assert_eq!((passed.as_str(), splitter.events()), (text, 3));
            Ok(())
        })
        .seed(seed << 32 | 200)
        .run();
    }
}

/// Returns how many retries one box is allowed if each of `requests` requests asks for one.
fn allowed_retries(budgets: &mut RetryBudgets, requests: usize) -> usize {
    let ask = |_: &usize| {
        budgets.credit("s");
        budgets.try_withdraw("s")
    };
    (0..requests).filter(ask).count()
}

#[test]
fn all_boxes_together_stay_within_the_budget() {
    let limits = RetryLimits { ratio: 0.2, slack: 64.0 };
    for boxes in [4_usize, 9, 12, 90] {
        let requests = 40;
        let each = || {
            let mut budgets = RetryBudgets::new(limits);
            budgets.set_boxes(boxes);
            allowed_retries(&mut budgets, requests)
        };
        let spent: usize = (0..boxes).map(|_| each()).sum();
        let bound = 0.2 * (boxes * requests) as f64 + 64.0;
        assert!(spent as f64 <= bound, "{boxes} boxes spent {spent}, allowed are {bound}");
    }
}

#[test]
fn a_drop_in_visible_boxes_never_raises_a_share() {
    let limits = RetryLimits { ratio: 0.0, slack: 64.0 };
    let mut budgets = RetryBudgets::new(limits);
    budgets.set_boxes(16);
    budgets.set_boxes(1);
    assert_eq!(allowed_retries(&mut budgets, 100), 2);
}

#[test]
fn forced_withdrawals_leave_less_for_other_requests() {
    let limits = RetryLimits { ratio: 0.0, slack: 64.0 };
    let mut budgets = RetryBudgets::new(limits);
    budgets.set_boxes(8);
    budgets.force_withdraw("s");
    budgets.force_withdraw("s");
    assert_eq!(allowed_retries(&mut budgets, 100), 2);
}

/// An event without end must not take as much memory as it has bytes.
#[test]
fn an_event_without_end_is_buffered_up_to_the_limit() {
    let mut splitter = EventSplitter::new(10_000);
    let (mut sent, mut passed, mut largest) = (0, 0, 0);
    forward(&mut splitter, "id: 1\ndata: ");
    for _ in 0..1_000 {
        passed += forward(&mut splitter, &"x".repeat(997)).len();
        sent += 997;
        largest = largest.max(splitter.buffered());
    }
    assert!(largest <= 11_000, "{largest} bytes are buffered");
    assert!(passed + 11_000 > sent, "{passed} of {sent} bytes were passed on");
    assert!(splitter.is_inside_event() && splitter.is_in_pieces());
    assert_eq!((splitter.events(), splitter.last_id()), (0, Some("1")));
}

/// Bytes that are lost, repeated or reordered between the pieces of an event damage it.
#[test]
fn a_large_event_in_pieces_has_the_bytes_events_and_ids_of_the_stream() {
    arbtest::arbtest(|u| {
        let mut text = String::new();
        for id in 1..=u.int_in_range(1..=6)? {
            let end = *u.choose(&["\n", "\r\n"])?;
            text += &format!("id: {id}{end}");
            for _ in 0..u.int_in_range(0..=4)? {
                let word = *u.choose(&["id: 99", "x", ": id: 98 ", "data"])?;
                text += &format!("data: {}{end}", word.repeat(u.int_in_range(0..=900)?));
            }
            text += end;
        }
        let mut splitter = EventSplitter::new(u.int_in_range(1..=2_500)?);
        let (mut rest, mut passed) = (text.as_str(), String::new());
        while !rest.is_empty() {
            let cut = u.int_in_range(1..=rest.len().min(700))?;
            passed += &forward(&mut splitter, &rest[..cut]);
            if u.ratio(1, 5)? {
                let piece = splitter.take_piece();
                passed += std::str::from_utf8(piece.as_deref().unwrap_or_default()).unwrap();
            }
            rest = &rest[cut..];
        }
        let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(passed, text);
        assert_eq!(splitter.events(), ids.len() as u64);
        assert_eq!(splitter.last_id(), ids.last().copied());
        assert!(!splitter.out_of_order());
        assert!(!splitter.is_in_pieces());
        Ok(())
    });
}
