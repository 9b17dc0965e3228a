//! Spoils the heads of answers, as an upstream in trouble sends them.

/// How the heads of an upstream's answers are spoilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadSpoil {
    /// A line is added to the header fields.
    Line(&'static str),
    /// The status line becomes this one.
    Status(&'static str),
}

/// The ways in which heads are spoilt. None leaves a head from which the end of the body is known, or
/// whose status an answer may have.
pub const HEAD_SPOILS: [HeadSpoil; 9] = [
    HeadSpoil::Line("Transfer-Encoding: chunkd"),
    HeadSpoil::Line("Transfer-Encoding: gzip"),
    HeadSpoil::Line("Transfer-Encoding: chunked\r\nContent-Length: 7"),
    HeadSpoil::Line("Content-Length: 7x"),
    HeadSpoil::Line("Content Length: 7"),
    HeadSpoil::Line("a line that is no field"),
    HeadSpoil::Status("HTTP/1.1 000 OK"),
    HeadSpoil::Status("HTTP/1.1 101 Switching Protocols"),
    HeadSpoil::Status("HTTP/1.1 600 OK"),
];

impl HeadSpoil {
    /// Returns the beginning of an answer with a spoilt head.
    pub fn apply(self, bytes: &[u8]) -> Vec<u8> {
        let line_len = bytes.windows(2).position(|at| at == b"\r\n").unwrap_or(bytes.len());
        let (status, rest) = bytes.split_at(line_len);
        match self {
            Self::Line(line) => [status, b"\r\n", line.as_bytes(), rest].concat(),
            Self::Status(status) => [status.as_bytes(), rest].concat(),
        }
    }
}
