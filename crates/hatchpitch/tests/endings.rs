//! Tests of what shows that a response was cut short: nesting of JSON, boundaries of events, and the
//! services whose streams end with their connections.

use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hatchpitch::relay::events::EventSplitter;
use hatchpitch::relay::json::JsonNesting;
use hatchpitch::relay::recent::{RecentServices, VALIDITY};

/// Deepest nesting of a generated document.
const MAX_GENERATED_DEPTH: usize = 6;
/// Seeds of each random test.
const SEEDS: u64 = 300;

/// Runs a property with fixed seeds.
fn check(property: impl Fn(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in 0..SEEDS {
        arbtest::arbtest(&property).seed(seed << 32 | 400).run();
    }
}

/// Generates an object or array.
fn document(u: &mut Unstructured<'_>, depth: usize) -> arbitrary::Result<String> {
    let is_object = u.arbitrary()?;
    let mut members = Vec::new();
    for _ in 0..u.int_in_range(0..=3)? {
        let value = value(u, depth + 1)?;
        members.push(if is_object { format!("{}:{value}", string(u)?) } else { value });
    }
    let space = *u.choose(&["", " ", "\n", "\r\n\t"])?;
    let members = members.join(&format!(",{space}"));
    Ok(match is_object {
        true => format!("{{{space}{members}}}"),
        false => format!("[{members}{space}]"),
    })
}

fn value(u: &mut Unstructured<'_>, depth: usize) -> arbitrary::Result<String> {
    Ok(match u.int_in_range(0..=3)? {
        0 if depth < MAX_GENERATED_DEPTH => document(u, depth)?,
        1 => string(u)?,
        2 => u.arbitrary::<i32>()?.to_string(),
        _ => (*u.choose(&["true", "false", "null", "-1.5e-3"])?).to_owned(),
    })
}

/// Generates a string of characters that could be mistaken for structure.
fn string(u: &mut Unstructured<'_>) -> arbitrary::Result<String> {
    let parts = ["{", "}", "[", "]", ":", ",", "\\\"", "\\\\", "\\u005d", "\\n", "é", "a", " "];
    let mut text = String::new();
    for _ in 0..u.int_in_range(0..=4)? {
        text += u.choose(&parts)?;
    }
    Ok(format!("\"{text}\""))
}

/// Returns the nesting after a text that arrives in random pieces.
fn follow(u: &mut Unstructured<'_>, mut text: &[u8]) -> arbitrary::Result<JsonNesting> {
    let mut json = JsonNesting::default();
    while !text.is_empty() {
        let (piece, rest) = text.split_at(u.int_in_range(1..=text.len())?);
        json.push(piece);
        text = rest;
    }
    Ok(json)
}

#[test]
fn a_part_of_a_json_document_is_taken_for_the_whole() {
    check(|u| {
        let text = document(u, 0)?;
        assert!(serde_json::from_str::<serde_json::Value>(&text).is_ok(), "{text}");
        for len in 1..text.len() {
            let json = follow(u, &text.as_bytes()[..len])?;
            assert!(json.is_open(), "the first {len} bytes of {text}");
        }
        Ok(())
    });
}

#[test]
fn a_whole_json_document_is_taken_for_a_part() {
    check(|u| {
        let [before, after] = [(); 2].map(|()| *u.choose(&["", " ", "\r\n", "\t "]).unwrap_or(&""));
        let text = format!("{before}{}{after}", document(u, 0)?);
        assert!(!follow(u, text.as_bytes())?.is_open(), "{text}");
        Ok(())
    });
}

#[test]
fn text_that_is_no_json_is_taken_for_a_part_of_a_document() {
    let texts = [
        "",
        " \n",
        "plain text with { and [",
        "\"a string {",
        "12 [1",
        "null {",
        "{\"a\":1} {\"b\":",
        "[1]\n[2",
        "{\"a\":1]",
        "[}",
        "[1}{",
        "{\"a\":\"raw\nline",
        "{} trailing {",
    ];
    check(|u| {
        for text in texts {
            assert!(!follow(u, text.as_bytes())?.is_open(), "{text}");
        }
        Ok(())
    });
}

#[test]
fn a_document_that_is_nested_too_deeply_is_taken_for_a_part() {
    // Its nesting is not followed, so that nothing shows how it ends.
    let text = "[".repeat(4_096);
    let mut json = JsonNesting::default();
    json.push(text.as_bytes());
    assert!(!json.is_open());
    json.push(text.replace('[', "]").as_bytes());
    assert!(!json.is_open());
    let mut nested = JsonNesting::default();
    nested.push(&text.as_bytes()[..100]);
    assert!(nested.is_open());
}

/// Returns whether a stream that ends after these pieces ends inside an event.
fn ends_inside_event(pieces: &[&str]) -> bool {
    let mut splitter = EventSplitter::default();
    for piece in pieces {
        splitter.push(piece.as_bytes());
    }
    splitter.is_inside_event()
}

#[test]
fn a_stream_that_ends_inside_an_event_is_taken_for_whole() {
    for pieces in [
        &["id: 1\n\ni"][..],
        &["id: 1\n\nid: 2\n"],
        &["id: 1\r\n\r\nid: 2\r\n"],
        &["id: 1\n\n", "data: a", "\n"],
        &["id: 1\n\n: comment\ndata: a"],
        &["id: 1\n\n\ndata: a\n"],
        &["d"],
    ] {
        assert!(ends_inside_event(pieces), "{pieces:?}");
    }
}

#[test]
fn blank_lines_and_comments_at_the_end_are_taken_for_an_event() {
    for pieces in [
        &[][..],
        &["id: 1\n\n"],
        &["id: 1\r\n\r\n"],
        &["id: 1\r\n\r", "\n"],
        &["id: 1\n\n\n"],
        &["id: 1\r\n\r\n\r\n"],
        &["id: 1\n\n: bye"],
        &["id: 1\n\n: bye\n"],
        &["id: 1\r\n\r\n:\r\n"],
        &[":", " keep-alive\n"],
    ] {
        assert!(!ends_inside_event(pieces), "{pieces:?}");
    }
}

#[test]
fn a_stream_is_inside_an_event_exactly_between_its_first_byte_and_its_empty_line() {
    check(|u| {
        let line_end = *u.choose(&["\n", "\r\n"])?;
        let mut splitter = EventSplitter::default();
        for id in 1..=u.int_in_range(1..=4)? {
            for line in [format!("id: {id}"), "data: a".to_owned()] {
                for byte in format!("{line}{line_end}").bytes() {
                    splitter.push(&[byte]);
                    assert!(splitter.is_inside_event());
                }
            }
            // A carriage return alone doesn't complete the empty line.
            let (last, before) = line_end.as_bytes().split_last().unwrap();
            for byte in before {
                splitter.push(&[*byte]);
                assert!(splitter.is_inside_event());
            }
            splitter.push(&[*last]);
            assert!(!splitter.is_inside_event());
            for _ in 0..u.int_in_range(0..=2)? {
                splitter.push(format!(": comment{line_end}{line_end}").as_bytes());
                assert!(!splitter.is_inside_event());
            }
        }
        Ok(())
    });
}

#[test]
fn a_service_keeps_its_property_until_the_validity_has_passed() {
    let start = Instant::now();
    let mut services = RecentServices::default();
    assert!(!services.contains("s", start));
    services.record("s", start);
    let almost = start + VALIDITY - Duration::from_millis(1);
    assert!(services.contains("s", start) && services.contains("s", almost));
    assert!(!services.contains("t", start));
    assert!(!services.contains("s", start + VALIDITY));
    services.record("s", almost);
    assert!(services.contains("s", start + VALIDITY));
    // Recording another service drops one whose last sign is too old, and keeps the others.
    services.record("t", almost + VALIDITY);
    assert!(services.contains("t", almost + VALIDITY));
    assert!(!services.contains("s", almost));
    services.record("u", almost + VALIDITY);
    assert!(services.contains("t", almost + VALIDITY));
}
