//! Replicas whose box refuses connections.
//!
//! A refusal comes from the system of the box: it runs, and no process listens there. A box that is
//! slow, suspended or disconnected doesn't refuse; its connections fail without an answer, which
//! proves nothing and is not recorded here.

use std::cell::RefCell;
use std::collections::BTreeSet;

use super::messages::NodeId;

/// Replicas to which the newest connection was refused.
#[derive(Default)]
pub struct AbsentReplicas {
    ids: RefCell<BTreeSet<NodeId>>,
    on_absence: RefCell<Option<Box<dyn Fn()>>>,
}

impl AbsentReplicas {
    /// Returns whether the newest connection to a replica was refused.
    pub fn contains(&self, id: NodeId) -> bool {
        self.ids.borrow().contains(&id)
    }

    /// Sets the callback that is called when a replica becomes absent.
    pub fn on_absence(&self, callback: impl Fn() + 'static) {
        *self.on_absence.borrow_mut() = Some(Box::new(callback));
    }

    /// Forgets what is known. A replica that begins to lead does so: what it recorded while it
    /// followed may be old, since followers seldom connect to each other.
    pub(super) fn clear(&self) {
        self.ids.borrow_mut().clear();
    }

    /// Records how a connection to a replica ended.
    pub(super) fn record(&self, id: NodeId, is_refused: bool) {
        if !is_refused {
            self.ids.borrow_mut().remove(&id);
        } else if self.ids.borrow_mut().insert(id)
            && let Some(callback) = &*self.on_absence.borrow()
        {
            callback();
        }
    }
}
