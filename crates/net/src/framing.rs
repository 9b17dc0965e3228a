//! Whether the head of a message is a response, and how the end of its body is marked.
//!
//! This is the only place that reads the fields that frame a response (RFC 9112, section 6). A head
//! that leaves open where its body ends is no response: passing it on would give its reader a body
//! that is not that of the sender.

use std::fmt;

use http::header::HeaderName;
use http::response::Parts;
use http::{HeaderMap, Method, StatusCode, header};

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length or its last chunk, or the response has no body by definition. A body that is
    /// cut short is detected.
    Delimited,
    /// By the end of the connection, which a crash of the sender causes as well.
    UntilClose,
}

impl Framing {
    /// Takes the fields that frame a response out of its head, so that only the result frames what is
    /// sent on.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadError`] if the head is not that of a final response, or does not tell with
    /// certainty where its body ends.
    pub fn take(method: &Method, head: &mut Parts) -> Result<Self, HeadError> {
        let received = ResponseHead { method, status: head.status, headers: &head.headers };
        let framing = Self::try_from(received)?;
        head.headers.remove(header::TRANSFER_ENCODING);
        head.headers.remove(header::CONTENT_LENGTH);
        Ok(framing)
    }

    /// Returns whether the end of the connection marks the end of the body.
    pub fn is_until_close(self) -> bool {
        self == Self::UntilClose
    }
}

/// What frames a response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Status of the response.
    pub status: StatusCode,
    /// Header fields of the response.
    pub headers: &'a HeaderMap,
}

impl ResponseHead<'_> {
    /// Checks that this is the head of a response that marks the end of its own body, as all responses
    /// of boxes to operators and to other boxes do.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadError`] if it is not.
    pub fn check_marked(self) -> Result<(), HeadError> {
        match Framing::try_from(self)? {
            Framing::Delimited => Ok(()),
            Framing::UntilClose => Err(HeadError::Unmarked),
        }
    }
}

impl TryFrom<ResponseHead<'_>> for Framing {
    type Error = HeadError;

    fn try_from(head: ResponseHead<'_>) -> Result<Self, Self::Error> {
        let ResponseHead { method, status, headers } = head;
        // Interim responses never get here, and no request asks for another protocol. Statuses from
        // 600 on are invalid (RFC 9110, section 15).
        if status.is_informational() || status.as_u16() >= 600 {
            return Err(HeadError::Status(status));
        }
        let is_chunked = check_transfer_coding(headers)?;
        let has_length = check_length(headers)?;
        if is_chunked && has_length {
            return Err(HeadError::TwoFramings);
        }
        let is_bodiless = *method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let is_delimited = is_bodiless || is_chunked || has_length;
        Ok(if is_delimited { Self::Delimited } else { Self::UntilClose })
    }
}

/// Reason why a head is not that of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadError {
    /// The status is not one of a final response.
    Status(StatusCode),
    /// The transfer coding is not a single `chunked`, the only one that is decoded. Holds the field.
    TransferCoding(String),
    /// The length is no number, or there are several that differ. Holds the field.
    Length(String),
    /// There is a length beside a transfer coding.
    TwoFramings,
    /// Only the end of the connection marks the end of the body.
    Unmarked,
}

impl HeadError {
    /// Returns the part of the head that is invalid.
    pub fn field(&self) -> &'static str {
        match self {
            Self::Status(_) => "status",
            Self::TransferCoding(_) => "transfer-encoding",
            Self::Length(_) | Self::TwoFramings | Self::Unmarked => "content-length",
        }
    }
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => {
                write!(f, "{} is not the status of a final response", status.as_u16())
            }
            Self::TransferCoding(value) => write!(f, "transfer coding {value:?} is not supported"),
            Self::Length(value) => write!(f, "{value:?} is not the length of a body"),
            Self::TwoFramings => f.write_str("a length beside a transfer coding"),
            Self::Unmarked => f.write_str("neither a length nor chunks"),
        }
    }
}

impl std::error::Error for HeadError {}

/// Returns whether the body has chunks.
///
/// # Errors
///
/// Returns an error for any other transfer coding. The HTTP library reads to the end of the
/// connection unless the last element of the list is `chunked`.
fn check_transfer_coding(headers: &HeaderMap) -> Result<bool, HeadError> {
    let Some(codings) = list_elements(headers, &header::TRANSFER_ENCODING) else {
        return Ok(false);
    };
    // Recipients ignore empty elements of a list (RFC 9110, section 5.6.1).
    let is_chunked = codings.split_last().is_some_and(|(last, others)| {
        last.eq_ignore_ascii_case("chunked") && others.iter().all(String::is_empty)
    });
    if is_chunked { Ok(true) } else { Err(HeadError::TransferCoding(codings.join(","))) }
}

/// Returns whether the head states the length of the body. Equal values may be repeated.
fn check_length(headers: &HeaderMap) -> Result<bool, HeadError> {
    let Some(lengths) = list_elements(headers, &header::CONTENT_LENGTH) else { return Ok(false) };
    let parsed: Option<Vec<u64>> = lengths.iter().map(|text| parse_length(text)).collect();
    let is_one = parsed.is_some_and(|lengths| lengths.iter().all(|length| *length == lengths[0]));
    if is_one { Ok(true) } else { Err(HeadError::Length(lengths.join(","))) }
}

fn parse_length(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| is_number)
}

/// Returns the elements of all fields with this name, or `None` if there are none. Bytes that are no
/// text make an element that is no valid coding or length.
fn list_elements(headers: &HeaderMap, name: &HeaderName) -> Option<Vec<String>> {
    let mut elements = Vec::new();
    for value in headers.get_all(name) {
        let text = String::from_utf8_lossy(value.as_bytes());
        elements
            .extend(text.split(',').map(|element| element.trim_matches([' ', '\t']).to_owned()));
    }
    (!elements.is_empty()).then_some(elements)
}
