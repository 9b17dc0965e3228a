//! Detects JSON documents that end too early, without building them.

/// Deepest nesting that is followed.
const MAX_DEPTH: usize = 128;

/// Follows the nesting of an object or array whose text arrives in pieces.
#[derive(Debug, Clone, Default)]
pub struct JsonNesting {
    /// Closing brackets of the open objects and arrays, outermost first.
    closers: Vec<u8>,
    in_string: bool,
    is_escaped: bool,
    has_begun: bool,
    /// Whether the text is not that of an object or array, or is nested too deeply.
    is_other: bool,
}

impl JsonNesting {
    /// Appends text.
    pub fn push(&mut self, text: &[u8]) {
        for byte in text {
            if self.is_other {
                return;
            }
            self.push_byte(*byte);
        }
    }

    /// Returns whether the text so far ends inside an object or array.
    pub fn is_open(&self) -> bool {
        !self.is_other && !self.closers.is_empty()
    }

    fn push_byte(&mut self, byte: u8) {
        if self.in_string {
            self.in_string = self.is_escaped || byte != b'"';
            self.is_escaped = !self.is_escaped && byte == b'\\';
            // A string contains no raw control characters.
            self.is_other = byte < b' ';
            return;
        }
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {}
            b'{' => self.open(b'}'),
            b'[' => self.open(b']'),
            b'}' | b']' => self.is_other = self.closers.pop() != Some(byte),
            // Outside an object or array there is nothing else to follow.
            _ if self.closers.is_empty() => self.is_other = true,
            b'"' => self.in_string = true,
            b',' | b':' | b'+' | b'-' | b'.' | b'0'..=b'9' | b'E' => {}
            // Letters of the literals and of exponents.
            b'a' | b'e' | b'f' | b'l' | b'n' | b'r' | b's' | b't' | b'u' => {}
            _ => self.is_other = true,
        }
    }

    fn open(&mut self, closer: u8) {
        let is_second = self.has_begun && self.closers.is_empty();
        self.is_other = is_second || self.closers.len() >= MAX_DEPTH;
        self.has_begun = true;
        self.closers.push(closer);
    }
}
