//! Checks the invariants of a [`ClaimTable`].

use std::collections::BTreeMap;

use super::state::ClaimTable;

/// Checks that the deadlines and the counts of a table match its claims.
///
/// # Errors
///
/// Returns a description of the invariant that is violated.
pub fn verify(table: &ClaimTable) -> Result<(), String> {
    if table.deadlines.len() != table.claims.len() {
        return Err("number of claims and number of deadlines differ".to_owned());
    }
    let mut counts = BTreeMap::new();
    for (id, claim) in &table.claims {
        if !table.deadlines.contains(&(claim.until, id.clone())) {
            return Err(format!("claim {id:?} has no deadline entry"));
        }
        *counts.entry(id.workspace.clone()).or_default() += 1_usize;
    }
    if counts != table.held {
        return Err("claim counts per workspace do not match the claims".to_owned());
    }
    Ok(())
}
