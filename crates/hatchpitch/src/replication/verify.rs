//! Checks the invariants of the log, of one replica and of a group.

use std::collections::BTreeMap;
use std::time::Instant;

use super::messages::{Entry, Index, NodeId, Term};
use super::state::Replica;

/// Checks one replica on its own.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify(replica: &Replica) -> Result<(), String> {
    let mut index = replica.log.start.index;
    let mut term = replica.log.start.term;
    for entry in &replica.log.entries {
        index += 1;
        if entry.index != index {
            return Err(format!("entry {} stands at {index}", entry.index));
        }
        if entry.term < term {
            return Err(format!("terms go down at {index}"));
        }
        term = entry.term;
    }
    if term > replica.hard.term {
        return Err("an entry is newer than the term".to_owned());
    }
    if replica.commit > replica.log.end().index || replica.commit < replica.log.start.index {
        return Err("the commit index lies outside the log".to_owned());
    }
    if replica.log.members() != (replica.members.clone(), replica.members_index) {
        return Err("the members are not those of the log".to_owned());
    }
    Ok(())
}

/// Follows a group of replicas over time.
#[derive(Debug, Default, Clone)]
pub struct GroupVerifier {
    leaders: BTreeMap<Term, NodeId>,
    committed: BTreeMap<Index, Entry>,
}

impl GroupVerifier {
    /// Checks all replicas after a step: one leader a term, equal committed
    /// entries, at most one lease at a time, leaders that hold everything committed.
    ///
    /// # Errors
    ///
    /// Returns the invariant that does not hold.
    pub fn observe<'a>(
        &mut self,
        replicas: impl Iterator<Item = &'a Replica> + Clone,
        now: Instant,
    ) -> Result<(), String> {
        for replica in replicas.clone() {
            verify(replica).map_err(|err| format!("replica {}: {err}", replica.id))?;
            self.observe_leader(replica)?;
            self.observe_committed(replica)?;
        }
        let leased = replicas.filter(|r| r.lease_until().is_some_and(|until| now < until));
        let leased: Vec<NodeId> = leased.map(|r| r.id).collect();
        if leased.len() > 1 {
            return Err(format!("replicas {leased:?} hold a lease at one time"));
        }
        Ok(())
    }

    /// Returns how many entries are known to be committed.
    pub fn committed(&self) -> usize {
        self.committed.len()
    }

    fn observe_leader(&mut self, replica: &Replica) -> Result<(), String> {
        if !replica.leads() {
            return Ok(());
        }
        let first = *self.leaders.entry(replica.term()).or_insert(replica.id);
        if first != replica.id {
            return Err(format!("{first} and {} lead term {}", replica.id, replica.term()));
        }
        let newest = self.leaders.last_key_value().map(|(term, _)| *term);
        if newest != Some(replica.term()) {
            return Ok(());
        }
        let missing = self.committed.range(replica.log.start.index + 1..);
        let missing = missing.filter(|(_, e)| e.term < replica.term());
        match missing.clone().find(|(index, entry)| replica.log.get(**index) != Some(entry)) {
            Some((index, _)) => Err(format!("leader {} lacks committed {index}", replica.id)),
            None => Ok(()),
        }
    }

    fn observe_committed(&mut self, replica: &Replica) -> Result<(), String> {
        let entries = replica.log.entries.iter().filter(|e| e.index <= replica.commit);
        for entry in entries {
            let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            if first != entry {
                return Err(format!("two entries were committed at {}", entry.index));
            }
        }
        Ok(())
    }
}
