//! What upstreams of hosted services speak, as functions that an adapter gives.

use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::Body;
use http::Request;
use http::response::Parts;

use super::request::HostedRequest;
use crate::ids::RunnerName;

/// One sending of a request to an upstream.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The life of the upstream that is meant; another one at its address must not run it.
    pub upstream: RunnerName,
    /// Time after which the answer is of no use.
    pub time_left: Duration,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reading {
    /// It is the answer to this request.
    Answer,
    /// The request was not run and will not be.
    NotRun {
        /// Why.
        cause: String,
        /// Whether another upstream has the address now.
        other_life: bool,
    },
    /// It is not an answer to this request.
    Foreign(String),
}

/// Turns requests into messages of the upstreams' protocol and reads the heads of answers.
#[derive(Clone)]
pub struct RunnerDialect {
    /// Makes the message for one attempt.
    pub request: Rc<dyn Fn(&HostedRequest, &Attempt) -> Request<Body>>,
    /// Reads the head of an answer.
    pub read: Rc<dyn Fn(&HostedRequest, &Parts) -> Reading>,
}
