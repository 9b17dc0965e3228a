//! Tracks answers until their last byte has left for the caller.
//!
//! The HTTP library has an answer long before a slow caller has read it: the rest waits in buffers of
//! the process and of the system. A process that ends earlier cuts the answer off.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use http_body::{Body as HttpBody, Frame, SizeHint};

use crate::Body;

/// Number of answers that their callers have not been sent to the last byte.
#[derive(Debug, Clone, Default)]
pub struct PendingAnswers(Rc<Cell<usize>>);

impl PendingAnswers {
    /// Returns the number.
    pub fn count(&self) -> usize {
        self.0.get()
    }
}

/// Progress of the answers on one connection, which come one after the other.
#[derive(Debug)]
pub(crate) struct AnswerTracker {
    pending: PendingAnswers,
    state: Cell<AnswerState>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerState {
    /// No request waits for an answer.
    Given,
    /// A request is being handled, or its answer is being produced.
    Due,
    /// The HTTP library has the whole answer.
    Buffered,
}

impl AnswerTracker {
    pub(crate) fn new(pending: PendingAnswers) -> Self {
        Self { pending, state: Cell::new(AnswerState::Given) }
    }

    /// Records that a request has arrived.
    pub(crate) fn begin(&self) {
        if self.state.replace(AnswerState::Due) == AnswerState::Given {
            self.pending.0.set(self.pending.0.get() + 1);
        }
    }

    /// Records that all buffers of the process are empty.
    pub(crate) fn record_flush(&self) {
        if self.state.get() == AnswerState::Buffered {
            self.give();
        }
    }

    /// Returns whether a request waits for an answer, or for the rest of one.
    pub(crate) fn is_pending(&self) -> bool {
        self.state.get() != AnswerState::Given
    }

    fn give(&self) {
        if self.state.replace(AnswerState::Given) != AnswerState::Given {
            self.pending.0.set(self.pending.0.get() - 1);
        }
    }
}

impl Drop for AnswerTracker {
    fn drop(&mut self) {
        self.give();
    }
}

/// The body of an answer, which is dropped once the HTTP library has all of it.
pub(crate) struct TrackedBody {
    body: Body,
    tracker: Rc<AnswerTracker>,
}

impl TrackedBody {
    pub(crate) fn new(body: Body, tracker: Rc<AnswerTracker>) -> Self {
        Self { body, tracker }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        if self.tracker.state.get() == AnswerState::Due {
            self.tracker.state.set(AnswerState::Buffered);
        }
    }
}

impl HttpBody for TrackedBody {
    type Data = <Body as HttpBody>::Data;
    type Error = <Body as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
