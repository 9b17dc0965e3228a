//! Checks the invariants of one replica and of a group of replicas.

use std::collections::BTreeMap;
use std::time::Instant;

use super::messages::{Entry, Index, NodeId, Term};
use super::state::Replica;

/// Checks the invariants of a single replica.
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

/// Checks the invariants of a group of replicas over time.
#[derive(Debug, Default, Clone)]
pub struct GroupVerifier {
    /// Leader of each term.
    leaders: BTreeMap<Term, NodeId>,
    /// Entry committed at each index.
    committed: BTreeMap<Index, Entry>,
}

impl GroupVerifier {
    /// Checks all replicas after a step: there is at most one leader per term and one lease at a
    /// time, committed entries are equal, and a new leader holds every committed entry.
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
        let lease_holders = replicas.filter(|r| r.lease_until().is_some_and(|until| now < until));
        let lease_holders: Vec<NodeId> = lease_holders.map(|r| r.id).collect();
        if lease_holders.len() > 1 {
            return Err(format!("replicas {lease_holders:?} hold a lease at the same time"));
        }
        Ok(())
    }

    /// Returns the number of committed entries seen so far.
    pub fn committed(&self) -> usize {
        self.committed.len()
    }

    fn observe_leader(&mut self, replica: &Replica) -> Result<(), String> {
        if !replica.leads() {
            return Ok(());
        }
        let first = *self.leaders.entry(replica.term()).or_insert(replica.id);
        if first != replica.id {
            return Err(format!(
                "replicas {first} and {} both lead term {}",
                replica.id,
                replica.term()
            ));
        }
        let newest = self.leaders.last_key_value().map(|(term, _)| *term);
        if newest != Some(replica.term()) {
            return Ok(());
        }
        let missing = self.committed.range(replica.log.start.index + 1..);
        let missing = missing.filter(|(_, e)| e.term < replica.term());
        match missing.clone().find(|(index, entry)| replica.log.get(**index) != Some(entry)) {
            Some((index, _)) => {
                Err(format!("leader {} lacks the committed entry {index}", replica.id))
            }
            None => Ok(()),
        }
    }

    fn observe_committed(&mut self, replica: &Replica) -> Result<(), String> {
        let entries = replica.log.entries.iter().filter(|e| e.index <= replica.commit);
        for entry in entries {
            let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            if first != entry {
                return Err(format!("different entries were committed at index {}", entry.index));
            }
        }
        Ok(())
    }
}
