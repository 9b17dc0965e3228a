//! Sees upstreams crash from an entry box, and tells the control leader.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{Listening, clock};

use super::content::ContentId;
use super::messages::{Crash, CrashedRun, Evidence, MAX_RUNS, MAX_TOLD};
use super::recent::RecentAnswers;
use super::state::Ledger;
use crate::control::leader::LeaderClient;
use crate::entry::EntryCx;
use crate::ids::RunnerName;
use crate::logging::unix_ms;
use crate::metrics::Count;
use crate::outcome::Problem;
use crate::registry::{LifeName, Phase, life_name};

/// Path of evidence at a control box.
pub const EVIDENCE_PATH: &str = "/box/crash-evidence";
/// Time in which the other runs of an upstream that crashed break off as well.
const GATHER: Duration = Duration::from_millis(30);
/// Time between two tries to connect to an upstream that seems to be gone: a host that is short
/// of room for connections turns single ones away.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Time in which a new life tells of the end of the one before, where it began so soon that it
/// takes connections already: a heartbeat of 1.2 s and its travel.
const NEW_LIFE_WAIT: Duration = Duration::from_secs(3);
/// Time between two looks for it.
const NEW_LIFE_LOOK: Duration = Duration::from_millis(250);
/// Time within which an upstream of the fleet file does not crash twice, in milliseconds: its
/// restart takes about that long. What several boxes see of one crash has mostly one name by it.
const SHORTEST_LIFE_MS: u64 = 2_000;
/// Upstreams looked at at one time; of more that break off together it is no request's doing.
const MAX_LOOKED_AT: usize = 256;
/// Time for which evidence is tried to be told before it is put back with what came later.
const TELL_BUDGET: Duration = Duration::from_secs(10);
/// Time for one control box to take it.
const TELL_LIMIT: Duration = Duration::from_millis(500);
/// Time without a control box that takes evidence from which on this box goes by what it saw
/// itself: an election has passed by then.
const ALONE_AFTER: Duration = Duration::from_secs(2);
/// Bounds of the time after which a caller of a refused request may come back.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(86_400));

/// Where a run was under way.
#[derive(Debug, Clone, Copy)]
pub struct RunPlace<'a> {
    /// The upstream, by the name of its life if it announced itself, else by its name in the fleet
    /// file, which it has again after a restart.
    pub upstream: &'a str,
    /// Where it listened.
    pub addr: SocketAddr,
}

/// What an entry box has seen of crashes.
#[derive(Default)]
pub struct Observer {
    /// Runs that broke off, by upstreams that are being looked at.
    broken: RefCell<BTreeMap<RunnerName, Vec<CrashedRun>>>,
    untold: RefCell<Evidence>,
    is_telling: Cell<bool>,
    /// Since when evidence is being told and no control box has taken it.
    alone_since: Cell<Option<Instant>>,
    /// What this box saw itself.
    own: RefCell<Ledger>,
    /// What it answered of late.
    recent: RefCell<RecentAnswers>,
}

impl Observer {
    fn is_alone(&self) -> bool {
        self.alone_since.get().is_some_and(|since| clock::since(since) >= ALONE_AFTER)
    }
}

/// Refuses a content that is held, unless this box answered it of late: then it is let go
/// everywhere.
///
/// # Errors
///
/// Returns the refusal, with when to come back.
pub fn check(cx: &Rc<EntryCx>, content: &ContentId) -> Result<(), Problem> {
    let listed = cx.config.quarantine().held_until(content);
    // Without control boxes nobody adds up what all boxes saw; three crashes at one are enough.
    let own = || cx.quarantine.own.borrow().list().held_until(content);
    let held = listed.or_else(|| cx.quarantine.is_alone().then(own).flatten());
    let Some(until) = held else { return Ok(()) };
    if cx.quarantine.recent.borrow().has(content, clock::now()) {
        vouch(cx, *content);
        return Ok(());
    }
    let left = Duration::from_millis(until.saturating_sub(unix_ms()));
    let left = left.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
    cx.metrics.count(Count::Quarantined, "");
    log::info!(content:% = content, left_s = left.as_secs(); "held request refused");
    Err(Problem::quarantined().retry_after(left))
}

/// Notes that a run broke off. `begun` is when the upstream gave its first sign that it ran.
pub fn note_break(
    cx: &Rc<EntryCx>,
    place: RunPlace<'_>,
    content: ContentId,
    begun: Option<Instant>,
) {
    if is_leaving(cx, place.upstream) {
        // What it had not ended by then breaks off.
        return;
    }
    if cx.quarantine.recent.borrow().has(&content, clock::now()) {
        return;
    }
    let run = CrashedRun { content, ran_for: begun.map(clock::since).unwrap_or_default() };
    let mut broken = cx.quarantine.broken.borrow_mut();
    if let Some(runs) = broken.get_mut(place.upstream) {
        if runs.len() < MAX_RUNS {
            runs.push(run);
        }
        return;
    }
    if broken.len() >= MAX_LOOKED_AT {
        return;
    }
    broken.insert(place.upstream.to_owned(), vec![run]);
    let (cx, upstream, addr) = (cx.clone(), place.upstream.to_owned(), place.addr);
    compio::runtime::spawn(async move { look_at(&cx, upstream, addr).await }).detach();
}

/// Notes that an upstream answered a content to the end.
pub fn note_answer(cx: &Rc<EntryCx>, content: ContentId) {
    cx.quarantine.recent.borrow_mut().note(content, clock::now());
    let own = cx.quarantine.own.borrow().list().awaits_answer(&content);
    if own || cx.config.quarantine().awaits_answer(&content) {
        vouch(cx, content);
    }
}

/// Tells that an upstream answered a content that is suspected or held.
fn vouch(cx: &Rc<EntryCx>, content: ContentId) {
    let answered = Evidence { answered: [content].into(), ..Evidence::default() };
    log::info!(content:% = content; "a request that was suspected is answered");
    take(cx, answered);
}

fn is_leaving(cx: &EntryCx, life: &str) -> bool {
    let roster = cx.upstreams.roster.borrow();
    roster.get(life).is_some_and(|record| record.phase == Phase::Leaving)
}

/// Finds out whether an upstream crashed, and tells under which runs.
async fn look_at(cx: &Rc<EntryCx>, upstream: RunnerName, addr: SocketAddr) {
    let life = life_of(cx, &upstream);
    compio::time::sleep(GATHER).await;
    let crashed = match cx.upstream(addr).listening().await {
        Listening::Yes => is_replaced(cx, &upstream, addr).await,
        Listening::No => is_gone(cx, addr).await,
        Listening::Unclear => false,
    };
    let runs = cx.quarantine.broken.borrow_mut().remove(&upstream).unwrap_or_default();
    if !crashed {
        return;
    }
    let contents: Vec<String> = runs.iter().map(|run| run.content.to_string()).collect();
    log::warn!(
        upstream = life.as_str(), runs = runs.len(), contents = contents.join(",").as_str();
        "an upstream crashed under these requests"
    );
    cx.metrics.count(Count::Crashes, "");
    take(cx, Evidence { crashes: vec![Crash { life, runs }], ..Evidence::default() });
}

/// Names the life of an upstream that seems to have crashed. One of the fleet file gets the time of
/// its crash for a time of birth.
fn life_of(cx: &EntryCx, upstream: &str) -> LifeName {
    let roster = cx.upstreams.roster.borrow();
    match roster.get(upstream) {
        Some(_) => upstream.to_owned(),
        None => life_name(upstream, Some(unix_ms() / SHORTEST_LIFE_MS)),
    }
}

/// Returns whether still nobody listens at an address.
async fn is_gone(cx: &EntryCx, addr: SocketAddr) -> bool {
    compio::time::sleep(LOOK_AGAIN).await;
    cx.upstream(addr).listening().await == Listening::No
}

/// Returns whether another life takes the place of one that has not said that it leaves.
async fn is_replaced(cx: &EntryCx, life: &str, addr: SocketAddr) -> bool {
    let started = clock::now();
    while clock::since(started) < NEW_LIFE_WAIT && !is_leaving(cx, life) {
        if has_other_life(cx, life, addr) {
            return true;
        }
        compio::time::sleep(NEW_LIFE_LOOK).await;
    }
    false
}

fn has_other_life(cx: &EntryCx, life: &str, addr: SocketAddr) -> bool {
    let roster = cx.upstreams.roster.borrow();
    roster.serving().any(|record| record.addr == addr && record.life() != life)
}

fn take(cx: &Rc<EntryCx>, evidence: Evidence) {
    let observer = &cx.quarantine;
    observer.own.borrow_mut().take(evidence.clone(), unix_ms());
    observer.untold.borrow_mut().merge(evidence);
    if observer.is_telling.replace(true) {
        return;
    }
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        tell(&cx.quarantine, &cx.leader).await;
        cx.quarantine.is_telling.set(false);
    })
    .detach();
}

/// Tells the control leader all that is untold, until it has taken it.
async fn tell(observer: &Observer, leader: &LeaderClient) {
    loop {
        let evidence = observer.untold.take();
        if evidence.is_empty() {
            return;
        }
        if observer.alone_since.get().is_none() {
            observer.alone_since.set(Some(clock::now()));
        }
        let told = leader.ask::<_, ()>(EVIDENCE_PATH, &evidence, TELL_LIMIT, TELL_BUDGET).await;
        if told.is_some() {
            observer.alone_since.set(None);
            continue;
        }
        log::warn!(crashes = evidence.crashes.len(); "no control box takes evidence of crashes");
        let later = observer.untold.replace(evidence);
        observer.untold.borrow_mut().merge(later);
    }
}

const _: () = assert!(MAX_TOLD <= MAX_LOOKED_AT, "what one message tells of was looked at");
