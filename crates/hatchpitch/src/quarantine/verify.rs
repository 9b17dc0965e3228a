//! Checks the invariants of [`Ledger`].

use super::messages::MAX_RUNS;
use super::state::{Ledger, MAX_CRASHES, MAX_KNOWN, MAX_WATCHED};

/// Checks a ledger on its own.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify(ledger: &Ledger) -> Result<(), String> {
    for (life, crash) in &ledger.crashes {
        for content in crash.runs.keys() {
            if !ledger.suspects.get(content).is_some_and(|lives| lives.contains(life)) {
                return Err(format!("{content} ran on {life} and is no suspect of its crash"));
            }
        }
        if crash.runs.len() > MAX_RUNS {
            return Err(format!("{life} has {} runs", crash.runs.len()));
        }
    }
    for (content, lives) in &ledger.suspects {
        let ran = |life: &String| {
            ledger.crashes.get(life).is_some_and(|crash| crash.runs.contains_key(content))
        };
        if lives.is_empty() || !lives.iter().all(ran) {
            return Err(format!("{content} is a suspect of a crash under which it did not run"));
        }
    }
    if ledger.crashes.len() > MAX_CRASHES || ledger.known.len() > MAX_KNOWN {
        return Err("more is kept than may be".to_owned());
    }
    let list = ledger.list();
    let held = ledger.known.iter().filter(|(_, known)| known.is_held);
    if !held.map(|(content, known)| (content, &known.until)).eq(list.held.iter()) {
        return Err("the list holds other contents".to_owned());
    }
    if list.watched.len() > MAX_WATCHED || list.watched.iter().any(|c| list.held.contains_key(c)) {
        return Err("the list watches too many contents, or held ones".to_owned());
    }
    Ok(())
}

/// Checks that `after` can follow `before`.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify_step(before: &Ledger, after: &Ledger) -> Result<(), String> {
    verify(after)?;
    let (old, new) = (before.list(), after.list());
    if new.revision < old.revision {
        return Err(format!("revision went from {} to {}", old.revision, new.revision));
    }
    if new.revision == old.revision && new != old {
        return Err(format!("the list of revision {} changed", new.revision));
    }
    Ok(())
}
