//! Produces one answer: opens streams at engines, feeds their events to [`StreamState`] and carries
//! out its steps.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{SendStep, clock};

use super::context::{EntryCx, StreamGuard};
use crate::dispatch::{Refusal, SlotRequest};
use crate::engine::adapter::{self, EngineError};
use crate::engine::{EventReader, GenerateRequest};
use crate::grants::{self, Slot};
use crate::ids::{GenerationId, PoolName, Priority, RunnerName, WorkspaceName, new_id};
use crate::metrics::{Count, STALL_THRESHOLD, Timing};
use crate::outcome::Problem;
use crate::quarantine::observer::{self, RunLocation};
use crate::quarantine::{Causes, ContentId, PromptParts};
use crate::reachability::UpstreamClient;
use crate::routing::Verdict;
use crate::streams::{Phase, StreamLimits, StreamState, StreamStep};
use crate::trace::Span;
use crate::upstream_signals::{UpstreamSignals, task as upstream_signals};

/// Delay before the second attempt to reconnect to an engine. It doubles with each further attempt.
const RELINK_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of attempts to get a permit for cancelling a generation whose runner has asked
/// for a backoff or is at its limit. With [`CANCEL_RETRY_DELAY`] they take about as long as an
/// answer that nobody reads.
const MAX_CANCEL_ATTEMPTS: usize = 20;
/// Delay between two attempts to get a permit for cancelling a generation.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Characters per token, for estimating the length of a prompt that no engine has tokenized.
const CHARS_PER_TOKEN: u64 = 4;

/// A validated request for a generation.
#[derive(Debug, Clone)]
pub struct Job {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Priority of the workspace.
    pub priority: Priority,
    /// Pool that serves the model.
    pub pool: PoolName,
    /// Name of the model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The parts that the prompt is composed of, if it was sent in parts.
    pub parts: Option<PromptParts>,
    /// Maximum length of the output, in tokens.
    pub max_tokens: u64,
    /// Sampling seed for reproducible output.
    pub seed: Option<u64>,
    /// Whether tokens are sent to the caller as they are generated.
    pub is_streamed: bool,
    /// Time without an event after which the connection to the engine is replaced.
    pub silence_limit: Duration,
}

impl Job {
    /// Returns the identity of the requested content. It is the same at every box and does not
    /// depend on the priority.
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

    /// Returns what the request holds that may crash a runner of the pool.
    fn causes(&self) -> Causes {
        Causes::new(self.content(), &self.pool, &self.workspace, self.parts.as_ref())
    }

    /// Returns the estimated length of the prompt, in tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.chars().count() as u64 / CHARS_PER_TOKEN + 1
    }
}

/// Reason why no answer could be started.
#[derive(Debug)]
pub enum StartError {
    /// No runner accepted the request; it was not run.
    Refused(Refusal),
    /// The request is quarantined because it crashes upstreams; it was not run.
    Quarantined(Problem),
    /// Runners failed before the first token.
    Failed {
        /// Cause of the last failure.
        cause: String,
        /// Whether any runner may have run the request.
        ran: bool,
    },
}

/// One answer in progress. Dropping it cancels the generation unless another box has resumed it.
pub struct Generation {
    cx: Rc<EntryCx>,
    job: Job,
    state: StreamState,
    /// Slot at the runner; `None` if another box started the answer or while a new slot is
    /// obtained.
    slot: Option<Slot>,
    upstream: UpstreamClient,
    runner: RunnerName,
    reader: Option<EventReader>,
    /// Runners that failed and are not chosen again.
    failed_runners: Vec<RunnerName>,
    /// What it holds that may crash a runner; `None` if another box started the answer.
    causes: Option<Causes>,
    /// Time of the first token of the current generation, if there was one.
    first_token_at: Option<Instant>,
    /// Delay before the next attempt to reconnect.
    relink_delay: Duration,
    /// Whether any runner may have run the request.
    ran: bool,
    /// Whether the last failure to reach the runner is evidence against it.
    has_path: bool,
    span: Span,
    _stream_guard: StreamGuard,
    started: Instant,
    /// Time of the last token, or of the start.
    last_token_at: Instant,
}

impl Generation {
    /// Waits for a slot at a runner and starts the generation there.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if no runner could be found or none could start it.
    pub async fn start(
        cx: Rc<EntryCx>,
        job: Job,
        span: Span,
        stream_guard: StreamGuard,
    ) -> Result<Self, StartError> {
        cx.retry_budgets.borrow_mut().earn(&job.workspace, &job.pool);
        let causes = job.causes();
        observer::check(&cx, &causes).map_err(StartError::Quarantined)?;
        let started = clock::now();
        let slot = obtain_slot(&cx, &job, &[], &span).await.map_err(StartError::Refused)?;
        cx.metrics.time(Timing::Wait, &job.pool, job.priority, clock::since(started));
        let limits = StreamLimits::default();
        let state = StreamState::new(new_id(), new_id(), job.is_streamed, limits);
        let mut generation = Self {
            upstream: cx.upstream(&slot.runner, slot.addr),
            runner: slot.runner.clone(),
            cx,
            job,
            state,
            slot: Some(slot),
            reader: None,
            failed_runners: Vec::new(),
            causes: Some(causes),
            first_token_at: None,
            relink_delay: RELINK_DELAY,
            ran: false,
            has_path: true,
            span,
            _stream_guard: stream_guard,
            started,
            last_token_at: started,
        };
        match generation.open().await {
            StreamStep::Fail { cause } => Err(StartError::Failed { cause, ran: generation.ran }),
            _ => Ok(generation),
        }
    }

    /// Resumes an answer that another box started, from token index `next` on.
    pub async fn resume(
        cx: Rc<EntryCx>,
        job: Job,
        runner: (RunnerName, std::net::SocketAddr),
        generation: GenerationId,
        next: u64,
        span: Span,
        stream_guard: StreamGuard,
    ) -> Result<Self, StartError> {
        let started = clock::now();
        let mut resumed = Self {
            upstream: cx.upstream(&runner.0, runner.1),
            runner: runner.0,
            cx,
            job,
            state: StreamState::resume(generation, new_id(), next, StreamLimits::default()),
            slot: None,
            reader: None,
            failed_runners: Vec::new(),
            causes: None,
            first_token_at: None,
            relink_delay: RELINK_DELAY,
            ran: true,
            has_path: true,
            span,
            _stream_guard: stream_guard,
            started,
            last_token_at: started,
        };
        match resumed.relink(next).await {
            StreamStep::Fail { cause } => Err(StartError::Failed { cause, ran: true }),
            _ => Ok(resumed),
        }
    }

    /// Returns the runner that currently generates the answer.
    pub fn runner(&self) -> &RunnerName {
        &self.runner
    }

    /// Returns the id of the current generation.
    pub fn id(&self) -> &str {
        self.state.generation()
    }

    /// Returns the request.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// Returns whether any runner may have run the request.
    pub fn ran(&self) -> bool {
        self.ran
    }

    /// Waits for the next step that concerns the caller.
    ///
    /// [`StreamStep::Nothing`] is returned now and then and shows that the engine is alive.
    /// [`StreamStep::Rerun`] means that all text returned so far has to be discarded.
    pub async fn next(&mut self) -> StreamStep {
        loop {
            let step = self.read_step().await;
            match self.handle_step(step).await {
                Some(step) => return step,
                None => continue,
            }
        }
    }

    /// Carries out a step; returns the step that the caller has to act on, if any.
    async fn handle_step(&mut self, step: StreamStep) -> Option<StreamStep> {
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
                self.record_token();
                Some(step)
            }
            StreamStep::Finish { tokens, .. } => {
                self.record_finish(tokens);
                Some(step)
            }
            StreamStep::Nothing | StreamStep::Fail { .. } => Some(step),
        }
    }

    /// Reads the next event from the engine and returns the step that follows from it.
    async fn read_step(&mut self) -> StreamStep {
        let silence = self.job.silence_limit;
        let Some(reader) = self.reader.as_mut() else {
            return self.state.on_link_lost("no link to the engine");
        };
        match compio::time::timeout(silence, reader.next()).await {
            Ok(Ok(Some(event))) => self.state.on_event(event),
            Ok(Ok(None)) => {
                self.report_interruption();
                self.state.on_link_lost("the engine closed the stream")
            }
            Ok(Err(err)) => {
                self.report_interruption();
                self.state.on_link_lost(&err.to_string())
            }
            Err(_) => self.state.on_link_lost("the engine fell silent"),
        }
    }

    /// Starts a generation, trying other runners if one fails.
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

    /// Sends the request to the current runner and opens the event stream.
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
        let (trace, on_head) = (span.traceparent(), self.head_callback());
        let opened = adapter::generate(&self.upstream, &req, &trace, head_timeout, &on_head).await;
        match opened {
            Ok(reader) => {
                self.ran = true;
                self.reader = Some(reader);
                Ok(())
            }
            Err(err) => {
                span.note("error", &err);
                log::info!("could not start a generation at {}: {err}", self.runner);
                self.ran |= !err.is_not_run();
                let is_rejected = matches!(err, EngineError::Refused { not_run: true, .. });
                if let Some(slot) = self.slot.as_mut().filter(|_| is_rejected) {
                    slot.record_rejection();
                }
                if let EngineError::Send(err) = &err {
                    self.has_path = !matches!(err.step, SendStep::NoPath | SendStep::LinkLost);
                    self.record_runner_failure();
                    if err.is_broken_response() {
                        self.report_interruption();
                    }
                }
                Err(err)
            }
        }
    }

    /// Reconnects to the same generation, from token index `from` on.
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
            let permit = upstream_signals::obtain_in_advance(&self.cx, &self.runner).await;
            let on_head = self.head_callback();
            let link =
                adapter::ResumeRequest { generation: id, attempt, from, traceparent: &trace };
            let opened = match permit {
                Ok(()) => adapter::resume(&self.upstream, link, head_timeout, &on_head).await,
                Err(cause) => Err(EngineError::Closed(cause)),
            };
            let step = match opened {
                Ok(reader) => {
                    self.reader = Some(reader);
                    self.relink_delay = RELINK_DELAY;
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
                    compio::time::sleep(self.relink_delay).await;
                    self.relink_delay *= 2;
                }
                StreamStep::Rerun => {
                    return match self.rerun().await {
                        StreamStep::Nothing => StreamStep::Rerun,
                        failed => failed,
                    };
                }
                other => {
                    self.record_runner_failure();
                    return other;
                }
            }
        }
    }

    /// Runs the request again on another runner. Only valid while the caller has received no token.
    async fn rerun(&mut self) -> StreamStep {
        self.record_runner_failure();
        self.cancel_now();
        match self.move_to_other_runner("the engine lost the generation").await {
            StreamStep::Nothing => self.open().await,
            failed => failed,
        }
    }

    /// Obtains a slot at another runner within the retry budget.
    async fn move_to_other_runner(&mut self, cause: &str) -> StreamStep {
        self.reader = None;
        self.slot = None;
        self.failed_runners.push(self.runner.clone());
        let allowed = self.cx.retry_budgets.borrow_mut().take(&self.job.workspace, &self.job.pool);
        if !allowed {
            return self.state.fail(&format!("{cause}; the retry budget is used up"));
        }
        if let Err(problem) = self.check_quarantine() {
            return self.state.fail(&format!("{cause}; {}", problem.message));
        }
        self.cx.metrics.count(Count::Reruns, &self.job.pool);
        let admitted = obtain_slot(&self.cx, &self.job, &self.failed_runners, &self.span).await;
        let slot = match admitted {
            Ok(slot) => slot,
            Err(refusal) => return self.state.fail(&format!("{cause}; {}", refusal.cause)),
        };
        // The request may have been quarantined while it waited for a slot.
        if let Err(problem) = self.check_quarantine() {
            return self.state.fail(&format!("{cause}; {}", problem.message));
        }
        self.upstream = self.cx.upstream(&slot.runner, slot.addr);
        self.has_path = true;
        self.runner.clone_from(&slot.runner);
        self.slot = Some(slot);
        self.first_token_at = None;
        self.state.rerun(new_id(), new_id());
        StreamStep::Nothing
    }

    /// Returns the problem if the request is quarantined.
    fn check_quarantine(&self) -> Result<(), Problem> {
        self.causes.as_ref().map_or(Ok(()), |causes| observer::check(&self.cx, causes))
    }

    /// Reports to the quarantine observer that the runner interrupted the answer.
    fn report_interruption(&self) {
        let Some(causes) = &self.causes else { return };
        let location = RunLocation { upstream: &self.runner, addr: self.upstream.addr() };
        observer::record_interruption(&self.cx, location, causes, self.first_token_at);
    }

    /// Finishes the slot with the verdict that its runner failed, unless this box has no path to it.
    fn record_runner_failure(&mut self) {
        if let Some(slot) = self.slot.as_mut() {
            let verdict = if self.has_path { Verdict::Failed } else { Verdict::Released };
            slot.finish(verdict, None);
        }
    }

    /// Records the metrics of a token.
    fn record_token(&mut self) {
        let (pool, priority) = (&self.job.pool, self.job.priority);
        let gap = clock::since(self.last_token_at);
        if self.state.next_index() == 1 {
            self.first_token_at = Some(clock::now());
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
        self.last_token_at = clock::now();
    }

    /// Records a completed answer and finishes the slot.
    fn record_finish(&mut self, tokens: u64) {
        self.cx.metrics.count(Count::Done, &self.job.pool);
        if let Some(causes) = &self.causes {
            observer::record_answer(&self.cx, causes);
        }
        self.span.note("tokens", tokens);
        if let Some(slot) = self.slot.as_mut() {
            slot.finish(Verdict::Succeeded, Some(tokens));
        }
    }

    /// Cancels the current generation without delay.
    fn cancel_now(&self) {
        self.spawn_cancel(Duration::ZERO);
    }

    /// Returns a callback for the head of the answer to a request that is sent now. It records the
    /// signals of the upstream.
    fn head_callback(&self) -> impl Fn(UpstreamSignals) + use<> {
        let (cx, runner, sent) = (self.cx.clone(), self.runner.clone(), clock::now());
        move |signals| upstream_signals::record(&cx, &runner, signals, sent)
    }

    /// Cancels the current generation after a delay, in a task of its own.
    fn spawn_cancel(&self, delay: Duration) {
        let (cx, runner, upstream) = (self.cx.clone(), self.runner.clone(), self.upstream.clone());
        let (id, attempt) = (self.state.generation().to_owned(), self.state.attempt().to_owned());
        compio::runtime::spawn(async move {
            compio::time::sleep(delay).await;
            if !obtain_cancel_permit(&cx, &runner).await {
                log::info!(upstream = runner.as_str(); "generation not cancelled: runner in backoff or at its limit");
                return;
            }
            let on_head = |signals| upstream_signals::record_background(&cx, &runner, signals);
            if let Err(err) = adapter::cancel(&upstream, &id, &attempt, &on_head).await {
                log::debug!("could not cancel generation {id}: {err}");
            }
        })
        .detach();
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let delay = match self.state.phase() {
            Phase::Done => return,
            Phase::Ended => Duration::ZERO,
            // The caller disconnected; it may resume the answer at any box within the window.
            Phase::Open => self.cx.settings.timing.resume_window,
        };
        self.spawn_cancel(delay);
    }
}

/// Waits for a permit to send a cancellation to `runner`. Returns whether one was granted within
/// [`MAX_CANCEL_ATTEMPTS`] attempts.
async fn obtain_cancel_permit(cx: &Rc<EntryCx>, runner: &str) -> bool {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        if upstream_signals::obtain_in_advance(cx, runner).await.is_ok() {
            return true;
        }
        compio::time::sleep(CANCEL_RETRY_DELAY).await;
    }
    false
}

/// Waits for a slot at a runner of the pool other than those in `avoid`.
async fn obtain_slot(
    cx: &Rc<EntryCx>,
    job: &Job,
    avoid: &[RunnerName],
    span: &Span,
) -> Result<Slot, Refusal> {
    let _span = span.child("admission.wait");
    let req = SlotRequest {
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
    let obtained = cx.drain.wait(&job.workspace, grants::task::obtain(cx, &job.pool, req)).await;
    obtained.unwrap_or_else(|stopping| Err(stopping.refusal()))
}
