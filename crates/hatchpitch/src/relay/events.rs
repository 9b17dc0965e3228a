//! Splits an event stream at event boundaries, so that no partial event is ever forwarded.

use bytes::{Bytes, BytesMut};

/// Buffers the incomplete event at the end of a stream, and tracks the events that were returned.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the prefix of `buf` that is known to contain no event boundary.
    scanned: usize,
    events: u64,
    last_id: Option<String>,
    out_of_order: bool,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now, unchanged.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(chunk);
        let mut complete = 0;
        let mut at = self.scanned;
        while let Some(end) = event_end(&self.buf, at) {
            self.note_event(complete, end);
            complete = end;
            at = end;
        }
        if complete == 0 {
            self.scanned = self.buf.len().saturating_sub(3);
            return None;
        }
        let events = self.buf.split_to(complete).freeze();
        self.scanned = self.buf.len().saturating_sub(3);
        Some(events)
    }

    /// Takes the bytes that follow the last complete event, at the regular end of a stream.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        (!self.buf.is_empty()).then(|| self.buf.split().freeze())
    }

    /// Returns whether the bytes that follow the last complete event belong to another event. Blank
    /// lines and comments do not.
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.buf[..].split(|b| matches!(b, b'\n' | b'\r'));
        lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
    }

    /// Returns the number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards an incomplete event, which the next link sends again in full.
    pub fn discard_incomplete(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Returns whether the numeric id of any event was not above that of its predecessor.
    pub fn out_of_order(&self) -> bool {
        self.out_of_order
    }

    fn note_event(&mut self, from: usize, to: usize) {
        self.events += 1;
        for line in self.buf[from..to].split(|b| matches!(b, b'\n' | b'\r')) {
            if let Some(value) = line.strip_prefix(b"id:") {
                let value = String::from_utf8_lossy(value);
                let id = value.trim();
                let number = |id: &str| id.parse::<u64>().ok();
                let previous = self.last_id.as_deref().and_then(number);
                self.out_of_order |=
                    number(id).is_some_and(|id| previous.is_some_and(|previous| id <= previous));
                self.last_id = Some(id.to_owned());
            }
        }
    }
}

/// Returns the position after the first event boundary, an empty line, at or after `from`.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    (from..buf.len()).find_map(|at| {
        let rest = &buf[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else if rest.starts_with(b"\r\r") {
            Some(at + 2)
        } else {
            None
        }
    })
}
