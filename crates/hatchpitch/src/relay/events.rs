//! Splits an event stream at event boundaries, so that no partial event is forwarded.
//!
//! An event that exceeds a limit is the exception: it is passed on in pieces, so that its length
//! does not decide how much memory it takes. Its stream cannot go on at another upstream, which
//! would send the event again from its start.

use bytes::{Bytes, BytesMut};

/// Default size from which an event is passed on in pieces, in bytes.
pub const DEFAULT_MAX_EVENT: usize = 256 * 1024;
/// Longest line that is searched for an id, in bytes.
const MAX_ID_LINE: usize = 1_024;
/// Longest part of an event boundary that does not show yet whether it is one, in bytes.
const OPEN_BOUNDARY: usize = 3;

/// Buffers the incomplete event at the end of a stream, and tracks the events that were returned.
#[derive(Debug)]
pub struct EventSplitter {
    buf: BytesMut,
    max_event: usize,
    /// Whether a piece of the current event was returned before its end.
    is_in_pieces: bool,
    /// Whether `buf` starts inside a line.
    starts_in_line: bool,
    /// Length of the prefix of `buf` that is known to contain no event boundary.
    scanned: usize,
    events: u64,
    last_id: Option<String>,
    out_of_order: bool,
}

impl Default for EventSplitter {
    fn default() -> Self {
        Self::new(DEFAULT_MAX_EVENT)
    }
}

impl EventSplitter {
    /// Creates a splitter that buffers at most `max_event` bytes of an incomplete event.
    pub fn new(max_event: usize) -> Self {
        Self {
            buf: BytesMut::new(),
            max_event,
            is_in_pieces: false,
            starts_in_line: false,
            scanned: 0,
            events: 0,
            last_id: None,
            out_of_order: false,
        }
    }

    /// Appends bytes and returns the events that are complete now, unchanged, or a piece of an event
    /// that exceeds the limit.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(chunk);
        let mut complete = 0;
        let mut at = self.scanned;
        while let Some(end) = event_end(&self.buf, at) {
            self.note_event(complete, end);
            complete = end;
            at = end;
        }
        if complete > 0 {
            let events = self.buf.split_to(complete).freeze();
            self.scanned = self.buf.len().saturating_sub(OPEN_BOUNDARY);
            return Some(events);
        }
        self.scanned = self.buf.len().saturating_sub(OPEN_BOUNDARY);
        if self.buf.len() > self.max_event { self.take_piece() } else { None }
    }

    /// Takes what is buffered of an incomplete event, before its end. An id whose line is not
    /// complete stays buffered.
    pub fn take_piece(&mut self) -> Option<Bytes> {
        let end = self.scanned;
        let last_line = self.buf[..end].iter().rposition(|b| matches!(b, b'\n' | b'\r'));
        let line_start = last_line.map_or(0, |at| at + 1);
        // Only a line that is too long for an id is passed on before its end.
        let end = if end - line_start <= MAX_ID_LINE { line_start } else { end };
        if end == 0 {
            return None;
        }
        self.note_lines(0, line_start);
        self.is_in_pieces = true;
        self.starts_in_line = !matches!(self.buf[end - 1], b'\n' | b'\r');
        self.scanned -= end;
        Some(self.buf.split_to(end).freeze())
    }

    /// Returns whether a piece of the current event was returned before its end.
    pub fn is_in_pieces(&self) -> bool {
        self.is_in_pieces
    }

    /// Returns the number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Takes the bytes that follow the last complete event, at the regular end of a stream.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        (!self.buf.is_empty()).then(|| self.buf.split().freeze())
    }

    /// Returns whether the bytes that follow the last complete event belong to another event. Blank
    /// lines and comments do not.
    pub fn is_inside_event(&self) -> bool {
        if self.is_in_pieces {
            return true;
        }
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
        self.is_in_pieces = false;
        self.starts_in_line = false;
    }

    /// Returns whether the numeric id of any event was not above that of its predecessor.
    pub fn out_of_order(&self) -> bool {
        self.out_of_order
    }

    fn note_event(&mut self, from: usize, to: usize) {
        self.events += 1;
        self.note_lines(from, to);
        self.is_in_pieces = false;
        self.starts_in_line = false;
    }

    /// Notes the ids in a part of the buffer.
    fn note_lines(&mut self, from: usize, to: usize) {
        let lines = self.buf[from..to].split(|b| matches!(b, b'\n' | b'\r'));
        for line in lines.skip(usize::from(self.starts_in_line && from == 0)) {
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
