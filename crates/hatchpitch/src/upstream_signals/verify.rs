//! Checks the invariants of a [`BackoffTable`].

use super::backoff::BackoffTable;

/// Checks a table in which every request was counted by [`BackoffTable::take`].
///
/// # Errors
///
/// Returns the first violated invariant.
pub fn verify(table: &BackoffTable) -> Result<(), String> {
    for (upstream, backoff) in &table.backoffs {
        if backoff.answered > backoff.sent {
            let (answered, sent) = (backoff.answered, backoff.sent);
            return Err(format!("{upstream}: {answered} answers to {sent} requests"));
        }
        if backoff.sent > 0 && backoff.last_sent.is_none() {
            return Err(format!(
                "{upstream}: {} requests without a time of the last one",
                backoff.sent
            ));
        }
    }
    Ok(())
}
