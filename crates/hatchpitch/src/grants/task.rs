//! Asks owners for slots, answers those who ask, and gives slots back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{Stop, clock};

use super::held::HeldSlot;
use super::messages::{
    AdoptAnswer, AdoptRequest, AdoptedSlot, Ask, GrantAnswer, GrantRequest, GrantSync,
    ReleaseRequest,
};
use crate::admission::{Gate, Permit, Placement};
use crate::dispatch::line::{AT_LIMIT, RESTING, closed_to};
use crate::dispatch::search::Search;
use crate::dispatch::{OwnerChoice, Quote, Refusal, Step, Want};
use crate::entry::EntryCx;
use crate::ids::{AttemptId, FailureDomainName, RunnerName, new_id};
use crate::membership::MemberStatus;
use crate::membership::messages::Subject;
use crate::routing::state::{Closed, RunnerSpec};
use crate::routing::{RunReport, Verdict};
use crate::upstream_limits::task as upstream_limits;

/// Path for slots.
pub const GRANT_PATH: &str = "/box/grant";
/// Path for giving slots back.
pub const RELEASE_PATH: &str = "/box/release";
/// Path for naming the slots held.
pub const SYNC_PATH: &str = "/box/grant-sync";
/// Path for telling the new owner of engines which slots are held there.
pub const ADOPT_PATH: &str = "/box/grant-adopt";
/// Time between two looks whether engines changed owners: a tenth of the time in which a new
/// owner fills an engine that it takes for empty.
const HAND_OVER_LOOK: Duration = Duration::from_millis(200);
/// Time for a quote; a box that takes longer is passed over.
const QUOTE_LIMIT: Duration = Duration::from_millis(150);
/// Time for a call that does not wait.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// Time allowed beyond the longest wait.
const WAIT_MARGIN: Duration = Duration::from_millis(1_000);
/// Time between two namings of the slots held.
const SYNC_PERIOD: Duration = Duration::from_secs(2);
/// When a request for which no owner answers may come back.
const NO_OWNER_RETRY: Duration = Duration::from_secs(1);
/// Permits or slots that are asked for in vain before a request goes to upstreams only that name no
/// limit, or is refused: each question takes a round trip between boxes.
const MAX_ASKED: usize = 3;
/// Engines at rest that an owner is told to leave out, which bounds its message: of others that it
/// grants the slot goes back.
const MAX_LEFT_OUT: usize = 64;
/// When a request may come back whose slots went to upstreams that began to rest meanwhile.
const RESTED_RETRY: Duration = Duration::from_millis(250);

/// A slot on an engine, wherever it was granted; dropping it gives it back.
pub struct Slot {
    cx: Rc<EntryCx>,
    /// The engine.
    pub runner: RunnerName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainName,
    id: AttemptId,
    from: Source,
    /// When it was granted.
    since: Instant,
    report: RunReport,
}

enum Source {
    /// This box let the request in.
    Own(Box<Permit>),
    /// Another box did.
    Owner,
}

impl Slot {
    /// Notes what the run says about its engine, and the length of its output.
    pub fn finish(&mut self, verdict: Verdict, tokens: Option<u64>) {
        self.report.verdict = verdict;
        self.report.tokens = tokens;
    }

    /// Notes that the run made its first token.
    pub fn begun(&mut self) {
        self.report.first.get_or_insert(clock::since(self.since));
    }

    /// Returns whether the engine still wants work of this box.
    fn is_wanted(&self) -> bool {
        let (mut rests, now) = (self.cx.backoffs.borrow_mut(), clock::now());
        match &self.from {
            // It was taken with the slot.
            Source::Own(_) => rests.remaining(&self.runner, now).is_none(),
            Source::Owner => rests.take(&self.runner, now),
        }
    }

    fn own(cx: &Rc<EntryCx>, id: AttemptId, permit: Permit) -> Self {
        Self {
            cx: cx.clone(),
            runner: permit.runner.name.clone(),
            addr: permit.runner.addr,
            failure_domain: permit.runner.failure_domain.clone(),
            id,
            from: Source::Own(Box::new(permit)),
            since: clock::now(),
            report: RunReport::RELEASED,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Source::Own(permit) = &mut self.from {
            permit.finish(self.report);
        }
        let Some(held) = self.cx.held.borrow_mut().remove(&self.id) else { return };
        let release = ReleaseRequest { id: self.id.clone(), report: self.report };
        send_release(&self.cx, held.owner, release);
    }
}

/// Tells an owner that a slot is given back, without waiting for its answer.
fn send_release(cx: &EntryCx, owner: SocketAddr, req: ReleaseRequest) {
    if owner == cx.settings.boxes_addr {
        return release(cx, &req);
    }
    let client = cx.boxes.clone();
    compio::runtime::spawn(async move {
        let call = client.call::<_, ()>(owner, RELEASE_PATH, &req, CALL_LIMIT);
        if let Err(err) = call.await {
            log::debug!("release: {err}; the next sync makes up for it");
        }
    })
    .detach();
}

/// Gets a slot for a request that this box sends. Whoever grants it knows nothing of the rests that
/// upstreams asked this box for, and one may begin while the request waits.
///
/// # Errors
///
/// Returns a [`Refusal`] as soon as the request is given up on.
pub async fn obtain(cx: &Rc<EntryCx>, pool: &str, mut want: Want) -> Result<Slot, Refusal> {
    for _ in 0..MAX_ASKED {
        let slot = obtain_any(cx, pool, want.clone()).await?;
        if !cx.upstream_serves(&slot.runner) {
            want.avoid.push(slot.runner.clone());
        } else if slot.is_wanted() {
            return Ok(slot);
        }
        // The slot that goes back has the former id.
        want.id = new_id();
    }
    Err(Refusal::new(RESTING, RESTED_RETRY))
}

async fn obtain_any(cx: &Rc<EntryCx>, pool: &str, want: Want) -> Result<Slot, Refusal> {
    let view = cx.sync_gates();
    let placement = view.pools.iter().find(|p| p.pool.name == pool).map(|p| cx.placement(p));
    if placement.unwrap_or(cx.settings.policy.placement) == Placement::Local {
        return obtain_here(cx, pool, want).await;
    }
    await_rests(cx, pool, &want).await?;
    Asking { cx: cx.clone(), pool: pool.to_owned(), want }.ask().await
}

/// Waits until some engine that could take a request wants work of this box.
async fn await_rests(cx: &EntryCx, pool: &str, want: &Want) -> Result<(), Refusal> {
    let started = clock::now();
    let longest = want.limit_wait.or(want.max_wait).unwrap_or(cx.settings.timing.max_wait);
    while let Some(opens_in) = rests_of_all(cx, pool, want) {
        if clock::since(started) + opens_in > longest {
            return Err(closed_to(want, Closed { opens_in, rests: true }));
        }
        compio::time::sleep(opens_in).await;
    }
    Ok(())
}

/// Returns the time until the first engine that could take a request wants work of this box, if
/// none does now.
fn rests_of_all(cx: &EntryCx, pool: &str, want: &Want) -> Option<Duration> {
    if cx.backoffs.borrow().is_empty() {
        return None;
    }
    let (view, now) = (cx.sync_gates(), clock::now());
    let pool = view.pools.iter().find(|p| p.pool.name == pool)?;
    let rests = cx.backoffs.borrow();
    let could = pool.runners.iter().filter(|runner| {
        want.may_run_at(&runner.name, &runner.failure_domain) && cx.upstream_serves(&runner.name)
    });
    let mut first: Option<Duration> = None;
    for runner in could {
        let opens_in = rests.opens_in(&runner.name, now);
        if opens_in.is_zero() {
            return None;
        }
        first = Some(first.map_or(opens_in, |first| first.min(opens_in)));
    }
    first
}

/// Gets a slot for which this box decides. Limits of the upstreams are kept by others as well; one
/// that turns out to be at its limit is not picked again until it has room.
async fn obtain_here(cx: &Rc<EntryCx>, pool: &str, mut want: Want) -> Result<Slot, Refusal> {
    let mut asked = 0;
    loop {
        let permit = cx.gate(pool).admit(want.clone()).await?;
        match confirmed(cx, permit, &want).await {
            Ok(permit) => return Ok(Slot::own(cx, want.id, permit)),
            Err(wait) if want.skips_limited => return Err(Refusal::new(AT_LIMIT, wait)),
            Err(_) => asked += 1,
        }
        if asked >= MAX_ASKED {
            want.skips_limited = true;
            want.limit_wait = Some(Duration::ZERO);
        }
    }
}

/// Gets what the limit of a runner asks for beside the slot, or gives the slot back.
async fn confirmed(cx: &Rc<EntryCx>, permit: Permit, want: &Want) -> Result<Permit, Duration> {
    match upstream_limits::confirm(cx, &permit.runner.name, want.priority).await {
        Ok(()) => Ok(permit),
        Err(wait) => {
            permit.give_up();
            Err(wait)
        }
    }
}

/// One request that looks for an owner with room.
struct Asking {
    cx: Rc<EntryCx>,
    pool: String,
    want: Want,
}

/// What one owner said.
enum Said {
    Quoted(Quote),
    Slot(Box<Slot>),
    Busy(Duration),
    Refused(Refusal),
    Away,
}

impl Asking {
    async fn ask(self) -> Result<Slot, Refusal> {
        let mut search = self.search();
        loop {
            let (owner, ask) = match search.step() {
                Step::Quote(owners) => {
                    search.heard_quotes(self.quotes(owners).await);
                    continue;
                }
                Step::Take(owner) => (owner, Ask::Now),
                Step::Wait(owner) => (owner, Ask::Wait),
                Step::Refuse(refusal) => return Err(refusal),
                Step::Alone => return self.alone().await,
            };
            match self.ask_owner(owner, ask).await {
                Said::Slot(slot) => return Ok(*slot),
                Said::Busy(wait) => search.heard_busy(owner, wait),
                Said::Refused(refusal) => search.heard_refusal(refusal),
                Said::Quoted(_) | Said::Away => {}
            }
        }
    }

    fn search(&self) -> Search {
        let near = self.want.near.as_deref();
        let within = |addr| self.want.within.iter().any(|domain| self.cx.owns_in(domain, addr));
        let owners = self.cx.owners_of(&self.pool).into_iter();
        let owners = owners.filter(|(addr, _)| self.want.within.is_empty() || within(*addr));
        let owners = owners.map(|(addr, engines)| {
            let near = near.is_some_and(|near| self.cx.owns_in(near, addr));
            OwnerChoice { addr, engines, near }
        });
        let accepts = self.want.accepts.unwrap_or(Duration::MAX);
        let quotes = self.cx.settings.policy.quotes;
        Search::new(owners, accepts, quotes, rand::random::<u64>)
    }

    /// Decides for itself, with no owner in reach.
    async fn alone(&self) -> Result<Slot, Refusal> {
        log::info!(run = self.want.id.as_str(), pool = self.pool.as_str(); "no owner in reach; this box decides");
        let gate = self.cx.fallback_gate(&self.pool);
        let id = self.want.id.clone();
        let permit = gate.try_admit(&self.want)?;
        let none = || Refusal::new("no owner of the pool's engines answers", NO_OWNER_RETRY);
        let confirmed = confirmed(&self.cx, permit.ok_or_else(none)?, &self.want).await;
        let permit = confirmed.map_err(|wait| Refusal::new(AT_LIMIT, wait))?;
        Ok(Slot::own(&self.cx, id, permit))
    }

    /// Asks owners for quotes, all at once. One that does not answer is left out.
    async fn quotes(&self, owners: Vec<SocketAddr>) -> Vec<(SocketAddr, Quote)> {
        let asked = owners.into_iter().map(|owner| async move {
            match self.ask_owner(owner, Ask::Quote).await {
                Said::Quoted(quote) => Some((owner, quote)),
                Said::Busy(wait) => Some((owner, Quote::Busy(wait))),
                Said::Slot(_) | Said::Refused(_) | Said::Away => None,
            }
        });
        let answers = futures_util::future::join_all(asked).await;
        answers.into_iter().flatten().collect()
    }

    async fn ask_owner(&self, owner: SocketAddr, ask: Ask) -> Said {
        if owner == self.cx.settings.boxes_addr {
            return self.ask_self(ask).await;
        }
        let req = GrantRequest {
            holder: self.cx.settings.name.clone(),
            pool: self.pool.clone(),
            want: self.want_elsewhere(),
            ask,
        };
        let limit = match ask {
            Ask::Wait => self.cx.settings.timing.max_wait + WAIT_MARGIN,
            Ask::Now => CALL_LIMIT,
            Ask::Quote => QUOTE_LIMIT,
        };
        let answer = self.cx.boxes.call::<_, GrantAnswer>(owner, GRANT_PATH, &req, limit).await;
        match answer {
            Ok(GrantAnswer::Granted { runner, addr, failure_domain, counted }) => {
                let slot = self.granted(owner, runner, addr, failure_domain);
                if counted { Said::Slot(Box::new(slot)) } else { self.counted(slot).await }
            }
            Ok(GrantAnswer::Quoted { load }) => Said::Quoted(Quote::Room(load)),
            Ok(GrantAnswer::Busy { wait }) => Said::Busy(wait),
            Ok(GrantAnswer::Refused(refusal)) => Said::Refused(refusal),
            Ok(GrantAnswer::NotOwner) => Said::Away,
            Err(err) => {
                log::debug!("grant: {err}");
                Said::Away
            }
        }
    }

    /// Returns what another box is asked for: engines that asked this one for rest are left out.
    fn want_elsewhere(&self) -> Want {
        let mut want = self.want.clone();
        let rests = self.cx.backoffs.borrow();
        want.avoid.extend(rests.blocked(clock::now()).take(MAX_LEFT_OUT).cloned());
        want
    }

    /// Gets the permit for an engine whose owner knows of no limit, if this box knows of one: an
    /// owner that has started anew would let in whatever comes until it is told.
    async fn counted(&self, slot: Slot) -> Said {
        match upstream_limits::obtain(&self.cx, &slot.runner, self.want.priority).await {
            Ok(()) => Said::Slot(Box::new(slot)),
            Err(wait) => Said::Busy(wait),
        }
    }

    fn granted(
        &self,
        owner: SocketAddr,
        runner: RunnerName,
        addr: SocketAddr,
        failure_domain: FailureDomainName,
    ) -> Slot {
        self.note_held(owner, &runner);
        Slot {
            cx: self.cx.clone(),
            runner,
            addr,
            failure_domain,
            id: self.want.id.clone(),
            from: Source::Owner,
            since: clock::now(),
            report: RunReport::RELEASED,
        }
    }

    async fn ask_self(&self, ask: Ask) -> Said {
        match decide(&self.cx, &self.cx.gate(&self.pool), &self.want, ask).await {
            Decided::Quote(load) => Said::Quoted(Quote::Room(load)),
            Decided::Permit(permit) => {
                self.note_held(self.cx.settings.boxes_addr, &permit.runner.name);
                Said::Slot(Box::new(Slot::own(&self.cx, self.want.id.clone(), *permit)))
            }
            Decided::Busy(wait) => Said::Busy(wait),
            Decided::Refused(refusal) => Said::Refused(refusal),
            Decided::NotOwner => Said::Away,
        }
    }

    fn note_held(&self, owner: SocketAddr, runner: &str) {
        let held = HeldSlot {
            owner,
            pool: self.pool.clone(),
            runner: runner.to_owned(),
            want: self.want.clone(),
            since: clock::now(),
            granted_here: owner == self.cx.settings.boxes_addr,
        };
        self.cx.held.borrow_mut().put(self.want.id.clone(), held);
    }
}

/// What an owner decides, whether for itself or for another box.
enum Decided {
    Quote(f64),
    Permit(Box<Permit>),
    Busy(Duration),
    Refused(Refusal),
    NotOwner,
}

async fn decide(cx: &Rc<EntryCx>, gate: &Gate, want: &Want, ask: Ask) -> Decided {
    if ask == Ask::Quote {
        return match gate.quote(want) {
            Ok(Quote::Room(load)) => Decided::Quote(load),
            Ok(Quote::Busy(wait)) => Decided::Busy(wait),
            Err(_) => Decided::NotOwner,
        };
    }
    let admitted = match gate.try_admit(want) {
        Ok(Some(permit)) => permit,
        Ok(None) if ask != Ask::Wait => return Decided::Busy(gate.expected_wait(want)),
        Ok(None) => match gate.admit(want.clone()).await {
            Ok(permit) => permit,
            Err(refusal) => return Decided::Refused(refusal),
        },
        Err(_) => return Decided::NotOwner,
    };
    match confirmed(cx, admitted, want).await {
        Ok(permit) => Decided::Permit(Box::new(permit)),
        Err(wait) => Decided::Busy(wait),
    }
}

/// Answers a box that asks for a slot.
pub async fn answer(cx: &Rc<EntryCx>, req: GrantRequest) -> GrantAnswer {
    cx.sync_gates();
    let permit = match decide(cx, &cx.gate(&req.pool), &req.want, req.ask).await {
        Decided::Quote(load) => return GrantAnswer::Quoted { load },
        Decided::Permit(permit) => *permit,
        Decided::Busy(wait) => return GrantAnswer::Busy { wait },
        Decided::Refused(refusal) => return GrantAnswer::Refused(refusal),
        Decided::NotOwner => return GrantAnswer::NotOwner,
    };
    let RunnerSpec { name: runner, addr, failure_domain, .. } = permit.runner.clone();
    cx.grants.borrow_mut().put(req.want.id, req.holder, permit, clock::now());
    let counted = cx.limits.borrow().limit(&runner).is_some();
    GrantAnswer::Granted { runner, addr, failure_domain, counted }
}

/// Takes a slot back.
pub fn release(cx: &EntryCx, req: &ReleaseRequest) {
    cx.grants.borrow_mut().release(&req.id, req.report);
}

/// Drops what a holder does not name.
pub fn sync(cx: &EntryCx, req: &GrantSync) {
    cx.grants.borrow_mut().sync(&req.holder, &req.ids, clock::now());
}

/// Counts slots that other owners granted.
pub fn adopt(cx: &EntryCx, req: AdoptRequest) -> AdoptAnswer {
    cx.sync_gates();
    let mut adopted = Vec::new();
    for AdoptedSlot { pool, runner, want, age } in req.slots {
        let id = want.id.clone();
        if cx.grants.borrow().contains(&id) {
            adopted.push(id);
            continue;
        }
        if let Some(permit) = cx.gate(&pool).adopt(&runner, want, age) {
            let holder = req.holder.clone();
            cx.grants.borrow_mut().put(id.clone(), holder, permit, clock::now());
            adopted.push(id);
        }
    }
    AdoptAnswer { adopted }
}

/// Tells new owners of engines which slots this box holds there, as soon as owners change.
pub async fn hand_over(cx: Rc<EntryCx>, stop: Stop) {
    while !stop.is_set() {
        compio::time::sleep(HAND_OVER_LOOK).await;
        cx.sync_gates();
        let own = cx.settings.boxes_addr;
        let owner_of = |runner: &str| cx.owner_addr(runner);
        let strays = cx.held.borrow_mut().strays(own, owner_of, clock::now());
        for (owner, slots) in strays {
            let (count, holder) = (slots.len(), cx.settings.name.clone());
            let req = AdoptRequest { holder, slots };
            let answer = if owner == own {
                Ok(adopt(&cx, req))
            } else {
                cx.boxes.call::<_, AdoptAnswer>(owner, ADOPT_PATH, &req, CALL_LIMIT).await
            };
            match answer {
                Ok(AdoptAnswer { adopted }) if adopted.is_empty() => {
                    log::debug!("hand over: {owner} does not own the engines yet");
                }
                Ok(AdoptAnswer { adopted }) => {
                    log::info!(owner:%, slots = count, adopted = adopted.len(); "slots handed over");
                    let given_back = cx.held.borrow_mut().adopted(owner, adopted);
                    for id in given_back {
                        let report = RunReport::RELEASED;
                        send_release(&cx, owner, ReleaseRequest { id, report });
                    }
                }
                Err(err) => log::debug!("hand over: {err}; tried again at the next look"),
            }
        }
    }
}

/// Names the slots held to their owners, and drops the slots of boxes that are gone.
pub async fn run(cx: Rc<EntryCx>, stop: Stop) {
    // Owners that had slots at the last round hear once more when they have none.
    let mut last: BTreeMap<SocketAddr, Vec<AttemptId>> = BTreeMap::new();
    while !stop.is_set() {
        compio::time::sleep(SYNC_PERIOD).await;
        drop_lost_holders(&cx);
        let mut held: BTreeMap<SocketAddr, Vec<AttemptId>> =
            last.into_keys().map(|owner| (owner, Vec::new())).collect();
        held.extend(cx.held.borrow().by_owner());
        held.remove(&cx.settings.boxes_addr);
        for (owner, ids) in &held {
            let req = GrantSync { holder: cx.settings.name.clone(), ids: ids.clone() };
            if let Err(err) = cx.boxes.call::<_, ()>(*owner, SYNC_PATH, &req, CALL_LIMIT).await {
                log::debug!("grant sync: {err}");
            }
        }
        held.retain(|_, ids| !ids.is_empty());
        last = held;
    }
}

fn drop_lost_holders(cx: &EntryCx) {
    let membership = cx.membership.borrow();
    cx.grants.borrow_mut().retain_holders(|holder| {
        let record = membership.get(&Subject::Box(holder.to_owned()));
        record.is_none_or(|record| record.status < MemberStatus::Dead)
    });
}
