//! Checks the invariants of [`Membership`].

use super::messages::Subject;
use super::state::Membership;

/// Checks one box's knowledge.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify(state: &Membership) -> Result<(), String> {
    if !matches!(state.own, Subject::Box(_)) || !state.members.contains_key(&state.own) {
        return Err("the own record is missing".to_owned());
    }
    match state.members.iter().find(|(subject, m)| m.record.subject != **subject) {
        Some((subject, _)) => Err(format!("{subject:?} holds another member's record")),
        None => Ok(()),
    }
}

/// Checks that no member's record went back between two moments.
///
/// # Errors
///
/// Returns the member whose record went back.
pub fn verify_step(before: &Membership, after: &Membership) -> Result<(), String> {
    verify(after)?;
    for record in before.records() {
        let now = after.get(&record.subject);
        if now.is_some_and(|now| now.version() < record.version()) {
            return Err(format!("{:?} went back", record.subject));
        }
    }
    Ok(())
}
