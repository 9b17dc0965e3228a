//! Checks the invariants of a [`ClaimTable`].

use std::collections::BTreeMap;

use super::state::ClaimTable;

/// Checks a table.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify(table: &ClaimTable) -> Result<(), String> {
    if table.deadlines.len() != table.claims.len() {
        return Err("claims and deadlines differ in number".to_owned());
    }
    let mut held = BTreeMap::new();
    for (id, claim) in &table.claims {
        if !table.deadlines.contains(&(claim.until, id.clone())) {
            return Err(format!("{id:?} has no deadline"));
        }
        *held.entry(id.workspace.clone()).or_default() += 1_usize;
    }
    if held != table.held {
        return Err("the counts of the workspaces are wrong".to_owned());
    }
    Ok(())
}
