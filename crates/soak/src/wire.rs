//! Protocol of the programs under test, as functions that an adapter supplies.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use hatchpitch_net::Body;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{Request, Response};

use crate::record::{InstanceId, RequestId, RequestKind};

/// Role of a process in a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Holds the configuration and the list of upstreams.
    Control,
}

/// Ports of a box, the same in all boxes.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// First and last port for traffic between boxes.
    pub boxes: [u16; 2],
    /// Ports of the product's own interfaces, of the entry and the control process.
    pub own: [u16; 2],
    /// Port for requests from callers.
    pub front: u16,
    /// Port for readiness checks.
    pub ready: u16,
    /// Port at which callers look up entry addresses.
    pub directory: u16,
    /// Port for operators and upstreams.
    pub control: u16,
}

/// Number of ports of a box that stand behind proxies.
pub const PROXIED_PORTS: usize = 6;

impl Ports {
    /// Returns the ports behind proxies: all but the product's own interfaces, which no run uses.
    /// Those for traffic between boxes come first.
    pub fn proxied(&self) -> [u16; PROXIED_PORTS] {
        let [control_boxes, entry_boxes] = self.boxes;
        [control_boxes, entry_boxes, self.front, self.ready, self.directory, self.control]
    }
}

/// Setup of one box.
#[derive(Debug, Clone)]
pub struct BoxPlan {
    /// Failure domain.
    pub failure_domain: String,
    /// Public address of the box, which is that of its proxies.
    pub ip: Ipv4Addr,
    /// Address at which the processes listen.
    pub listen_ip: Ipv4Addr,
    /// Ports.
    pub ports: Ports,
    /// Whether the box has a control process.
    pub has_control: bool,
    /// Folder for data that outlives the control process; `None` for a box without a disk.
    pub data_folder: Option<PathBuf>,
    /// Whether this is the first start of the whole fleet.
    pub first_start: bool,
    /// Limit of the memory of each process, in megabytes.
    pub memory_mb: u64,
    /// Control addresses of the boxes that hold the log, listed in the settings.
    pub seeds: Vec<SocketAddr>,
}

/// A request from a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Kind of the request.
    pub kind: RequestKind,
    /// How long the caller waits.
    pub timeout: Duration,
}

/// Result that the head of an answer conveys to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerHead {
    /// Success, signed by an upstream.
    Signed,
    /// Success without a signature.
    Unsigned,
    /// The request was not run and will not be.
    NotRun,
    /// Another failure, with its HTTP status.
    Failed(u16),
}

/// A request that a box sends to an upstream.
#[derive(Debug, Clone)]
pub enum UpstreamRequest {
    /// Runs a request.
    Run {
        /// Id of the request.
        id: RequestId,
        /// Instance that the request is addressed to.
        instance: InstanceId,
        /// Whether the answer is a stream of events.
        stream: bool,
        /// Handle of the copy to resume from, and the last event that was delivered.
        resume: Option<(String, u64)>,
    },
    /// Copies a run to another upstream.
    Copy {
        /// Id of the request whose run is copied.
        id: RequestId,
        /// Address of the other upstream.
        to: SocketAddr,
        /// Whether the run stops before it is copied.
        stop: bool,
    },
    /// A request that the simulated upstreams do not support.
    Other,
}

/// Answer of an upstream that is not the result of a run.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The request was not run.
    NotRun,
    /// The request is addressed to another instance than the current one.
    WrongInstance,
    /// The copy was made.
    Copied {
        /// Handle of the copy.
        handle: String,
        /// Number of events that the run had produced.
        made: u64,
    },
    /// No such run exists.
    NoSuchRun,
    /// The other upstream accepts no copy.
    NoCapacity,
    /// The request is not supported.
    Unknown,
}

/// Announcement that an upstream sends about itself.
#[derive(Debug, Clone)]
pub struct Announcement {
    /// Instance of the upstream.
    pub instance: InstanceId,
    /// Whether it is an engine rather than a plain service.
    pub engine: bool,
    /// Address at which boxes reach it.
    pub addr: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether the upstream is leaving.
    pub is_leaving: bool,
    /// Number that increases with each announcement of an instance.
    pub sequence: u64,
}

/// Protocol adapter for the programs under test.
#[derive(Clone, Copy)]
pub struct Wire {
    /// Name of the program.
    pub program: &'static str,
    /// Returns the arguments for a role and a settings file.
    pub arguments: fn(Role, &Path) -> Vec<String>,
    /// Returns the text of a box's settings file.
    pub settings: fn(&BoxPlan) -> String,
    /// Builds a caller's request.
    pub request: fn(&CallerRequest) -> Request<Body>,
    /// Interprets the head of an answer to a caller.
    pub read_head: fn(&ResponseParts) -> AnswerHead,
    /// Builds the lookup of entry addresses for a failure domain.
    pub addresses: fn(&str) -> Request<Body>,
    /// Parses the answer to the address lookup.
    pub read_addresses: fn(&[u8]) -> Vec<SocketAddr>,
    /// Builds the readiness check of a box.
    pub ready: fn() -> Request<Body>,
    /// Parses a request that an upstream received.
    pub read_upstream_request: fn(&RequestParts, &[u8]) -> UpstreamRequest,
    /// Builds an upstream's answer that is not the result of a run.
    pub reply: fn(&Reply) -> Response<Body>,
    /// Builds the answer to a request that ran, from its id, whether it is a stream, and the body.
    pub answer: fn(&str, bool, Body) -> Response<Body>,
    /// Adds a rate limit to an upstream's answer, in requests per second from all boxes together.
    pub set_limit: fn(&mut Response<Body>, f64),
    /// Adds the rest that an upstream asks for to its answer.
    pub set_rest: fn(&mut Response<Body>, Duration),
    /// Marks an upstream's answer as coming from a leaving upstream.
    pub mark_leaving: fn(&mut Response<Body>),
    /// Builds the announcement of an upstream.
    pub announce: fn(&Announcement) -> Request<Body>,
    /// Builds the message that ends an upstream instance.
    pub end_instance: fn(&str) -> Request<Body>,
    /// Returns the text of a configuration, from its number and a content variant.
    pub config: fn(u64, u64) -> String,
    /// Builds the request that installs a configuration.
    pub put_config: fn(String) -> Request<Body>,
    /// Builds a message between boxes that lacks a signature.
    pub unsigned_message: fn() -> Request<Body>,
    /// Builds the request that reads the newest configuration.
    pub get_config: fn() -> Request<Body>,
}
