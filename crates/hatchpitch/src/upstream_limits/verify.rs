//! Checks what must hold in a [`LimitTable`].

use super::table::{LimitTable, Permits};

/// Checks a book.
///
/// # Errors
///
/// Returns what does not hold.
pub fn verify(book: &LimitTable) -> Result<(), String> {
    let limited = book.entries.values().filter(|entry| entry.heard.limit.is_some()).count();
    if limited != book.limited {
        return Err(format!("{limited} upstreams name limits, {} are counted", book.limited));
    }
    for (upstream, entry) in &book.entries {
        if entry.heard.sent > entry.heard.at {
            return Err(format!("{upstream}: answered before it was asked"));
        }
        let bucket = match &entry.permits {
            Permits::Here(bucket) | Permits::Silent(bucket, _) => bucket,
            Permits::Elsewhere(_) => continue,
        };
        if bucket.level > bucket.cap {
            return Err(format!("{upstream}: {} permits of {}", bucket.level, bucket.cap));
        }
        if bucket.level < -bucket.most_in_advance() {
            return Err(format!("{upstream}: {} permits taken in advance", -bucket.level));
        }
    }
    Ok(())
}
