//! Refuses requests in the queues of a stopping box that are not expected to start in time.

use std::rc::Rc;

use hatchpitch_net::{Stop, clock};

use super::state::{CHECK_INTERVAL, Stopping};
use crate::entry::EntryCx;

/// Checks the queues of this box until `stop` is set.
pub async fn run(cx: Rc<EntryCx>, stop: Stop) {
    while !stop.is_set() {
        let now = clock::now();
        for (_, gate) in cx.gates() {
            gate.refuse_late(&Stopping.refusal(), |kind| cx.drain.time_to_start(kind, now));
        }
        compio::time::sleep(CHECK_INTERVAL).await;
    }
}
