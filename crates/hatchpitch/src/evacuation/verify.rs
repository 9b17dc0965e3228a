//! Checks the invariants of [`Evacuations`].

use std::collections::BTreeSet;

use super::state::Evacuations;

/// Checks a set on its own.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify(set: &Evacuations) -> Result<(), String> {
    if let Some(domain) = set.begun.keys().find(|domain| set.ended.contains_key(*domain)) {
        return Err(format!("{domain} is evacuated, and its evacuation is over"));
    }
    let changes: Vec<_> = set.begun.values().chain(set.ended.values()).collect();
    if changes.iter().any(|at| **at == 0 || **at > set.revision) {
        return Err("a change stands outside the revisions".to_owned());
    }
    if changes.iter().collect::<BTreeSet<_>>().len() != changes.len() {
        return Err("two changes have one revision".to_owned());
    }
    Ok(())
}

/// Checks that `after` can follow `before` at one box.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify_step(before: &Evacuations, after: &Evacuations) -> Result<(), String> {
    verify(after)?;
    if after.revision < before.revision {
        return Err(format!("revision went from {} to {}", before.revision, after.revision));
    }
    if after.revision == before.revision && after != before {
        return Err(format!("content of revision {} changed", after.revision));
    }
    Ok(())
}
