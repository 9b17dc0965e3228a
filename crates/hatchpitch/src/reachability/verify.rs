//! Checks the invariants of a [`PathTable`].

use super::state::PathTable;

/// Checks a table.
///
/// # Errors
///
/// Returns the first violated invariant.
pub fn verify(table: &PathTable) -> Result<(), String> {
    let has_lost_links = table.is_isolated || !table.broken.is_empty();
    if has_lost_links && table.last_failure.is_none() {
        return Err("links are lost, but nothing failed on them".to_owned());
    }
    if table.silent_at.is_some() && !table.is_isolated {
        return Err("a silent link is recorded, but links are not suspect".to_owned());
    }
    Ok(())
}
