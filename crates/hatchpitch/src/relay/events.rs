//! Splits a stream into whole events, so that no part of one is ever passed on.

use bytes::{Bytes, BytesMut};

/// The bytes of a stream that do not make a whole event yet, and what was passed.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes at the front that hold no end of an event.
    scanned: usize,
    events: u64,
    last_id: Option<String>,
    out_of_order: bool,
}

impl EventSplitter {
    /// Takes bytes in and returns the events that are whole now, as they came.
    pub fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(piece);
        let mut whole = 0;
        let mut at = self.scanned;
        while let Some(end) = event_end(&self.buf, at) {
            self.note_event(whole, end);
            whole = end;
            at = end;
        }
        if whole == 0 {
            self.scanned = self.buf.len().saturating_sub(3);
            return None;
        }
        let events = self.buf.split_to(whole).freeze();
        self.scanned = self.buf.len().saturating_sub(3);
        Some(events)
    }

    /// Takes what is left at the regular end of a stream.
    pub fn rest(&mut self) -> Option<Bytes> {
        (!self.buf.is_empty()).then(|| self.buf.split().freeze())
    }

    /// Returns how many events were whole so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops a part of an event, whose whole comes over another link.
    pub fn drop_part(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Returns whether an event's number was not above the one before.
    pub fn out_of_order(&self) -> bool {
        self.out_of_order
    }

    fn note_event(&mut self, from: usize, to: usize) {
        self.events += 1;
        for line in self.buf[from..to].split(|b| *b == b'\n') {
            if let Some(value) = line.strip_prefix(b"id:") {
                let value = String::from_utf8_lossy(value);
                let id = value.trim();
                let number = |id: &str| id.parse::<u64>().ok();
                let before = self.last_id.as_deref().and_then(number);
                self.out_of_order |= number(id).is_some_and(|id| before.is_some_and(|b| id <= b));
                self.last_id = Some(id.to_owned());
            }
        }
    }
}

/// Returns the position after the first empty line at or after `from`.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    (from..buf.len()).find_map(|at| {
        let rest = &buf[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else {
            None
        }
    })
}
