//! Checks the invariants of [`Ledger`].

use super::content::ContentId;
use super::messages::Condition;
use super::state::{Ledger, MAX_CRASHES, MAX_KNOWN, MAX_SUSPECTS_PER_CRASH, MAX_WATCHED};

/// Checks the invariants of a single state.
///
/// # Errors
///
/// Returns a description of the invariant that is violated.
pub fn verify(ledger: &Ledger) -> Result<(), String> {
    for (life, crash) in &ledger.crashes {
        for content in crash.runs.keys() {
            if !ledger.suspects.get(content).is_some_and(|lives| lives.contains(life)) {
                return Err(format!(
                    "content {content} ran on {life} but is not a suspect of its crash"
                ));
            }
        }
        if crash.runs.len() > MAX_SUSPECTS_PER_CRASH {
            return Err(format!(
                "crash of {life} has {} suspects, more than the limit",
                crash.runs.len()
            ));
        }
        if crash.prompts.len() > MAX_SUSPECTS_PER_CRASH {
            return Err(format!("crash of {life} has {} prompts", crash.prompts.len()));
        }
    }
    for (content, lives) in &ledger.suspects {
        let ran = |life: &String| {
            ledger.crashes.get(life).is_some_and(|crash| crash.runs.contains_key(content))
        };
        if lives.is_empty() || !lives.iter().all(ran) {
            return Err(format!("content {content} is a suspect of a crash but did not run there"));
        }
    }
    if ledger.crashes.len() > MAX_CRASHES || ledger.known.len() > MAX_KNOWN {
        return Err("more is kept than may be".to_owned());
    }
    let list = ledger.list();
    let held = ledger.known.iter().filter(|(_, known)| known.is_held);
    if !held.map(|(content, known)| (content, &known.until)).eq(list.held.iter()) {
        return Err("held contents of the list differ from those of the ledger".to_owned());
    }
    let conditions = ledger
        .known
        .iter()
        .filter(|(_, known)| known.is_held && known.condition != Condition::default());
    if !conditions.map(|(cause, known)| (cause, &known.condition)).eq(list.conditions.iter()) {
        return Err("conditions of the list differ from those of the ledger".to_owned());
    }
    let mut suspects = ledger.parts.iter().chain(ledger.deferred.keys());
    if let Some(cause) = suspects.find(|cause| !ledger.suspects.contains_key(cause)) {
        return Err(format!("{cause} is kept as a suspect, but no crash of it is known"));
    }
    let is_listed = |part: &ContentId| list.held.contains_key(part) || list.watched.contains(part);
    if !list.parts.iter().all(is_listed) {
        return Err("list names parts that it neither holds nor watches".to_owned());
    }
    if list.watched.len() > MAX_WATCHED || list.watched.iter().any(|c| list.held.contains_key(c)) {
        return Err("list watches too many contents, or a held content".to_owned());
    }
    Ok(())
}

/// Checks the invariants of a transition from `before` to `after`.
///
/// # Errors
///
/// Returns a description of the invariant that is violated.
pub fn verify_step(before: &Ledger, after: &Ledger) -> Result<(), String> {
    verify(after)?;
    let (old, new) = (before.list(), after.list());
    if new.revision < old.revision {
        return Err(format!("revision decreased from {} to {}", old.revision, new.revision));
    }
    if new.revision == old.revision && new != old {
        return Err(format!("list changed without a new revision: {}", new.revision));
    }
    Ok(())
}
