//! The way of a request through its box: the order of steps of `relay::run` and `grants::task`,
//! whose decisions are those of the product's state machines.

use std::net::SocketAddr;
use std::time::Duration;

use hatchpitch::admission::{Placement, Ticket};
use hatchpitch::dispatch::search::Search;
use hatchpitch::dispatch::{Quote, SlotRequest, Step};
use hatchpitch::ids::{AttemptId, RunnerName};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RunReport, Verdict};
use hatchpitch::upstream_signals::brittle::BRITTLE_TTL;

use crate::clock::{MS, Micros, micros};
use crate::fleet::{Event, Fleet, HOP, POOL, box_addr, box_at};
use crate::sim_box::{Asker, Reply};
use crate::upstream::{Answer, RunId};

/// Longest expected wait of a request for a brittle service, as a fraction of the time that is left
/// for it; the value of `BRITTLE_WAIT_FRACTION` in `relay::run`.
const BRITTLE_WAIT_FRACTION: f64 = 0.25;
/// Upstreams that are tried before a request is refused, as in `relay::run`.
const MAX_REJECTIONS: usize = 4;
/// Slots on resting upstreams that are given back before a request is refused, as in
/// `grants::task`.
const MAX_ATTEMPTS: u32 = 3;
/// Resting upstreams that a grant request excludes, as in `grants::task`.
const MAX_EXCLUDED_RESTING: usize = 64;
/// Fraction of the rejections that boxes may cause without the owner, as in
/// `upstream_signals::task`.
const UNOWNED_REJECTION_FRACTION: f64 = 0.5;
/// Upstreams that may run a request, as its route says.
const MAX_UPSTREAMS: u32 = 2;
/// Longest wait for upstreams that rest: half of the route's target time.
const LIMIT_WAIT: Duration = Duration::from_millis(200);
/// Time that callers wait for a response.
pub const DEADLINE: Micros = 4_000 * MS;
const ROUTE: &str = "r";
const WORKSPACES: usize = 8;

/// Final result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Served,
    /// It was refused without having been queued.
    RefusedOnArrival,
    /// It was refused after it had been queued, at its deadline at the latest.
    RefusedLate,
    /// Its deadline passed while an upstream may have been running it.
    TimedOut,
    /// Its upstream failed.
    Lost,
}

/// A slot that a request holds.
#[derive(Debug, Clone)]
struct Held {
    source: Source,
    upstream: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The box that handles the request decided for itself.
    Local,
    /// An owner granted it.
    Owner(usize),
    /// The box that handles the request took it without an owner.
    Fallback,
}

/// A request that was sent to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Send {
    pub at: Micros,
    pub left: Micros,
}

pub struct Request {
    /// Box that handles it.
    pub home: usize,
    pub arrived: Micros,
    pub end: Option<(Micros, End)>,
    pub sends: Vec<Send>,
    /// When its response arrived, if its run was recorded.
    pub recorded: Option<Micros>,
    serial: u32,
    want: SlotRequest,
    tried: Vec<RunnerName>,
    possible_runs: u32,
    obtained: u32,
    search: Option<Search>,
    held: Option<Held>,
    /// Box that it is queued at, and its ticket there.
    queued: Option<(usize, Ticket)>,
    was_queued: bool,
    /// Start of the wait for upstreams that rest.
    awaits_since: Option<Micros>,
}

impl Request {
    /// Returns whether it still waits for the answer to message `serial`.
    pub fn is_at(&self, serial: u32) -> bool {
        self.end.is_none() && self.serial == serial
    }
}

impl Fleet {
    /// Handles a request that has arrived at a box.
    pub fn begin(&mut self, home: usize) {
        let request = self.requests.len();
        self.requests.push(Request {
            home,
            arrived: self.clock.now,
            end: None,
            sends: Vec::new(),
            recorded: None,
            serial: 0,
            want: SlotRequest::default(),
            tried: Vec::new(),
            possible_runs: 0,
            obtained: 0,
            search: None,
            held: None,
            queued: None,
            was_queued: false,
            awaits_since: None,
        });
        self.boxes[home].budgets.credit(POOL);
        self.post(DEADLINE, Event::Deadline { request });
        self.acquire(request);
    }

    fn time_left(&self, request: usize) -> Duration {
        let end = self.requests[request].arrived + DEADLINE;
        Duration::from_micros(end.saturating_sub(self.clock.now))
    }

    /// Asks for a slot for the next attempt.
    fn acquire(&mut self, request: usize) {
        let (now, left) = (self.now(), self.time_left(request));
        let req = &self.requests[request];
        let home = &self.boxes[req.home];
        let is_brittle = home.is_placed_by_owners(&self.specs, now);
        let want = SlotRequest {
            workspace: (request % WORKSPACES).to_string(),
            priority: 1,
            kind: ROUTE.to_owned(),
            max_tokens: u64::MAX,
            avoid: req.tried.clone(),
            near: Some(home.domain.clone()),
            accepts: is_brittle.then(|| left.mul_f64(BRITTLE_WAIT_FRACTION)),
            overdue_after: is_brittle.then_some(left),
            limit_wait: Some(LIMIT_WAIT),
            sends_here: true,
            only_try: !home.budgets.allows(POOL),
            ..SlotRequest::default()
        };
        let req = &mut self.requests[request];
        (req.want, req.obtained) = (want, 0);
        self.obtain(request);
    }

    /// Obtains a slot with a new attempt id, as the placement says.
    fn obtain(&mut self, request: usize) {
        let home = self.requests[request].home;
        self.sync(home);
        let req = &mut self.requests[request];
        req.serial += 1;
        req.want.id = format!("{request}-{}", req.serial);
        (req.search, req.awaits_since) = (None, None);
        if self.boxes[home].placement == Placement::Owner {
            return self.search(request);
        }
        let (serial, want) = (req.serial, req.want.clone());
        let cost = self.boxes[home].line.cost(&want);
        let (id, now) = (want.id.clone(), self.now());
        let reply = self.boxes[home].admit(Asker { request, serial, want, cost }, now);
        match reply {
            Reply::Queued(ticket) => self.enter_queue(request, home, ticket),
            reply => self.receive_reply(request, serial, home, id, reply),
        }
        self.deliver(home);
    }

    pub fn obtain_again(&mut self, request: usize, serial: u32) {
        if self.requests[request].is_at(serial) {
            self.search(request);
        }
    }

    /// Searches for an owner with a free slot, once an upstream accepts requests of this box.
    fn search(&mut self, request: usize) {
        let (now, at) = (self.now(), self.clock.now);
        let req = &mut self.requests[request];
        let since = *req.awaits_since.get_or_insert(at);
        let (home, serial) = (req.home, req.serial);
        let opens_in = {
            let rests = self.boxes[home].signals.backoffs.borrow();
            let eligible = self.specs.iter().filter(|spec| !req.want.avoid.contains(&spec.name));
            if rests.is_empty() {
                Duration::ZERO
            } else {
                eligible.map(|spec| rests.opens_in(&spec.name, now)).min().unwrap_or_default()
            }
        };
        if !opens_in.is_zero() {
            if at - since + micros(opens_in) > micros(LIMIT_WAIT) {
                return self.refuse(request);
            }
            return self.post(micros(opens_in), Event::Obtain { request, serial });
        }
        let accepts = req.want.accepts.unwrap_or(Duration::MAX);
        let choices = self.owner_choices(home);
        let rng = &mut self.rng;
        let search = Search::new(choices, accepts, true, || rand::Rng::random(rng));
        self.requests[request].search = Some(search);
        self.step(request);
    }

    fn step(&mut self, request: usize) {
        let req = &mut self.requests[request];
        let (home, serial) = (req.home, req.serial);
        let Some(search) = &mut req.search else { return };
        let (owner, waits) = match search.step() {
            Step::Quote(owners) => {
                let owners = owners.into_iter().map(box_at).collect();
                return self.post(HOP, Event::AskQuotes { request, serial, owners });
            }
            Step::Take(owner) => (box_at(owner), false),
            Step::Wait(owner) => (box_at(owner), true),
            Step::Refuse(_) => return self.refuse(request),
            Step::DecideLocally => return self.admit_without_owner(request),
        };
        let want = self.wanted(&self.requests[request], owner);
        let asker = Asker { request, serial, want, cost: 0 };
        self.post(self.hop(home, owner), Event::Ask { owner, asker, waits });
    }

    /// Returns the request for a slot as an owner gets it.
    pub fn wanted(&self, req: &Request, owner: usize) -> SlotRequest {
        let mut want = req.want.clone();
        if owner != req.home {
            let rests = self.boxes[req.home].signals.backoffs.borrow();
            want.avoid.extend(rests.blocked(self.now()).take(MAX_EXCLUDED_RESTING).cloned());
            (want.sends_here, want.only_try) = (false, false);
        }
        want
    }

    pub fn receive_quotes(
        &mut self,
        request: usize,
        serial: u32,
        quotes: Vec<(SocketAddr, Quote)>,
    ) {
        if !self.requests[request].is_at(serial) {
            return;
        }
        if let Some(search) = &mut self.requests[request].search {
            search.record_quotes(quotes);
        }
        self.step(request);
    }

    pub fn enter_queue(&mut self, request: usize, at: usize, ticket: Ticket) {
        let req = &mut self.requests[request];
        (req.queued, req.was_queued) = (Some((at, ticket)), true);
    }

    /// Handles the answer of a box to a request for a slot.
    pub fn receive_reply(
        &mut self,
        request: usize,
        serial: u32,
        owner: usize,
        id: AttemptId,
        reply: Reply,
    ) {
        let home = self.requests[request].home;
        if !self.requests[request].is_at(serial) {
            if matches!(reply, Reply::Slot(_)) {
                self.reclaim(owner, home, id);
            }
            return;
        }
        let req = &mut self.requests[request];
        req.queued = None;
        match (reply, &mut req.search) {
            (Reply::Slot(spec), search) => {
                let source = if search.is_some() { Source::Owner(owner) } else { Source::Local };
                return self.hold(request, source, &spec);
            }
            (Reply::Refused(_), None) => {
                // The pool may have become brittle while the request waited.
                self.sync(home);
                return match self.boxes[home].placement {
                    Placement::Owner => self.search(request),
                    Placement::Local => self.refuse(request),
                };
            }
            (Reply::Busy(wait), Some(search)) => search.record_busy(box_addr(owner), wait),
            (Reply::Refused(refusal), Some(search)) => search.record_refusal(refusal),
            _ => {}
        }
        self.step(request);
    }

    fn admit_without_owner(&mut self, request: usize) {
        let (now, share) = (self.now(), self.rejection_share(Placement::Local));
        let (home, want) = (self.requests[request].home, self.requests[request].want.clone());
        match self.boxes[home].place_without_owner(&want, &self.specs, share, now) {
            Some(spec) => self.hold(request, Source::Fallback, &spec),
            None => self.refuse(request),
        }
    }

    /// Takes over a granted slot and sends the request, unless its upstream rests or too little
    /// time is left.
    fn hold(&mut self, request: usize, source: Source, spec: &RunnerSpec) {
        let (now, at, left) = (self.now(), self.clock.now, self.time_left(request));
        let upstream = self.specs.binary_search_by(|s| s.name.cmp(&spec.name)).unwrap();
        let req = &mut self.requests[request];
        req.held = Some(Held { source, upstream });
        let home = &mut self.boxes[req.home];
        let accepts = {
            let mut rests = home.signals.backoffs.borrow_mut();
            match source {
                Source::Owner(owner) if owner != req.home => rests.take(&spec.name, now),
                _ => rests.remaining(&spec.name, now).is_none(),
            }
        };
        if !accepts {
            req.obtained += 1;
            let is_last = req.obtained >= MAX_ATTEMPTS;
            self.give_back(request, Verdict::Released, false);
            return if is_last { self.refuse(request) } else { self.obtain(request) };
        }
        let waited = Duration::from_micros(at - req.arrived);
        if home.run_times.is_too_late(ROUTE, waited, left) {
            self.give_back(request, Verdict::Released, false);
            return self.refuse(request);
        }
        req.sends.push(Send { at, left: micros(left) });
        let run = (request, req.serial);
        self.post(HOP, Event::Reach { upstream, run });
    }

    /// Gives the slot of a request back, with a report as `grants::slot` makes it.
    fn give_back(&mut self, request: usize, verdict: Verdict, is_rejected: bool) {
        let now = self.now();
        let Some(Held { source, upstream }) = self.requests[request].held.take() else { return };
        let (home, want) = (self.requests[request].home, self.requests[request].want.clone());
        let name = self.specs[upstream].name.clone();
        let sim_box = &mut self.boxes[home];
        let announced = sim_box.signals.brittle.borrow().announcement(&name, now);
        let brittle = announced.map(|(max_rejections, _)| max_rejections);
        let brittle_left = announced.map(|(_, left)| left);
        if is_rejected
            && !matches!(source, Source::Owner(owner) if owner != home)
            && self.owner_of[upstream] != home
            && let Some(max) = brittle
        {
            let per_second = f64::from(max.max(1)) * UNOWNED_REJECTION_FRACTION;
            let rest = Duration::from_secs_f64(self.scenario.boxes as f64 / per_second);
            sim_box.signals.backoffs.borrow_mut().start(&name, rest, now);
        }
        let report =
            RunReport { verdict, is_rejected, brittle, brittle_left, ..RunReport::RELEASED };
        match source {
            Source::Owner(owner) if owner != home => {
                self.post(HOP, Event::Release { owner, id: want.id, report });
            }
            Source::Fallback => sim_box.release_without_owner(&name, &want, report, now),
            Source::Owner(_) | Source::Local => {
                sim_box.release(&want.id, report, now);
                self.deliver(home);
            }
        }
    }

    /// Handles the response of an upstream.
    pub fn receive_head(&mut self, (request, serial): RunId, answer: Answer, is_brittle: bool) {
        if !self.requests[request].is_at(serial) {
            return;
        }
        let at = self.clock.now;
        let req = &self.requests[request];
        let (home, Some(held)) = (req.home, &req.held) else { return };
        let name = self.specs[held.upstream].name.clone();
        let sent = req.sends.last().map_or(at, |send| send.at);
        if matches!(answer, Answer::Served | Answer::Rejected) {
            let sent = self.clock.at(sent);
            self.boxes[home].signals.backoffs.borrow_mut().record_answer(&name, sent);
            if is_brittle {
                self.mark_brittle(home, &name, BRITTLE_TTL);
            }
        }
        match answer {
            Answer::Served => {
                self.give_back(request, Verdict::Succeeded, false);
                let took = Duration::from_micros(at - sent);
                self.boxes[home].run_times.record(ROUTE, took);
                self.requests[request].recorded = Some(at);
                self.end(request, End::Served);
            }
            Answer::Rejected => {
                self.give_back(request, Verdict::Released, true);
                self.try_another(request, name, true, End::RefusedOnArrival);
            }
            Answer::Unreachable => {
                self.give_back(request, Verdict::Failed, false);
                self.try_another(request, name, false, End::RefusedOnArrival);
            }
            Answer::Broken => {
                self.give_back(request, Verdict::Faulty, false);
                self.requests[request].possible_runs += 1;
                if self.requests[request].possible_runs < MAX_UPSTREAMS {
                    self.try_another(request, name, true, End::Lost);
                } else {
                    self.end(request, End::Lost);
                }
            }
        }
    }

    /// Tries another upstream, or ends the request if it may not go to one.
    fn try_another(&mut self, request: usize, tried: RunnerName, is_paid: bool, end: End) {
        let boxes = self.boxes.len();
        let req = &mut self.requests[request];
        req.tried.push(tried);
        let budgets = &mut self.boxes[req.home].budgets;
        budgets.set_boxes(boxes);
        let has_untried = req.tried.len() < self.specs.len();
        let may_try = req.tried.len() < MAX_REJECTIONS && has_untried;
        if may_try && (!is_paid || budgets.try_withdraw(POOL)) {
            return self.acquire(request);
        }
        match end {
            End::RefusedOnArrival => self.refuse(request),
            end => self.end(request, end),
        }
    }

    fn refuse(&mut self, request: usize) {
        let req = &self.requests[request];
        let end = match (req.possible_runs, req.was_queued) {
            (0, false) => End::RefusedOnArrival,
            (0, true) => End::RefusedLate,
            _ => End::Lost,
        };
        self.end(request, end);
    }

    /// Ends a request whose caller no longer waits.
    pub fn time_out(&mut self, request: usize) {
        if self.requests[request].end.is_some() {
            return;
        }
        let home = self.requests[request].home;
        if let Some((owner, ticket)) = self.requests[request].queued.take() {
            self.post(self.hop(home, owner), Event::Cancel { owner, ticket });
        }
        if self.requests[request].held.is_none() {
            return self.refuse(request);
        }
        self.give_back(request, Verdict::Released, false);
        self.end(request, End::TimedOut);
    }

    fn end(&mut self, request: usize, end: End) {
        let now = self.clock.now;
        let req = &mut self.requests[request];
        req.end = Some((now, end));
        (req.search, req.want) = (None, SlotRequest::default());
    }
}
