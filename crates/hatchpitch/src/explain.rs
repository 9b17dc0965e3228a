//! Assembles the story of one request from the log files of all boxes, without I/O.
//!
//! The lines of one file keep their order, whatever their clock says; between
//! files the clocks decide, and each line names its box. Beside the lines of the
//! request stand those that its upstreams' lives left at other boxes, and starts
//! and stops of the boxes that had the request.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use serde::Serialize;
use serde_json::{Map, Value};

/// Time around the request in which lines of boxes and upstreams are looked at, in milliseconds:
/// a lease and some heartbeats.
const AROUND_MS: u64 = 10_000;
/// Beginnings of messages that say that a box starts, stops or lost touch.
const BOX_MESSAGES: [&str; 6] = [
    "entry box ",
    "control box ",
    "takes no new work",
    "every request has its answer",
    "cut short with",
    "log lines left out",
];
/// Fields that every line has, or that are shown elsewhere.
const COMMON_FIELDS: [&str; 6] = ["time_ms", "level", "box", "target", "message", "request"];

/// A line of a log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Clock of its box, in milliseconds since 1970.
    pub time_ms: u64,
    /// The box.
    #[serde(rename = "box")]
    pub box_name: String,
    /// What happened.
    pub message: String,
    /// Everything else that the line says.
    pub fields: Map<String, Value>,
    #[serde(skip)]
    request: String,
}

/// What is known of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Story {
    /// The request.
    pub request: String,
    /// Its lines and those around it, in order.
    pub lines: Vec<Line>,
    /// How it ended, as far as the logs tell.
    pub end: String,
    /// Lines of the files that could not be read.
    pub unreadable: usize,
}

/// One log file, by lines.
#[derive(Debug, Default)]
pub struct LogFile {
    lines: Vec<Line>,
    unreadable: usize,
}

impl LogFile {
    /// Reads the text of a file; lines that are no JSON are counted.
    pub fn parse(text: &str) -> Self {
        let mut file = Self::default();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match parse_line(line) {
                Some(line) => file.lines.push(line),
                None => file.unreadable += 1,
            }
        }
        // A clock that was set back must not move a line before the one it follows.
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

/// Returns the text of a field; an empty one if there is none.
fn text<'a>(fields: &'a Map<String, Value>, key: &str) -> &'a str {
    fields.get(key).and_then(Value::as_str).unwrap_or_default()
}

impl Line {
    fn text(&self, key: &str) -> &str {
        text(&self.fields, key)
    }

    fn is_about(&self, upstream: &str) -> bool {
        self.request.is_empty()
            && (self.text("upstream") == upstream
                || self.message.split([' ', ':']).any(|word| word == upstream))
    }

    fn is_about_its_box(&self) -> bool {
        self.request.is_empty() && BOX_MESSAGES.iter().any(|begin| self.message.starts_with(begin))
    }
}

/// What belongs to the story of a request.
struct Scope<'a> {
    request: &'a str,
    /// Upstreams that its lines name.
    upstreams: BTreeSet<&'a str>,
    /// Boxes that wrote its lines.
    boxes: BTreeSet<&'a str>,
    /// Times in which lines of these upstreams and boxes belong to it, in milliseconds.
    times_ms: RangeInclusive<u64>,
}

impl<'a> Scope<'a> {
    /// Finds the scope of a request from its own lines.
    fn new(request: &'a str, own: &[&'a Line]) -> Self {
        let upstreams = own
            .iter()
            .flat_map(|line| [line.text("upstream"), line.text("to")])
            .filter(|upstream| !upstream.is_empty())
            .collect();
        let boxes = own.iter().map(|line| line.box_name.as_str()).collect();
        let times = own.iter().map(|line| line.time_ms);
        let from = times.clone().min().unwrap_or(0).saturating_sub(AROUND_MS);
        let to = times.max().unwrap_or(0).saturating_add(AROUND_MS);
        Self { request, upstreams, boxes, times_ms: from..=to }
    }

    fn holds(&self, line: &Line) -> bool {
        if line.request == self.request {
            return true;
        }
        if !self.times_ms.contains(&line.time_ms) {
            return false;
        }
        let about_box = self.boxes.contains(line.box_name.as_str()) && line.is_about_its_box();
        about_box || self.upstreams.iter().any(|upstream| line.is_about(upstream))
    }
}

/// Assembles the story of a request.
pub fn explain(request: &str, files: &[LogFile]) -> Story {
    let all = || files.iter().flat_map(|file| &file.lines);
    let own: Vec<&Line> = all().filter(|line| line.request == request).collect();
    let scope = Scope::new(request, &own);
    let mut lines: Vec<Line> = all().filter(|line| scope.holds(line)).cloned().collect();
    // Stable, and times never fall within a file: the order of each file stays.
    lines.sort_by_key(|line| line.time_ms);
    Story {
        request: request.to_owned(),
        end: end_of(&own, &lines),
        lines,
        unreadable: files.iter().map(|file| file.unreadable).sum(),
    }
}

/// Says how a request ended.
fn end_of(own: &[&Line], around: &[Line]) -> String {
    let Some(last) = own.last() else { return "no line of the logs names it".to_owned() };
    let final_messages = ["stream ended", "refused", "answered"];
    let ended = final_messages
        .iter()
        .find_map(|message| own.iter().rev().find(|line| line.message == *message));
    if let Some(line) = ended {
        let cause = line.text("cause");
        let cause = if cause.is_empty() { String::new() } else { format!(": {cause}") };
        let outcome = line.text("outcome");
        return format!("{} at box {}, {outcome}{cause}", line.message, line.box_name);
    }
    let started = around.iter().find(|line| {
        line.box_name == last.box_name
            && line.time_ms >= last.time_ms
            && line.message.starts_with("entry box ")
    });
    match started {
        Some(start) => format!(
            "box {} ended before it answered; it started again {} ms after the last line",
            last.box_name,
            start.time_ms - last.time_ms
        ),
        None => format!("box {} wrote no final line of it", last.box_name),
    }
}

impl Story {
    /// Renders the story for people: times count from the first line.
    pub fn text(&self) -> String {
        let first = self.lines.first().map_or(0, |line| line.time_ms);
        let mut text = vec![format!("request {}", self.request)];
        text.extend(self.lines.iter().map(|line| {
            let fields = line.fields.iter().filter(|(_, value)| **value != "");
            let fields: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
            let at = line.time_ms - first;
            // Marks the lines that name a request, which is this one.
            let mark = if line.request.is_empty() { ' ' } else { '*' };
            format!("{at:>8} ms {mark} {}  {}  {}", line.box_name, line.message, fields.join(" "))
        }));
        text.push(format!("end: {}", self.end));
        if self.unreadable > 0 {
            text.push(format!("{} lines of the files could not be read", self.unreadable));
        }
        text.join("\n")
    }
}
