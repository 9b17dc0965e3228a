//! Which upstreams this box reaches on its own links, and which boxes reach others, without I/O.
//!
//! A failed connect does not tell a lost link from a failed upstream. Another box tells them apart:
//! if it reaches the upstream, this box has lost its link; if it fails as well, the upstream has.
//! From the first lost link on, a box is assumed to have lost all of them until one works, because
//! a request that is sent on a lost link may be lost with it. A box is a witness against an upstream
//! only if its links to others work.
//!
//! A link on which connections are established and nothing comes back ([`super::silence`]) is lost
//! until a byte is received on it: neither a connect nor an open connection shows that it works.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::silence::{AnswerTable, Inquiries};

/// Time after which a failure that nothing has confirmed or refuted is forgotten.
const FAILURE_TTL: Duration = Duration::from_secs(10);
/// Time after a success for which the links of this box are assumed to work.
const WITNESS_TIME: Duration = Duration::from_secs(2);
/// Time after its last use at which a broken path is forgotten.
const BROKEN_TTL: Duration = Duration::from_secs(60);
/// Interval between probes of broken paths, over all paths of a box: connections are cheap, but
/// upstreams accept only so many.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which another box that did not help is asked only as a last resort.
const PEER_AVOIDANCE: Duration = Duration::from_secs(2);
/// Time for which another box that helped is asked first.
const PEER_PREFERENCE: Duration = Duration::from_secs(10);
/// Time for which a box that helped is assumed to respond. One that stands still keeps accepting
/// connections, and a request that it has received can no longer be sent to another.
const RESPONSIVE_TIME: Duration = Duration::from_millis(500);
/// Time after evidence against one link at which requests are abandoned on the other ones, unless a
/// byte has been received on one of them: a connect, the hold of a probe and its answer.
const CONFIRMATION_TIME: Duration = Duration::from_millis(250);

/// The tables that all tasks of one box share.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    /// Paths of this box to upstreams.
    pub paths: Rc<RefCell<PathTable>>,
    /// Other boxes as helpers.
    pub peers: Rc<RefCell<PeerTable>>,
    /// Answers of upstreams on links of this box.
    pub answers: Rc<RefCell<AnswerTable>>,
    /// Requests that other boxes are asked about.
    pub inquiries: Rc<RefCell<Inquiries>>,
}

/// Change that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// This box has no link to the upstream, but another box has.
    Broken,
    /// Established connections of this box to the upstream carry nothing.
    Silent,
    /// This box reaches the upstream again.
    Restored,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct BrokenPath {
    used_at: Instant,
    /// Whether another box reached the upstream.
    is_confirmed: bool,
    /// Time of the last evidence that connections are established and stay silent.
    silent_at: Option<Instant>,
}

/// Paths of this box to upstreams.
#[derive(Debug, Clone, Default)]
pub struct PathTable {
    pub(super) broken: BTreeMap<SocketAddr, BrokenPath>,
    /// Upstreams that failed since the last direct success, with the time of the failure.
    failing: BTreeMap<SocketAddr, Instant>,
    /// Whether a path was found to be broken since the last direct success.
    pub(super) is_isolated: bool,
    /// Time of the evidence if that path was silent.
    pub(super) silent_at: Option<Instant>,
    /// Upstreams from which a byte was received since that evidence.
    heard: BTreeSet<SocketAddr>,
    pub(super) last_failure: Option<Instant>,
    last_success: Option<Instant>,
    next_probe: Option<Instant>,
}

impl PathTable {
    /// Returns whether a request should be sent directly. Records the use of a broken path.
    pub fn is_direct(&mut self, addr: SocketAddr, now: Instant) -> bool {
        if let Some(path) = self.broken.get_mut(&addr) {
            path.used_at = now;
            return false;
        }
        !self.is_isolated
    }

    /// Returns whether a failure of this box at an upstream is evidence against the upstream: its
    /// link to another one worked lately, and none failed since.
    pub fn is_witness(&self, addr: SocketAddr, now: Instant) -> bool {
        let mut recent = self.failing.iter().filter(|(_, at)| now < **at + FAILURE_TTL);
        let has_links = self.last_success.is_some_and(|at| now < at + WITNESS_TIME);
        has_links && self.is_link_known(addr) && recent.all(|(failed, _)| *failed == addr)
    }

    /// Records a connection to `other` that was established at `connected`. Returns whether the
    /// failure of this box at `addr` is evidence against that upstream.
    pub fn record_witness(
        &mut self,
        other: SocketAddr,
        addr: SocketAddr,
        connected: Instant,
    ) -> bool {
        self.record_connect(other, connected);
        // Links may have become suspect while the connection was awaited.
        self.is_link_known(addr)
    }

    /// Returns whether nothing is known against the link to an upstream.
    pub fn is_link_known(&self, addr: SocketAddr) -> bool {
        !self.is_isolated && !self.broken.contains_key(&addr)
    }

    /// Returns whether an upstream failed lately.
    pub fn has_failed(&self, addr: SocketAddr, now: Instant) -> bool {
        self.failing.get(&addr).is_some_and(|at| now < *at + FAILURE_TTL)
    }

    /// Returns the number of broken paths.
    pub fn broken_count(&self) -> usize {
        self.broken.len()
    }

    /// Records a response or a successful probe on a connection of this box that was opened at
    /// `connected`. A connection from before the last failure may have outlived the links for new
    /// ones, so it shows nothing.
    pub fn record_success(&mut self, addr: SocketAddr, connected: Instant) -> Option<PathChange> {
        if self.last_failure.is_some_and(|failed| connected <= failed) {
            return None;
        }
        self.failing.clear();
        self.last_success = Some(connected);
        self.is_isolated = false;
        self.silent_at = None;
        self.heard.clear();
        self.broken.remove(&addr).map(|_| PathChange::Restored)
    }

    /// Records a connection opened at `connected` that was established and stayed open, on which
    /// nothing was received. It shows nothing about links that are silent.
    pub fn record_connect(&mut self, addr: SocketAddr, connected: Instant) -> Option<PathChange> {
        let is_silent = self.broken.get(&addr).is_some_and(|path| path.silent_at.is_some());
        if is_silent || self.silent_at.is_some() {
            return None;
        }
        self.record_success(addr, connected)
    }

    /// Records evidence that connections to an upstream are established and carry nothing. All
    /// links of the box are suspect from then on, unless this one was known to be silent.
    pub fn record_silence(&mut self, addr: SocketAddr, now: Instant) -> Option<PathChange> {
        if let Some(path) = self.broken.get_mut(&addr).filter(|path| path.silent_at.is_some()) {
            path.silent_at = Some(now);
            return None;
        }
        self.record_failure(addr, now);
        let path = BrokenPath { used_at: now, is_confirmed: true, silent_at: Some(now) };
        self.broken.insert(addr, path);
        self.is_isolated = true;
        self.silent_at = Some(now);
        self.heard.clear();
        // The last probe may have been that of a link which is known to be lost.
        self.next_probe = Some(now);
        Some(PathChange::Silent)
    }

    /// Records a byte received at `now` on a connection of any age. After evidence against another
    /// link it shows that this one still carries what was sent on it, but not that new connections
    /// work.
    pub fn record_byte(&mut self, addr: SocketAddr, now: Instant) {
        if self.silent_at.is_some_and(|at| now > at) {
            self.heard.insert(addr);
        }
    }

    /// Returns the time at which a repeatable request is abandoned on a connection that was opened
    /// at `connected`, if its link is suspect because of later evidence.
    pub fn abandon_at(&self, addr: SocketAddr, connected: Instant) -> Option<Instant> {
        let own = self.broken.get(&addr).and_then(|path| path.silent_at);
        let is_heard = self.heard.contains(&addr);
        let all = self.silent_at.filter(|_| !is_heard).map(|at| at + CONFIRMATION_TIME);
        let own = own.filter(|at| *at > connected);
        let all = all.filter(|at| *at > connected + CONFIRMATION_TIME);
        own.into_iter().chain(all).min()
    }

    /// Records that an upstream could not be reached on a link of this box. If other links work, the
    /// link is not taken to be silent any more, so that the upstream can be blamed.
    pub fn record_failure(&mut self, addr: SocketAddr, now: Instant) {
        let is_silent = self.broken.get(&addr).is_some_and(|path| path.silent_at.is_some());
        if is_silent && !self.is_isolated {
            self.broken.remove(&addr);
        }
        self.note_failure(addr, now);
    }

    fn note_failure(&mut self, addr: SocketAddr, now: Instant) {
        self.failing.retain(|_, at| now < *at + FAILURE_TTL);
        self.broken.retain(|_, path| now < path.used_at + BROKEN_TTL);
        self.failing.insert(addr, now);
        self.last_failure = Some(now);
    }

    /// Records that a connection was reset as soon as it was established. A request on such a
    /// connection would be lost, so the next one goes through another box, which shows whether the
    /// upstream has failed.
    pub fn record_reset(&mut self, addr: SocketAddr, now: Instant) {
        self.note_failure(addr, now);
        let path = BrokenPath { used_at: now, is_confirmed: false, silent_at: None };
        self.broken.entry(addr).or_insert(path);
    }

    /// Records that another box reached an upstream that this box did not reach or did not try.
    pub fn record_peer_success(&mut self, addr: SocketAddr, now: Instant) -> Option<PathChange> {
        if !self.failing.contains_key(&addr) && !self.broken.contains_key(&addr) {
            return None;
        }
        let silent_at = self.broken.get(&addr).and_then(|path| path.silent_at);
        let path = BrokenPath { used_at: now, is_confirmed: true, silent_at };
        let known = self.broken.insert(addr, path);
        if known.is_some_and(|known| known.is_confirmed) {
            return None;
        }
        self.is_isolated = true;
        Some(PathChange::Broken)
    }

    /// Records that a reliable witness failed at an upstream as well. This box may have a link.
    pub fn record_peer_failure(&mut self, addr: SocketAddr) {
        self.broken.remove(&addr);
        self.failing.remove(&addr);
    }

    /// Returns whether the path to an upstream should be probed now, and records the probe. Right
    /// after evidence against a link, the probe is left to the other ones, on which requests are
    /// abandoned unless it shows that they work.
    pub fn take_probe_of(&mut self, addr: SocketAddr, now: Instant) -> bool {
        let is_silent = self.broken.get(&addr).is_some_and(|path| path.silent_at.is_some());
        let is_recent = self.silent_at.is_some_and(|at| now < at + CONFIRMATION_TIME);
        !(is_silent && is_recent) && self.take_probe(now)
    }

    /// Returns whether a path should be probed now, and records the probe.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        let is_due = self.next_probe.is_none_or(|at| now >= at);
        if is_due {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
        is_due
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    helped_at: Option<Instant>,
    avoid_until: Option<Instant>,
}

/// Other boxes as helpers, by their addresses for boxes.
#[derive(Debug, Clone, Default)]
pub struct PeerTable(BTreeMap<SocketAddr, Peer>);

impl PeerTable {
    /// Orders boxes by how likely they are to help. `sample` holds some of the others in random
    /// order, and successive values of `draw` spread requests over the boxes that helped before.
    /// Unknown boxes are asked only after those: one that has lost its links as well may not know
    /// it yet, and a request that it sent is lost with it. A helper that is busy refuses, so others
    /// are found when they are needed.
    pub fn order(&self, sample: &[SocketAddr], draw: usize, now: Instant) -> Vec<SocketAddr> {
        let mut helpers: Vec<SocketAddr> = self.helpers(now).collect();
        if !helpers.is_empty() {
            let first = draw % helpers.len();
            helpers.rotate_left(first);
        }
        let others = sample.iter().copied().filter(|addr| !helpers.contains(addr));
        let (avoided, unknown): (Vec<SocketAddr>, Vec<SocketAddr>) =
            others.partition(|addr| self.is_avoided(addr, now));
        helpers.into_iter().chain(unknown).chain(avoided).collect()
    }

    /// Records that a box reached an upstream for this box.
    pub fn record_help(&mut self, addr: SocketAddr, now: Instant) {
        self.0.retain(|_, peer| {
            let is_helper = peer.helped_at.is_some_and(|at| now < at + PEER_PREFERENCE);
            is_helper || peer.avoid_until.is_some_and(|until| now < until)
        });
        self.0.insert(addr, Peer { helped_at: Some(now), avoid_until: None });
    }

    /// Records that a box could not be reached, has no link either, or is busy.
    pub fn record_no_help(&mut self, addr: SocketAddr, now: Instant) {
        let avoid_until = Some(now + PEER_AVOIDANCE);
        self.0.insert(addr, Peer { helped_at: None, avoid_until });
    }

    /// Returns whether a box helped so lately that it need not be asked first whether it responds.
    pub fn is_responsive(&self, addr: SocketAddr, now: Instant) -> bool {
        let helped_at = self.0.get(&addr).and_then(|peer| peer.helped_at);
        helped_at.is_some_and(|at| now < at + RESPONSIVE_TIME)
    }

    fn helpers(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let is_helper =
            move |peer: &Peer| peer.helped_at.is_some_and(|at| now < at + PEER_PREFERENCE);
        self.0.iter().filter(move |(_, peer)| is_helper(peer)).map(|(addr, _)| *addr)
    }

    fn is_avoided(&self, addr: &SocketAddr, now: Instant) -> bool {
        let peer = self.0.get(addr).copied().unwrap_or_default();
        peer.avoid_until.is_some_and(|until| now < until)
    }
}
