//! How the end of a message body is marked.

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
    /// Returns the framing of a response to a request with the given method, by the rules of
    /// HTTP/1.1.
    pub fn of_response(method: &Method, head: &Parts) -> Self {
        let is_bodiless = *method == Method::HEAD
            || head.status.is_informational()
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let is_delimited = match head.headers.contains_key(header::TRANSFER_ENCODING) {
            true => is_chunked(&head.headers),
            false => head.headers.contains_key(header::CONTENT_LENGTH),
        };
        if is_bodiless || is_delimited { Self::Delimited } else { Self::UntilClose }
    }

    /// Returns whether the end of the connection marks the end of the body.
    pub fn is_until_close(self) -> bool {
        self == Self::UntilClose
    }
}

/// Returns whether chunked is the last transfer coding. The end of the connection marks the end of
/// any other coding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|value| value.to_str().ok()).unwrap_or("");
    codings.rsplit(',').next().is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
