//! I/O of slot grants: requests slots from owners, answers grant requests and releases slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{Stop, clock};

use super::held::HeldSlot;
use super::messages::{
    AdoptAnswer, AdoptRequest, AdoptedSlot, Ask, GrantAnswer, GrantRequest, GrantSync,
    ReleaseRequest,
};
use super::slot::{Slot, send_release};
use super::withdrawal::Withdrawal;
use crate::admission::{Permit, Pick, Placement};
use crate::dispatch::scheduler::{AT_LIMIT, NO_RUNNER, RESTING, unavailable_refusal};
use crate::dispatch::search::Search;
use crate::dispatch::{OwnerChoice, Quote, Refusal, SlotRequest, Step};
use crate::entry::EntryCx;
use crate::ids::{AttemptId, FailureDomainName, RunnerName, new_id};
use crate::membership::MemberStatus;
use crate::membership::messages::Subject;
use crate::routing::RunReport;
use crate::routing::objective::HIGH_LOAD;
use crate::routing::state::{Closed, RunnerSpec};
use crate::upstream_limits::task as upstream_limits;

/// Path of grant requests.
pub const GRANT_PATH: &str = "/box/grant";
/// Path of slot releases.
pub const RELEASE_PATH: &str = "/box/release";
/// Path of periodic syncs, which list the slots that a box holds.
pub const SYNC_PATH: &str = "/box/grant-sync";
/// Path on which a new owner of engines is told of the slots held on them.
pub const ADOPT_PATH: &str = "/box/grant-adopt";
/// Interval between checks for engines that changed owner: a tenth of the time in which a new owner
/// fills an engine that it believes to be empty.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a request that waited at a former owner looks for the new one: the news of it
/// travels meanwhile.
const HAND_OVER_DELAY: Duration = Duration::from_millis(50);
/// Searches for the new owner. With [`HAND_OVER_DELAY`] they take as long as the news does on busy
/// machines, a second.
const MAX_HAND_OVER_SEARCHES: usize = 20;
/// Timeout of a quote; a box that takes longer is skipped.
const QUOTE_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a call that does not queue for a slot.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time added to the longest queueing time for the timeout of a grant request that may queue.
const QUEUE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// Interval between syncs.
const SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Suggested retry delay of a request for which no owner answers.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Failed attempts to obtain a permit or slot before a request is restricted to upstreams without a
/// rate limit, or refused: each attempt takes a round trip between boxes.
const MAX_ATTEMPTS: usize = 3;
/// Resting engines that a grant request excludes, which bounds the size of the message. If the
/// owner grants a slot on another resting engine, the slot is released again.
const MAX_EXCLUDED_RESTING: usize = 64;
/// Suggested retry delay of a request whose slots were all on upstreams that began to rest or
/// leave in the meantime.
const RESTING_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Obtains a slot for a request that this box sends.
///
/// An owner does not know which upstreams asked this box to rest, and a rest may begin while the
/// request is queued. A slot on an upstream that rests or no longer serves is therefore released,
/// and another one is requested.
///
/// # Errors
///
/// Returns a [`Refusal`] if no slot can be obtained within the limits of the request.
pub async fn obtain(cx: &Rc<EntryCx>, pool: &str, mut want: SlotRequest) -> Result<Slot, Refusal> {
    for _ in 0..MAX_ATTEMPTS {
        let slot = obtain_unchecked(cx, pool, want.clone()).await?;
        if !cx.upstream_serves(&slot.runner) {
            want.avoid.push(slot.runner.clone());
        } else if slot.runner_accepts() {
            return Ok(slot);
        }
        // The slot released here used the previous id.
        want.id = new_id();
    }
    Err(Refusal::new(RESTING, RESTING_RETRY_AFTER))
}

/// Obtains a slot at this box or at an owner, as the placement policy says. The slot may be on an
/// engine that rests by now.
async fn obtain_unchecked(
    cx: &Rc<EntryCx>,
    pool: &str,
    want: SlotRequest,
) -> Result<Slot, Refusal> {
    let view = cx.sync_gates();
    let placement = view.pools.iter().find(|p| p.pool.name == pool).map(|p| cx.placement(p));
    if placement.unwrap_or(cx.settings.policy.placement) == Placement::Local {
        let slot = obtain_local(cx, pool, want.clone()).await;
        if slot.is_ok() || !is_placed_by_owners(cx, pool) {
            return slot;
        }
        // The pool became brittle while the request waited in the queue of this box.
    }
    await_accepting_runner(cx, pool, &want).await?;
    OwnerSearch { cx: cx.clone(), pool: pool.to_owned(), want }.run().await
}

fn is_placed_by_owners(cx: &EntryCx, pool: &str) -> bool {
    let view = cx.sync_gates();
    let pool = view.pools.iter().find(|p| p.pool.name == pool);
    pool.is_some_and(|pool| cx.placement(pool) == Placement::Owner)
}

/// Waits until at least one eligible engine accepts work from this box.
async fn await_accepting_runner(
    cx: &EntryCx,
    pool: &str,
    want: &SlotRequest,
) -> Result<(), Refusal> {
    let started = clock::now();
    let longest = want.limit_wait.or(want.max_wait).unwrap_or(cx.settings.timing.max_wait);
    while let Some(opens_in) = time_until_accepting(cx, pool, want) {
        if clock::since(started) + opens_in > longest {
            return Err(unavailable_refusal(want, Closed { opens_in, rests: true }));
        }
        compio::time::sleep(opens_in).await;
    }
    Ok(())
}

/// Returns the time until the first eligible engine accepts work from this box, or `None` if one
/// accepts it now, or if no engine is eligible.
fn time_until_accepting(cx: &EntryCx, pool: &str, want: &SlotRequest) -> Option<Duration> {
    if cx.backoffs.borrow().is_empty() {
        return None;
    }
    let (view, now) = (cx.sync_gates(), clock::now());
    let pool = view.pools.iter().find(|p| p.pool.name == pool)?;
    let rests = cx.backoffs.borrow();
    let eligible = pool.runners.iter().filter(|runner| {
        want.may_run_at(&runner.name, &runner.failure_domain) && cx.upstream_serves(&runner.name)
    });
    let mut shortest: Option<Duration> = None;
    for runner in eligible {
        let opens_in = rests.opens_in(&runner.name, now);
        if opens_in.is_zero() {
            return None;
        }
        shortest = Some(shortest.map_or(opens_in, |shortest| shortest.min(opens_in)));
    }
    shortest
}

/// Obtains a slot by this box's own admission. The rate limits of upstreams are shared with other
/// boxes, so a permit may be denied; the upstream is then not selected again until it has capacity.
async fn obtain_local(
    cx: &Rc<EntryCx>,
    pool: &str,
    mut want: SlotRequest,
) -> Result<Slot, Refusal> {
    let mut denied = 0;
    loop {
        let permit = cx.gate(pool).admit(want.clone()).await?;
        match confirm_limit(cx, permit, &want).await {
            Ok(permit) => return Ok(Slot::local(cx, &want, permit)),
            Err(wait) if want.skips_limited => return Err(Refusal::new(AT_LIMIT, wait)),
            Err(_) => denied += 1,
        }
        if denied >= MAX_ATTEMPTS {
            want.skips_limited = true;
            want.limit_wait = Some(Duration::ZERO);
        }
    }
}

/// Obtains the permit that the rate limit of a runner requires in addition to the slot. If it is
/// denied, releases the slot and returns the wait.
async fn confirm_limit(
    cx: &Rc<EntryCx>,
    permit: Permit,
    want: &SlotRequest,
) -> Result<Permit, Duration> {
    match upstream_limits::confirm(cx, &permit.runner.name, want.priority).await {
        Ok(()) => Ok(permit),
        Err(wait) => {
            permit.release_unused();
            Err(wait)
        }
    }
}

/// The search of one request for an owner with a free slot.
struct OwnerSearch {
    cx: Rc<EntryCx>,
    pool: String,
    want: SlotRequest,
}

/// Result of asking one owner.
enum OwnerReply {
    Quoted(Quote),
    Slot(Box<Slot>),
    /// No slot is available; the duration is the expected wait.
    Busy(Duration),
    Refused(Refusal),
    /// The box owns no engines of the pool, or no longer.
    NotOwner,
    /// The owner did not answer.
    Unavailable,
}

impl OwnerSearch {
    async fn run(mut self) -> Result<Slot, Refusal> {
        let mut search = self.search();
        let (mut by_owner, mut hand_over_searches) = (false, 0);
        loop {
            let (owner, ask) = match search.step() {
                Step::Quote(owners) => {
                    search.record_quotes(self.request_quotes(owners).await);
                    continue;
                }
                Step::Take(owner) => (owner, Ask::Now),
                Step::Wait(owner) => (owner, Ask::Wait),
                Step::Refuse(refusal) if by_owner => return Err(refusal),
                Step::Refuse(refusal) => return Err(self.with_return_time(refusal)),
                Step::DecideLocally
                    if (1..MAX_HAND_OVER_SEARCHES).contains(&hand_over_searches) =>
                {
                    hand_over_searches += 1;
                    compio::time::sleep(HAND_OVER_DELAY).await;
                    search = self.search();
                    continue;
                }
                Step::DecideLocally => return self.admit_without_owner().await,
            };
            let asked = clock::now();
            match self.ask_owner(owner, ask).await {
                OwnerReply::Slot(slot) => return Ok(*slot),
                OwnerReply::Busy(wait) => search.record_busy(owner, wait),
                OwnerReply::Refused(refusal) => {
                    by_owner = true;
                    search.record_refusal(refusal);
                }
                OwnerReply::Quoted(_) => {}
                OwnerReply::NotOwner
                    if ask == Ask::Wait && hand_over_searches < MAX_HAND_OVER_SEARCHES =>
                {
                    // The engines got another owner while the request waited.
                    hand_over_searches += 1;
                    compio::time::sleep(HAND_OVER_DELAY).await;
                    self.want.continue_wait(clock::since(asked));
                    search = self.search();
                }
                OwnerReply::NotOwner | OwnerReply::Unavailable => {
                    self.charge_wait(clock::since(asked));
                }
            }
        }
    }

    /// Reduces the waits that the request accepts by the time spent at an owner that cannot serve it.
    fn charge_wait(&mut self, waited: Duration) {
        if self.cx.settings.policy.requeue_checks {
            self.want.charge_wait(waited);
        }
    }

    /// Spreads the times of return of the callers that this box refuses by the quotes of owners.
    fn with_return_time(&self, mut refusal: Refusal) -> Refusal {
        if self.cx.settings.policy.requeue_checks {
            let mut returns = self.cx.returns.borrow_mut();
            let schedule = returns.entry(self.pool.clone()).or_default();
            let (wait, priority) = (refusal.retry_after, self.want.priority);
            refusal.retry_after = schedule.assign(priority, wait, None, clock::now());
        }
        refusal
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
        let search = Search::new(owners, accepts, quotes, rand::random::<u64>);
        match self.cx.settings.policy.pick {
            Pick::Objective => search.with_good_load(HIGH_LOAD),
            Pick::LeastLoaded | Pick::RoundRobin => search,
        }
    }

    /// Admits the request at this box because no owner can be reached.
    async fn admit_without_owner(&self) -> Result<Slot, Refusal> {
        log::info!(run = self.want.id.as_str(), pool = self.pool.as_str(); "no owner in reach; this box decides");
        let gate = self.cx.fallback_gate(&self.pool);
        let permit = gate.try_admit(&self.want)?;
        let none = || Refusal::new("no owner of the pool's engines answers", NO_OWNER_RETRY_AFTER);
        let confirmed = confirm_limit(&self.cx, permit.ok_or_else(none)?, &self.want).await;
        let permit = confirmed.map_err(|wait| Refusal::new(AT_LIMIT, wait))?;
        Ok(Slot::local(&self.cx, &self.want, permit))
    }

    /// Requests quotes from owners concurrently. Owners that do not answer are omitted.
    async fn request_quotes(&self, owners: Vec<SocketAddr>) -> Vec<(SocketAddr, Quote)> {
        let requests = owners.into_iter().map(|owner| async move {
            match self.ask_owner(owner, Ask::Quote).await {
                OwnerReply::Quoted(quote) => Some((owner, quote)),
                OwnerReply::Busy(wait) => Some((owner, Quote::Busy(wait))),
                OwnerReply::Slot(_)
                | OwnerReply::Refused(_)
                | OwnerReply::NotOwner
                | OwnerReply::Unavailable => None,
            }
        });
        let answers = futures_util::future::join_all(requests).await;
        answers.into_iter().flatten().collect()
    }

    async fn ask_owner(&self, owner: SocketAddr, ask: Ask) -> OwnerReply {
        if owner == self.cx.settings.boxes_addr {
            return self.ask_local(ask).await;
        }
        let req = GrantRequest {
            holder: self.cx.settings.name.clone(),
            pool: self.pool.clone(),
            want: self.remote_want(),
            ask,
        };
        let limit = match ask {
            Ask::Wait => self.cx.settings.timing.max_wait + QUEUE_TIMEOUT_MARGIN,
            Ask::Now => CALL_TIMEOUT,
            Ask::Quote => QUOTE_TIMEOUT,
        };
        let withdrawal = Withdrawal::new(&self.cx, owner, ask, &self.want.id);
        let answer = self.cx.boxes.call::<_, GrantAnswer>(owner, GRANT_PATH, &req, limit).await;
        withdrawal.cancel();
        match answer {
            Ok(GrantAnswer::Granted { runner, addr, failure_domain, counted }) => {
                let slot = self.slot_from_owner(owner, runner, addr, failure_domain);
                if counted {
                    OwnerReply::Slot(Box::new(slot))
                } else {
                    self.with_limit_permit(slot).await
                }
            }
            Ok(GrantAnswer::Quoted { load }) => OwnerReply::Quoted(Quote::Room(load)),
            Ok(GrantAnswer::Busy { wait }) => OwnerReply::Busy(wait),
            Ok(GrantAnswer::Refused(refusal)) => OwnerReply::Refused(refusal),
            Ok(GrantAnswer::NotOwner) => OwnerReply::NotOwner,
            Err(err) => {
                log::debug!("grant request: {err}");
                OwnerReply::Unavailable
            }
        }
    }

    /// Returns the request as sent to another box, which excludes engines that asked this box to
    /// rest.
    fn remote_want(&self) -> SlotRequest {
        let mut want = self.want.clone();
        let rests = self.cx.backoffs.borrow();
        want.avoid.extend(rests.blocked(clock::now()).take(MAX_EXCLUDED_RESTING).cloned());
        want
    }

    /// Obtains the limit permit for a slot whose owner knows of no rate limit of the engine, if
    /// this box knows of one. An owner that has just restarted knows no limits and would admit
    /// without bound until it is told of them.
    async fn with_limit_permit(&self, slot: Slot) -> OwnerReply {
        match upstream_limits::obtain(&self.cx, &slot.runner, self.want.priority).await {
            Ok(()) => OwnerReply::Slot(Box::new(slot)),
            Err(wait) => OwnerReply::Busy(wait),
        }
    }

    /// Creates the slot for a grant of another box and records that it is held.
    fn slot_from_owner(
        &self,
        owner: SocketAddr,
        runner: RunnerName,
        addr: SocketAddr,
        failure_domain: FailureDomainName,
    ) -> Slot {
        self.record_held(owner, &runner);
        Slot::from_owner(&self.cx, &self.want, runner, addr, failure_domain)
    }

    async fn ask_local(&self, ask: Ask) -> OwnerReply {
        match decide(&self.cx, &self.pool, &self.want, ask).await {
            GrantDecision::Quote(load) => OwnerReply::Quoted(Quote::Room(load)),
            GrantDecision::Permit(permit) => {
                self.record_held(self.cx.settings.boxes_addr, &permit.runner.name);
                OwnerReply::Slot(Box::new(Slot::local(&self.cx, &self.want, *permit)))
            }
            GrantDecision::Busy(wait) => OwnerReply::Busy(wait),
            GrantDecision::Refused(refusal) => OwnerReply::Refused(refusal),
            GrantDecision::NotOwner => OwnerReply::NotOwner,
        }
    }

    fn record_held(&self, owner: SocketAddr, runner: &str) {
        let held = HeldSlot {
            owner,
            pool: self.pool.clone(),
            runner: runner.to_owned(),
            want: self.want.clone(),
            since: clock::now(),
            granted_here: owner == self.cx.settings.boxes_addr,
        };
        self.cx.held_slots.borrow_mut().insert(self.want.id.clone(), held);
    }
}

/// Decision of an owner on a grant request of its own or of another box.
enum GrantDecision {
    /// Load of the engine that the request would get.
    Quote(f64),
    Permit(Box<Permit>),
    /// No slot is available; the duration is the expected wait.
    Busy(Duration),
    Refused(Refusal),
    NotOwner,
}

/// Returns whether another box owns engines of a pool.
fn has_other_owners(cx: &EntryCx, pool: &str) -> bool {
    cx.owners_of(pool).keys().any(|owner| *owner != cx.settings.boxes_addr)
}

async fn decide(cx: &Rc<EntryCx>, pool: &str, want: &SlotRequest, ask: Ask) -> GrantDecision {
    let gate = cx.gate(pool);
    if ask == Ask::Quote {
        return match gate.quote(want) {
            Ok(Quote::Room(load)) => GrantDecision::Quote(load),
            Ok(Quote::Busy(wait)) => GrantDecision::Busy(wait),
            Err(_) => GrantDecision::NotOwner,
        };
    }
    let admitted = match gate.try_admit(want) {
        Ok(Some(permit)) => permit,
        Ok(None) if ask != Ask::Wait => return GrantDecision::Busy(gate.expected_wait(want)),
        Ok(None) => match gate.admit(want.clone()).await {
            Ok(permit) => permit,
            // The engines left while the request waited, or they have another owner now, because a
            // box joined or this one stops.
            Err(refusal)
                if refusal.cause == NO_RUNNER
                    && (cx.settings.policy.requeue_checks || has_other_owners(cx, pool)) =>
            {
                return GrantDecision::NotOwner;
            }
            Err(refusal) => return GrantDecision::Refused(refusal),
        },
        Err(_) => return GrantDecision::NotOwner,
    };
    match confirm_limit(cx, admitted, want).await {
        Ok(permit) => GrantDecision::Permit(Box::new(permit)),
        Err(wait) => GrantDecision::Busy(wait),
    }
}

/// Answers the grant request of another box.
pub async fn answer(cx: &Rc<EntryCx>, req: GrantRequest) -> GrantAnswer {
    cx.sync_gates();
    let permit = match decide(cx, &req.pool, &req.want, req.ask).await {
        GrantDecision::Quote(load) => return GrantAnswer::Quoted { load },
        GrantDecision::Permit(permit) => *permit,
        GrantDecision::Busy(wait) => return GrantAnswer::Busy { wait },
        GrantDecision::Refused(refusal) => return GrantAnswer::Refused(refusal),
        GrantDecision::NotOwner => return GrantAnswer::NotOwner,
    };
    let RunnerSpec { name: runner, addr, failure_domain, .. } = permit.runner.clone();
    cx.grants.borrow_mut().insert(req.want.id, req.holder, permit, clock::now());
    let counted = cx.limits.borrow().limit(&runner).is_some();
    GrantAnswer::Granted { runner, addr, failure_domain, counted }
}

/// Releases a slot that this box granted.
pub fn release(cx: &EntryCx, req: &ReleaseRequest) {
    cx.grants.borrow_mut().release(&req.id, req.report);
}

/// Drops the slots of a holder that its sync does not list.
pub fn sync(cx: &EntryCx, req: &GrantSync) {
    cx.grants.borrow_mut().sync(&req.holder, &req.ids, clock::now());
}

/// Accounts for slots that former owners granted on engines that this box owns now.
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
            cx.grants.borrow_mut().insert(id.clone(), holder, permit, clock::now());
            adopted.push(id);
        }
    }
    AdoptAnswer { adopted }
}

/// Reports the slots that this box holds to the new owner whenever an engine changes owner, until
/// the owner has adopted them.
pub async fn hand_over(cx: Rc<EntryCx>, stop: Stop) {
    while !stop.is_set() {
        compio::time::sleep(HAND_OVER_INTERVAL).await;
        cx.sync_gates();
        let own_addr = cx.settings.boxes_addr;
        let owner_of = |runner: &str| cx.owner_addr(runner);
        let reassigned = cx.held_slots.borrow_mut().reassigned(own_addr, owner_of, clock::now());
        for (owner, slots) in reassigned {
            let (count, holder) = (slots.len(), cx.settings.name.clone());
            let req = AdoptRequest { holder, slots };
            let answer = if owner == own_addr {
                Ok(adopt(&cx, req))
            } else {
                cx.boxes.call::<_, AdoptAnswer>(owner, ADOPT_PATH, &req, CALL_TIMEOUT).await
            };
            match answer {
                Ok(AdoptAnswer { adopted }) if adopted.is_empty() => {
                    log::debug!(
                        "hand-over of slots: {owner} does not consider itself the owner yet"
                    );
                }
                Ok(AdoptAnswer { adopted }) => {
                    log::info!(owner:%, slots = count, adopted = adopted.len(); "slots handed over");
                    let released = cx.held_slots.borrow_mut().mark_adopted(owner, adopted);
                    for id in released {
                        let report = RunReport::RELEASED;
                        send_release(&cx, owner, ReleaseRequest { id, report });
                    }
                }
                Err(err) => log::debug!("hand-over of slots: {err}; retried at the next check"),
            }
        }
    }
}

/// Periodically lists the held slots to their owners, and drops granted slots whose holder is dead.
pub async fn run(cx: Rc<EntryCx>, stop: Stop) {
    // An owner that had slots in the previous round gets one empty sync when it has none, so that
    // it drops those whose release was lost.
    let mut previous: BTreeMap<SocketAddr, Vec<AttemptId>> = BTreeMap::new();
    while !stop.is_set() {
        compio::time::sleep(SYNC_INTERVAL).await;
        drop_dead_holders(&cx);
        let mut held: BTreeMap<SocketAddr, Vec<AttemptId>> =
            previous.into_keys().map(|owner| (owner, Vec::new())).collect();
        held.extend(cx.held_slots.borrow().by_owner());
        held.remove(&cx.settings.boxes_addr);
        for (owner, ids) in &held {
            let req = GrantSync { holder: cx.settings.name.clone(), ids: ids.clone() };
            if let Err(err) = cx.boxes.call::<_, ()>(*owner, SYNC_PATH, &req, CALL_TIMEOUT).await {
                log::debug!("sync of held slots: {err}");
            }
        }
        held.retain(|_, ids| !ids.is_empty());
        previous = held;
    }
}

fn drop_dead_holders(cx: &EntryCx) {
    let membership = cx.membership.borrow();
    cx.grants.borrow_mut().retain_holders(|holder| {
        let record = membership.get(&Subject::Box(holder.to_owned()));
        record.is_none_or(|record| record.status < MemberStatus::Dead)
    });
}
