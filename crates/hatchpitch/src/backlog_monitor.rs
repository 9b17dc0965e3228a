//! Logs how much waits to be sent to other boxes, each time that it has doubled.
//!
//! A process that is ended for its memory writes nothing at its end; the last of these lines
//! tells whether what it had to send was the reason.

use std::time::Duration;

use hatchpitch_net::{BoxClient, Stop};

use crate::metrics::resident_bytes;

/// Bytes from which on a line is written: ten times what waits on a box at its usual load.
const FIRST_NOTE: usize = 1024 * 1024;
/// Time between looks: memory has been seen to fill within a second.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// Looks until `stop`.
pub async fn run(client: BoxClient, stop: Stop) {
    let mut next_note = FIRST_NOTE;
    while !stop.is_set() {
        compio::time::sleep(LOOK_PERIOD).await;
        let waiting = client.backlog().waiting();
        if waiting.peak_bytes < next_note {
            continue;
        }
        log::info!(
            peak_bytes = waiting.peak_bytes, bytes = waiting.bytes, messages = waiting.messages,
            resident_bytes = resident_bytes().unwrap_or(0);
            "more than ever waits to be sent to other boxes"
        );
        while next_note <= waiting.peak_bytes {
            next_note *= 2;
        }
    }
}
