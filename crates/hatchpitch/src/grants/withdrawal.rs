//! Release of a slot whose grant may be on its way when its request is given up.

use std::net::SocketAddr;
use std::rc::Rc;

use super::messages::{Ask, ReleaseRequest};
use super::slot::send_release;
use crate::entry::EntryCx;
use crate::ids::AttemptId;
use crate::routing::RunReport;

/// Releases the slot that an owner may have granted, if the request is given up before the answer
/// of the owner arrives. Otherwise the slot would stay unused until a later sync.
pub(super) struct Withdrawal {
    /// Box that asks, the owner and the attempt; `None` if there is nothing to release.
    asked: Option<(Rc<EntryCx>, SocketAddr, AttemptId)>,
}

impl Withdrawal {
    /// Prepares the release for a call to `owner`.
    pub(super) fn new(cx: &Rc<EntryCx>, owner: SocketAddr, ask: Ask, id: &AttemptId) -> Self {
        let takes_slot = ask != Ask::Quote;
        Self { asked: takes_slot.then(|| (cx.clone(), owner, id.clone())) }
    }

    /// Keeps the slot.
    pub(super) fn cancel(mut self) {
        self.asked = None;
    }
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        if let Some((cx, owner, id)) = self.asked.take() {
            send_release(&cx, owner, ReleaseRequest { id, report: RunReport::RELEASED });
        }
    }
}
