//! Removal of hop-by-hop headers.

use http::{HeaderMap, header};

/// Headers that HTTP/1.1 defines as hop-by-hop.
pub const HOP_BY_HOP: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade"];

/// Returns the lower-case names of the headers that a message's `Connection` header declares as
/// hop-by-hop.
pub fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Removes the hop-by-hop headers.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
