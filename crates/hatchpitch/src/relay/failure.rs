//! Results of attempts that gave no final response, and what follows from them.

use std::borrow::Cow;

use hatchpitch_net::Body;
use http::Response;

use crate::outcome::Problem;

/// Result of an attempt at one upstream that gave no final response.
pub(super) enum Failure {
    /// The upstream did not run the request. `arrived` tells whether the upstream received it.
    NotRun { cause: String, arrived: bool },
    /// The upstream may have run the request.
    MayHaveRun { cause: String },
    /// The upstream may have run the request, which was sent on a link that was found to be lost.
    LinkLost { cause: String },
    /// The upstream ran the request and failed. Holds its response.
    Ran(Response<Body>),
}

impl Failure {
    /// Returns the outcome and its cause, for logging.
    pub(super) fn describe(&self) -> (&'static str, Cow<'_, str>) {
        match self {
            Self::NotRun { cause, .. } => ("not_run", Cow::Borrowed(cause)),
            Self::MayHaveRun { cause } => ("may_have_run", Cow::Borrowed(cause)),
            Self::LinkLost { cause } => ("link_lost", Cow::Borrowed(cause)),
            Self::Ran(res) => ("failed", Cow::Owned(res.status().as_str().to_owned())),
        }
    }
}

/// The upstreams that are left to try for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Untried {
    /// At least one that may run it.
    Some,
    /// Only upstreams in evacuated failure domains.
    Evacuated,
    /// No known upstream.
    None,
}

/// The next step after an attempt that gave no final response.
pub(super) enum Next {
    /// Try another upstream. Holds the response of one that ran the request and failed, which is
    /// returned if no other upstream succeeds.
    TryAnother(Option<Response<Body>>),
    /// End the request with this result. The response of an earlier upstream, if any, takes
    /// precedence over a problem.
    End(Result<Response<Body>, Problem>),
}
