//! Replication: what a leader sends, what a follower keeps, what is committed, and the lease.

use std::time::Instant;

use super::messages::{Entry, Index, LogEnd, Message, NodeId, Payload, Round};
use super::state::{Leadership, Progress, Ready, Replica, Role, Snapshot};

/// Rounds whose send times are remembered.
const KEPT_ROUNDS: usize = 4_096;

impl Progress {
    pub(super) fn new(next: Index) -> Self {
        Self { next, matched: 0, heard: None, installing: None, large_on_its_way: false }
    }
}

impl Leadership {
    /// Returns when a round was sent, if it is remembered. Rounds are numbered without gaps.
    fn sent_at(&self, round: Round) -> Option<Instant> {
        let (first, _) = self.rounds.front()?;
        let offset = usize::try_from(round.checked_sub(*first)?).ok()?;
        self.rounds.get(offset).map(|(_, at)| *at)
    }
}

impl Replica {
    /// Returns until when this replica may act as the only leader; `None` if it may not.
    ///
    /// Until that moment no other replica can win an election, whatever the network does.
    pub fn lease_until(&self) -> Option<Instant> {
        let Role::Leader(leadership) = &self.role else { return None };
        if self.commit < leadership.first_index || !self.is_voter() {
            return None;
        }
        // Only who keeps this leader's first entry knows it by its log after a restart.
        let heard = self.quorum_heard(leadership, leadership.first_index)?;
        Some(heard + self.cfg.lease())
    }

    /// Returns the newest moment at which a majority that holds the log up to `index` was known
    /// to follow this leader.
    fn quorum_heard(&self, leadership: &Leadership, index: Index) -> Option<Instant> {
        let voters = self.members.voters.keys();
        let others = voters.filter(|id| **id != self.id);
        let progress = others.filter_map(|id| leadership.progress.get(id));
        let mut heard: Vec<Instant> =
            progress.filter(|p| p.matched >= index).filter_map(|p| p.heard).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.members.quorum() - usize::from(self.is_voter());
        match needed {
            0 => Some(leadership.rounds.back().map_or(leadership.since, |(_, at)| *at)),
            _ => heard.get(needed - 1).copied(),
        }
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        let Role::Leader(leadership) = &self.role else { return };
        let heard = self.quorum_heard(leadership, 0).unwrap_or(leadership.since);
        if now.duration_since(heard.max(leadership.since)) > self.cfg.election_max {
            // Check-quorum: a leader that a majority does not answer steps down.
            self.become_follower(None, now);
            return;
        }
        if now >= leadership.next_heartbeat {
            self.broadcast(now);
        }
    }

    pub(super) fn append_own(&mut self, payload: Payload) {
        let entry = Entry { term: self.hard.term, index: self.log.end().index + 1, payload };
        let changes_members = matches!(entry.payload, Payload::Members(_));
        self.log.push(entry.clone());
        if changes_members {
            self.refresh_members();
        }
        self.out.entries.push(entry);
    }

    /// Sends what each replica lacks, or a heartbeat, to all of them.
    pub(super) fn broadcast(&mut self, now: Instant) {
        let heartbeat = self.cfg.heartbeat;
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.round += 1;
        leadership.rounds.push_back((leadership.round, now));
        if leadership.rounds.len() > KEPT_ROUNDS {
            leadership.rounds.pop_front();
        }
        leadership.next_heartbeat = now + heartbeat;
        let ids: Vec<NodeId> = leadership.progress.keys().copied().collect();
        for id in ids {
            self.replicate(id, now);
            self.heartbeat_beside_large(id);
        }
    }

    /// Notes that a large message to a replica has arrived, or was lost on its way.
    pub fn large_ended(&mut self, to: NodeId) {
        if let Role::Leader(leadership) = &mut self.role
            && let Some(progress) = leadership.progress.get_mut(&to)
        {
            // A message that was lost shows as a gap at the next heartbeat.
            progress.large_on_its_way = false;
        }
    }

    /// Keeps a replica that waits for a large message from counting this leader as silent: it is
    /// told of nothing beyond what it is known to hold.
    fn heartbeat_beside_large(&mut self, to: NodeId) {
        let Role::Leader(leadership) = &self.role else { return };
        let Some(progress) = leadership.progress.get(&to).filter(|p| p.large_on_its_way) else {
            return;
        };
        let known = self.log.term_at(progress.matched);
        let known = known.map(|term| LogEnd { term, index: progress.matched });
        let message = Message::Append {
            term: self.hard.term,
            prev: known.unwrap_or(self.log.start),
            entries: Vec::new(),
            commit: self.commit,
            round: leadership.round,
        };
        self.send(to, message);
    }

    /// Sends what a replica lacks, or a heartbeat, unless a large message is on its way to it.
    fn replicate(&mut self, to: NodeId, now: Instant) {
        let Role::Leader(leadership) = &self.role else { return };
        let (round, progress) = (leadership.round, &leadership.progress[&to]);
        if progress.large_on_its_way {
            return;
        }
        let prev = progress.next - 1;
        let Some(prev_term) = self.log.term_at(prev) else {
            self.install(to, round, now);
            return;
        };
        let entries = self.batch(progress.next);
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
            // Optimistic; a lost message shows as a gap at the next heartbeat.
            progress.next += sent;
            progress.large_on_its_way = message.payload_len() > self.cfg.large_bytes;
        }
        self.send(to, message);
    }

    fn batch(&self, from: Index) -> Vec<Entry> {
        let mut bytes = 0;
        let within = |entry: &&Entry| {
            bytes += entry.payload.encoded_len();
            bytes <= self.cfg.max_bytes
        };
        let available = self.log.from(from);
        let mut batch: Vec<Entry> =
            available.iter().take(self.cfg.max_entries).take_while(within).cloned().collect();
        if batch.is_empty() {
            batch.extend(available.first().cloned());
        }
        batch
    }

    fn install(&mut self, to: NodeId, round: Round, now: Instant) {
        let rest = self.cfg.election_min;
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(progress) = leadership.progress.get_mut(&to) else { return };
        if progress.installing.is_some_and(|at| now.duration_since(at) < rest) {
            return;
        }
        progress.installing = Some(now);
        progress.large_on_its_way = self.snapshot_data.len() > self.cfg.large_bytes;
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
        self.note_leader(from, now);
        let (matched, index) = self.store(prev, entries);
        if matched {
            self.commit_to(commit.min(index));
        }
        let reply = Message::AppendReply { term: self.hard.term, matched, index, round };
        self.send(from, reply);
    }

    /// Stores entries after `prev`; returns whether they match and up to where,
    /// or from where the leader should try.
    fn store(&mut self, prev: LogEnd, entries: Vec<Entry>) -> (bool, Index) {
        let start = self.log.start.index;
        if prev.index > self.log.end().index {
            return (false, self.log.end().index);
        }
        if prev.index >= start && self.log.term_at(prev.index) != Some(prev.term) {
            // Everything up to the commit index matches every leader's log.
            return (false, self.commit.min(prev.index - 1));
        }
        let last = prev.index + entries.len() as u64;
        for entry in entries.into_iter().filter(|entry| entry.index > start) {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None => {}
            }
            self.out.entries.push(entry.clone());
            self.log.push(entry);
        }
        self.refresh_members();
        (true, last.max(start))
    }

    fn truncate(&mut self, from: Index) {
        assert!(from > self.commit, "a committed entry is never dropped");
        self.log.truncate(from);
        self.out.entries.retain(|entry| entry.index < from);
        let earlier = self.out.truncate_from.map_or(from, |before| before.min(from));
        self.out.truncate_from = Some(earlier);
    }

    pub(super) fn on_install(
        &mut self,
        from: NodeId,
        snapshot: Snapshot,
        round: Round,
        now: Instant,
    ) {
        self.note_leader(from, now);
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
            // The snapshot replaces all that the disk holds; what is kept is written again.
            let (hard, messages) = (Some(self.hard), std::mem::take(&mut self.out.messages));
            let snapshot = Some(snapshot);
            self.out = Ready { snapshot, hard, entries: kept, messages, ..Ready::default() };
        }
        let index = self.commit.min(end.index);
        let reply = Message::AppendReply { term: self.hard.term, matched: true, index, round };
        self.send(from, reply);
    }

    fn note_leader(&mut self, leader: NodeId, now: Instant) {
        // First: the time to this replica's next election depends on it.
        self.last_contact = Some(now);
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
        progress.heard = progress.heard.max(sent);
        if matched {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.installing = None;
            let behind = progress.next <= end;
            self.advance_commit(now);
            if behind {
                self.replicate(from, now);
            }
        } else if index >= progress.matched && index + 1 < progress.next {
            progress.next = index + 1;
            self.replicate(from, now);
        }
    }

    /// Commits what a majority holds durably, if it is of this leader's term.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let Role::Leader(leadership) = &self.role else { return };
        let mut held: Vec<Index> = self
            .members
            .voters
            .keys()
            .map(|id| match leadership.progress.get(id) {
                Some(progress) => progress.matched,
                None if *id == self.id => leadership.persisted,
                None => 0,
            })
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = held.get(self.members.quorum() - 1).copied() else { return };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit_to(index);
            self.after_commit(now);
        }
    }

    pub(super) fn commit_to(&mut self, index: Index) {
        let index = index.min(self.log.end().index);
        if index <= self.commit {
            return;
        }
        let new = self.log.from(self.commit + 1);
        let new = new.iter().take_while(|entry| entry.index <= index);
        self.out.committed.extend(new.cloned());
        self.commit = index;
    }
}
