//! Listeners that a daemon serves beside those of the product's own interface.

use std::net::SocketAddr;

use hatchpitch_net::{Handler, ServerLimits};

/// A listener and what answers its requests.
pub struct ExtraListener {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its bounds.
    pub limits: ServerLimits,
    /// Answers one request.
    pub handler: Handler,
}
