//! HTTP over compio for the processes of hatchpitch.
//!
//! Only this crate uses sockets directly. The `hatchpitch` library builds on
//! three interfaces: a server with resource limits ([`serve`]), a client whose
//! errors tell whether a request can have reached the peer ([`Upstream`]), and
//! signed messages between boxes ([`BoxClient`]).

pub mod answers;
pub mod backlog;
pub mod body;
mod chunks;
pub mod client;
pub mod clock;
mod connection_memory;
mod exchange;
pub mod framing;
pub mod keys;
pub mod memory;
pub mod monitor;
pub mod receive;
pub mod rpc;
pub mod server;
pub mod stop;
mod stream;

pub use answers::PendingAnswers;
pub use backlog::{Backlog, Waiting};
pub use body::{Body, BodyError, ReceivedBody, ResponseBody, read_body, read_stream};
pub use chunks::BodySender;
pub use client::{Connection, Listening, ProbedLink, SendError, SendStep, Upstream};
pub use framing::{Framing, HeadError, ResponseHead};
pub use keys::{KeyId, KeyRing, SigningKey};
pub use memory::{Holder, MemoryBudget, MemoryError, Origin, Reservation, Revoked};
pub use monitor::{Acknowledgements, ConnectionMonitor};
pub use receive::ReceivedMessage;
pub use rpc::{BoxClient, CallError, CallStep, Traffic, open_message, rmp_response};
pub use server::{Handler, ServerLimits, bind, query_value, serve, serve_answers};
pub use stop::{Stop, StopHandle, stop_pair};
