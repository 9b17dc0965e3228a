//! Step-based model of an engine without I/O.
//!
//! Each step produces one token for every generation in the batch and takes longer for larger
//! batches. Memory is measured in tokens. When it is exhausted, the most recently admitted
//! generation of the lowest priority is preempted and recomputed later.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hatchpitch::engine::messages::{EngineCommand, EngineHoldings, EngineOrder};
use hatchpitch::engine::{EngineLoad, FinishReason, GenerateRequest};
use sha2::{Digest, Sha256};

/// Characters of a prompt in one block of the prefix cache.
const BLOCK_CHARS: usize = 64;
/// Characters per prompt token.
const CHARS_PER_TOKEN: u64 = 4;
/// Number of cache events retained for lagging readers.
const MAX_CACHE_EVENTS: usize = 1_024;

/// Capacity and timing of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Memory limit, in tokens.
    pub memory_limit: u64,
    /// Maximum number of generations in the batch.
    pub max_batch: usize,
    /// Maximum number of waiting generations.
    pub max_waiting: usize,
    /// Base duration of a step.
    pub step_base: Duration,
    /// Additional step duration per generation in the batch.
    pub step_each: Duration,
    /// Additional step duration per prompt token that is not cached.
    pub prefill_each: Duration,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Whether commands with an outdated fence are rejected.
    pub checks_fence: bool,
    /// Drops every n-th cache event; 0 drops none.
    pub lose_event_every: u64,
    /// Number of steps before a cache event is published.
    pub event_delay: u64,
    /// Time after which an unfinished generation without a reader is cancelled.
    pub orphan_limit: Duration,
    /// Time for which a finished generation is retained.
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

/// State of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GenerationStatus {
    /// Waiting for its first step or, after a preemption, for recomputation.
    Waiting,
    /// In the batch.
    Running,
    /// Complete, with the reason why it finished.
    Done(FinishReason),
    /// Cancelled by a reader, or after it had no reader for too long.
    Cancelled,
}

/// Generation known to the engine.
#[derive(Debug, Clone)]
pub struct Generation {
    /// Request that started it.
    pub req: GenerateRequest,
    /// Tokens produced so far.
    pub tokens: Vec<String>,
    /// Current state.
    pub status: GenerationStatus,
    /// Attempt that receives its tokens.
    pub reader: Option<String>,
    /// Number of preemptions.
    pub preemptions: u64,
    /// Number of tokens at which it ends; not disclosed to clients.
    length: u64,
    /// Sequence number of its submission.
    arrived: u64,
    /// Sequence number of its latest admission to the batch.
    admitted: u64,
    /// Time since its last reader detached or since it finished.
    idle: Duration,
}

impl Generation {
    /// Returns the length of the prompt, in tokens.
    fn prompt_tokens(&self) -> u64 {
        self.req.prompt.chars().count() as u64 / CHARS_PER_TOKEN + 1
    }

    /// Returns the memory in use, in tokens.
    fn memory(&self) -> u64 {
        self.prompt_tokens() + self.tokens.len() as u64
    }
}

/// Change of the prefix cache.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap indicates a lost event.
    pub sequence: u64,
    /// Digest of the block's prefix.
    pub block: String,
    /// Whether the block was stored (`true`) or evicted (`false`).
    pub stored: bool,
    /// Step in which the change happened.
    pub step: u64,
}

/// Reason why an engine refused a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// The engine is leaving and accepts no new work.
    Leaving,
    /// The waiting queue is full.
    Full,
    /// The prompt does not fit into the memory limit.
    TooLarge,
    /// The generation id is already in use.
    Duplicate,
    /// The engine has another model loaded.
    WrongModel,
}

/// State of an engine.
#[derive(Debug)]
pub struct EngineModel {
    /// Capacity and timing.
    pub cfg: EngineConfig,
    /// Generations that are active or retained, by id.
    pub generations: BTreeMap<String, Generation>,
    /// Whether the engine accepts no new work.
    pub leaving: bool,
    incarnation: u64,
    holdings: EngineHoldings,
    /// Source of the `arrived` and `admitted` numbers.
    counter: u64,
    preemptions: u64,
    /// Digests of the cached blocks, least recently used first.
    cache: VecDeque<String>,
    events: VecDeque<CacheEvent>,
    last_event: u64,
    steps: u64,
}

impl EngineModel {
    /// Creates an idle engine with `model` loaded.
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
            last_event: 0,
            steps: 0,
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused, in which case nothing was run.
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

    /// Makes `attempt` the reader of a generation; returns `false` if it is unknown or cancelled.
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

    /// Removes `attempt` as the reader of a generation if it is the current one.
    pub fn detach(&mut self, id: &str, attempt: &str) {
        if let Some(generation) = self.generations.get_mut(id)
            && generation.reader.as_deref() == Some(attempt)
        {
            generation.reader = None;
        }
    }

    /// Cancels a generation unless an attempt other than `attempt` is its reader; returns whether
    /// it is cancelled or had already finished.
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

    /// Runs one step; returns its simulated duration, or `None` if the batch is empty.
    pub fn step(&mut self) -> Option<Duration> {
        self.steps += 1;
        let prefill = self.fill_batch();
        let running = self.running_ids();
        if running.is_empty() {
            return None;
        }
        self.preempt_for_memory(&running);
        let running = self.running_ids();
        for id in &running {
            let Some(generation) = self.generations.get_mut(id) else { continue };
            let index = generation.tokens.len() as u64;
            generation.tokens.push(token_text(&generation.req, index));
            if generation.tokens.len() as u64 >= generation.length {
                let truncated = generation.length >= generation.req.max_tokens;
                let reason = if truncated { FinishReason::Length } else { FinishReason::Stop };
                generation.status = GenerationStatus::Done(reason);
                generation.idle = Duration::ZERO;
            }
        }
        let batch = u32::try_from(running.len()).unwrap_or(u32::MAX);
        Some(self.cfg.step_base + self.cfg.step_each * batch + prefill)
    }

    /// Advances the idle time of generations that are finished or have no reader, cancels those
    /// idle for too long and drops finished ones after their retention time.
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

    /// Returns the current load.
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

    /// Returns the published cache events with a number above `sequence`.
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let published = |event: &&CacheEvent| {
            event.sequence > sequence && event.step + self.cfg.event_delay <= self.steps
        };
        self.events.iter().filter(published).cloned().collect()
    }

    /// Executes a command. A command that repeats the newest fence succeeds without effect if the
    /// engine checks fences.
    ///
    /// # Errors
    ///
    /// Returns the newest fence, as term and sequence, if the engine checks fences and the
    /// command's is older.
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

    /// Returns the loaded model, its adapters and the role, with the newest fence.
    pub fn holdings(&self) -> &EngineHoldings {
        &self.holdings
    }

    /// Returns the memory used by running generations, in tokens.
    fn memory_used(&self) -> u64 {
        let running = self.generations.values();
        let running = running.filter(|g| g.status == GenerationStatus::Running);
        running.map(Generation::memory).sum()
    }

    fn count(&self, status: GenerationStatus) -> usize {
        self.generations.values().filter(|g| g.status == status).count()
    }

    /// Returns the ids of the running generations.
    fn running_ids(&self) -> Vec<String> {
        let running = self.generations.values();
        let running = running.filter(|g| g.status == GenerationStatus::Running);
        running.map(|g| g.req.generation.clone()).collect()
    }

    /// Admits waiting generations by priority and arrival while they fit into memory; returns the
    /// time to compute their prompts.
    fn fill_batch(&mut self) -> Duration {
        let mut prefill = Duration::ZERO;
        while self.count(GenerationStatus::Running) < self.cfg.max_batch {
            let available = self.cfg.memory_limit.saturating_sub(self.memory_used());
            let waiting = self.generations.values();
            let waiting = waiting.filter(|g| g.status == GenerationStatus::Waiting);
            let next = waiting.min_by_key(|g| (std::cmp::Reverse(g.req.priority), g.arrived));
            let Some(next) = next.filter(|g| g.memory() < available) else { break };
            let id = next.req.generation.clone();
            let (prompt, recompute) = (next.req.prompt.clone(), next.tokens.len() as u64);
            let cold = self.cache_prompt(&prompt) + recompute;
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

    /// Preempts generations until one more token of each remaining one fits into memory.
    fn preempt_for_memory(&mut self, running: &[String]) {
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

    /// Returns the number of prompt tokens that are not cached, and adds the prompt to the cache.
    fn cache_prompt(&mut self, prompt: &str) -> u64 {
        let chars: Vec<char> = prompt.chars().collect();
        let mut cold = 0;
        for end in (BLOCK_CHARS..=chars.len()).step_by(BLOCK_CHARS) {
            let prefix: String = chars[..end].iter().collect();
            let block = hex(&Sha256::digest(prefix.as_bytes())[..8]);
            if let Some(at) = self.cache.iter().position(|have| *have == block) {
                self.cache.remove(at);
            } else {
                cold += BLOCK_CHARS as u64 / CHARS_PER_TOKEN;
                self.record_event(block.clone(), true);
            }
            self.cache.push_back(block);
            if self.cache.len() > self.cfg.cache_blocks
                && let Some(old) = self.cache.pop_front()
            {
                self.record_event(old, false);
            }
        }
        cold + (chars.len() % BLOCK_CHARS) as u64 / CHARS_PER_TOKEN
    }

    /// Records a cache event unless it is one to be lost.
    fn record_event(&mut self, block: String, stored: bool) {
        self.last_event += 1;
        let sequence = self.last_event;
        let lost = self.cfg.lose_event_every;
        if lost > 0 && sequence.is_multiple_of(lost) {
            return;
        }
        self.events.push_back(CacheEvent { sequence, block, stored, step: self.steps });
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns the text of a token, which is determined by seed and prompt, or by the generation id if
/// the request has no seed.
pub fn token_text(req: &GenerateRequest, index: u64) -> String {
    let root = match req.seed {
        Some(seed) => format!("{seed}/{}", req.prompt),
        None => req.generation.clone(),
    };
    let digest = Sha256::digest(format!("{root}/{index}").as_bytes());
    format!(" {}", hex(&digest[..3]))
}

/// Returns the number of tokens of an output: N if the prompt contains `len=N`, otherwise a
/// heavy-tailed value derived from prompt and seed. Both are limited to `max_tokens`.
fn output_length(req: &GenerateRequest) -> u64 {
    let requested = req.prompt.split_whitespace().find_map(|word| word.strip_prefix("len="));
    if let Some(length) = requested.and_then(|text| text.parse::<u64>().ok()) {
        return length.clamp(1, req.max_tokens);
    }
    let digest = Sha256::digest(format!("length/{}/{:?}", req.prompt, req.seed).as_bytes());
    let uniform = f64::from(u16::from_be_bytes([digest[0], digest[1]])) / 65_536.0;
    // Pareto distribution with shape 1.2 and minimum 8: many short outputs and a few very long
    // ones.
    let length = 8.0 / (1.0 - uniform).powf(1.0 / 1.2);
    (length as u64).clamp(1, req.max_tokens)
}

/// Encodes bytes as lower-case hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
