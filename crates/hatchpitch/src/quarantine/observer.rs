//! Detects upstream crashes at an entry box, and reports them to the control leader.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{Listening, clock};

use super::causes::Causes;
use super::content::ContentId;
use super::messages::{
    Crash, CrashedRun, Evidence, MAX_REPORTED, MAX_RUNS_PER_CRASH, SuspectedParts,
};
use super::open_ends::{OPEN_END_WINDOW, OpenEnds, REPLACEMENT_TIMEOUT};
use super::recent::{RecentAnswers, RecentCauses};
use super::state::Ledger;
use crate::claims::state::LogTime;
use crate::control::leader::LeaderClient;
use crate::entry::EntryCx;
use crate::ids::RunnerName;
use crate::logging::unix_ms;
use crate::metrics::Count;
use crate::outcome::Problem;
use crate::registry::{LifeName, Phase, life_name};

/// Path of the endpoint for evidence at a control box.
pub const EVIDENCE_PATH: &str = "/box/crash-evidence";
/// Time to wait for the other runs on a crashed upstream to be interrupted as well.
const GATHER_WINDOW: Duration = Duration::from_millis(30);
/// Delay between the two connection attempts that confirm that an upstream is down: a host with a
/// full connection backlog refuses single connections.
const RECHECK_DELAY: Duration = Duration::from_millis(100);
/// Interval between checks for another incarnation, and for runs that were interrupted since.
const REPLACEMENT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum time between two crashes of an upstream of the fleet file, in milliseconds: its restart
/// takes about that long. Crash times are rounded down to it, so that the reports of several boxes
/// mostly give one crash the same name.
const MIN_LIFETIME_MS: u64 = 2_000;
/// Maximum number of upstreams investigated at a time. If more are interrupted together, the cause
/// is not a request.
const MAX_INVESTIGATED: usize = 256;
/// Total time for which a report is retried before its evidence is merged with later evidence.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a report to one control box.
const REPORT_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a successful report after which this box relies on its own observations; it is
/// longer than an election takes.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);
/// Time for each box of the fleet over which the boxes spread the reports of their recent answers,
/// since the first one makes the others needless, and its bound.
const REPORT_SPREAD_PER_BOX: Duration = Duration::from_millis(2);
const MAX_REPORT_SPREAD: Duration = Duration::from_millis(200);
/// Minimum and maximum of the retry delay sent with a refusal.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_secs(86_400));

/// The upstream that a run was in progress on.
#[derive(Debug, Clone, Copy)]
pub struct RunLocation<'a> {
    /// Name of the incarnation if the upstream announced itself, else its name in the fleet file,
    /// which stays the same after a restart.
    pub upstream: &'a str,
    /// Address of the upstream.
    pub addr: SocketAddr,
}

/// State of an upstream right after the end of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts connections.
    Listening,
    /// It no longer listens.
    Stopped,
    /// Neither is known.
    Unclear,
}

/// Crash observations of an entry box.
#[derive(Default)]
pub struct Observer {
    /// Runs on the upstreams that are being investigated, interrupted since the last look at each.
    interrupted: RefCell<BTreeMap<RunnerName, Vec<CrashedRun>>>,
    /// Responses that ended with their connection.
    open_ends: RefCell<OpenEnds>,
    /// Causes of the runs that were interrupted or whose responses ended with their connection.
    causes: RefCell<RecentCauses>,
    /// Evidence that is still to be reported.
    unreported: RefCell<Evidence>,
    /// Whether a task that reports evidence is running.
    is_reporting: Cell<bool>,
    /// Time since which reports have been pending without any accepted by a control box.
    isolated_since: Cell<Option<Instant>>,
    /// Ledger of the observations of this box alone.
    local: RefCell<Ledger>,
    /// Causes that were answered recently through this box.
    recent: RefCell<RecentAnswers>,
    /// Recently answered parts of prompts that a task is about to report.
    announced: RefCell<BTreeSet<ContentId>>,
}

impl Observer {
    /// Returns whether no control box has accepted a report for [`ISOLATED_AFTER`].
    fn is_isolated(&self) -> bool {
        self.isolated_since.get().is_some_and(|since| clock::since(since) >= ISOLATED_AFTER)
    }
}

/// Refuses a request with a held cause, unless that was answered recently through this box: then the
/// answer is reported, which releases the cause at every box.
///
/// # Errors
///
/// Returns the refusal, with a retry delay.
pub fn check(cx: &Rc<EntryCx>, causes: &Causes) -> Result<(), Problem> {
    let Some((cause, until)) = find_held(cx, causes) else { return Ok(()) };
    let part = causes.describe_part(&cause);
    let (recent, now) = (cx.quarantine.recent.borrow(), clock::now());
    let is_answered = match part {
        Some(_) => recent.contains_part(&cause, now),
        None => recent.contains(&cause, now),
    };
    drop(recent);
    if is_answered {
        report_answers(cx, [cause].into());
        return Ok(());
    }
    let left = Duration::from_millis(until.saturating_sub(unix_ms()));
    let left = left.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    cx.metrics.count(Count::Quarantined, "");
    log::info!(
        content:% = causes.content(), cause:% = cause, part = part.as_deref().unwrap_or(""),
        workspace = causes.workspace().as_str(), left_s = left.as_secs();
        "held request refused"
    );
    Err(Problem::quarantined(part.as_deref()).retry_after(left))
}

/// Returns whether a request has a held cause.
pub fn is_held(cx: &EntryCx, causes: &Causes) -> bool {
    find_held(cx, causes).is_some()
}

fn find_held(cx: &EntryCx, causes: &Causes) -> Option<(ContentId, LogTime)> {
    // Without control boxes the observations of all boxes are not combined; three crashes seen by
    // this box suffice for a hold.
    let local = || {
        let mut local = cx.quarantine.local.borrow_mut();
        local.expire(unix_ms());
        local.list().find_held(causes)
    };
    let listed = cx.config.quarantine().find_held(causes);
    listed.or_else(|| cx.quarantine.is_isolated().then(local).flatten())
}

/// Records that a run was interrupted, and starts to investigate its upstream. `started_at` is the
/// time of the first sign that the upstream ran the request.
pub fn record_interruption(
    cx: &Rc<EntryCx>,
    location: RunLocation<'_>,
    causes: &Causes,
    started_at: Option<Instant>,
) {
    if is_leaving(cx, location.upstream) {
        // A leaving upstream interrupts the runs that it cannot finish; that is no crash.
        return;
    }
    let ran_for = started_at.map(clock::since).unwrap_or_default();
    let run = CrashedRun { content: causes.content(), ran_for };
    record_causes(cx, causes);
    let mut recent = cx.quarantine.recent.borrow_mut();
    causes.parts().for_each(|part| recent.record_interruption(part, clock::now()));
    drop(recent);
    // Responses that ended just before may have been cut short by the same crash.
    let ended = cx.quarantine.open_ends.borrow().recent(location.upstream, clock::now());
    record_interrupted(cx, location, std::iter::once(run).chain(ended));
}

/// Stores the causes of a request that may turn out to be interrupted by a crash.
fn record_causes(cx: &EntryCx, causes: &Causes) {
    let answers = cx.quarantine.recent.borrow();
    cx.quarantine.causes.borrow_mut().record(causes, &answers, clock::now());
}

/// Adds runs to the investigation of their upstream, which is started if necessary.
fn record_interrupted(
    cx: &Rc<EntryCx>,
    location: RunLocation<'_>,
    runs: impl IntoIterator<Item = CrashedRun>,
) {
    if is_leaving(cx, location.upstream) {
        return;
    }
    let suspects = suspects(cx, runs);
    if suspects.is_empty() {
        return;
    }
    let mut interrupted = cx.quarantine.interrupted.borrow_mut();
    if let Some(known) = interrupted.get_mut(location.upstream) {
        merge_runs(known, suspects);
        return;
    }
    if interrupted.len() >= MAX_INVESTIGATED {
        return;
    }
    interrupted.insert(location.upstream.to_owned(), suspects);
    let (cx, upstream, addr) = (cx.clone(), location.upstream.to_owned(), location.addr);
    compio::runtime::spawn(async move { investigate(&cx, upstream, addr).await }).detach();
}

/// Returns the runs whose contents no upstream is known to have survived recently.
fn suspects(cx: &EntryCx, runs: impl IntoIterator<Item = CrashedRun>) -> Vec<CrashedRun> {
    let (recent, now) = (cx.quarantine.recent.borrow(), clock::now());
    let open_ends = cx.quarantine.open_ends.borrow();
    let is_survived = |content: &ContentId| {
        let mut survivors = open_ends.survivors(content);
        survivors.any(|upstream| is_unreplaced(cx, upstream))
    };
    let is_suspect =
        |run: &CrashedRun| !recent.contains(&run.content, now) && !is_survived(&run.content);
    runs.into_iter().filter(is_suspect).collect()
}

/// Adds runs that ended with the same crash, of which each content counts once.
fn merge_runs(known: &mut Vec<CrashedRun>, runs: Vec<CrashedRun>) {
    for run in runs {
        if let Some(other) = known.iter_mut().find(|other| other.content == run.content) {
            other.ran_for = other.ran_for.min(run.ran_for);
        } else if known.len() < MAX_RUNS_PER_CRASH {
            known.push(run);
        }
    }
}

/// Finds out whether an upstream still listens.
pub async fn upstream_state(cx: &Rc<EntryCx>, location: RunLocation<'_>) -> UpstreamState {
    let RunLocation { upstream, addr } = location;
    match cx.upstream(upstream, addr).listening().await {
        Listening::Yes => UpstreamState::Listening,
        Listening::No if is_still_down(cx, upstream, addr).await => UpstreamState::Stopped,
        Listening::No | Listening::Unclear => UpstreamState::Unclear,
    }
}

/// Records that a response ended with its connection, which leaves open whether the upstream ended
/// it or crashed. The content is suspected if the upstream goes down right after it, and counts as
/// answered once the upstream is known to have lived on.
pub fn record_open_end(
    cx: &Rc<EntryCx>,
    location: RunLocation<'_>,
    causes: &Causes,
    started_at: Option<Instant>,
) {
    if is_leaving(cx, location.upstream) {
        return;
    }
    let ran_for = started_at.map(clock::since).unwrap_or_default();
    let run = CrashedRun { content: causes.content(), ran_for };
    record_causes(cx, causes);
    if cx.quarantine.open_ends.borrow_mut().record(location.upstream, run, clock::now()) {
        let (cx, upstream, addr) = (cx.clone(), location.upstream.to_owned(), location.addr);
        compio::runtime::spawn(async move { watch(&cx, &upstream, addr).await }).detach();
    }
}

/// Watches an upstream after responses of it that left their end open.
async fn watch(cx: &Rc<EntryCx>, upstream: &str, addr: SocketAddr) {
    let open_ends = &cx.quarantine.open_ends;
    let mut goes_on = true;
    while goes_on {
        compio::time::sleep(OPEN_END_WINDOW).await;
        let is_tracked = |content: &ContentId| is_tracked(cx, content);
        if open_ends.borrow().needs_probe(upstream, clock::now(), is_tracked) {
            let listening = cx.upstream(upstream, addr).listening().await;
            if listening == Listening::No || has_successor(cx, upstream, addr) {
                let runs = open_ends.borrow_mut().remove(upstream, clock::now());
                record_interrupted(cx, RunLocation { upstream, addr }, runs);
                return;
            }
            if listening == Listening::Unclear || is_leaving(cx, upstream) {
                open_ends.borrow_mut().remove(upstream, clock::now());
                return;
            }
            let answered = open_ends.borrow_mut().record_listening(upstream, clock::now());
            if is_unreplaced(cx, upstream) {
                answered.into_iter().for_each(|content| record_confirmed(cx, content));
            }
        }
        goes_on = open_ends.borrow_mut().keeps_watch(upstream, clock::now());
    }
}

/// Records that an upstream answered a request completely, and reports it if required.
pub fn record_answer(cx: &Rc<EntryCx>, causes: &Causes) {
    record_answers(cx, causes.ids());
}

/// Records that an upstream has answered a request for long enough that no part of its prompt crashes
/// upstreams when they begin with it, and reports it if required.
pub fn record_progress(cx: &Rc<EntryCx>, causes: &Causes) {
    record_answers(cx, causes.parts());
}

/// Records that the response to a content, which left its end open, was complete.
fn record_confirmed(cx: &Rc<EntryCx>, content: ContentId) {
    let causes = cx.quarantine.causes.borrow().get(&content).cloned();
    record_answer(cx, &causes.unwrap_or_else(|| content.into()));
}

fn record_answers(cx: &Rc<EntryCx>, answered: impl Iterator<Item = ContentId>) {
    let now = clock::now();
    let mut recent = cx.quarantine.recent.borrow_mut();
    let tracked = answered.inspect(|cause| recent.record(*cause, now));
    let tracked: BTreeSet<ContentId> = tracked.filter(|cause| is_tracked(cx, cause)).collect();
    drop(recent);
    report_answers(cx, tracked);
}

/// Returns whether answers to a cause are to be reported.
fn is_tracked(cx: &EntryCx, cause: &ContentId) -> bool {
    cx.quarantine.local.borrow().list().wants_answer_reports(cause)
        || cx.config.quarantine().wants_answer_reports(cause)
}

/// Reports answers to causes that are suspected or held.
fn report_answers(cx: &Rc<EntryCx>, answered: BTreeSet<ContentId>) {
    if answered.is_empty() {
        return;
    }
    let causes: Vec<String> = answered.iter().map(ContentId::to_string).collect();
    log::info!(content = causes.join(",").as_str(); "a request that was suspected is answered");
    submit(cx, Evidence { answered, ..Evidence::default() });
}

/// Reports which parts of prompts on a new list were answered recently through this box. The boxes that
/// report crashes may not have seen these answers.
pub fn review_list(cx: &Rc<EntryCx>) {
    let (list, now) = (cx.config.quarantine(), clock::now());
    let mut announced = cx.quarantine.announced.borrow_mut();
    let recent = cx.quarantine.recent.borrow();
    let is_recent = |part: &&ContentId| recent.contains_part(part, now);
    let answered = list.parts.iter().filter(is_recent).filter(|part| announced.insert(**part));
    let answered: Vec<ContentId> = answered.copied().collect();
    if answered.is_empty() {
        return;
    }
    let boxes = cx.membership.borrow().serving_boxes().count();
    let spread = REPORT_SPREAD_PER_BOX.saturating_mul(u32::try_from(boxes).unwrap_or(u32::MAX));
    let delay = spread.min(MAX_REPORT_SPREAD).mul_f64(rand::random());
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(delay).await;
        let still_listed = |cause: &ContentId| is_tracked(&cx, cause);
        let reported: BTreeSet<ContentId> = answered.iter().copied().filter(still_listed).collect();
        report_answers(&cx, reported);
        cx.quarantine.announced.borrow_mut().retain(|cause| !answered.contains(cause));
    })
    .detach();
}

/// Returns whether an upstream has announced that it leaves.
fn is_leaving(cx: &EntryCx, life: &str) -> bool {
    let roster = cx.upstreams.roster.borrow();
    roster.get(life).is_some_and(|record| record.phase == Phase::Leaving)
}

/// Returns whether an upstream that announced itself has not been replaced. A restart of one of the
/// fleet file is not announced, so nothing shows that it is still the same process.
fn is_unreplaced(cx: &EntryCx, life: &str) -> bool {
    let roster = cx.upstreams.roster.borrow();
    let addr = roster.get(life).map(|record| record.addr);
    drop(roster);
    addr.is_some_and(|addr| !has_successor(cx, life, addr))
}

/// Finds out whether an upstream crashed, and reports the crash with its interrupted runs.
async fn investigate(cx: &Rc<EntryCx>, upstream: RunnerName, addr: SocketAddr) {
    let crash = find_crash(cx, &upstream, addr).await;
    cx.quarantine.interrupted.borrow_mut().remove(&upstream);
    let Some(Crash { life, mut runs }) = crash else { return };
    let ended = cx.quarantine.open_ends.borrow().recent(&upstream, clock::now());
    merge_runs(&mut runs, suspects(cx, ended));
    // A restarted upstream must not confirm the responses of the one that crashed.
    cx.quarantine.open_ends.borrow_mut().clear(&upstream);
    let causes = cx.quarantine.causes.borrow();
    let prompts = runs.iter().map(|run| run.content);
    let prompts = prompts.filter_map(|content| Some((content, causes.suspected_parts(&content)?)));
    let prompts: BTreeMap<ContentId, SuspectedParts> = prompts.collect();
    drop(causes);
    let contents: Vec<String> = runs.iter().map(|run| run.content.to_string()).collect();
    let parts = prompts.values().flat_map(|prompt| &prompt.parts);
    let parts: Vec<String> = parts.map(ContentId::to_string).collect();
    log::warn!(
        upstream = life.as_str(), runs = runs.len(), contents = contents.join(",").as_str(),
        parts = parts.join(",").as_str();
        "an upstream crashed under these requests"
    );
    cx.metrics.count(Count::Crashes, "");
    submit(cx, Evidence { crashes: vec![Crash { life, runs }], prompts, ..Evidence::default() });
}

/// Looks at an upstream after each interruption, until it is found to have crashed or the last
/// interruption is too long ago.
async fn find_crash(cx: &Rc<EntryCx>, upstream: &str, addr: SocketAddr) -> Option<Crash> {
    // Runs interrupted before a look at which the upstream listened, with the time of that look.
    let mut earlier: Vec<(Instant, CrashedRun)> = Vec::new();
    loop {
        let life = name_crashed_life(cx, upstream);
        compio::time::sleep(GATHER_WINDOW).await;
        let mut runs = take_interrupted(cx, upstream);
        match cx.upstream(upstream, addr).listening().await {
            Listening::No if is_still_down(cx, upstream, addr).await => {
                // It listened after the earlier interruptions, which were none of this crash.
                merge_runs(&mut runs, take_interrupted(cx, upstream));
                return Some(Crash { life, runs });
            }
            Listening::Unclear => return None,
            Listening::Yes | Listening::No => {}
        }
        let now = clock::now();
        earlier.retain(|(at, _)| clock::since(*at) < REPLACEMENT_TIMEOUT);
        earlier.extend(runs.into_iter().map(|run| (now, run)));
        // Only the last ones fit into a report.
        earlier.drain(..earlier.len().saturating_sub(MAX_RUNS_PER_CRASH));
        match await_successor(cx, upstream, addr).await {
            Wait::Replaced => {
                let mut runs = take_interrupted(cx, upstream);
                merge_runs(&mut runs, earlier.into_iter().map(|(_, run)| run).collect());
                return Some(Crash { life, runs });
            }
            Wait::Interrupted => {}
            Wait::Over => return None,
        }
    }
}

/// Takes the runs that were interrupted since the last look at an upstream.
fn take_interrupted(cx: &EntryCx, upstream: &str) -> Vec<CrashedRun> {
    let mut interrupted = cx.quarantine.interrupted.borrow_mut();
    interrupted.get_mut(upstream).map(std::mem::take).unwrap_or_default()
}

/// What ended the wait for another incarnation of an upstream.
enum Wait {
    /// Another incarnation was announced.
    Replaced,
    /// Another run was interrupted.
    Interrupted,
    /// Neither in time, or the upstream leaves.
    Over,
}

/// Returns the name of the incarnation that seems to have crashed. For an upstream of the fleet
/// file, which announces no birth time, the name is derived from the time of the crash.
fn name_crashed_life(cx: &EntryCx, upstream: &str) -> LifeName {
    let roster = cx.upstreams.roster.borrow();
    match roster.get(upstream) {
        Some(_) => upstream.to_owned(),
        None => life_name(upstream, Some(unix_ms() / MIN_LIFETIME_MS)),
    }
}

/// Returns whether an address still refuses connections after [`RECHECK_DELAY`].
async fn is_still_down(cx: &Rc<EntryCx>, upstream: &str, addr: SocketAddr) -> bool {
    compio::time::sleep(RECHECK_DELAY).await;
    cx.upstream(upstream, addr).listening().await == Listening::No
}

/// Waits until another incarnation replaces one that did not announce that it leaves, or another
/// run on it is interrupted.
async fn await_successor(cx: &EntryCx, upstream: &str, addr: SocketAddr) -> Wait {
    let started = clock::now();
    let mut seen = None;
    while clock::since(started) < REPLACEMENT_TIMEOUT && !is_leaving(cx, upstream) {
        let version = cx.upstreams.roster.borrow().version();
        if seen.replace(version) != Some(version) && has_successor(cx, upstream, addr) {
            return Wait::Replaced;
        }
        if cx.quarantine.interrupted.borrow().get(upstream).is_some_and(|runs| !runs.is_empty()) {
            return Wait::Interrupted;
        }
        compio::time::sleep(REPLACEMENT_POLL_INTERVAL).await;
    }
    Wait::Over
}

/// Returns whether another serving upstream is announced at the address.
fn has_successor(cx: &EntryCx, life: &str, addr: SocketAddr) -> bool {
    let roster = cx.upstreams.roster.borrow();
    roster.serving().any(|record| record.addr == addr && record.life() != life)
}

/// Applies evidence to the ledger of this box and queues it for the control leader.
fn submit(cx: &Rc<EntryCx>, evidence: Evidence) {
    let observer = &cx.quarantine;
    observer.local.borrow_mut().apply(evidence.clone(), unix_ms());
    observer.unreported.borrow_mut().merge(evidence);
    if observer.is_reporting.replace(true) {
        return;
    }
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        report(&cx.quarantine, &cx.leader).await;
        cx.quarantine.is_reporting.set(false);
    })
    .detach();
}

/// Reports pending evidence to the control leader until none is left.
async fn report(observer: &Observer, leader: &LeaderClient) {
    loop {
        let evidence = observer.unreported.take();
        if evidence.is_empty() {
            return;
        }
        if observer.isolated_since.get().is_none() {
            observer.isolated_since.set(Some(clock::now()));
        }
        let reported = leader
            .ask::<_, ()>(EVIDENCE_PATH, &evidence, REPORT_CALL_TIMEOUT, REPORT_TIMEOUT)
            .await;
        if reported.is_some() {
            observer.isolated_since.set(None);
            continue;
        }
        log::warn!(crashes = evidence.crashes.len(); "no control box takes evidence of crashes");
        let later = observer.unreported.replace(evidence);
        observer.unreported.borrow_mut().merge(later);
    }
}

const _: () = assert!(
    MAX_REPORTED <= MAX_INVESTIGATED,
    "one message must not hold more crashes than can be investigated"
);
