//! Model of an engine, limited to what affects placement: prompts are prefilled one after another,
//! tokens are decoded in steps that take longer with a larger batch, and the last running
//! generation is preempted when the KV memory is full.

/// Prompt tokens prefilled per millisecond while nothing is decoded.
const PREFILL_PER_MS: f64 = 14.0;
/// Share of an engine's time spent on prefill while prompts are pending.
const PREFILL_SHARE: f64 = 0.6;
/// Base duration of a decode step, and the increment per generation in the batch, in milliseconds.
const STEP_MS: (f64, f64) = (7.0, 0.12);
/// Largest number of generations that run concurrently.
const MAX_BATCH: usize = 24;
/// Number of tokens that an event of a stream holds. The first event holds the first token alone.
const EVENT_TOKENS: f64 = 4.0;
/// An engine with slow moments takes this many times as long for this part of each period, in
/// milliseconds.
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MS: f64 = 90.0;
const SLOW_PERIOD_MS: f64 = 600.0;

/// A generation on an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Index of the request in the load.
    pub request: usize,
    /// Length of the prompt, in tokens.
    pub prompt: f64,
    /// Length of the output, in tokens.
    pub output: f64,
    /// Prompt tokens prefilled so far.
    prefilled: f64,
    /// Output tokens decoded so far.
    decoded: f64,
    /// Whether the generation is in the batch.
    runs: bool,
}

impl Job {
    pub fn new(request: usize, prompt: u64, output: u64) -> Self {
        Self {
            request,
            prompt: prompt as f64,
            output: output as f64,
            prefilled: 0.0,
            decoded: 0.0,
            runs: false,
        }
    }

    fn events(&self) -> f64 {
        ((self.decoded.min(self.output) - 1.0) / EVENT_TOKENS).floor()
    }

    fn is_prefilled(&self) -> bool {
        self.prefilled >= self.prompt
    }
}

/// Events of one tick of an engine.
#[derive(Debug, Default)]
pub struct TickReport {
    /// Requests whose first token was produced.
    pub first_tokens: Vec<usize>,
    /// Requests of which an event was sent, except the first event.
    pub events: Vec<usize>,
    /// Requests that completed, with the number of output tokens.
    pub completed: Vec<(usize, u64)>,
    /// Requests that were preempted after their first token, which pauses their stream.
    pub paused: Vec<usize>,
}

#[derive(Debug, Clone)]
pub struct Engine {
    /// Index of the failure domain.
    pub domain: usize,
    /// Speed relative to a standard engine.
    pub speed: f64,
    /// KV memory, in tokens.
    pub memory: f64,
    /// Generations in the order of arrival; preempted ones move to the end.
    pub jobs: Vec<Job>,
    /// Number of preemptions so far.
    pub preempted: usize,
    /// Time since the start of its current period, in milliseconds, if it has slow moments.
    pub slow_phase: Option<f64>,
}

impl Engine {
    pub fn new(domain: usize, speed: f64, memory: f64) -> Self {
        Self { domain, speed, memory, jobs: Vec::new(), preempted: 0, slow_phase: None }
    }

    /// Simulates `ms` milliseconds of work.
    pub fn tick(&mut self, ms: f64) -> TickReport {
        self.admit();
        let mut report = TickReport::default();
        let ms = ms * self.speed * self.slow_moment(ms);
        let prefilling = self.jobs.iter().any(|job| job.runs && !job.is_prefilled());
        let (prefill_ms, decode_ms) =
            if prefilling { (ms * PREFILL_SHARE, ms * (1.0 - PREFILL_SHARE)) } else { (0.0, ms) };
        let batch = self.jobs.iter().filter(|job| job.runs && job.is_prefilled()).count();
        let step = STEP_MS.0 + STEP_MS.1 * batch as f64;
        let mut left = prefill_ms * PREFILL_PER_MS;
        for job in self.jobs.iter_mut().filter(|job| job.runs) {
            if !job.is_prefilled() {
                let prefilled = left.min(job.prompt - job.prefilled);
                job.prefilled += prefilled;
                left -= prefilled;
                continue;
            }
            let (before, events) = (job.decoded, job.events());
            job.decoded += decode_ms / step;
            if before < 1.0 && job.decoded >= 1.0 {
                report.first_tokens.push(job.request);
            } else if before >= 1.0 && job.events() > events {
                report.events.push(job.request);
            }
        }
        let is_complete = |job: &&Job| job.decoded >= job.output;
        let completed = self.jobs.iter().filter(is_complete);
        report.completed = completed.map(|job| (job.request, job.output as u64)).collect();
        self.jobs.retain(|job| !is_complete(&job));
        self.preempt(&mut report);
        report
    }

    /// Advances the period of slow moments, and returns the factor of the speed.
    fn slow_moment(&mut self, ms: f64) -> f64 {
        let Some(phase) = &mut self.slow_phase else { return 1.0 };
        *phase = (*phase + ms) % SLOW_PERIOD_MS;
        if *phase < SLOW_MS { 1.0 / SLOW_FACTOR } else { 1.0 }
    }

    fn used(&self) -> f64 {
        self.jobs.iter().filter(|job| job.runs).map(|job| job.prompt + job.decoded).sum()
    }

    /// Admits waiting generations in order while the batch and the memory have space.
    fn admit(&mut self) {
        while let Some(at) = self.jobs.iter().position(|job| !job.runs) {
            let running = self.jobs.iter().filter(|job| job.runs).count();
            if running == MAX_BATCH || self.used() + self.jobs[at].prompt > self.memory {
                return;
            }
            self.jobs[at].runs = true;
        }
    }

    /// Preempts the last running generation in `jobs` while the memory is over its limit. A
    /// preempted generation queues again and its prompt is prefilled anew.
    fn preempt(&mut self, report: &mut TickReport) {
        while self.used() > self.memory {
            let Some(at) = self.jobs.iter().rposition(|job| job.runs) else { return };
            let mut job = self.jobs.remove(at);
            if job.decoded >= 1.0 {
                report.paused.push(job.request);
            }
            (job.runs, job.prefilled) = (false, 0.0);
            self.preempted += 1;
            self.jobs.push(job);
        }
    }
}
