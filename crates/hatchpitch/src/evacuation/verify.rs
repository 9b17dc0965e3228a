//! Checks the invariants of [`Evacuations`].

use std::collections::BTreeSet;

use super::state::Evacuations;

/// Checks the invariants of a single state.
///
/// # Errors
///
/// Returns a description of the invariant that is violated.
pub fn verify(set: &Evacuations) -> Result<(), String> {
    if let Some(domain) = set.begun.keys().find(|domain| set.ended.contains_key(*domain)) {
        return Err(format!("domain {domain} is listed as evacuated and as formerly evacuated"));
    }
    let changes: Vec<_> = set.begun.values().chain(set.ended.values()).collect();
    if changes.iter().any(|at| **at == 0 || **at > set.revision) {
        return Err("revision of a change is 0 or above the current revision".to_owned());
    }
    if changes.iter().collect::<BTreeSet<_>>().len() != changes.len() {
        return Err("two changes have the same revision".to_owned());
    }
    Ok(())
}

/// Checks the invariants of a transition from `before` to `after` at one box.
///
/// # Errors
///
/// Returns a description of the invariant that is violated.
pub fn verify_step(before: &Evacuations, after: &Evacuations) -> Result<(), String> {
    verify(after)?;
    if after.revision < before.revision {
        return Err(format!("revision decreased from {} to {}", before.revision, after.revision));
    }
    if after.revision == before.revision && after != before {
        return Err(format!("set changed without a new revision: {}", after.revision));
    }
    Ok(())
}
