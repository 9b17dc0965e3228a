//! Checks what must hold in a [`BackoffTable`].

use super::backoff::BackoffTable;

/// Checks a book of rests, of which every request that was sent was taken.
///
/// # Errors
///
/// Returns what does not hold.
pub fn verify(book: &BackoffTable) -> Result<(), String> {
    for (upstream, rest) in &book.backoffs {
        if rest.answered > rest.sent {
            let (answered, sent) = (rest.answered, rest.sent);
            return Err(format!("{upstream}: {answered} answers to {sent} requests"));
        }
        if rest.sent > 0 && rest.last_sent.is_none() {
            return Err(format!("{upstream}: {} requests at no time", rest.sent));
        }
    }
    Ok(())
}
