//! Checks the invariants of a [`Table`] and a [`Roster`].

use std::collections::BTreeSet;

use super::roster::Roster;
use super::table::Table;

/// Checks a control box's table.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify_table(table: &Table) -> Result<(), String> {
    let (mut addrs, mut ids) = (BTreeSet::new(), BTreeSet::new());
    for (id, held) in &table.held {
        if table.ended.contains_key(id) {
            return Err(format!("{id} is held although its life ended"));
        }
        if held.changed > table.version {
            return Err(format!("{id} changed after the newest version"));
        }
        if held.record.life() != *id {
            return Err(format!("{id} holds the record of {}", held.record.life()));
        }
        if !ids.insert(&held.record.id) {
            return Err(format!("{} has two lives", held.record.id));
        }
        if !addrs.insert(held.record.addr) {
            return Err(format!("{} is held by two lives", held.record.addr));
        }
    }
    Ok(())
}

/// Checks an entry box's roster.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify_roster(roster: &Roster) -> Result<(), String> {
    for (id, known) in &roster.known {
        if roster.ended.contains_key(id) {
            return Err(format!("{id} is known although its life ended"));
        }
        if known.sources.is_empty() {
            return Err(format!("{id} is named by no control box"));
        }
        let (version, is_new) = known.named;
        let mut others =
            roster.known.values().filter(|other| other.record.addr == known.record.addr);
        if is_new && others.any(|other| other.named.0 < version) {
            return Err(format!("{} is held by a life before the new one", known.record.addr));
        }
    }
    Ok(())
}
