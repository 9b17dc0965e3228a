//! Drives one answer: opens attempts at engines and feeds [`StreamState`].

use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::clock;

use super::context::{EntryCx, StreamGuard};
use crate::dispatch::{Refusal, SlotRequest};
use crate::engine::adapter::{self, EngineError};
use crate::engine::{EventReader, GenerateRequest};
use crate::grants::{self, Slot};
use crate::ids::{GenerationId, PoolName, Priority, RunnerName, WorkspaceName, new_id};
use crate::metrics::{Count, STALL_THRESHOLD, Timing};
use crate::outcome::Problem;
use crate::quarantine::ContentId;
use crate::quarantine::observer::{self, RunLocation};
use crate::routing::Verdict;
use crate::streams::{Phase, StreamLimits, StreamState, StreamStep};
use crate::trace::Span;
use crate::upstream_signals::{UpstreamSignals, task as upstream_signals};

/// Rest before the second link to an engine; it doubles with each further one.
const RELINK_REST: Duration = Duration::from_millis(50);
/// Tries to cancel a generation whose runner rests or is at its limit, and the rest between them: together
/// about the time that an answer takes which nobody reads.
const CANCEL_TRIES: usize = 20;
const CANCEL_REST: Duration = Duration::from_millis(500);
/// Characters of prompt that count as one token where the engine has not counted yet.
const CHARS_PER_TOKEN: u64 = 4;

/// A checked request for a generation.
#[derive(Debug, Clone)]
pub struct Job {
    /// Who asks.
    pub workspace: WorkspaceName,
    /// What it pays for.
    pub priority: Priority,
    /// The pool that holds the model.
    pub pool: PoolName,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Bound on the output, in tokens.
    pub max_tokens: u64,
    /// Seed for a repeatable output.
    pub seed: Option<u64>,
    /// Whether tokens go to the caller as they come.
    pub streams: bool,
    /// Silence after which a link is remade.
    pub silence_limit: Duration,
}

impl Job {
    /// Names what is asked, whatever box it is sent to; the priority is not part of it.
    fn content(&self) -> ContentId {
        ContentId::of(&[
            b"generation",
            self.pool.as_bytes(),
            self.workspace.as_bytes(),
            self.model.as_bytes(),
            self.prompt.as_bytes(),
            &self.max_tokens.to_be_bytes(),
            &self.seed.map(u64::to_be_bytes).unwrap_or_default(),
        ])
    }

    /// Returns the tokens of the prompt, roughly.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.chars().count() as u64 / CHARS_PER_TOKEN + 1
    }
}

/// Why no answer could begin.
#[derive(Debug)]
pub enum StartError {
    /// No runner took the request; it was not run.
    Refused(Refusal),
    /// It crashes what runs it; it was not run.
    Held(Problem),
    /// Runners failed before the first token.
    Failed {
        /// Why.
        cause: String,
        /// Whether any runner can have run it.
        ran: bool,
    },
}

/// One answer in progress. Dropping it cancels the generation unless another
/// box has resumed it.
pub struct Generation {
    cx: Rc<EntryCx>,
    job: Job,
    state: StreamState,
    slot: Option<Slot>,
    upstream: hatchpitch_net::Upstream,
    runner: RunnerName,
    reader: Option<EventReader>,
    failed_runners: Vec<RunnerName>,
    /// What is asked; unknown where another box began the answer.
    content: Option<ContentId>,
    /// When the runner made its first token, if it did.
    begun: Option<Instant>,
    relink_rest: Duration,
    ran: bool,
    span: Span,
    _streams: StreamGuard,
    started: Instant,
    last_progress: Instant,
}

impl Generation {
    /// Waits for a runner and starts the generation there.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if no runner could be found or none could start it.
    pub async fn start(
        cx: Rc<EntryCx>,
        job: Job,
        span: Span,
        streams: StreamGuard,
    ) -> Result<Self, StartError> {
        cx.retries.borrow_mut().earn(&job.workspace, &job.pool);
        let content = job.content();
        observer::check(&cx, &content).map_err(StartError::Held)?;
        let started = clock::now();
        let slot = admit(&cx, &job, &[], &span).await.map_err(StartError::Refused)?;
        cx.metrics.time(Timing::Wait, &job.pool, job.priority, clock::since(started));
        let limits = StreamLimits::default();
        let state = StreamState::new(new_id(), new_id(), job.streams, limits);
        let mut generation = Self {
            upstream: cx.upstream(slot.addr),
            runner: slot.runner.clone(),
            cx,
            job,
            state,
            slot: Some(slot),
            reader: None,
            failed_runners: Vec::new(),
            content: Some(content),
            begun: None,
            relink_rest: RELINK_REST,
            ran: false,
            span,
            _streams: streams,
            started,
            last_progress: started,
        };
        match generation.open().await {
            StreamStep::Fail { cause } => Err(StartError::Failed { cause, ran: generation.ran }),
            _ => Ok(generation),
        }
    }

    /// Resumes an answer that began at another box, from token `next` on.
    pub async fn resume(
        cx: Rc<EntryCx>,
        job: Job,
        runner: (RunnerName, std::net::SocketAddr),
        generation: GenerationId,
        next: u64,
        span: Span,
        streams: StreamGuard,
    ) -> Result<Self, StartError> {
        let started = clock::now();
        let mut resumed = Self {
            upstream: cx.upstream(runner.1),
            runner: runner.0,
            cx,
            job,
            state: StreamState::resume(generation, new_id(), next, StreamLimits::default()),
            slot: None,
            reader: None,
            failed_runners: Vec::new(),
            content: None,
            begun: None,
            relink_rest: RELINK_REST,
            ran: true,
            span,
            _streams: streams,
            started,
            last_progress: started,
        };
        match resumed.relink(next).await {
            StreamStep::Fail { cause } => Err(StartError::Failed { cause, ran: true }),
            _ => Ok(resumed),
        }
    }

    /// Returns the runner that the answer comes from now.
    pub fn runner(&self) -> &RunnerName {
        &self.runner
    }

    /// Returns the generation that the answer comes from now.
    pub fn id(&self) -> &str {
        self.state.generation()
    }

    /// Returns the request.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// Returns whether any runner can have run the request.
    pub fn ran(&self) -> bool {
        self.ran
    }

    /// Waits for the next step that concerns the caller.
    ///
    /// [`StreamStep::Nothing`] comes from time to time and shows that the engine lives;
    /// [`StreamStep::Rerun`] tells that what was collected so far is void.
    pub async fn next(&mut self) -> StreamStep {
        loop {
            let step = self.read_step().await;
            match self.handle(step).await {
                Some(step) => return step,
                None => continue,
            }
        }
    }

    async fn handle(&mut self, step: StreamStep) -> Option<StreamStep> {
        match step {
            StreamStep::Drop => {
                self.cx.metrics.count(Count::DroppedMessages, &self.job.pool);
                None
            }
            StreamStep::Preempted => {
                self.cx.metrics.count(Count::Preemptions, &self.job.pool);
                self.span.note("preempted_at", self.state.next_index());
                None
            }
            StreamStep::Relink { from } => match self.relink(from).await {
                StreamStep::Nothing => None,
                other => Some(other),
            },
            StreamStep::Rerun => match self.rerun().await {
                StreamStep::Nothing => Some(StreamStep::Rerun),
                other => Some(other),
            },
            StreamStep::Deliver { .. } => {
                self.note_progress();
                Some(step)
            }
            StreamStep::Finish { tokens, .. } => {
                self.note_finish(tokens);
                Some(step)
            }
            StreamStep::Nothing | StreamStep::Fail { .. } => Some(step),
        }
    }

    async fn read_step(&mut self) -> StreamStep {
        let silence = self.job.silence_limit;
        let Some(reader) = self.reader.as_mut() else {
            return self.state.on_link_lost("no link to the engine");
        };
        match compio::time::timeout(silence, reader.next()).await {
            Ok(Ok(Some(event))) => self.state.on_event(event),
            Ok(Ok(None)) => {
                self.note_break();
                self.state.on_link_lost("the engine closed the stream")
            }
            Ok(Err(err)) => {
                self.note_break();
                self.state.on_link_lost(&err.to_string())
            }
            Err(_) => self.state.on_link_lost("the engine fell silent"),
        }
    }

    /// Opens the first link of a new generation; on failure goes on to other runners.
    async fn open(&mut self) -> StreamStep {
        loop {
            match self.generate().await {
                Ok(()) => return StreamStep::Nothing,
                Err(err) => match self.state.on_generation_lost(&err.to_string()) {
                    StreamStep::Rerun => match self.move_to_other_runner(&err.to_string()).await {
                        StreamStep::Nothing => continue,
                        failed => return failed,
                    },
                    other => return other,
                },
            }
        }
    }

    async fn generate(&mut self) -> Result<(), EngineError> {
        let mut span = self.span.child("engine.generate");
        span.note("runner", &self.runner);
        let req = GenerateRequest {
            generation: self.state.generation().to_owned(),
            attempt: self.state.attempt().to_owned(),
            model: self.job.model.clone(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            priority: self.job.priority,
            seed: self.job.seed,
        };
        let head_timeout = self.cx.settings.timing.head_timeout;
        let (trace, on_head) = (span.traceparent(), self.on_head());
        let opened = adapter::generate(&self.upstream, &req, &trace, head_timeout, &on_head).await;
        match opened {
            Ok(reader) => {
                self.ran = true;
                self.reader = Some(reader);
                Ok(())
            }
            Err(err) => {
                span.note("error", &err);
                log::info!("generate at {}: {err}", self.runner);
                self.ran |= !err.is_not_run();
                if matches!(err, EngineError::Send(_)) {
                    self.runner_failed();
                    if !err.is_not_run() {
                        self.note_break();
                    }
                }
                Err(err)
            }
        }
    }

    /// Opens a new link to the same generation.
    async fn relink(&mut self, from: u64) -> StreamStep {
        self.reader = None;
        self.cx.metrics.count(Count::Relinks, &self.job.pool);
        loop {
            self.state.relinked(new_id());
            let mut span = self.span.child("engine.resume");
            span.note("runner", &self.runner);
            span.note("from", from);
            let head_timeout = self.job.silence_limit;
            let (id, attempt) = (self.state.generation(), self.state.attempt());
            let trace = span.traceparent();
            upstream_signals::wait_for_backoff(&self.cx, &self.runner, head_timeout).await;
            let may_send = upstream_signals::obtain_in_advance(&self.cx, &self.runner).await;
            let on_head = self.on_head();
            let link =
                adapter::ResumeRequest { generation: id, attempt, from, traceparent: &trace };
            let opened = match may_send {
                Ok(()) => adapter::resume(&self.upstream, link, head_timeout, &on_head).await,
                Err(cause) => Err(EngineError::Closed(cause)),
            };
            let step = match opened {
                Ok(reader) => {
                    self.reader = Some(reader);
                    self.relink_rest = RELINK_REST;
                    return StreamStep::Nothing;
                }
                Err(EngineError::Refused { cause, .. }) => self.state.on_generation_lost(&cause),
                Err(err) => {
                    span.note("error", &err);
                    self.state.on_link_lost(&err.to_string())
                }
            };
            match step {
                StreamStep::Relink { .. } => {
                    compio::time::sleep(self.relink_rest).await;
                    self.relink_rest *= 2;
                }
                StreamStep::Rerun => {
                    return match self.rerun().await {
                        StreamStep::Nothing => StreamStep::Rerun,
                        failed => failed,
                    };
                }
                other => {
                    self.runner_failed();
                    return other;
                }
            }
        }
    }

    /// Runs the request anew at another runner. The caller has seen nothing of the old run.
    async fn rerun(&mut self) -> StreamStep {
        self.runner_failed();
        self.cancel_now();
        match self.move_to_other_runner("the engine lost the generation").await {
            StreamStep::Nothing => self.open().await,
            failed => failed,
        }
    }

    async fn move_to_other_runner(&mut self, cause: &str) -> StreamStep {
        self.reader = None;
        self.slot = None;
        self.failed_runners.push(self.runner.clone());
        let allowed = self.cx.retries.borrow_mut().take(&self.job.workspace, &self.job.pool);
        if !allowed {
            return self.state.fail(&format!("{cause}; the retry budget is used up"));
        }
        if let Err(held) = self.check_quarantine() {
            return self.state.fail(&format!("{cause}; {}", held.message));
        }
        self.cx.metrics.count(Count::Reruns, &self.job.pool);
        let admitted = admit(&self.cx, &self.job, &self.failed_runners, &self.span).await;
        let slot = match admitted {
            Ok(slot) => slot,
            Err(refusal) => return self.state.fail(&format!("{cause}; {}", refusal.cause)),
        };
        // It may have come to be held while it waited.
        if let Err(held) = self.check_quarantine() {
            return self.state.fail(&format!("{cause}; {}", held.message));
        }
        self.upstream = self.cx.upstream(slot.addr);
        self.runner.clone_from(&slot.runner);
        self.slot = Some(slot);
        self.begun = None;
        self.state.rerun(new_id(), new_id());
        StreamStep::Nothing
    }

    fn check_quarantine(&self) -> Result<(), Problem> {
        self.content.map_or(Ok(()), |content| observer::check(&self.cx, &content))
    }

    /// Notes that the runner broke the answer off.
    fn note_break(&self) {
        let Some(content) = self.content else { return };
        let place = RunLocation { upstream: &self.runner, addr: self.upstream.addr };
        observer::record_interruption(&self.cx, place, content, self.begun);
    }

    fn runner_failed(&mut self) {
        if let Some(slot) = self.slot.as_mut() {
            slot.finish(Verdict::Failed, None);
        }
    }

    fn note_progress(&mut self) {
        let (pool, priority) = (&self.job.pool, self.job.priority);
        let gap = clock::since(self.last_progress);
        if self.state.next_index() == 1 {
            self.begun = Some(clock::now());
            if let Some(slot) = self.slot.as_mut() {
                slot.record_first_token();
            }
            self.cx.metrics.time(Timing::FirstToken, pool, priority, clock::since(self.started));
            self.span.note("first_token_us", clock::since(self.started).as_micros());
        } else {
            self.cx.metrics.time(Timing::TokenGap, pool, priority, gap);
            if gap > STALL_THRESHOLD {
                self.cx.metrics.time(Timing::Stall, pool, priority, gap);
            }
        }
        self.last_progress = clock::now();
    }

    fn note_finish(&mut self, tokens: u64) {
        self.cx.metrics.count(Count::Done, &self.job.pool);
        if let Some(content) = self.content {
            observer::record_answer(&self.cx, content);
        }
        self.span.note("tokens", tokens);
        if let Some(slot) = self.slot.as_mut() {
            slot.finish(Verdict::Succeeded, Some(tokens));
        }
    }

    fn cancel_now(&self) {
        self.spawn_cancel(Duration::ZERO);
    }

    /// Returns what takes in the head of an answer to a request of now.
    fn on_head(&self) -> impl Fn(UpstreamSignals) + use<> {
        let (cx, runner, sent) = (self.cx.clone(), self.runner.clone(), clock::now());
        move |signals| upstream_signals::record(&cx, &runner, signals, sent)
    }

    /// Cancels the generation after a while.
    fn spawn_cancel(&self, after: Duration) {
        let (cx, runner, upstream) = (self.cx.clone(), self.runner.clone(), self.upstream);
        let (id, attempt) = (self.state.generation().to_owned(), self.state.attempt().to_owned());
        compio::runtime::spawn(async move {
            compio::time::sleep(after).await;
            if !may_cancel(&cx, &runner).await {
                log::info!(upstream = runner.as_str(); "a generation runs on, its runner being at rest or at its limit");
                return;
            }
            let on_head = |signals| upstream_signals::record_background(&cx, &runner, signals);
            if let Err(err) = adapter::cancel(&upstream, &id, &attempt, &on_head).await {
                log::debug!("cancel of {id}: {err}");
            }
        })
        .detach();
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let after = match self.state.phase() {
            Phase::Done => return,
            Phase::Ended => Duration::ZERO,
            // The caller left; it may come back to any box within the window.
            Phase::Open => self.cx.settings.timing.resume_window,
        };
        self.spawn_cancel(after);
    }
}

/// Waits for the permit to cancel a generation; returns whether it came in time to be of use.
async fn may_cancel(cx: &Rc<EntryCx>, runner: &str) -> bool {
    for _ in 0..CANCEL_TRIES {
        if upstream_signals::obtain_in_advance(cx, runner).await.is_ok() {
            return true;
        }
        compio::time::sleep(CANCEL_REST).await;
    }
    false
}

async fn admit(
    cx: &Rc<EntryCx>,
    job: &Job,
    avoid: &[RunnerName],
    span: &Span,
) -> Result<Slot, Refusal> {
    let _span = span.child("admission.wait");
    let want = SlotRequest {
        id: new_id(),
        workspace: job.workspace.clone(),
        priority: job.priority,
        kind: job.workspace.clone(),
        prompt: job.prompt_tokens(),
        max_tokens: job.max_tokens,
        avoid: avoid.to_vec(),
        sends_here: true,
        ..SlotRequest::default()
    };
    grants::task::obtain(cx, &job.pool, want).await
}
