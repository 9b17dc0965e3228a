//! Traces: a span for each hop, with W3C `traceparent` in and out.
//!
//! Finished spans go to the log as JSON lines and stay for a while in a ring
//! that `hatchpitch trace` reads from every box. The span libraries at hand
//! report from a thread of their own, which the one-thread rule excludes.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use hatchpitch_net::clock;
use http::HeaderMap;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::ids::BoxName;
use crate::logging::unix_ms;

/// Header that carries the trace.
pub const TRACEPARENT: &str = "traceparent";
/// Spans kept in memory a box.
const KEPT_SPANS: usize = 4_096;

/// A finished span.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SpanRecord {
    /// Trace, 32 hexadecimal digits.
    pub trace: String,
    /// Span, 16 hexadecimal digits.
    pub span: String,
    /// Parent span; empty at the root.
    pub parent: String,
    /// What was done.
    pub name: String,
    /// Where it was done.
    pub at: BoxName,
    /// Start, in milliseconds since 1970.
    pub start_ms: u64,
    /// Duration in microseconds.
    pub micros: u64,
    /// Facts about it; never keys or prompt text.
    pub notes: Vec<(String, String)>,
}

/// Records the spans of one box.
#[derive(Clone)]
pub struct Tracer {
    at: BoxName,
    kept: Rc<RefCell<VecDeque<SpanRecord>>>,
}

impl Tracer {
    /// Creates a tracer for a box.
    pub fn new(at: BoxName) -> Self {
        Self { at, kept: Rc::default() }
    }

    /// Starts a span under the caller's trace, or a new trace if there is none.
    pub fn start(&self, name: &str, headers: &HeaderMap) -> Span {
        let parent = headers.get(TRACEPARENT).and_then(|v| v.to_str().ok()).and_then(parse);
        let (trace, parent) = parent.unwrap_or_else(|| (random_hex(16), String::new()));
        self.span(name, trace, parent)
    }

    /// Returns the kept spans of a trace.
    pub fn find(&self, trace: &str) -> Vec<SpanRecord> {
        self.kept.borrow().iter().filter(|s| s.trace == trace).cloned().collect()
    }

    fn span(&self, name: &str, trace: String, parent: String) -> Span {
        let record = SpanRecord {
            trace,
            span: random_hex(8),
            parent,
            name: name.to_owned(),
            at: self.at.clone(),
            start_ms: unix_ms(),
            micros: 0,
            notes: Vec::new(),
        };
        Span { tracer: self.clone(), record, started: clock::now() }
    }

    fn keep(&self, record: SpanRecord) {
        if let Ok(line) = serde_json::to_string(&record) {
            log::debug!(target: "span", "{line}");
        }
        let mut kept = self.kept.borrow_mut();
        if kept.len() == KEPT_SPANS {
            kept.pop_front();
        }
        kept.push_back(record);
    }
}

/// A span in progress; it is recorded when dropped.
pub struct Span {
    tracer: Tracer,
    record: SpanRecord,
    started: Instant,
}

impl Span {
    /// Starts a span below this one.
    pub fn child(&self, name: &str) -> Self {
        self.tracer.span(name, self.record.trace.clone(), self.record.span.clone())
    }

    /// Notes a fact.
    pub fn note(&mut self, key: &str, value: impl std::fmt::Display) {
        self.record.notes.push((key.to_owned(), value.to_string()));
    }

    /// Returns the header value for the next hop.
    pub fn traceparent(&self) -> String {
        format!("00-{}-{}-01", self.record.trace, self.record.span)
    }

    /// Returns the id of the trace.
    pub fn trace(&self) -> &str {
        &self.record.trace
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let mut record = self.record.clone();
        record.micros = u64::try_from(clock::since(self.started).as_micros()).unwrap_or(u64::MAX);
        self.tracer.keep(record);
    }
}

/// Parses a `traceparent` of version 00 into trace and span.
fn parse(text: &str) -> Option<(String, String)> {
    let mut parts = text.split('-');
    let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    let hex = |s: &str, len: usize| {
        s.len() == len && s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
    };
    let valid = version == "00" && hex(trace, 32) && hex(span, 16);
    valid.then(|| (trace.to_owned(), span.to_owned()))
}

fn random_hex(bytes: usize) -> String {
    let mut rng = rand::rng();
    (0..bytes).map(|_| format!("{:02x}", rng.random::<u8>())).collect()
}
