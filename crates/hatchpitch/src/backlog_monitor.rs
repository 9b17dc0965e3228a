//! Logs the backlog of messages to other boxes each time its peak has doubled.
//!
//! A process that the kernel kills for lack of memory logs nothing at its end. The last of these
//! lines shows whether the send backlog was the cause.

use std::time::Duration;

use hatchpitch_net::{BoxClient, Stop};

use crate::metrics::resident_bytes;

/// Peak backlog at which the first line is logged, in bytes: ten times the backlog of a box at its
/// usual load.
const FIRST_LOG_THRESHOLD: usize = 1024 * 1024;
/// Sampling interval. Memory has been seen to fill up within a second.
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);

/// Samples the backlog until `stop` is set.
pub async fn run(client: BoxClient, stop: Stop) {
    let mut threshold = FIRST_LOG_THRESHOLD;
    while !stop.is_set() {
        compio::time::sleep(SAMPLE_PERIOD).await;
        let backlog = client.backlog().waiting();
        if backlog.peak_bytes < threshold {
            continue;
        }
        log::info!(
            peak_bytes = backlog.peak_bytes, bytes = backlog.bytes, messages = backlog.messages,
            resident_bytes = resident_bytes().unwrap_or(0);
            "more than ever waits to be sent to other boxes"
        );
        while threshold <= backlog.peak_bytes {
            threshold *= 2;
        }
    }
}
