//! What the programs under test speak, as functions that an adapter gives.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use hatchpitch_net::Body;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{Request, Response};

use crate::record::{Kind, LifeId, RequestId};

/// What a process of a box does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes callers' requests in.
    Entry,
    /// Keeps configuration and the list of upstreams.
    Control,
}

/// Ports of a box; all boxes use the same.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// First and last of those between boxes.
    pub boxes: [u16; 2],
    /// The product's own interfaces of the two processes.
    pub own: [u16; 2],
    /// Callers' requests.
    pub front: u16,
    /// Whether the box is ready.
    pub ready: u16,
    /// Where callers should go.
    pub directory: u16,
    /// Operators and upstreams.
    pub control: u16,
}

/// How one box is set up.
#[derive(Debug, Clone)]
pub struct BoxPlan {
    /// Failure domain.
    pub domain: String,
    /// Address that everybody uses, which is the proxy's.
    pub ip: Ipv4Addr,
    /// Address at which the processes listen.
    pub listen_ip: Ipv4Addr,
    /// Ports.
    pub ports: Ports,
    /// Whether the box has a control process.
    pub control: bool,
    /// Folder for what must outlive the control process; `None` for a box without a disk.
    pub data: Option<PathBuf>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Control boxes that the settings name.
    pub seeds: Vec<SocketAddr>,
}

/// What a caller sends.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Its id.
    pub id: RequestId,
    /// What it asks for.
    pub kind: Kind,
    /// How long the caller waits.
    pub patience: Duration,
}

/// What the head of an answer to a caller says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerHead {
    /// A success that an upstream signed.
    Signed,
    /// A success that nobody signed.
    Unsigned,
    /// The request was not run and will not be.
    NotRun,
    /// Another failure.
    Failed(u16),
}

/// What an upstream is asked for.
#[derive(Debug, Clone)]
pub enum Ask {
    /// To run a request.
    Run {
        /// The request.
        id: RequestId,
        /// The life that is meant.
        life: LifeId,
        /// Whether it answers with a stream of events.
        stream: bool,
        /// Where a stopped run goes on: the name of its copy, and the last event delivered.
        resume: Option<(String, u64)>,
    },
    /// To copy a run to another upstream.
    Copy {
        /// The request that runs.
        id: RequestId,
        /// Where the other upstream listens.
        to: SocketAddr,
        /// Whether the run stops first.
        stop: bool,
    },
    /// Something that upstreams here do not do.
    Other,
}

/// What an upstream says other than by running a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// It did not run the request.
    NotRun,
    /// Another life has the address.
    OtherLife,
    /// The copy was made.
    Copied {
        /// Its name.
        handle: String,
        /// Events that the run had made.
        made: u64,
    },
    /// There is no such run.
    NoSuchRun,
    /// The other upstream takes no copy.
    NoRoom,
    /// The call is not known here.
    Unknown,
}

/// An upstream as it announces itself.
#[derive(Debug, Clone)]
pub struct Announcement {
    /// Its life.
    pub life: LifeId,
    /// Whether it is an engine, and not a plain service.
    pub engine: bool,
    /// Where boxes reach it.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Whether it leaves.
    pub leaves: bool,
    /// Rises with each announcement of a life.
    pub sequence: u64,
}

/// The protocol of the programs under test.
#[derive(Clone, Copy)]
pub struct Wire {
    /// The program.
    pub program: &'static str,
    /// Its arguments for a role and a settings file.
    pub arguments: fn(Role, &Path) -> Vec<String>,
    /// The text of a box's settings file.
    pub settings: fn(&BoxPlan) -> String,
    /// A caller's request.
    pub request: fn(&CallerRequest) -> Request<Body>,
    /// Reads the head of an answer.
    pub read_head: fn(&ResponseParts) -> AnswerHead,
    /// Asks which addresses to use.
    pub addresses: fn(&str) -> Request<Body>,
    /// Reads the answer to that.
    pub read_addresses: fn(&[u8]) -> Vec<SocketAddr>,
    /// Asks whether a box takes requests.
    pub ready: fn() -> Request<Body>,
    /// Reads what an upstream is asked for.
    pub read_ask: fn(&RequestParts, &[u8]) -> Ask,
    /// Says something other than an answer.
    pub reply: fn(&Reply) -> Response<Body>,
    /// An upstream's answer to a request that it ran: id, whether it is a stream, body.
    pub answer: fn(&str, bool, Body) -> Response<Body>,
    /// Has an upstream's answer name the requests a second that it takes from all boxes together.
    pub name_limit: fn(&mut Response<Body>, f64),
    /// Has an upstream that turns a request away ask for rest.
    pub ask_rest: fn(&mut Response<Body>, Duration),
    /// Has an upstream's answer say that it leaves.
    pub say_leaving: fn(&mut Response<Body>),
    /// Announces an upstream.
    pub announce: fn(&Announcement) -> Request<Body>,
    /// Ends the life of an upstream.
    pub end_life: fn(&str) -> Request<Body>,
    /// The text of a configuration: its number, and which of several under it.
    pub config: fn(u64, u64) -> String,
    /// Puts a configuration in force.
    pub put_config: fn(String) -> Request<Body>,
    /// Reads the newest configuration.
    pub get_config: fn() -> Request<Body>,
}
