//! The engine's behaviour without I/O: a step at a time.
//!
//! One step emits one token for every generation of the batch and takes longer
//! the larger the batch is. Memory is counted in tokens; when it runs out, the
//! generation of the lowest priority that was admitted last is pushed aside
//! and computed again later.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hatchpitch::engine::messages::{EngineCommand, EngineHoldings, EngineOrder};
use hatchpitch::engine::{EngineLoad, FinishReason, GenerateRequest};
use sha2::{Digest, Sha256};

/// Tokens of prompt that share one block of the prefix cache.
const BLOCK_CHARS: usize = 64;
/// Characters that count as one token of a prompt.
const CHARS_PER_TOKEN: u64 = 4;
/// Cache events kept for readers that are behind.
const KEPT_EVENTS: usize = 1_024;

/// What an engine can do.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Memory, in tokens.
    pub memory_limit: u64,
    /// Generations in the batch at most.
    pub max_batch: usize,
    /// Generations that may wait.
    pub max_waiting: usize,
    /// Time of a step with an empty batch.
    pub step_base: Duration,
    /// Time that each generation of the batch adds.
    pub step_each: Duration,
    /// Time to compute one token of prompt that is not cached.
    pub prefill_each: Duration,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Whether orders of an old term are rejected.
    pub checks_fence: bool,
    /// Each so manieth cache event is lost; 0 for none.
    pub lose_event_every: u64,
    /// Steps after which a cache event is published.
    pub event_delay: u64,
    /// Time a generation without a reader is kept running.
    pub orphan_limit: Duration,
    /// Time a finished generation is kept.
    pub keep_finished: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            memory_limit: 20_000,
            max_batch: 16,
            max_waiting: 64,
            step_base: Duration::from_millis(8),
            step_each: Duration::from_micros(400),
            prefill_each: Duration::from_micros(20),
            cache_blocks: 512,
            checks_fence: true,
            lose_event_every: 7,
            event_delay: 20,
            orphan_limit: Duration::from_secs(10),
            keep_finished: Duration::from_secs(30),
        }
    }
}

/// Where a generation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GenerationStatus {
    /// It waits for its first step, or to be computed again.
    Waiting,
    /// It is in the batch.
    Running,
    /// It is complete.
    Done(FinishReason),
    /// It was cancelled.
    Cancelled,
}

/// One generation.
#[derive(Debug, Clone)]
pub struct Generation {
    /// The request.
    pub req: GenerateRequest,
    /// Its tokens so far.
    pub tokens: Vec<String>,
    /// Where it stands.
    pub status: GenerationStatus,
    /// The reading that receives its tokens.
    pub reader: Option<String>,
    /// How often it was pushed aside.
    pub preemptions: u64,
    /// Tokens it will have; nobody outside knows.
    length: u64,
    arrived: u64,
    admitted: u64,
    /// Time since its last reader left or since it ended.
    idle: Duration,
}

impl Generation {
    fn prompt_tokens(&self) -> u64 {
        self.req.prompt.chars().count() as u64 / CHARS_PER_TOKEN + 1
    }

    fn memory(&self) -> u64 {
        self.prompt_tokens() + self.tokens.len() as u64
    }
}

/// An event of the prefix cache.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a lost event.
    pub sequence: u64,
    /// Digest of the block's prefix.
    pub block: String,
    /// Whether it was stored or dropped.
    pub stored: bool,
    /// Step in which it happened.
    pub step: u64,
}

/// Why an engine took no request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// It leaves.
    Leaving,
    /// Too many wait.
    Full,
    /// The request can never fit into memory.
    TooLarge,
    /// The id is in use.
    Duplicate,
    /// It does not hold the model.
    WrongModel,
}

/// The state of an engine.
#[derive(Debug)]
pub struct EngineModel {
    /// What it can do.
    pub cfg: EngineConfig,
    /// All generations that it still knows.
    pub generations: BTreeMap<String, Generation>,
    /// Whether it wants no new work.
    pub leaving: bool,
    incarnation: u64,
    holdings: EngineHoldings,
    counter: u64,
    preemptions: u64,
    cache: VecDeque<String>,
    events: VecDeque<CacheEvent>,
    next_event: u64,
    steps: u64,
}

impl EngineModel {
    /// Creates an idle engine that holds `model`.
    pub fn new(cfg: EngineConfig, model: &str, incarnation: u64) -> Self {
        let holdings = EngineHoldings {
            incarnation,
            term: 0,
            sequence: 0,
            model: model.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            role: "generate".to_owned(),
        };
        Self {
            cfg,
            generations: BTreeMap::new(),
            leaving: false,
            incarnation,
            holdings,
            counter: 0,
            preemptions: 0,
            cache: VecDeque::new(),
            events: VecDeque::new(),
            next_event: 0,
            steps: 0,
        }
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// Returns why it is refused; nothing of it was run then.
    pub fn submit(&mut self, req: GenerateRequest) -> Result<(), Refused> {
        if self.leaving {
            return Err(Refused::Leaving);
        }
        if req.model != self.holdings.model {
            return Err(Refused::WrongModel);
        }
        if self.generations.contains_key(&req.generation) {
            return Err(Refused::Duplicate);
        }
        if self.count(GenerationStatus::Waiting) >= self.cfg.max_waiting {
            return Err(Refused::Full);
        }
        self.counter += 1;
        let generation = Generation {
            length: output_length(&req),
            reader: Some(req.attempt.clone()),
            req,
            tokens: Vec::new(),
            status: GenerationStatus::Waiting,
            preemptions: 0,
            arrived: self.counter,
            admitted: 0,
            idle: Duration::ZERO,
        };
        if generation.memory() + 1 > self.cfg.memory_limit {
            return Err(Refused::TooLarge);
        }
        self.generations.insert(generation.req.generation.clone(), generation);
        Ok(())
    }

    /// Makes `attempt` the reader of a generation; returns whether it is known.
    pub fn attach(&mut self, id: &str, attempt: &str) -> bool {
        let Some(generation) = self.generations.get_mut(id) else { return false };
        if generation.status == GenerationStatus::Cancelled {
            return false;
        }
        generation.reader = Some(attempt.to_owned());
        if matches!(generation.status, GenerationStatus::Waiting | GenerationStatus::Running) {
            generation.idle = Duration::ZERO;
        }
        true
    }

    /// Notes that a reader left.
    pub fn detach(&mut self, id: &str, attempt: &str) {
        if let Some(generation) = self.generations.get_mut(id)
            && generation.reader.as_deref() == Some(attempt)
        {
            generation.reader = None;
        }
    }

    /// Cancels a generation unless another reading than `attempt` holds it.
    pub fn cancel(&mut self, id: &str, attempt: &str) -> bool {
        let Some(generation) = self.generations.get_mut(id) else { return false };
        if generation.reader.as_deref().is_some_and(|reader| reader != attempt) {
            return false;
        }
        if !matches!(generation.status, GenerationStatus::Done(_)) {
            generation.status = GenerationStatus::Cancelled;
        }
        true
    }

    /// Runs one step; returns how long it took, or `None` if there was nothing to do.
    pub fn step(&mut self) -> Option<Duration> {
        self.steps += 1;
        let prefill = self.fill_batch();
        let running = self.running();
        if running.is_empty() {
            return None;
        }
        self.make_room(&running);
        let running = self.running();
        for id in &running {
            let Some(generation) = self.generations.get_mut(id) else { continue };
            let index = generation.tokens.len() as u64;
            generation.tokens.push(token_text(&generation.req, index));
            if generation.tokens.len() as u64 >= generation.length {
                let bounded = generation.length >= generation.req.max_tokens;
                let reason = if bounded { FinishReason::Length } else { FinishReason::Stop };
                generation.status = GenerationStatus::Done(reason);
                generation.idle = Duration::ZERO;
            }
        }
        let batch = u32::try_from(running.len()).unwrap_or(u32::MAX);
        Some(self.cfg.step_base + self.cfg.step_each * batch + prefill)
    }

    /// Lets time pass for generations that nobody reads.
    pub fn age(&mut self, by: Duration) {
        let (orphan, keep) = (self.cfg.orphan_limit, self.cfg.keep_finished);
        for generation in self.generations.values_mut() {
            let live =
                matches!(generation.status, GenerationStatus::Waiting | GenerationStatus::Running);
            if live && generation.reader.is_some() {
                generation.idle = Duration::ZERO;
                continue;
            }
            generation.idle += by;
            if live && generation.idle >= orphan {
                generation.status = GenerationStatus::Cancelled;
                generation.idle = Duration::ZERO;
            }
        }
        self.generations.retain(|_, generation| {
            let live =
                matches!(generation.status, GenerationStatus::Waiting | GenerationStatus::Running);
            live || generation.idle < keep
        });
    }

    /// Returns the load at this moment.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            incarnation: self.incarnation,
            leaving: self.leaving,
            memory_used: self.memory_used(),
            memory_limit: self.cfg.memory_limit,
            running: self.count(GenerationStatus::Running) as u64,
            waiting: self.count(GenerationStatus::Waiting) as u64,
            preemptions: self.preemptions,
        }
    }

    /// Returns the published cache events after `sequence`.
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let published = |event: &&CacheEvent| {
            event.sequence > sequence && event.step + self.cfg.event_delay <= self.steps
        };
        self.events.iter().filter(published).cloned().collect()
    }

    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// Returns the newest fence seen if this engine checks it and the order's is not newer.
    pub fn command(&mut self, command: &EngineCommand) -> Result<(), (u64, u64)> {
        let newest = (self.holdings.term, self.holdings.sequence);
        let fence = (command.term, command.sequence);
        if self.cfg.checks_fence && fence < newest {
            return Err(newest);
        }
        if self.cfg.checks_fence && fence == newest {
            return Ok(());
        }
        (self.holdings.term, self.holdings.sequence) = fence.max(newest);
        match &command.order {
            EngineOrder::LoadModel { model, version } => {
                self.holdings.model.clone_from(model);
                self.holdings.version.clone_from(version);
                self.holdings.adapters.clear();
            }
            EngineOrder::LoadAdapter { adapter } => self.holdings.adapters.push(adapter.clone()),
            EngineOrder::SetRole { role } => self.holdings.role.clone_from(role),
        }
        Ok(())
    }

    /// Returns what the engine holds.
    pub fn holdings(&self) -> &EngineHoldings {
        &self.holdings
    }

    fn memory_used(&self) -> u64 {
        let running = self.generations.values();
        let running = running.filter(|g| g.status == GenerationStatus::Running);
        running.map(Generation::memory).sum()
    }

    fn count(&self, status: GenerationStatus) -> usize {
        self.generations.values().filter(|g| g.status == status).count()
    }

    fn running(&self) -> Vec<String> {
        let running = self.generations.values();
        let running = running.filter(|g| g.status == GenerationStatus::Running);
        running.map(|g| g.req.generation.clone()).collect()
    }

    /// Admits waiting generations, the highest priority first; returns the time of their prompts.
    fn fill_batch(&mut self) -> Duration {
        let mut prefill = Duration::ZERO;
        while self.count(GenerationStatus::Running) < self.cfg.max_batch {
            let room = self.cfg.memory_limit.saturating_sub(self.memory_used());
            let waiting = self.generations.values();
            let waiting = waiting.filter(|g| g.status == GenerationStatus::Waiting);
            let next = waiting.min_by_key(|g| (std::cmp::Reverse(g.req.priority), g.arrived));
            let Some(next) = next.filter(|g| g.memory() < room) else { break };
            let id = next.req.generation.clone();
            let (prompt, recompute) = (next.req.prompt.clone(), next.tokens.len() as u64);
            let cold = self.cold_tokens(&prompt) + recompute;
            prefill += self.cfg.prefill_each * u32::try_from(cold).unwrap_or(u32::MAX);
            self.counter += 1;
            let admitted = self.counter;
            if let Some(generation) = self.generations.get_mut(&id) {
                generation.status = GenerationStatus::Running;
                generation.admitted = admitted;
            }
        }
        prefill
    }

    /// Pushes generations aside until one more token for each of the others fits.
    fn make_room(&mut self, running: &[String]) {
        let mut batch = running.len() as u64;
        while self.memory_used() + batch > self.cfg.memory_limit && batch > 1 {
            let candidates = self.generations.values_mut();
            let candidates = candidates.filter(|g| g.status == GenerationStatus::Running);
            let victim = candidates.min_by_key(|g| (g.req.priority, std::cmp::Reverse(g.admitted)));
            let Some(victim) = victim else { return };
            victim.status = GenerationStatus::Waiting;
            victim.preemptions += 1;
            self.preemptions += 1;
            batch -= 1;
        }
    }

    /// Counts the prompt's tokens that are not cached, and caches them.
    fn cold_tokens(&mut self, prompt: &str) -> u64 {
        let chars: Vec<char> = prompt.chars().collect();
        let mut cold = 0;
        for end in (BLOCK_CHARS..=chars.len()).step_by(BLOCK_CHARS) {
            let prefix: String = chars[..end].iter().collect();
            let block = hex(&Sha256::digest(prefix.as_bytes())[..8]);
            if let Some(at) = self.cache.iter().position(|have| *have == block) {
                self.cache.remove(at);
            } else {
                cold += BLOCK_CHARS as u64 / CHARS_PER_TOKEN;
                self.emit(block.clone(), true);
            }
            self.cache.push_back(block);
            if self.cache.len() > self.cfg.cache_blocks
                && let Some(old) = self.cache.pop_front()
            {
                self.emit(old, false);
            }
        }
        cold + (chars.len() % BLOCK_CHARS) as u64 / CHARS_PER_TOKEN
    }

    fn emit(&mut self, block: String, stored: bool) {
        self.next_event += 1;
        let sequence = self.next_event;
        let lost = self.cfg.lose_event_every;
        if lost > 0 && sequence.is_multiple_of(lost) {
            return;
        }
        self.events.push_back(CacheEvent { sequence, block, stored, step: self.steps });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}

/// The text of a token: equal for equal requests with a seed, else peculiar to the generation.
pub fn token_text(req: &GenerateRequest, index: u64) -> String {
    let root = match req.seed {
        Some(seed) => format!("{seed}/{}", req.prompt),
        None => req.generation.clone(),
    };
    let digest = Sha256::digest(format!("{root}/{index}").as_bytes());
    format!(" {}", hex(&digest[..3]))
}

/// Draws the length of an output: `len=N` in the prompt sets it, else it is heavy-tailed.
fn output_length(req: &GenerateRequest) -> u64 {
    let asked = req.prompt.split_whitespace().find_map(|word| word.strip_prefix("len="));
    if let Some(length) = asked.and_then(|text| text.parse::<u64>().ok()) {
        return length.clamp(1, req.max_tokens);
    }
    let digest = Sha256::digest(format!("length/{}/{:?}", req.prompt, req.seed).as_bytes());
    let uniform = f64::from(u16::from_be_bytes([digest[0], digest[1]])) / 65_536.0;
    // Pareto with shape 1.2 from 8 tokens on: many short outputs, a few very long ones.
    let length = 8.0 / (1.0 - uniform).powf(1.0 / 1.2);
    (length as u64).clamp(1, req.max_tokens)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
