//! Log replication, commitment and the leader lease.

use std::time::Instant;

use super::messages::{Entry, Index, LogEnd, Message, NodeId, Payload, Round};
use super::state::{Leadership, Progress, Ready, Replica, Role, Snapshot};

/// Number of recent rounds whose send times a leader keeps.
const MAX_TRACKED_ROUNDS: usize = 4_096;

impl Progress {
    pub(super) fn new(next: Index) -> Self {
        Self {
            next,
            matched: 0,
            last_contact: None,
            snapshot_sent_at: None,
            large_in_flight: false,
        }
    }
}

impl Leadership {
    /// Returns the send time of a round, or `None` if it is no longer kept. Rounds are numbered
    /// without gaps.
    fn sent_at(&self, round: Round) -> Option<Instant> {
        let (first, _) = self.rounds.front()?;
        let offset = usize::try_from(round.checked_sub(*first)?).ok()?;
        self.rounds.get(offset).map(|(_, at)| *at)
    }
}

impl Replica {
    /// Returns the end of this replica's leader lease, or `None` if it holds none.
    ///
    /// Until then no other replica can win an election, whatever the network does.
    pub fn lease_until(&self) -> Option<Instant> {
        let Role::Leader(leadership) = &self.role else { return None };
        if self.commit < leadership.first_index || !self.is_voter() {
            return None;
        }
        // Only voters that hold the first entry of this leader's term count: after a restart, only
        // their logs identify this replica as a voter to be queried (see `restart`).
        let last_contact = self.quorum_contact(leadership, leadership.first_index)?;
        Some(last_contact + self.cfg.lease())
    }

    /// Returns the latest time at which a quorum whose logs match up to `index` is known to have
    /// followed this leader.
    fn quorum_contact(&self, leadership: &Leadership, index: Index) -> Option<Instant> {
        let voters = self.members.voters.keys();
        let others = voters.filter(|id| **id != self.id);
        let progress = others.filter_map(|id| leadership.progress.get(id));
        let mut contacts: Vec<Instant> =
            progress.filter(|p| p.matched >= index).filter_map(|p| p.last_contact).collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.members.quorum() - usize::from(self.is_voter());
        match needed {
            0 => Some(leadership.rounds.back().map_or(leadership.elected_at, |(_, at)| *at)),
            _ => contacts.get(needed - 1).copied(),
        }
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        let Role::Leader(leadership) = &self.role else { return };
        let last_contact = self.quorum_contact(leadership, 0).unwrap_or(leadership.elected_at);
        if now.duration_since(last_contact.max(leadership.elected_at)) > self.cfg.election_max {
            // Check-quorum: a leader steps down when a majority stops answering.
            self.become_follower(None, now);
            return;
        }
        if now >= leadership.next_heartbeat {
            self.broadcast(now);
        }
    }

    pub(super) fn append_entry(&mut self, payload: Payload) {
        let entry = Entry { term: self.hard.term, index: self.log.end().index + 1, payload };
        let changes_members = matches!(entry.payload, Payload::Members(_));
        self.log.push(entry.clone());
        if changes_members {
            self.refresh_members();
        }
        self.pending.entries.push(entry);
    }

    /// Starts a round: sends every other replica its missing entries or a heartbeat.
    pub(super) fn broadcast(&mut self, now: Instant) {
        let heartbeat = self.cfg.heartbeat;
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.round += 1;
        leadership.rounds.push_back((leadership.round, now));
        if leadership.rounds.len() > MAX_TRACKED_ROUNDS {
            leadership.rounds.pop_front();
        }
        leadership.next_heartbeat = now + heartbeat;
        let ids: Vec<NodeId> = leadership.progress.keys().copied().collect();
        for id in ids {
            self.replicate(id, now);
            self.heartbeat_during_large(id);
        }
    }

    /// Records that the large message in flight to a replica was delivered or lost.
    pub fn large_done(&mut self, to: NodeId) {
        if let Role::Leader(leadership) = &mut self.role
            && let Some(progress) = leadership.progress.get_mut(&to)
        {
            // If the message was lost, the reply to the next heartbeat reveals the gap.
            progress.large_in_flight = false;
        }
    }

    /// Sends a heartbeat to a replica that has a large message in flight, so that its election
    /// timer does not expire. The heartbeat refers to no entry beyond the replica's match index.
    fn heartbeat_during_large(&mut self, to: NodeId) {
        let Role::Leader(leadership) = &self.role else { return };
        let Some(progress) = leadership.progress.get(&to).filter(|p| p.large_in_flight) else {
            return;
        };
        let prev = self.log.term_at(progress.matched);
        let prev = prev.map(|term| LogEnd { term, index: progress.matched });
        let message = Message::Append {
            term: self.hard.term,
            prev: prev.unwrap_or(self.log.start),
            entries: Vec::new(),
            commit: self.commit,
            round: leadership.round,
        };
        self.send(to, message);
    }

    /// Sends a replica its missing entries or a heartbeat, unless a large message to it is in
    /// flight. Sends a snapshot if the missing entries have been compacted.
    fn replicate(&mut self, to: NodeId, now: Instant) {
        let Role::Leader(leadership) = &self.role else { return };
        let (round, progress) = (leadership.round, &leadership.progress[&to]);
        if progress.large_in_flight {
            return;
        }
        let prev = progress.next - 1;
        let Some(prev_term) = self.log.term_at(prev) else {
            self.send_snapshot(to, round, now);
            return;
        };
        let entries = self.entries_to_send(progress.next);
        let sent = entries.len() as u64;
        let message = Message::Append {
            term: self.hard.term,
            prev: LogEnd { term: prev_term, index: prev },
            entries,
            commit: self.commit,
            round,
        };
        if let Role::Leader(leadership) = &mut self.role
            && let Some(progress) = leadership.progress.get_mut(&to)
        {
            // Optimistic: if the message is lost, the reply to the next heartbeat reveals the gap.
            progress.next += sent;
            progress.large_in_flight = message.payload_len() > self.cfg.large_bytes;
        }
        self.send(to, message);
    }

    /// Returns entries from `from` on within the limits of a message, but at least one if any
    /// exist.
    fn entries_to_send(&self, from: Index) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.payload.encoded_len();
            bytes <= self.cfg.max_bytes
        };
        let available = self.log.from(from);
        let mut batch: Vec<Entry> =
            available.iter().take(self.cfg.max_entries).take_while(fits).cloned().collect();
        if batch.is_empty() {
            batch.extend(available.first().cloned());
        }
        batch
    }

    /// Sends the snapshot to a replica, at most once per `election_min` while it is unanswered.
    fn send_snapshot(&mut self, to: NodeId, round: Round, now: Instant) {
        let resend_after = self.cfg.election_min;
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.progress.get_mut(&to) else { return };
        if progress.snapshot_sent_at.is_some_and(|at| now.duration_since(at) < resend_after) {
            return;
        }
        progress.snapshot_sent_at = Some(now);
        progress.large_in_flight = self.snapshot_data.len() > self.cfg.large_bytes;
        let message = Message::Install {
            term: self.hard.term,
            end: self.log.start,
            members: self.log.start_members.clone(),
            data: self.snapshot_data.clone(),
            round,
        };
        self.send(to, message);
    }

    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        prev: LogEnd,
        entries: Vec<Entry>,
        commit: Index,
        round: Round,
        now: Instant,
    ) {
        if self.contradicts_commit(&entries) {
            // Either log lost entries that a majority held. This one keeps what it has.
            log::error!("replica {from:016x} sent entries in place of committed ones; dropped");
            return;
        }
        self.record_leader_contact(from, now);
        let (matched, index) = self.store_entries(prev, entries);
        if matched {
            self.commit_to(commit.min(index));
        }
        let reply = Message::AppendReply { term: self.hard.term, matched, index, round };
        self.send(from, reply);
    }

    /// Returns whether one of the entries differs from a committed one.
    fn contradicts_commit(&self, entries: &[Entry]) -> bool {
        let committed = entries.iter().filter(|entry| entry.index <= self.commit);
        let known = committed.filter_map(|entry| Some((entry, self.log.term_at(entry.index)?)));
        known.into_iter().any(|(entry, term)| term != entry.term)
    }

    /// Stores the entries that follow `prev`. Returns whether the log matches the leader's, and the
    /// last matching index or, on a mismatch, the one after which the leader should try next.
    fn store_entries(&mut self, prev: LogEnd, entries: Vec<Entry>) -> (bool, Index) {
        let start = self.log.start.index;
        if prev.index > self.log.end().index {
            return (false, self.log.end().index);
        }
        if prev.index >= start && self.log.term_at(prev.index) != Some(prev.term) {
            // Entries up to the commit index match the log of every later leader.
            return (false, self.commit.min(prev.index - 1));
        }
        let last = prev.index + entries.len() as u64;
        for entry in entries.into_iter().filter(|entry| entry.index > start) {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None => {}
            }
            self.pending.entries.push(entry.clone());
            self.log.push(entry);
        }
        self.refresh_members();
        (true, last.max(start))
    }

    fn truncate(&mut self, from: Index) {
        assert!(from > self.commit, "committed entries must not be truncated");
        self.log.truncate(from);
        self.pending.entries.retain(|entry| entry.index < from);
        let earlier = self.pending.truncate_from.map_or(from, |before| before.min(from));
        self.pending.truncate_from = Some(earlier);
    }

    pub(super) fn on_install(
        &mut self,
        from: NodeId,
        snapshot: Snapshot,
        round: Round,
        now: Instant,
    ) {
        self.record_leader_contact(from, now);
        let end = snapshot.end;
        if end.index > self.commit {
            self.commit = end.index;
            self.snapshot_data.clone_from(&snapshot.data);
            let kept = match self.log.term_at(end.index) {
                Some(term) if term == end.term => self.log.from(end.index + 1).to_vec(),
                _ => Vec::new(),
            };
            self.log = super::entries::Entries::new(end, snapshot.members.clone(), kept.clone());
            self.refresh_members();
            // The snapshot replaces the whole log file, so the remaining entries are written again.
            let (hard, messages) = (Some(self.hard), std::mem::take(&mut self.pending.messages));
            let snapshot = Some(snapshot);
            self.pending = Ready { snapshot, hard, entries: kept, messages, ..Ready::default() };
        }
        let index = self.commit.min(end.index);
        let reply = Message::AppendReply { term: self.hard.term, matched: true, index, round };
        self.send(from, reply);
    }

    fn record_leader_contact(&mut self, leader: NodeId, now: Instant) {
        // Must be set first: `become_follower` resets the election timer, whose range depends on
        // it.
        self.leader_contact = Some(now);
        self.become_follower(Some(leader), now);
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: NodeId,
        matched: bool,
        index: Index,
        round: Round,
        now: Instant,
    ) {
        let end = self.log.end().index;
        let Role::Leader(leadership) = &mut self.role else { return };
        let sent = leadership.sent_at(round);
        let Some(progress) = leadership.progress.get_mut(&from) else { return };
        progress.last_contact = progress.last_contact.max(sent);
        if matched {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.snapshot_sent_at = None;
            let has_more = progress.next <= end;
            self.advance_commit(now);
            if has_more {
                self.replicate(from, now);
            }
        } else if index >= progress.matched && index + 1 < progress.next {
            progress.next = index + 1;
            self.replicate(from, now);
        }
    }

    /// Advances the commit index to the last index that a majority holds durably, if its entry is
    /// of this leader's term.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let Role::Leader(leadership) = &self.role else { return };
        let mut matched: Vec<Index> = self
            .members
            .voters
            .keys()
            .map(|id| match leadership.progress.get(id) {
                Some(progress) => progress.matched,
                None if *id == self.id => leadership.persisted,
                None => 0,
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.members.quorum() - 1).copied() else { return };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit_to(index);
            self.step_down_if_removed(now);
        }
    }

    pub(super) fn commit_to(&mut self, index: Index) {
        let index = index.min(self.log.end().index);
        if index <= self.commit {
            return;
        }
        let new = self.log.from(self.commit + 1);
        let new = new.iter().take_while(|entry| entry.index <= index);
        self.pending.committed.extend(new.cloned());
        self.commit = index;
    }
}
