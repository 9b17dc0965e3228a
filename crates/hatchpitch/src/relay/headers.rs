//! Headers that concern one connection only.

use http::{HeaderMap, header};

/// Headers that concern one connection only, by the standard of HTTP/1.1.
pub const HOP_BY_HOP: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade"];

/// Returns the headers, in small letters, that a message itself names as its connection's.
pub fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Removes the headers that concern one connection only.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
