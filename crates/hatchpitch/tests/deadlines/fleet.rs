//! Boxes, upstreams and the messages between them, in virtual time. Requests arrive at random at a
//! rate that changes from phase to phase.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch::admission::{Placement, Ticket};
use hatchpitch::config::{ConfigState, FleetView, load_fleet};
use hatchpitch::dispatch::{OwnerChoice, OwnerMap, Quote, SlotRequest, verify};
use hatchpitch::ids::{AttemptId, FailureDomainName, RunnerName};
use hatchpitch::membership::{MemberRecord, MemberStatus, Subject};
use hatchpitch::routing::RunReport;
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::upstream_signals::notices::FANOUT;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::{Clock, MS, Micros, SECOND};
use crate::relay::Request;
use crate::scenario::{Scenario, WARM_UP, WORK};
use crate::sim_box::{Asker, Reply, SimBox};
use crate::upstream::{Answer, Arrival, ROOM, RunId, Upstream};

pub const POOL: &str = "s";
/// One-way delay between boxes, and between boxes and upstreams.
pub const HOP: Micros = MS;
/// Interval at which a gate with waiting requests checks for free capacity.
const POLL_PERIOD: Micros = 20 * MS;
/// Time for which notices are collected before they are sent.
const NOTICE_DELAY: Micros = 20 * MS;
/// Time after which an owner drops a slot whose holder stopped to wait for it: the age from which
/// on syncs list all slots, and half of the interval between syncs.
const SYNC_TIME: Micros = 5 * SECOND;

/// A message or a timer.
#[derive(Debug)]
pub enum Event {
    /// The next request arrives.
    Arrive,
    /// A request asks for a slot again, after a wait for upstreams that rest.
    Obtain { request: usize, serial: u32 },
    /// Owners are asked for quotes.
    AskQuotes { request: usize, serial: u32, owners: Vec<usize> },
    /// Their quotes arrive.
    Quotes { request: usize, serial: u32, quotes: Vec<(SocketAddr, Quote)> },
    /// An owner is asked for a slot.
    Ask { owner: usize, asker: Asker, waits: bool },
    /// Its answer arrives.
    Answer { request: usize, serial: u32, owner: usize, id: AttemptId, reply: Reply },
    /// A holder gives back a slot that another box granted.
    Release { owner: usize, id: AttemptId, report: RunReport },
    /// A request stopped to wait at another box.
    Cancel { owner: usize, ticket: Ticket },
    /// A request arrives at an upstream.
    Reach { upstream: usize, run: RunId },
    /// An upstream has done its work.
    Finish { upstream: usize, run: RunId },
    /// The response arrives at the box.
    Head { run: RunId, answer: Answer, is_brittle: bool },
    /// The caller stops waiting.
    Deadline { request: usize },
    /// A queue is checked.
    Tick { at: usize },
    /// Collected notices are sent.
    SendNotices { at: usize },
    /// Notices arrive.
    Notices { at: usize, notices: Rc<Vec<(RunnerName, Duration)>> },
}

struct Scheduled {
    at: Micros,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

pub struct Fleet {
    pub clock: Clock,
    pub boxes: Vec<SimBox>,
    pub upstreams: Vec<Upstream>,
    pub requests: Vec<Request>,
    pub rng: SmallRng,
    pub scenario: Scenario,
    /// Upstreams as boxes know them, in order of name.
    pub specs: Vec<RunnerSpec>,
    /// Owner of each upstream.
    pub owner_of: Vec<usize>,
    /// Owners, with the number of their upstreams and the failure domains that these are in.
    owners: Vec<(usize, usize, HashSet<FailureDomainName>)>,
    events: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let clock = Clock::default();
        let domain = |at: usize| format!("d{}", at % scenario.domains);
        let members: Vec<MemberRecord> =
            (0..scenario.boxes).map(|at| member(at, domain(at))).collect();
        let specs: Vec<RunnerSpec> = (0..scenario.upstreams)
            .map(|at| RunnerSpec {
                name: format!("u{at:04}"),
                addr: ([10, 1, 0, 0], 1).into(),
                failure_domain: domain(at),
                slots: ROOM,
                memory: None,
                copy_rate: f64::INFINITY,
            })
            .collect();
        let mut map = OwnerMap::default();
        map.set_engines(&fleet_view(&specs, scenario.domains));
        map.update(&members.iter().collect::<Vec<_>>(), &members[0]);
        let owner_of: Vec<usize> =
            specs.iter().map(|spec| box_at(map.owner_addr(&spec.name).unwrap())).collect();
        let counts: BTreeMap<usize, usize> =
            map.owners_of(POOL).into_iter().map(|(addr, count)| (box_at(addr), count)).collect();
        let domains: Vec<FailureDomainName> = (0..scenario.domains).map(domain).collect();
        let owners = counts.into_iter().map(|(owner, count)| {
            let owned = domains.iter().filter(|domain| map.owns_in(domain, box_addr(owner)));
            (owner, count, owned.cloned().collect())
        });
        let new_box = |at| SimBox::new(domain(at), &specs, clock.instant());
        Self {
            clock,
            boxes: (0..scenario.boxes).map(new_box).collect(),
            upstreams: (0..scenario.upstreams).map(|_| Upstream::default()).collect(),
            requests: Vec::new(),
            rng: SmallRng::seed_from_u64(scenario.seed),
            owners: owners.collect(),
            owner_of,
            specs,
            scenario,
            events: BinaryHeap::new(),
            sequence: 0,
        }
    }

    /// Simulates all phases.
    ///
    /// # Panics
    ///
    /// Panics if the queue of a box violates an invariant at the end.
    pub fn run(&mut self) {
        let now = self.now();
        for sim_box in &mut self.boxes {
            // Boxes that start together would also choose upstreams in step.
            let earlier = self.rng.random_range(0..self.specs.len());
            sim_box.place_earlier_requests(earlier, now);
        }
        self.post(0, Event::Arrive);
        let end = WARM_UP + self.scenario.end();
        while let Some(Reverse(scheduled)) = self.events.pop() {
            if scheduled.at >= end {
                break;
            }
            self.clock.now = scheduled.at;
            self.handle(scheduled.event);
        }
        for at in 0..self.boxes.len() {
            // A table forgets upstreams of other boxes when it is synced the next time.
            self.apply_placement(at, self.boxes[at].placement);
            verify::verify(&self.boxes[at].line).unwrap();
        }
    }

    pub fn now(&self) -> Instant {
        self.clock.instant()
    }

    pub fn post(&mut self, after: Micros, event: Event) {
        self.sequence += 1;
        let at = self.clock.now + after;
        self.events.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// Returns the delay of a message from one box to another, or to itself.
    pub fn hop(&self, from: usize, to: usize) -> Micros {
        if from == to { 0 } else { HOP }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Obtain { request, serial } => self.obtain_again(request, serial),
            Event::AskQuotes { request, serial, owners } => {
                let quotes = self.quotes(request, serial, &owners);
                self.post(HOP, Event::Quotes { request, serial, quotes });
            }
            Event::Quotes { request, serial, quotes } => {
                self.receive_quotes(request, serial, quotes);
            }
            Event::Ask { owner, asker, waits } => self.ask(owner, asker, waits),
            Event::Answer { request, serial, owner, id, reply } => {
                self.receive_reply(request, serial, owner, id, reply);
            }
            Event::Release { owner, id, report } => {
                let now = self.now();
                self.boxes[owner].release(&id, report, now);
                self.deliver(owner);
            }
            Event::Cancel { owner, ticket } => self.boxes[owner].cancel(ticket),
            Event::Reach { upstream, run } => self.reach(upstream, run),
            Event::Finish { upstream, run } => {
                if self.upstreams[upstream].finish(run) {
                    self.respond(run, Answer::Served);
                }
            }
            Event::Head { run, answer, is_brittle } => self.receive_head(run, answer, is_brittle),
            Event::Deadline { request } => self.time_out(request),
            Event::Tick { at } => self.tick(at),
            Event::SendNotices { at } => self.send_notices(at),
            Event::Notices { at, notices } => {
                for (upstream, left) in notices.iter() {
                    self.mark_brittle(at, upstream, *left);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let rate = self.scenario.rate(self.clock.now);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.post((gap * SECOND as f64) as Micros, Event::Arrive);
        let home = self.rng.random_range(0..self.boxes.len());
        self.begin(home);
    }

    fn reach(&mut self, upstream: usize, run: RunId) {
        let (now, is_brittle) = (self.clock.now, self.scenario.is_brittle(self.clock.now));
        match self.upstreams[upstream].receive(run, is_brittle, now) {
            Arrival::Runs => {
                let work = self.rng.random_range(WORK);
                self.post(work, Event::Finish { upstream, run });
            }
            Arrival::Ends(answer) => self.respond(run, answer),
            Arrival::Fails(broken) => {
                self.respond(run, Answer::Rejected);
                broken.into_iter().for_each(|run| self.respond(run, Answer::Broken));
            }
        }
    }

    fn respond(&mut self, run: RunId, answer: Answer) {
        let says = matches!(answer, Answer::Served | Answer::Rejected);
        let is_brittle = says && self.scenario.is_brittle(self.clock.now);
        self.post(HOP, Event::Head { run, answer, is_brittle });
    }

    /// Applies a change of placement, as `EntryCx::sync_gates` does.
    pub fn sync(&mut self, at: usize) {
        let now = self.now();
        let placement = match self.boxes[at].is_placed_by_owners(&self.specs, now) {
            true => Placement::Owner,
            false => Placement::Local,
        };
        if placement != self.boxes[at].placement {
            self.apply_placement(at, placement);
            self.deliver(at);
        }
    }

    fn apply_placement(&mut self, at: usize, placement: Placement) {
        let owns =
            |upstream: &usize| placement == Placement::Local || self.owner_of[*upstream] == at;
        let owned = (0..self.specs.len()).filter(owns).map(|at| self.specs[at].clone());
        let (now, share) = (self.now(), self.rejection_share(placement));
        self.boxes[at].apply_placement(placement, owned.collect(), share, now);
    }

    pub fn rejection_share(&self, placement: Placement) -> f64 {
        match placement {
            Placement::Owner => 1.0,
            Placement::Local => 1.0 / self.boxes.len() as f64,
        }
    }

    /// Returns the owners that a request of a box may ask.
    pub fn owner_choices(&self, home: usize) -> Vec<OwnerChoice> {
        let near = &self.boxes[home].domain;
        let choice = |(owner, engines, domains): &(usize, usize, HashSet<FailureDomainName>)| {
            OwnerChoice { addr: box_addr(*owner), engines: *engines, near: domains.contains(near) }
        };
        self.owners.iter().map(choice).collect()
    }

    fn quotes(
        &mut self,
        request: usize,
        serial: u32,
        owners: &[usize],
    ) -> Vec<(SocketAddr, Quote)> {
        let mut quotes = Vec::new();
        for owner in owners {
            self.sync(*owner);
            let Some(want) = self.want_at(request, serial, *owner) else { return Vec::new() };
            let quote = self.boxes[*owner].quote(&want, self.now());
            quotes.extend(quote.map(|quote| (box_addr(*owner), quote)));
        }
        quotes
    }

    fn ask(&mut self, owner: usize, asker: Asker, waits: bool) {
        self.sync(owner);
        let (request, serial, id) = (asker.request, asker.serial, asker.want.id.clone());
        let cost = self.boxes[owner].line.cost(&asker.want);
        let now = self.now();
        match self.boxes[owner].decide(Asker { cost, ..asker }, waits, now) {
            Reply::Queued(ticket) => self.enter_queue(request, owner, ticket),
            reply => self.answer(owner, request, serial, id, reply),
        }
        self.deliver(owner);
    }

    fn answer(&mut self, owner: usize, request: usize, serial: u32, id: AttemptId, reply: Reply) {
        let delay = self.hop(self.requests[request].home, owner);
        self.post(delay, Event::Answer { request, serial, owner, id, reply });
    }

    /// Passes on the answers to queued requests of a box, and checks the queue while any waits.
    pub fn deliver(&mut self, at: usize) {
        let now = self.now();
        for (asker, slot) in self.boxes[at].take_answers(now) {
            let reply = match slot {
                Ok(spec) => Reply::Slot(spec),
                Err(refusal) => Reply::Refused(refusal),
            };
            self.answer(at, asker.request, asker.serial, asker.want.id, reply);
        }
        if self.boxes[at].waiting() > 0 && !std::mem::replace(&mut self.boxes[at].ticks, true) {
            self.post(POLL_PERIOD, Event::Tick { at });
        }
    }

    fn tick(&mut self, at: usize) {
        let now = self.now();
        self.boxes[at].ticks = false;
        self.boxes[at].line.tick(now);
        self.deliver(at);
    }

    /// Drops a slot that was granted to a request which no longer waits for it.
    pub fn reclaim(&mut self, owner: usize, home: usize, id: AttemptId) {
        let after = if owner == home { 0 } else { SYNC_TIME };
        self.post(after, Event::Release { owner, id, report: RunReport::RELEASED });
    }

    /// Records that an upstream is brittle and notifies other boxes, as `upstream_signals::task`
    /// does.
    pub fn mark_brittle(&mut self, at: usize, upstream: &str, ttl: Duration) {
        let now = self.now();
        if !self.boxes[at].record_brittle(upstream, ttl, now) {
            return;
        }
        if self.boxes[at].notices.is_empty() {
            self.post(NOTICE_DELAY, Event::SendNotices { at });
        }
        self.boxes[at].notices.insert(upstream.to_owned());
    }

    fn send_notices(&mut self, at: usize) {
        let now = self.now();
        let notices = Rc::new(self.boxes[at].take_notices(now));
        let others = self.boxes.len() - 1;
        for peer in rand::seq::index::sample(&mut self.rng, others, FANOUT.min(others)) {
            let peer = if peer >= at { peer + 1 } else { peer };
            self.post(HOP, Event::Notices { at: peer, notices: notices.clone() });
        }
    }

    /// Returns the request for a slot as an owner gets it, unless the request has moved on.
    fn want_at(&self, request: usize, serial: u32, owner: usize) -> Option<SlotRequest> {
        let req = &self.requests[request];
        (req.is_at(serial)).then(|| self.wanted(req, owner))
    }
}

fn member(at: usize, failure_domain: FailureDomainName) -> MemberRecord {
    MemberRecord {
        subject: Subject::Box(box_name(at)),
        incarnation: 1,
        status: MemberStatus::Alive,
        addr: box_addr(at),
        box_addr: box_addr(at),
        failure_domain,
    }
}

fn box_name(at: usize) -> String {
    format!("box-{at}")
}

pub fn box_addr(at: usize) -> SocketAddr {
    ([10, 0, (at / 200) as u8, (at % 200) as u8], 1).into()
}

pub fn box_at(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else { unreachable!("boxes have IPv4 addresses") };
    let [.., high, low] = addr.ip().octets();
    usize::from(high) * 200 + usize::from(low)
}

/// Returns a view of a fleet whose only pool has these upstreams.
fn fleet_view(specs: &[RunnerSpec], domains: usize) -> FleetView {
    let mut text = String::from("number = 1\n");
    for domain in 0..domains {
        text.push_str(&format!("[[failure_domain]]\nname = \"d{domain}\"\nregion = \"r\"\n"));
    }
    text.push_str(&format!(
        "[[pool]]\nname = \"{POOL}\"\nmodel = \"m\"\nversion = \"1\"\nmax_tokens = 100\n"
    ));
    for RunnerSpec { name, failure_domain, .. } in specs {
        text.push_str(&format!(
            "[[runner]]\nname = \"{name}\"\npool = \"{POOL}\"\naddr = \"127.0.0.1:1\"\n\
             failure_domain = \"{failure_domain}\"\nmax_batch = {ROOM}\n"
        ));
    }
    let fleet = load_fleet("f", &text).unwrap();
    let mut state = ConfigState::default();
    let change = state.prepare(&fleet, "t").unwrap();
    state.apply(change).unwrap();
    FleetView::new(&state)
}
