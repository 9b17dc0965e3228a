//! Simulates a fleet that serves a load under the decisions of `dispatch`, without sockets: owners
//! with their queues, engines, and requests whose calls to owners take time.

mod callers;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch::admission::{AdmissionConfig, Pick, Policy as Decisions};
use hatchpitch::dispatch::owners::{shard_count, shard_of};
use hatchpitch::dispatch::search::Search;
use hatchpitch::dispatch::{
    Decision, OwnerChoice, PoolScheduler, Quote, SlotRequest, Step, verify,
};
use hatchpitch::pace::Collector;
use hatchpitch::routing::objective::HIGH_LOAD;
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::callers::{Callers, no_owner};
use crate::engine::{Engine, Job};

/// Time step of the simulation.
const TICK_MS: u64 = 2;
/// Time from a quote to the slot request that follows it: two calls between boxes, including their
/// handling.
const CALL_MS: u64 = 6;
/// Longest pause between two events of a stream.
pub const MAX_GAP_MS: u64 = 180;
/// Interval of the reports of the pace of engines.
const PACE_REPORT_MS: u64 = 250;
/// Pool of the engines.
const POOL: &str = "p";

/// Assignment of engines to owners, which decide where a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The assignment by shards that the product uses.
    Sharded,
    /// Baseline: each engine has its own owner, and a request asks four of them, those in its
    /// failure domain first.
    OwnerPerEngine,
}

/// One request of a load.
#[derive(Debug, Clone)]
pub struct Request {
    /// Time of arrival.
    pub at_ms: u64,
    /// Index of the failure domain of the box that receives the request.
    pub domain: usize,
    pub workspace: usize,
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Length of the output, in tokens.
    pub output: u64,
    /// Target time to the first token.
    pub target_ms: u64,
}

/// Result of a request.
#[derive(Debug, Clone, Default)]
pub struct RequestResult {
    /// Time from arrival to the first token.
    pub first_ms: Option<u64>,
    /// Whether the output was complete.
    pub completed: bool,
    /// Whether the stream paused because the generation was preempted.
    pub paused: bool,
    /// Longest time between two events.
    pub longest_gap_ms: u64,
    /// Time from arrival to the refusal.
    pub refused_after_ms: Option<u64>,
}

/// Change of an engine's availability during a simulation.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// The engine accepts no new work and finishes its current runs.
    Drains { engine: usize },
    /// The engine accepts new work again.
    Resumes { engine: usize },
    /// The engine accepts no new work, and another one with a new name starts in its place.
    Replaced { engine: usize },
}

/// A request that searches for a slot.
struct Searching {
    request: usize,
    search: Search,
    /// Time at which `step` is performed.
    at_ms: u64,
    step: Step,
}

/// A request in the queue of an owner.
struct Waiting {
    request: usize,
    /// Time at which the request stops waiting.
    until_ms: u64,
}

/// A run on an engine.
struct Run {
    owner: usize,
    want: SlotRequest,
    /// Cost that the owner's queue charged for the run.
    cost: u64,
    started_ms: u64,
    first_ms: Option<u64>,
    /// Time of the last event.
    event_ms: u64,
}

/// The simulated fleet.
pub struct Fleet {
    pub engines: Vec<Engine>,
    /// Owner of each engine.
    owner_of: Vec<usize>,
    /// Queue of each owner.
    lines: Vec<PoolScheduler>,
    policy: Policy,
    /// Number of failure domains.
    domains: usize,
    /// Relative speeds of the engines, in turn.
    speeds: Vec<f64>,
    /// Number of shards in each failure domain.
    shards: Vec<usize>,
    /// How owners pick one of their engines.
    pick: Pick,
    /// What each box has seen of the pace of engines; request `i` is relayed by box `i` modulo
    /// their number.
    collectors: Vec<Collector>,
    /// Engines that accept no new work.
    draining: BTreeSet<usize>,
    /// Callers that return after refusals, if they are simulated.
    callers: Option<Callers>,
    /// Whether queues refuse requests that can no longer start in time.
    rechecks: bool,
    start: Instant,
    rng: StdRng,
}

fn addr(owner: usize) -> SocketAddr {
    ([10, 0, (owner / 200) as u8, (owner % 200) as u8], 1).into()
}

fn owner_at(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else { unreachable!("owners have IPv4 addresses") };
    let [.., high, low] = addr.ip().octets();
    usize::from(high) * 200 + usize::from(low)
}

impl Fleet {
    /// Creates `engines` engines, distributed over `domains` failure domains, with speeds taken
    /// from `speeds` in turn.
    pub fn new(
        policy: Policy,
        domains: usize,
        engines: usize,
        speeds: &[f64],
        memory: u64,
    ) -> Self {
        let created: Vec<Engine> = (0..engines)
            .map(|i| Engine::new(i % domains, speeds[i % speeds.len()], memory as f64))
            .collect();
        let in_domain = |domain| created.iter().filter(|e| e.domain == domain).count();
        let shards: Vec<usize> = (0..domains).map(|d| shard_count(in_domain(d))).collect();
        let owner_of: Vec<usize> = match policy {
            Policy::OwnerPerEngine => (0..engines).collect(),
            Policy::Sharded => {
                let shard = |i: usize| shard_of(&name(i), shards[created[i].domain]);
                (0..engines).map(|i| shard(i) * domains + created[i].domain).collect()
            }
        };
        let owners = owner_of.iter().max().map_or(0, |last| last + 1);
        let mut fleet = Self {
            engines: created,
            owner_of,
            lines: Vec::new(),
            policy,
            domains,
            speeds: speeds.to_vec(),
            shards,
            pick: Pick::LeastLoaded,
            collectors: Vec::new(),
            draining: BTreeSet::new(),
            callers: None,
            rechecks: false,
            start: Instant::now(),
            rng: StdRng::seed_from_u64(7),
        };
        fleet.open_lines(owners);
        fleet
    }

    /// Sets how owners pick one of their engines, and the number of boxes that relay streams.
    pub fn with_pick(mut self, pick: Pick, boxes: usize) -> Self {
        self.pick = pick;
        self.collectors = (0..boxes).map(|_| Collector::new(Pick::Objective)).collect();
        self.open_lines(self.lines.len());
        self
    }

    /// Replaces the queues of the owners by empty ones.
    fn open_lines(&mut self, owners: usize) {
        let memory = Decisions::default().memory;
        let routing = RoutingConfig { memory, pick: self.pick, ..RoutingConfig::default() };
        let admission = AdmissionConfig { rechecks: self.rechecks, ..AdmissionConfig::default() };
        self.lines = (0..owners).map(|_| PoolScheduler::new(admission, routing)).collect();
        (0..owners).for_each(|owner| self.sync(owner, 0));
    }

    /// Simulates a load with the given events until `end_ms`. Returns the result of each request.
    ///
    /// # Panics
    ///
    /// Panics if the queue of an owner violates an invariant at the end.
    pub fn simulate(
        &mut self,
        load: &[Request],
        events: &[(u64, Event)],
        end_ms: u64,
    ) -> Vec<RequestResult> {
        let mut results = vec![RequestResult::default(); load.len()];
        let mut searching: VecDeque<Searching> = VecDeque::new();
        let mut waiting: BTreeMap<(usize, u64), Waiting> = BTreeMap::new();
        let mut running: HashMap<usize, Run> = HashMap::new();
        let (mut next, mut event) = (0, 0);
        self.start_callers(load);
        for ms in (0..end_ms).step_by(TICK_MS as usize) {
            while events.get(event).is_some_and(|(at, _)| *at <= ms) {
                self.apply(events[event].1, ms);
                event += 1;
            }
            while load.get(next).is_some_and(|req| req.at_ms <= ms) {
                let mut search = self.search(&load[next]);
                let step = search.step();
                searching.push_back(Searching { request: next, search, at_ms: ms, step });
                next += 1;
            }
            for _ in 0..searching.len() {
                let Some(current) = searching.pop_front() else { break };
                if ms < current.at_ms {
                    searching.push_back(current);
                    continue;
                }
                self.perform_step(
                    current,
                    load,
                    ms,
                    &mut results,
                    &mut searching,
                    &mut waiting,
                    &mut running,
                );
            }
            if ms % 20 == 0 {
                let now = self.at(ms);
                self.lines.iter_mut().for_each(|line| line.tick(now));
                self.observe_untimely(ms);
            }
            self.tick_engines(load, ms, &mut results, &mut running);
            if ms % PACE_REPORT_MS == 0 && !self.collectors.is_empty() {
                (0..self.lines.len()).for_each(|owner| self.sync(owner, ms));
                self.report_pace(ms);
            }
            let (searching, results) = (&mut searching, &mut results);
            self.collect_answers(load, ms, &mut waiting, &mut running, results, searching);
            self.time_out(load, ms, &mut waiting, results, searching);
        }
        if !self.collectors.is_empty() {
            // Engines that were replaced leave the tables with the next change of the fleet.
            (0..self.lines.len()).for_each(|owner| self.sync(owner, end_ms));
        }
        for line in &self.lines {
            verify::verify(line).unwrap();
        }
        results
    }

    /// Performs the next step of a request's search.
    #[allow(clippy::too_many_arguments, reason = "the state of a simulation")]
    fn perform_step(
        &mut self,
        mut current: Searching,
        load: &[Request],
        ms: u64,
        results: &mut [RequestResult],
        searching: &mut VecDeque<Searching>,
        waiting: &mut BTreeMap<(usize, u64), Waiting>,
        running: &mut HashMap<usize, Run>,
    ) {
        let (now, req) = (self.at(ms), &load[current.request]);
        let want = self.want(current.request, req, ms);
        match current.step.clone() {
            Step::Quote(owners) => {
                let quotes: Vec<(SocketAddr, Quote)> = owners
                    .into_iter()
                    .filter_map(|a| Some((a, self.lines[owner_at(a)].quote(&want, now).ok()?)))
                    .collect();
                current.search.record_quotes(quotes);
            }
            Step::Take(a) => {
                let owner = owner_at(a);
                match self.lines[owner].place(&want, now) {
                    Ok(Some(spec)) => {
                        return self.start_run(current.request, req, owner, &spec, ms, running);
                    }
                    Ok(None) => {
                        let wait = self.lines[owner].expected_wait(&want, now);
                        current.search.record_busy(a, wait);
                    }
                    Err(_) => {}
                }
            }
            Step::Wait(a) => {
                let owner = owner_at(a);
                match self.lines[owner].decide(&want, now) {
                    Decision::Run(spec) => {
                        return self.start_run(current.request, req, owner, &spec, ms, running);
                    }
                    Decision::Wait(ticket) => {
                        let until_ms = ms + self.limit_ms(current.request, req, ms);
                        let entry = Waiting { request: current.request, until_ms };
                        waiting.insert((owner, ticket), entry);
                        return;
                    }
                    Decision::Refuse(refusal) => {
                        let refusal = (refusal, true);
                        return self.end(current.request, req, ms, refusal, results, searching);
                    }
                }
            }
            Step::Refuse(refusal) => {
                let refusal = (refusal, false);
                return self.end(current.request, req, ms, refusal, results, searching);
            }
            Step::DecideLocally => {
                let refusal = (no_owner(), true);
                return self.end(current.request, req, ms, refusal, results, searching);
            }
        }
        current.step = current.search.step();
        current.at_ms = ms + CALL_MS;
        searching.push_back(current);
    }

    /// Starts a run on an engine.
    fn start_run(
        &mut self,
        request: usize,
        req: &Request,
        owner: usize,
        spec: &RunnerSpec,
        ms: u64,
        running: &mut HashMap<usize, Run>,
    ) {
        let want = self.want(request, req, ms);
        let cost = self.lines[owner].cost(&want);
        let run = Run { owner, want, cost, started_ms: ms, first_ms: None, event_ms: ms };
        running.insert(request, run);
        let engine = index(&spec.name);
        self.engines[engine].jobs.push(Job::new(request, req.prompt, req.output));
    }

    /// Advances all engines by one time step.
    fn tick_engines(
        &mut self,
        load: &[Request],
        ms: u64,
        results: &mut [RequestResult],
        running: &mut HashMap<usize, Run>,
    ) {
        for engine in 0..self.engines.len() {
            let report = self.engines[engine].tick(TICK_MS as f64);
            for request in report.first_tokens {
                let since = ms - load[request].at_ms;
                results[request].first_ms.get_or_insert(since);
                if let Some(run) = running.get_mut(&request) {
                    run.first_ms.get_or_insert(ms);
                    run.event_ms = ms;
                    let took = Duration::from_millis(ms - run.started_ms);
                    if let Some(relay) = relay_of(&mut self.collectors, request) {
                        relay.record_first(POOL, &name(engine), &run.want.id, took);
                    }
                }
            }
            for request in report.events {
                let Some(run) = running.get_mut(&request) else { continue };
                let gap = ms - std::mem::replace(&mut run.event_ms, ms);
                results[request].longest_gap_ms = results[request].longest_gap_ms.max(gap);
                if let Some(relay) = relay_of(&mut self.collectors, request) {
                    let now = self.start + Duration::from_millis(ms);
                    relay.record_gap(POOL, &name(engine), Duration::from_millis(gap), now);
                }
            }
            for request in report.paused {
                results[request].paused = true;
            }
            for (request, tokens) in report.completed {
                results[request].completed = true;
                let Some(run) = running.remove(&request) else { continue };
                let now = self.at(ms);
                let first = run.first_ms.map(|first| Duration::from_millis(first - run.started_ms));
                let run_report = RunReport {
                    verdict: Verdict::Succeeded,
                    tokens: Some(tokens),
                    first,
                    ..RunReport::RELEASED
                };
                self.lines[run.owner].release(&name(engine), &run.want, run.cost, run_report, now);
            }
        }
    }

    /// Starts or refuses the waiting requests that the owners have decided on.
    fn collect_answers(
        &mut self,
        load: &[Request],
        ms: u64,
        waiting: &mut BTreeMap<(usize, u64), Waiting>,
        running: &mut HashMap<usize, Run>,
        results: &mut [RequestResult],
        searching: &mut VecDeque<Searching>,
    ) {
        for owner in 0..self.lines.len() {
            for answer in self.lines[owner].take_answers() {
                let entry = waiting.remove(&(owner, answer.ticket));
                let Some(Waiting { request, .. }) = entry else { continue };
                match answer.slot {
                    Ok(spec) => self.start_run(request, &load[request], owner, &spec, ms, running),
                    Err(refusal) => {
                        let refusal = (refusal, true);
                        self.end(request, &load[request], ms, refusal, results, searching);
                    }
                }
            }
        }
    }

    /// Refuses requests that have waited for too long.
    fn time_out(
        &mut self,
        load: &[Request],
        ms: u64,
        waiting: &mut BTreeMap<(usize, u64), Waiting>,
        results: &mut [RequestResult],
        searching: &mut VecDeque<Searching>,
    ) {
        let expired: Vec<(usize, u64)> =
            waiting.iter().filter(|(_, w)| w.until_ms <= ms).map(|(key, _)| *key).collect();
        for key in expired {
            let Some(entry) = waiting.remove(&key) else { continue };
            self.lines[key.0].cancel(key.1);
            let (req, now) = (&load[entry.request], self.at(ms));
            let want = self.want(entry.request, req, ms);
            let refusal = (self.lines[key.0].refuse_waited(&want, now), true);
            self.end(entry.request, req, ms, refusal, results, searching);
        }
    }

    /// Reports what the boxes have seen of the pace of engines to the owners.
    fn report_pace(&mut self, ms: u64) {
        let now = self.at(ms);
        if self.pick != Pick::Objective {
            return;
        }
        for collector in &mut self.collectors {
            let owner_of = |name: &str| Some(addr(self.owner_of[index(name)]));
            for (owner, report) in collector.take(owner_of, now) {
                self.lines[owner_at(owner)].update(now, |table| {
                    for engine in &report.engines {
                        table.observe_gaps(&engine.runner, &engine.gaps, now);
                    }
                    for first in &report.firsts {
                        table.record_first_token(&first.runner, &first.id, first.took);
                    }
                });
            }
        }
    }

    /// Starts an engine in the failure domain of another one, and returns its owner.
    fn start_engine(&mut self, replaced: usize) -> usize {
        let (engine, old) = (self.engines.len(), &self.engines[replaced]);
        let (domain, phase) = (old.domain, old.slow_phase);
        let speed = self.speeds[engine % self.speeds.len()];
        let mut started = Engine::new(domain, speed, old.memory);
        started.slow_phase = phase;
        self.engines.push(started);
        self.owner_of.push(shard_of(&name(engine), self.shards[domain]) * self.domains + domain);
        self.owner_of[engine]
    }

    fn apply(&mut self, event: Event, ms: u64) {
        let engine = match event {
            Event::Drains { engine } => {
                self.draining.insert(engine);
                engine
            }
            Event::Resumes { engine } => {
                self.draining.remove(&engine);
                engine
            }
            Event::Replaced { engine } => {
                self.draining.insert(engine);
                let owner = self.start_engine(engine);
                self.sync(owner, ms);
                engine
            }
        };
        self.sync(self.owner_of[engine], ms);
    }

    /// Updates the engines that an owner places requests on.
    fn sync(&mut self, owner: usize, ms: u64) {
        let own = (0..self.engines.len()).filter(|i| self.owner_of[*i] == owner);
        let specs: Vec<RunnerSpec> =
            own.filter(|i| !self.draining.contains(i)).map(|i| self.spec(i)).collect();
        let now = self.at(ms);
        self.lines[owner].update(now, |table| table.sync(specs));
    }

    fn spec(&self, engine: usize) -> RunnerSpec {
        RunnerSpec {
            name: name(engine),
            addr: addr(engine),
            failure_domain: self.engines[engine].domain.to_string(),
            slots: 24,
            memory: Some(self.engines[engine].memory as u64),
            copy_rate: f64::INFINITY,
        }
    }

    fn search(&mut self, req: &Request) -> Search {
        let mut choices: BTreeMap<usize, OwnerChoice> = BTreeMap::new();
        for (engine, owner) in self.owner_of.iter().enumerate() {
            if self.draining.contains(&engine) {
                continue;
            }
            let near = self.engines[engine].domain == req.domain % self.domains;
            let none = OwnerChoice { addr: addr(*owner), engines: 0, near };
            choices.entry(*owner).or_insert(none).engines += 1;
        }
        let accepts = Duration::from_millis(req.target_ms / 2);
        if self.policy == Policy::OwnerPerEngine {
            let mut near: Vec<OwnerChoice> = choices.into_values().collect();
            near.sort_by_cached_key(|choice| (!choice.near, self.rng.random::<u64>()));
            near.truncate(4);
            near.iter_mut().for_each(|choice| choice.near = true);
            return Search::new(near, accepts, true, || self.rng.random());
        }
        let search = Search::new(choices.into_values(), accepts, true, || self.rng.random());
        if self.pick == Pick::Objective { search.with_good_load(HIGH_LOAD) } else { search }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }
}

fn name(engine: usize) -> String {
    format!("e{engine}")
}

fn index(engine: &str) -> usize {
    engine[1..].parse().unwrap()
}

/// Returns the collector of the box that relays a request, if boxes collect the pace of engines.
fn relay_of(collectors: &mut [Collector], request: usize) -> Option<&mut Collector> {
    let boxes = collectors.len();
    collectors.get_mut(request.checked_rem(boxes)?)
}

fn want(request: usize, req: &Request) -> SlotRequest {
    SlotRequest {
        id: request.to_string(),
        workspace: req.workspace.to_string(),
        priority: req.priority,
        kind: if req.output > 100 { "long" } else { "short" }.to_owned(),
        prompt: req.prompt,
        max_tokens: 1_104,
        near: Some(req.domain.to_string()),
        accepts: Some(Duration::from_millis(req.target_ms / 2)),
        max_gap: Some(Duration::from_millis(MAX_GAP_MS)),
        event_tokens: 4,
        ..SlotRequest::default()
    }
}
