//! An engine as far as placement notices it: prompts read one after another, tokens made in
//! steps that grow with the batch, and a memory that pushes the youngest generation out.

/// Prompt tokens read in a millisecond while no token is made.
const READ_PER_MS: f64 = 14.0;
/// Part of an engine's time that goes to prompts while some wait to be read.
const READING: f64 = 0.6;
/// Milliseconds of a step, and what each generation of the batch adds.
const STEP_MS: (f64, f64) = (7.0, 0.12);
/// Generations that run at once.
const BATCH: usize = 24;

/// A generation at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request, by its number.
    pub request: usize,
    pub prompt: f64,
    pub output: f64,
    read: f64,
    made: f64,
    /// Whether it is in the batch.
    runs: bool,
}

impl Job {
    pub fn new(request: usize, prompt: u64, output: u64) -> Self {
        Self {
            request,
            prompt: prompt as f64,
            output: output as f64,
            read: 0.0,
            made: 0.0,
            runs: false,
        }
    }

    fn is_read(&self) -> bool {
        self.read >= self.prompt
    }
}

/// What an engine did in a tick.
#[derive(Debug, Default)]
pub struct Done {
    /// Requests whose first token was made.
    pub begun: Vec<usize>,
    /// Requests that are whole, with the length of the output.
    pub ended: Vec<(usize, u64)>,
    /// Requests whose stream paused, because they were pushed out of the memory.
    pub paused: Vec<usize>,
}

#[derive(Debug, Clone)]
pub struct Engine {
    pub domain: usize,
    /// Its pace against that of others.
    pub speed: f64,
    pub memory: f64,
    pub jobs: Vec<Job>,
    pub preempted: usize,
}

impl Engine {
    pub fn new(domain: usize, speed: f64, memory: f64) -> Self {
        Self { domain, speed, memory, jobs: Vec::new(), preempted: 0 }
    }

    /// Works for `ms`.
    pub fn work(&mut self, ms: f64) -> Done {
        self.let_in();
        let mut done = Done::default();
        let ms = ms * self.speed;
        let reading = self.jobs.iter().any(|job| job.runs && !job.is_read());
        let (read_ms, made_ms) =
            if reading { (ms * READING, ms * (1.0 - READING)) } else { (0.0, ms) };
        let batch = self.jobs.iter().filter(|job| job.runs && job.is_read()).count();
        let step = STEP_MS.0 + STEP_MS.1 * batch as f64;
        let mut left = read_ms * READ_PER_MS;
        for job in self.jobs.iter_mut().filter(|job| job.runs) {
            if !job.is_read() {
                let read = left.min(job.prompt - job.read);
                job.read += read;
                left -= read;
                continue;
            }
            let before = job.made;
            job.made += made_ms / step;
            if before < 1.0 && job.made >= 1.0 {
                done.begun.push(job.request);
            }
        }
        let whole = |job: &&Job| job.made >= job.output;
        let ended = self.jobs.iter().filter(whole);
        done.ended = ended.map(|job| (job.request, job.output as u64)).collect();
        self.jobs.retain(|job| !whole(&job));
        self.push_out(&mut done);
        done
    }

    fn used(&self) -> f64 {
        self.jobs.iter().filter(|job| job.runs).map(|job| job.prompt + job.made).sum()
    }

    /// Lets in those that wait, in their order, while the batch and the memory have room.
    fn let_in(&mut self) {
        while let Some(at) = self.jobs.iter().position(|job| !job.runs) {
            let running = self.jobs.iter().filter(|job| job.runs).count();
            if running == BATCH || self.used() + self.jobs[at].prompt > self.memory {
                return;
            }
            self.jobs[at].runs = true;
        }
    }

    /// Pushes the youngest generation out of a full memory; it waits and is read anew.
    fn push_out(&mut self, done: &mut Done) {
        while self.used() > self.memory {
            let Some(at) = self.jobs.iter().rposition(|job| job.runs) else { return };
            let mut job = self.jobs.remove(at);
            if job.made >= 1.0 {
                done.paused.push(job.request);
            }
            (job.runs, job.read) = (false, 0.0);
            self.preempted += 1;
            self.jobs.push(job);
        }
    }
}
