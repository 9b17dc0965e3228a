//! Checks the invariants of a [`LimitTable`].

use super::table::{LimitTable, Permits};

/// Checks a table.
///
/// # Errors
///
/// Returns the first violated invariant.
pub fn verify(table: &LimitTable) -> Result<(), String> {
    let limited = table.entries.values().filter(|entry| entry.observed.limit.is_some()).count();
    if limited != table.limited {
        return Err(format!("{limited} upstreams name limits, {} are counted", table.limited));
    }
    for (upstream, entry) in &table.entries {
        if entry.observed.sent > entry.observed.received {
            return Err(format!("{upstream}: answered before it was asked"));
        }
        let bucket = match &entry.permits {
            Permits::Local(bucket) | Permits::Unreachable(bucket, _) => bucket,
            Permits::Remote(_) => continue,
        };
        if bucket.level > bucket.capacity {
            return Err(format!("{upstream}: {} permits of {}", bucket.level, bucket.capacity));
        }
        if bucket.level < -bucket.max_debt() {
            return Err(format!("{upstream}: {} permits taken in advance", -bucket.level));
        }
    }
    Ok(())
}
