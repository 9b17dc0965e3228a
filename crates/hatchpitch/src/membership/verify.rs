//! Checks the invariants of [`Membership`].

use super::messages::Subject;
use super::state::Membership;

/// Checks the membership state of one box.
///
/// # Errors
///
/// Returns a description of the violated invariant.
pub fn verify(state: &Membership) -> Result<(), String> {
    if !matches!(state.own, Subject::Box(_)) || !state.members.contains_key(&state.own) {
        return Err("the box's own record is missing".to_owned());
    }
    match state.members.iter().find(|(subject, m)| m.record.subject != **subject) {
        Some((subject, _)) => Err(format!("{subject:?} holds the record of another member")),
        None => Ok(()),
    }
}

/// Checks that no record was replaced by an older one between two states.
///
/// # Errors
///
/// Returns a description of the violated invariant, or the member whose record is older.
pub fn verify_step(before: &Membership, after: &Membership) -> Result<(), String> {
    verify(after)?;
    for record in before.records() {
        let now = after.get(&record.subject);
        if now.is_some_and(|now| now.version() < record.version()) {
            return Err(format!("record of {:?} was replaced by an older one", record.subject));
        }
    }
    Ok(())
}
