//! Replays a load against the decisions of `dispatch`, without sockets: owners with their lines,
//! engines, and requests whose questions to owners take time.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch::admission::{AdmissionConfig, Policy as Decisions};
use hatchpitch::dispatch::owners::{shard_count, shard_of};
use hatchpitch::dispatch::search::Search;
use hatchpitch::dispatch::{
    Decision, OwnerChoice, PoolScheduler, Quote, SlotRequest, Step, verify,
};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Engine, Job};

/// Time between two looks of the replay.
const TICK_MS: u64 = 2;
/// Time from a quote to the request for a slot: two calls between boxes and their handling.
const CALL_MS: u64 = 6;

/// Who decides where a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// What the product does.
    Shards,
    /// Each engine has an owner of its own, and four of them are asked, near ones first.
    OneEach,
}

/// One request of a load.
#[derive(Debug, Clone)]
pub struct Request {
    pub at_ms: u64,
    pub domain: usize,
    pub workspace: usize,
    pub priority: u8,
    pub prompt: u64,
    pub output: u64,
    /// Time to the first token that its caller expects.
    pub aim_ms: u64,
}

/// What became of a request.
#[derive(Debug, Clone, Default)]
pub struct Fate {
    pub first_ms: Option<u64>,
    pub whole: bool,
    /// Whether its stream paused.
    pub paused: bool,
    /// How long it was held before it was refused.
    pub refused_after_ms: Option<u64>,
}

/// What happens to engines and owners in a replay.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// An engine takes no new work any more, and finishes what it has.
    Leaves { engine: usize },
    /// An engine is back, empty.
    Returns { engine: usize },
}

struct Asking {
    request: usize,
    search: Search,
    at_ms: u64,
    step: Step,
}

struct Waiting {
    request: usize,
    until_ms: u64,
}

/// A run at an engine.
struct Run {
    owner: usize,
    want: SlotRequest,
    cost: u64,
    since_ms: u64,
    first_ms: Option<u64>,
}

pub struct Fleet {
    pub engines: Vec<Engine>,
    owner_of: Vec<usize>,
    lines: Vec<PoolScheduler>,
    policy: Policy,
    domains: usize,
    away: BTreeSet<usize>,
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
    /// Makes `engines` engines over `domains` failure domains, each with its pace.
    pub fn new(
        policy: Policy,
        domains: usize,
        engines: usize,
        speeds: &[f64],
        memory: u64,
    ) -> Self {
        let made: Vec<Engine> = (0..engines)
            .map(|i| Engine::new(i % domains, speeds[i % speeds.len()], memory as f64))
            .collect();
        let owner_of: Vec<usize> = match policy {
            Policy::OneEach => (0..engines).collect(),
            Policy::Shards => {
                let in_domain = |domain| made.iter().filter(|e| e.domain == domain).count();
                let shard = |i: usize| shard_of(&name(i), shard_count(in_domain(made[i].domain)));
                (0..engines).map(|i| shard(i) * domains + made[i].domain).collect()
            }
        };
        let owners = owner_of.iter().max().map_or(0, |last| last + 1);
        let mut fleet = Self {
            engines: made,
            owner_of,
            lines: Vec::new(),
            policy,
            domains,
            away: BTreeSet::new(),
            start: Instant::now(),
            rng: StdRng::seed_from_u64(7),
        };
        let routing =
            RoutingConfig { memory: Decisions::default().memory, ..RoutingConfig::default() };
        fleet.lines =
            (0..owners).map(|_| PoolScheduler::new(AdmissionConfig::default(), routing)).collect();
        (0..owners).for_each(|owner| fleet.sync(owner, 0));
        fleet
    }

    /// Plays a load and what happens meanwhile.
    pub fn play(&mut self, load: &[Request], events: &[(u64, Event)], end_ms: u64) -> Vec<Fate> {
        let mut fates = vec![Fate::default(); load.len()];
        let mut asking: VecDeque<Asking> = VecDeque::new();
        let mut waiting: BTreeMap<(usize, u64), Waiting> = BTreeMap::new();
        let mut running: HashMap<usize, Run> = HashMap::new();
        let (mut next, mut event) = (0, 0);
        for ms in (0..end_ms).step_by(TICK_MS as usize) {
            while events.get(event).is_some_and(|(at, _)| *at <= ms) {
                self.happen(events[event].1, ms);
                event += 1;
            }
            while load.get(next).is_some_and(|req| req.at_ms <= ms) {
                let mut search = self.search(&load[next]);
                let step = search.step();
                asking.push_back(Asking { request: next, search, at_ms: ms, step });
                next += 1;
            }
            for _ in 0..asking.len() {
                let Some(ask) = asking.pop_front() else { break };
                if ms < ask.at_ms {
                    asking.push_back(ask);
                    continue;
                }
                self.carry_out(ask, load, ms, &mut fates, &mut asking, &mut waiting, &mut running);
            }
            if ms % 20 == 0 {
                let now = self.at(ms);
                self.lines.iter_mut().for_each(|line| line.tick(now));
            }
            self.work(load, ms, &mut fates, &mut running);
            self.answers(load, ms, &mut waiting, &mut running, &mut fates);
            self.give_up(load, ms, &mut waiting, &mut fates);
        }
        for line in &self.lines {
            verify::verify(line).unwrap();
        }
        fates
    }

    #[allow(clippy::too_many_arguments, reason = "the state of a replay")]
    fn carry_out(
        &mut self,
        mut ask: Asking,
        load: &[Request],
        ms: u64,
        fates: &mut [Fate],
        asking: &mut VecDeque<Asking>,
        waiting: &mut BTreeMap<(usize, u64), Waiting>,
        running: &mut HashMap<usize, Run>,
    ) {
        let (now, req) = (self.at(ms), &load[ask.request]);
        let want = want(ask.request, req);
        let mut call_ms = 0;
        match ask.step.clone() {
            Step::Quote(owners) => {
                let quotes: Vec<(SocketAddr, Quote)> = owners
                    .into_iter()
                    .filter_map(|a| Some((a, self.lines[owner_at(a)].quote(&want, now).ok()?)))
                    .collect();
                ask.search.record_quotes(quotes);
                call_ms = CALL_MS;
            }
            Step::Take(a) => {
                let owner = owner_at(a);
                match self.lines[owner].place(&want, now) {
                    Ok(Some(spec)) => return self.run(ask.request, req, owner, &spec, ms, running),
                    Ok(None) => {
                        let wait = self.lines[owner].expected_wait(&want, now);
                        ask.search.record_busy(a, wait);
                    }
                    Err(_) => {}
                }
                call_ms = CALL_MS;
            }
            Step::Wait(a) => {
                let owner = owner_at(a);
                match self.lines[owner].decide(&want, now) {
                    Decision::Run(spec) => {
                        return self.run(ask.request, req, owner, &spec, ms, running);
                    }
                    Decision::Wait(ticket) => {
                        let until_ms = ms + req.aim_ms * 2;
                        let entry = Waiting { request: ask.request, until_ms };
                        waiting.insert((owner, ticket), entry);
                        return;
                    }
                    Decision::Refuse(refusal) => ask.search.record_refusal(refusal),
                }
            }
            Step::Refuse(_) | Step::DecideLocally => {
                fates[ask.request].refused_after_ms = Some(ms - req.at_ms);
                return;
            }
        }
        ask.step = ask.search.step();
        ask.at_ms = ms + call_ms;
        asking.push_back(ask);
    }

    fn run(
        &mut self,
        request: usize,
        req: &Request,
        owner: usize,
        spec: &RunnerSpec,
        ms: u64,
        running: &mut HashMap<usize, Run>,
    ) {
        let want = want(request, req);
        let cost = self.lines[owner].cost(&want);
        running.insert(request, Run { owner, want, cost, since_ms: ms, first_ms: None });
        let engine: usize = spec.name[1..].parse().unwrap();
        self.engines[engine].jobs.push(Job::new(request, req.prompt, req.output));
    }

    fn work(
        &mut self,
        load: &[Request],
        ms: u64,
        fates: &mut [Fate],
        running: &mut HashMap<usize, Run>,
    ) {
        for engine in 0..self.engines.len() {
            let done = self.engines[engine].work(TICK_MS as f64);
            for request in done.begun {
                let since = ms - load[request].at_ms;
                fates[request].first_ms.get_or_insert(since);
                if let Some(run) = running.get_mut(&request) {
                    run.first_ms.get_or_insert(ms);
                }
            }
            for request in done.paused {
                fates[request].paused = true;
            }
            for (request, tokens) in done.ended {
                fates[request].whole = true;
                let Some(run) = running.remove(&request) else { continue };
                let now = self.at(ms);
                let first = run.first_ms.map(|first| Duration::from_millis(first - run.since_ms));
                let report = RunReport { verdict: Verdict::Succeeded, tokens: Some(tokens), first };
                self.lines[run.owner].release(&name(engine), &run.want, run.cost, report, now);
            }
        }
    }

    fn answers(
        &mut self,
        load: &[Request],
        ms: u64,
        waiting: &mut BTreeMap<(usize, u64), Waiting>,
        running: &mut HashMap<usize, Run>,
        fates: &mut [Fate],
    ) {
        for owner in 0..self.lines.len() {
            for answer in self.lines[owner].take_answers() {
                let entry = waiting.remove(&(owner, answer.ticket));
                let Some(Waiting { request, .. }) = entry else { continue };
                match answer.slot {
                    Ok(spec) => self.run(request, &load[request], owner, &spec, ms, running),
                    Err(_) => fates[request].refused_after_ms = Some(ms - load[request].at_ms),
                }
            }
        }
    }

    fn give_up(
        &mut self,
        load: &[Request],
        ms: u64,
        waiting: &mut BTreeMap<(usize, u64), Waiting>,
        fates: &mut [Fate],
    ) {
        let late: Vec<(usize, u64)> =
            waiting.iter().filter(|(_, w)| w.until_ms <= ms).map(|(key, _)| *key).collect();
        for key in late {
            let Some(entry) = waiting.remove(&key) else { continue };
            self.lines[key.0].cancel(key.1);
            fates[entry.request].refused_after_ms = Some(ms - load[entry.request].at_ms);
        }
    }

    fn happen(&mut self, event: Event, ms: u64) {
        let engine = match event {
            Event::Leaves { engine } => {
                self.away.insert(engine);
                engine
            }
            Event::Returns { engine } => {
                self.away.remove(&engine);
                engine
            }
        };
        self.sync(self.owner_of[engine], ms);
    }

    /// Tells an owner which engines it decides for.
    fn sync(&mut self, owner: usize, ms: u64) {
        let own = (0..self.engines.len()).filter(|i| self.owner_of[*i] == owner);
        let specs: Vec<RunnerSpec> =
            own.filter(|i| !self.away.contains(i)).map(|i| self.spec(i)).collect();
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
            if self.away.contains(&engine) {
                continue;
            }
            let near = self.engines[engine].domain == req.domain % self.domains;
            let none = OwnerChoice { addr: addr(*owner), engines: 0, near };
            choices.entry(*owner).or_insert(none).engines += 1;
        }
        let accepts = Duration::from_millis(req.aim_ms / 2);
        if self.policy == Policy::OneEach {
            let mut near: Vec<OwnerChoice> = choices.into_values().collect();
            near.sort_by_cached_key(|choice| (!choice.near, self.rng.random::<u64>()));
            near.truncate(4);
            near.iter_mut().for_each(|choice| choice.near = true);
            return Search::new(near, accepts, true, || self.rng.random());
        }
        Search::new(choices.into_values(), accepts, true, || self.rng.random())
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }
}

fn name(engine: usize) -> String {
    format!("e{engine}")
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
        accepts: Some(Duration::from_millis(req.aim_ms / 2)),
        ..SlotRequest::default()
    }
}
