//! Checks the invariants of a [`ConfigState`].

use super::entity::xor;
use super::state::ConfigState;

/// Checks the invariants that hold within a single state.
///
/// # Errors
///
/// Returns a description of the violated invariant.
pub fn verify(state: &ConfigState) -> Result<(), String> {
    let digest = state.entities().fold([0; 32], |sum, entity| xor(sum, entity.digest()));
    if digest != state.digest {
        return Err("the digest is not that of the entities".to_owned());
    }
    for (key, versioned) in &state.entities {
        if versioned.entity.key() != *key {
            return Err(format!("{key:?} holds an entity of another key"));
        }
        if versioned.changed_at > state.number {
            return Err(format!("{key:?} changed after the number in force"));
        }
        if state.removed.contains_key(key) {
            return Err(format!("{key:?} is both present and removed"));
        }
    }
    if state.accepted.last_key_value().is_some_and(|(number, _)| *number > state.number) {
        return Err("an accepted number is above the one in force".to_owned());
    }
    Ok(())
}

/// Checks that `after` is a valid successor of `before` at one box.
///
/// # Errors
///
/// Returns a description of the violated invariant.
pub fn verify_step(before: &ConfigState, after: &ConfigState) -> Result<(), String> {
    verify(after)?;
    if after.number < before.number {
        return Err(format!("number went from {} to {}", before.number, after.number));
    }
    if after.number == before.number && after.digest != before.digest {
        return Err(format!("content of number {} changed", after.number));
    }
    for (number, accepted) in &before.accepted {
        if after.accepted.get(number).is_some_and(|now| now != accepted) {
            return Err(format!("content accepted under number {number} changed"));
        }
    }
    Ok(())
}
