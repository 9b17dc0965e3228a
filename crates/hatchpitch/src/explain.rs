//! Assembles the timeline of one request from the log files of all boxes, without I/O.
//!
//! Lines of one file keep their order regardless of their timestamps; lines of
//! different files are ordered by timestamp, and each line names its box. Besides
//! the lines of the request, the timeline includes lines of any box about the
//! upstreams of the request, and starts and stops of the boxes that handled it.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use serde::Serialize;
use serde_json::{Map, Value};

/// Margin before the first and after the last line of the request within which lines about boxes
/// and upstreams are included, in milliseconds. It covers a lease and several heartbeats.
const MARGIN_MS: u64 = 10_000;
/// Prefixes of messages that report that a box started, stopped, lost contact with another
/// box or dropped log lines.
const BOX_MESSAGE_PREFIXES: [&str; 6] = [
    "entry box ",
    "control box ",
    "takes no new work",
    "every request has its answer",
    "cut short with",
    "log lines left out",
];
/// Fields that have a column of their own or that every line has.
const COMMON_FIELDS: [&str; 6] = ["time_ms", "level", "box", "target", "message", "request"];

/// One log line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Wall clock of the box, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Name of the box that wrote the line.
    #[serde(rename = "box")]
    pub box_name: String,
    /// Log message.
    pub message: String,
    /// Remaining key-value fields of the line.
    pub fields: Map<String, Value>,
    #[serde(skip)]
    request: String,
}

/// Timeline of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Timeline {
    /// Id of the request.
    pub request: String,
    /// Lines of the request and related lines, in order.
    pub lines: Vec<Line>,
    /// How the request ended, as far as the logs show.
    pub end: String,
    /// Longest gap between two events of its stream, if the logs show it.
    pub longest_gap: Option<LongestGap>,
    /// Number of lines in all files that could not be parsed.
    pub unreadable: usize,
}

/// Longest gap between two events of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LongestGap {
    /// Its length in milliseconds.
    pub ms: u64,
    /// Engine that it is due to.
    pub upstream: String,
    /// Whether it fell across a move, which left this engine.
    pub moved: bool,
}

/// Parsed lines of one log file.
#[derive(Debug, Default)]
pub struct LogFile {
    lines: Vec<Line>,
    unreadable: usize,
}

impl LogFile {
    /// Parses the text of a file. Lines that are not valid log lines are only counted.
    pub fn parse(text: &str) -> Self {
        let mut file = Self::default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match parse_line(line) {
                Some(line) => file.lines.push(line),
                None => file.unreadable += 1,
            }
        }
        // A clock that was set back must not reorder the lines of a file.
        let mut latest = 0;
        for line in &mut file.lines {
            latest = latest.max(line.time_ms);
            line.time_ms = latest;
        }
        file
    }
}

fn parse_line(line: &str) -> Option<Line> {
    let mut fields: Map<String, Value> = serde_json::from_str(line).ok()?;
    let time_ms = fields.get("time_ms")?.as_u64()?;
    let box_name = text(&fields, "box").to_owned();
    let message = text(&fields, "message").to_owned();
    let request = text(&fields, "request").to_owned();
    fields.retain(|key, _| !COMMON_FIELDS.contains(&key.as_str()));
    Some(Line { time_ms, box_name, message, fields, request })
}

/// Returns a field as text, or an empty string if it is missing or not a string.
fn text<'a>(fields: &'a Map<String, Value>, key: &str) -> &'a str {
    fields.get(key).and_then(Value::as_str).unwrap_or_default()
}

impl Line {
    fn text(&self, key: &str) -> &str {
        text(&self.fields, key)
    }

    fn mentions_upstream(&self, upstream: &str) -> bool {
        self.request.is_empty()
            && (self.text("upstream") == upstream
                || self.message.split([' ', ':']).any(|word| word == upstream))
    }

    fn reports_box_state(&self) -> bool {
        self.request.is_empty()
            && BOX_MESSAGE_PREFIXES.iter().any(|prefix| self.message.starts_with(prefix))
    }
}

/// Selects the lines that belong to the timeline of a request.
struct Scope<'a> {
    request: &'a str,
    /// Upstreams named by lines of the request.
    upstreams: BTreeSet<&'a str>,
    /// Boxes that wrote lines of the request.
    boxes: BTreeSet<&'a str>,
    /// Period within which lines about these upstreams and boxes are included, in milliseconds.
    period_ms: RangeInclusive<u64>,
}

impl<'a> Scope<'a> {
    /// Derives the scope of a request from its own lines.
    fn new(request: &'a str, request_lines: &[&'a Line]) -> Self {
        let upstreams = request_lines
            .iter()
            .flat_map(|line| {
                [line.text("upstream"), line.text("to"), line.text("longest_gap_upstream")]
            })
            .filter(|upstream| !upstream.is_empty())
            .collect();
        let boxes = request_lines.iter().map(|line| line.box_name.as_str()).collect();
        let times = request_lines.iter().map(|line| line.time_ms);
        let from = times.clone().min().unwrap_or(0).saturating_sub(MARGIN_MS);
        let to = times.max().unwrap_or(0).saturating_add(MARGIN_MS);
        Self { request, upstreams, boxes, period_ms: from..=to }
    }

    fn includes(&self, line: &Line) -> bool {
        if line.request == self.request {
            return true;
        }
        if !self.period_ms.contains(&line.time_ms) {
            return false;
        }
        let about_box = self.boxes.contains(line.box_name.as_str()) && line.reports_box_state();
        about_box || self.upstreams.iter().any(|upstream| line.mentions_upstream(upstream))
    }
}

/// Assembles the timeline of a request.
pub fn explain(request: &str, files: &[LogFile]) -> Timeline {
    let all = || files.iter().flat_map(|file| &file.lines);
    let request_lines: Vec<&Line> = all().filter(|line| line.request == request).collect();
    let scope = Scope::new(request, &request_lines);
    let mut lines: Vec<Line> = all().filter(|line| scope.includes(line)).cloned().collect();
    // The sort is stable and timestamps never decrease within a file, so each file keeps its order.
    lines.sort_by_key(|line| line.time_ms);
    Timeline {
        request: request.to_owned(),
        end: describe_end(&request_lines, &lines),
        longest_gap: request_lines.iter().rev().find_map(|line| longest_gap(line)),
        lines,
        unreadable: files.iter().map(|file| file.unreadable).sum(),
    }
}

/// Returns the longest gap of a stream from the line about its end.
fn longest_gap(line: &Line) -> Option<LongestGap> {
    let ms = line.fields.get("longest_gap_ms")?.as_u64()?;
    let upstream = line.text("longest_gap_upstream");
    let moved = line.fields.get("longest_gap_moved").and_then(Value::as_bool).unwrap_or(false);
    // A box of an earlier version does not name the engine, and a stream of one event has no gap.
    let is_known = ms > 0 && !upstream.is_empty();
    is_known.then(|| LongestGap { ms, upstream: upstream.to_owned(), moved })
}

/// Describes how a request ended.
fn describe_end(request_lines: &[&Line], timeline: &[Line]) -> String {
    let Some(last) = request_lines.last() else { return "no line of the logs names it".to_owned() };
    let final_messages = ["stream ended", "refused", "answered"];
    let ended = final_messages
        .iter()
        .find_map(|message| request_lines.iter().rev().find(|line| line.message == *message));
    if let Some(line) = ended {
        let cause = line.text("cause");
        let cause = if cause.is_empty() { String::new() } else { format!(": {cause}") };
        let outcome = line.text("outcome");
        return format!("{} at box {}, {outcome}{cause}", line.message, line.box_name);
    }
    let restart = timeline.iter().find(|line| {
        line.box_name == last.box_name
            && line.time_ms >= last.time_ms
            && line.message.starts_with("entry box ")
    });
    match restart {
        Some(restart) => format!(
            "box {} ended before it answered; it started again {} ms after the last line",
            last.box_name,
            restart.time_ms - last.time_ms
        ),
        None => format!("box {} wrote no final line of it", last.box_name),
    }
}

impl Timeline {
    /// Renders the timeline as text, with times relative to the first line.
    pub fn text(&self) -> String {
        let first = self.lines.first().map_or(0, |line| line.time_ms);
        let mut text = vec![format!("request {}", self.request)];
        text.extend(self.lines.iter().map(|line| {
            let fields = line.fields.iter().filter(|(_, value)| **value != "");
            let fields: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
            let at = line.time_ms - first;
            // Lines with a request id are those of this request; they are marked.
            let mark = if line.request.is_empty() { ' ' } else { '*' };
            format!("{at:>8} ms {mark} {}  {}  {}", line.box_name, line.message, fields.join(" "))
        }));
        if let Some(LongestGap { ms, upstream, moved }) = &self.longest_gap {
            let moved = if *moved { ", across a move from it" } else { "" };
            text.push(format!("longest gap: {ms} ms at {upstream}{moved}"));
        }
        text.push(format!("end: {}", self.end));
        if self.unreadable > 0 {
            text.push(format!("{} lines of the files could not be read", self.unreadable));
        }
        text.join("\n")
    }
}
