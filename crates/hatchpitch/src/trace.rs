//! Distributed tracing: one span per hop, propagated as W3C `traceparent`.
//!
//! Finished spans are logged as JSON lines and kept in a bounded ring buffer
//! that `hatchpitch trace` reads from every box. The available tracing
//! libraries export spans from a thread of their own, which the single-threaded
//! design of the daemons rules out.

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

/// Header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Capacity of the ring buffer of finished spans, per box.
const MAX_FINISHED_SPANS: usize = 4_096;

/// A finished span.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SpanRecord {
    /// Trace id, 32 hexadecimal digits.
    pub trace: String,
    /// Span id, 16 hexadecimal digits.
    pub span: String,
    /// Id of the parent span; empty for a root span.
    pub parent: String,
    /// Name of the operation.
    pub name: String,
    /// Box that recorded the span.
    pub at: BoxName,
    /// Start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Duration, in microseconds.
    pub micros: u64,
    /// Attributes as key-value pairs; they never contain API keys or prompt text.
    pub notes: Vec<(String, String)>,
}

/// Records the spans of one box.
#[derive(Clone)]
pub struct Tracer {
    at: BoxName,
    finished: Rc<RefCell<VecDeque<SpanRecord>>>,
}

impl Tracer {
    /// Creates a tracer for a box.
    pub fn new(at: BoxName) -> Self {
        Self { at, finished: Rc::default() }
    }

    /// Starts a span that continues the trace of the request headers, or a new trace if they carry
    /// none.
    pub fn start(&self, name: &str, headers: &HeaderMap) -> Span {
        let parent = headers.get(TRACEPARENT).and_then(|v| v.to_str().ok()).and_then(parse);
        let (trace, parent) = parent.unwrap_or_else(|| (random_hex(16), String::new()));
        self.span(name, trace, parent)
    }

    /// Returns the spans of a trace that are still in the ring buffer.
    pub fn find(&self, trace: &str) -> Vec<SpanRecord> {
        self.finished.borrow().iter().filter(|s| s.trace == trace).cloned().collect()
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

    fn record(&self, record: SpanRecord) {
        if let Ok(line) = serde_json::to_string(&record) {
            log::debug!(target: "span", "{line}");
        }
        let mut finished = self.finished.borrow_mut();
        if finished.len() == MAX_FINISHED_SPANS {
            finished.pop_front();
        }
        finished.push_back(record);
    }
}

/// A span in progress; it is finished and recorded when dropped.
pub struct Span {
    tracer: Tracer,
    record: SpanRecord,
    started: Instant,
}

impl Span {
    /// Starts a child span.
    pub fn child(&self, name: &str) -> Self {
        self.tracer.span(name, self.record.trace.clone(), self.record.span.clone())
    }

    /// Adds an attribute.
    pub fn note(&mut self, key: &str, value: impl std::fmt::Display) {
        self.record.notes.push((key.to_owned(), value.to_string()));
    }

    /// Returns the `traceparent` header value for the next hop.
    pub fn traceparent(&self) -> String {
        format!("00-{}-{}-01", self.record.trace, self.record.span)
    }

    /// Returns the trace id.
    pub fn trace(&self) -> &str {
        &self.record.trace
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let mut record = self.record.clone();
        record.micros = u64::try_from(clock::since(self.started).as_micros()).unwrap_or(u64::MAX);
        self.tracer.record(record);
    }
}

/// Parses a `traceparent` header of version 00 into trace id and span id.
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
