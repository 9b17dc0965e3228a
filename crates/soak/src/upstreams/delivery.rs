//! Delivery of the answers of simulated upstreams, framed or not, and the faults that cut them short.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hatchpitch_net::{Body, BodySender, Framing, Reservation};

use super::runs::RunState;
use super::{AnswerFault, Instance};
use crate::answers::{EVENTS, event_text, large_event_text};
use crate::context::RunCx;
use crate::load::PIECE;
use crate::record::RequestId;

/// Interval between two events, and between the halves of a plain answer; a stream takes 1.5
/// seconds.
const PIECE_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two pieces of an event that never ends: 13 MB a second.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(5);
/// Number of chunks of an answer that are buffered.
const BUFFERED_CHUNKS: usize = 4;

/// How one answer is delivered.
pub(super) struct Delivery {
    pub(super) cx: Rc<RunCx>,
    pub(super) instance: Rc<Instance>,
    pub(super) id: RequestId,
    pub(super) fault: AnswerFault,
    pub(super) framing: Framing,
    /// Whether a stream that ends early in order ends inside an event.
    pub(super) ends_inside_event: bool,
}

impl Delivery {
    /// Returns the body of a plain answer. One without a length or chunks is sent in two halves.
    pub(super) fn send_text(self, text: String) -> Body {
        if !self.framing.is_until_close() {
            let delivers = !self.fault.cuts_text() && !self.instance.died.get();
            return if delivers { Body::from(text) } else { aborted_body() };
        }
        let (tx, body) = Body::stream(BUFFERED_CHUNKS, Reservation::uncounted());
        compio::runtime::spawn(self.send_halves(tx, text)).detach();
        body.framed(Framing::UntilClose)
    }

    /// Sends the halves of a text, unless a fault cuts it short between them.
    async fn send_halves(self, mut tx: BodySender, text: String) {
        let (first, second) = text.split_at(text.len() / 2);
        if tx.send(Bytes::from(first.to_owned())).await.is_err() {
            return;
        }
        compio::time::sleep(PIECE_INTERVAL).await;
        if self.fault.cuts_text() || self.instance.ended.get() {
            return self.cut_short(tx, false, "").await;
        }
        // A reader that left has closed the body.
        let _ = tx.send(Bytes::from(second.to_owned())).await;
        tx.finish();
    }

    /// Starts to send the events of a run, and returns the body.
    pub(super) fn send_events(self, run: Rc<RunState>) -> Body {
        let (tx, body) = Body::stream(BUFFERED_CHUNKS, Reservation::uncounted());
        let framing = self.framing;
        if self.fault == AnswerFault::Endless {
            compio::runtime::spawn(self.send_endless(tx, run)).detach();
        } else {
            compio::runtime::spawn(self.generate_events(tx, run)).detach();
        }
        body.framed(framing)
    }

    /// Produces events until the run is complete or stopped, or its upstream or reader is gone.
    async fn generate_events(self, mut tx: BodySender, run: Rc<RunState>) {
        while run.made.get() < EVENTS {
            compio::time::sleep(PIECE_INTERVAL).await;
            let cuts = matches!(self.fault, AnswerFault::Truncated | AnswerFault::Ended);
            let is_cut = cuts && run.made.get() > EVENTS / 2;
            let n = run.made.get() + 1;
            let event = match self.fault {
                AnswerFault::Large => large_event_text(&self.id, run.generation, n),
                _ => event_text(&self.id, run.generation, n),
            };
            if run.stopped.get() || self.instance.ended.get() || tx.is_closed() || is_cut {
                run.finished.set(true);
                let next = if self.ends_inside_event { event.as_str() } else { "" };
                return self.cut_short(tx, run.stopped.get(), next).await;
            }
            run.made.set(n);
            if tx.send(Bytes::from(event)).await.is_err() {
                break;
            }
        }
        run.finished.set(true);
        tx.finish();
    }

    /// Sends an event that never ends, until its reader or its upstream is gone.
    async fn send_endless(self, mut tx: BodySender, run: Rc<RunState>) {
        let mut piece = Bytes::from(format!("id: 1\ndata: {} {} ", self.id, run.generation));
        while !self.instance.ended.get() && !self.cx.stop.is_set() {
            if tx.send(piece).await.is_err() {
                break;
            }
            piece = PIECE;
            compio::time::sleep(ENDLESS_INTERVAL).await;
        }
        run.finished.set(true);
        tx.abort();
    }

    /// Ends an answer before it is complete: in order where it has neither a length nor chunks and
    /// its fault or the stop of its run is of that kind, else with an error. An answer that ends in
    /// order ends inside `next`, unless that is empty.
    async fn cut_short(self, mut tx: BodySender, is_stopped: bool, next: &str) {
        let crashed = self.instance.ended.get() && !self.instance.died.get();
        let is_ended = is_stopped || self.instance.died.get() || self.fault == AnswerFault::Ended;
        if crashed || !is_ended || !self.framing.is_until_close() {
            return tx.abort();
        }
        let (record, part) = (&self.cx.record, &next[..next.len() / 2]);
        if !part.is_empty() {
            record.cut_inside_events.set(record.cut_inside_events.get() + 1);
            // A reader that left has closed the body.
            let _ = tx.send(Bytes::from(part.to_owned())).await;
        } else if !is_stopped {
            record.cut.borrow_mut().insert(self.id);
        }
        tx.finish();
    }
}

/// Returns a body that is aborted at once.
pub(super) fn aborted_body() -> Body {
    let (tx, body) = Body::stream(1, Reservation::uncounted());
    tx.abort();
    body
}
