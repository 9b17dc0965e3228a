//! Checks the invariants of [`Table`] and [`Roster`].

use std::collections::BTreeSet;

use super::roster::Roster;
use super::table::Table;

/// Checks the table of a control box.
///
/// # Errors
///
/// Returns a description of the violated invariant.
pub fn verify_table(table: &Table) -> Result<(), String> {
    let (mut addrs, mut ids) = (BTreeSet::new(), BTreeSet::new());
    for (id, reg) in &table.registrations {
        if table.ended.contains_key(id) {
            return Err(format!("{id} is held although its life ended"));
        }
        if reg.changed_at > table.version {
            return Err(format!("{id} changed at a version above that of the table"));
        }
        if reg.record.life() != *id {
            return Err(format!("{id} holds the record of {}", reg.record.life()));
        }
        if !ids.insert(&reg.record.id) {
            return Err(format!("{} has two incarnations", reg.record.id));
        }
        if !addrs.insert(reg.record.addr) {
            return Err(format!("{} is held by two incarnations", reg.record.addr));
        }
    }
    Ok(())
}

/// Checks the roster of an entry box.
///
/// # Errors
///
/// Returns a description of the violated invariant.
pub fn verify_roster(roster: &Roster) -> Result<(), String> {
    for (life, known) in &roster.known {
        if roster.ended.contains_key(life) {
            return Err(format!("{life} is known although its incarnation ended"));
        }
        if known.sources.is_empty() {
            return Err(format!("{life} is reported by no control box"));
        }
        let (version, is_new) = known.first_reported;
        let mut others =
            roster.known.values().filter(|other| other.record.addr == known.record.addr);
        if is_new && others.any(|other| other.first_reported.0 < version) {
            return Err(format!(
                "{} is held by an incarnation that a new one replaced",
                known.record.addr
            ));
        }
    }
    Ok(())
}
