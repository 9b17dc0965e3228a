//! Watches the memory of the process: takes the largest holder's back while room stays short, and logs
//! what holds it.
//!
//! A process that the platform kills for its memory logs nothing at its end. The last of these lines
//! shows what held the memory.

use std::time::Duration;

use hatchpitch_net::{Holder, MemoryBudget, Stop, clock};

use crate::metrics::resident_bytes;

/// Sampling interval. A peer on a link of 1 Gbit/s sends 30 MB in it.
const SAMPLE_PERIOD: Duration = Duration::from_millis(250);
/// Time for which room has to be short before the largest holder is broken off. Readers that still
/// read make room within it.
const REVOKE_AFTER: Duration = Duration::from_secs(1);

/// Watches the memory until `stop` is set.
pub async fn run(memory: MemoryBudget, stop: Stop) {
    let mut is_short = false;
    while !stop.is_set() {
        compio::time::sleep(SAMPLE_PERIOD).await;
        if let Some(bytes) = resident_bytes() {
            let is_high = memory.is_resident_high(bytes);
            if is_high {
                return_freed_memory();
            }
            let bytes = if is_high { resident_bytes().unwrap_or(bytes) } else { bytes };
            memory.record_resident(bytes);
        }
        let short_for = memory.short_for(clock::now());
        if short_for.is_some() != is_short {
            is_short = short_for.is_some();
            log_change(&memory, is_short);
        }
        if short_for.is_some_and(|short_for| short_for >= REVOKE_AFTER) {
            revoke_largest(&memory);
        }
    }
}

/// Returns memory to the system that the allocator keeps after it was freed.
fn return_freed_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the call only releases free pages of the heap.
    unsafe {
        libc::malloc_trim(0);
    }
}

fn log_change(memory: &MemoryBudget, is_short: bool) {
    let usage = memory.usage();
    let bytes = |holder| usage.get(&holder).copied().unwrap_or_default().bytes;
    let message = if is_short { "memory is short" } else { "memory is no longer short" };
    log::warn!(
        resident_bytes = resident_bytes().unwrap_or(0), process_limit = memory.process_limit(),
        budget = memory.limit(), used = memory.used(),
        connections = bytes(Holder::Connection), request_bodies = bytes(Holder::RequestBody),
        heads = bytes(Holder::Head), streams = bytes(Holder::Stream),
        answers = bytes(Holder::Answer), events = bytes(Holder::Event),
        box_messages = bytes(Holder::BoxMessage), transfers = bytes(Holder::Transfer);
        "{message}"
    );
}

fn revoke_largest(memory: &MemoryBudget) {
    let Some(revoked) = memory.revoke_largest() else { return };
    let peer = revoked.origin.peer.map(|peer| peer.to_string()).unwrap_or_default();
    log::warn!(
        holder = revoked.holder.as_str(), peer = peer.as_str(),
        request = revoked.origin.request.as_str(), path = revoked.origin.path.as_str(),
        bytes = revoked.bytes;
        "the largest holder of memory is broken off, as memory stays short"
    );
}
