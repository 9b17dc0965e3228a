//! Tests for assembling the timeline of a request from the logs of several boxes.

use hatchpitch::explain::{LogFile, explain};
use serde_json::json;

/// Renders a line as the daemons write it.
fn line(time_ms: u64, box_name: &str, message: &str, fields: serde_json::Value) -> String {
    let mut line = json!({
        "time_ms": time_ms, "level": "INFO", "box": box_name, "target": "t", "message": message,
    });
    for (key, value) in fields.as_object().unwrap() {
        line[key] = value.clone();
    }
    line.to_string() + "\n"
}

/// Returns box and message of each line of the timeline, and how the request ended.
fn timeline(files: &[String], request: &str) -> (Vec<String>, String) {
    let files: Vec<LogFile> = files.iter().map(|text| LogFile::parse(text)).collect();
    let timeline = explain(request, &files);
    let lines = timeline.lines.iter();
    let messages = lines.map(|line| format!("{} {}", line.box_name, line.message)).collect();
    (messages, timeline.end)
}

#[test]
fn a_broken_stream_includes_the_lines_about_its_upstream() {
    let entry = [
        line(1_000, "e1", "answered", json!({"request": "r", "outcome": "done"})),
        line(1_100, "e1", "answered", json!({"request": "another", "outcome": "done"})),
        line(
            4_000,
            "e1",
            "stream ended",
            json!({"request": "r", "upstream": "i-7", "outcome": "broken", "cause": "closed"}),
        ),
    ]
    .concat();
    let control = [
        line(500, "c1", "upstream i-7 of s at 1.2.3.4:5: Serving, sequence 1", json!({})),
        line(3_900, "c1", "upstream i-70: its lease ran out", json!({})),
        line(5_000, "c1", "upstream i-7: its lease ran out", json!({})),
        line(90_000, "c1", "upstream i-7: its life ended", json!({})),
    ]
    .concat();
    let (messages, end) = timeline(&[entry, control], "r");
    assert_eq!(
        messages,
        [
            "c1 upstream i-7 of s at 1.2.3.4:5: Serving, sequence 1",
            "e1 answered",
            "e1 stream ended",
            "c1 upstream i-7: its lease ran out",
        ]
    );
    assert_eq!(end, "stream ended at box e1, broken: closed");
}

#[test]
fn a_box_restart_before_the_answer_is_reported() {
    let entry = [
        line(2_000, "e1", "move of a generation", json!({"request": "r", "upstream": "i-7"})),
        line(6_500, "e1", "entry box e1 serves callers at 1.1.1.1:1", json!({})),
    ]
    .concat();
    let (_, end) = timeline(&[entry], "r");
    assert_eq!(
        end,
        "box e1 ended before it answered; it started again 4500 ms after the last line"
    );
}

#[test]
fn lines_of_a_file_keep_their_order_when_the_clock_is_set_back() {
    let entry = [
        line(9_000, "e1", "an upstream did not answer the request", json!({"request": "r"})),
        line(2_000, "e1", "answered", json!({"request": "r", "outcome": "unknown"})),
    ]
    .concat();
    let (messages, end) = timeline(&[entry], "r");
    assert_eq!(messages, ["e1 an upstream did not answer the request", "e1 answered"]);
    assert_eq!(end, "answered at box e1, unknown");
}

#[test]
fn unparsable_lines_are_counted_and_an_unknown_request_is_reported() {
    let files = [LogFile::parse("not JSON\n{\"message\": \"no time\"}\n")];
    let timeline = explain("r", &files);
    assert_eq!((timeline.lines.len(), timeline.unreadable), (0, 2));
    assert_eq!(timeline.end, "no line of the logs names it");
    assert!(timeline.text().ends_with("2 lines of the files could not be read"));
}

/// Guards against a pause whose engine a reader has to search for, and against one that is named
/// where the logs do not show it.
#[test]
fn the_longest_gap_of_a_stream_names_its_engine() {
    let ended = |fields: serde_json::Value| {
        let text = line(4_000, "e1", "stream ended", fields);
        explain("r", &[LogFile::parse(&text)])
    };
    let moved = ended(json!({
        "request": "r", "upstream": "i-8@2", "outcome": "whole", "longest_gap_ms": 190,
        "longest_gap_upstream": "i-7@1", "longest_gap_moved": true,
    }));
    let text = moved.text();
    assert!(text.contains("longest gap: 190 ms at i-7@1, across a move from it\nend: "), "{text}");
    let stayed = ended(json!({
        "request": "r", "upstream": "i-8@2", "outcome": "whole", "longest_gap_ms": 70,
        "longest_gap_upstream": "i-8@2", "longest_gap_moved": false,
    }));
    assert!(stayed.text().contains("longest gap: 70 ms at i-8@2\nend: "), "{}", stayed.text());
    // The line of a box of an earlier version.
    let old = ended(json!({"request": "r", "outcome": "whole", "longest_gap_ms": 70}));
    assert_eq!(old.longest_gap, None);
}
