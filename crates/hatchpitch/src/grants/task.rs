//! Asks owners for slots, answers those who ask, and gives slots back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::Stop;

use super::messages::{Ask, GrantAnswer, GrantRequest, GrantSync, ReleaseRequest};
use crate::admission::{Gate, Permit, Placement, Refusal, Want};
use crate::entry::EntryCx;
use crate::ids::{AttemptId, FailureDomainName, RunnerName};
use crate::membership::MemberStatus;
use crate::membership::messages::Subject;
use crate::routing::Verdict;
use crate::routing::state::RunnerSpec;

/// Path for slots.
pub const GRANT_PATH: &str = "/box/grant";
/// Path for giving slots back.
pub const RELEASE_PATH: &str = "/box/release";
/// Path for naming the slots held.
pub const SYNC_PATH: &str = "/box/grant-sync";
/// Owners that are asked whether they have room at once.
const ASKED: usize = 3;
/// Owners that are asked for quotes: two choices take most of the gain, more cost little.
const QUOTED: usize = 4;
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
    verdict: Verdict,
    tokens: Option<u64>,
}

enum Source {
    /// This box let the request in.
    Own(Box<Permit>),
    /// The owner at this address did.
    Owner(SocketAddr),
}

impl Slot {
    /// Notes what the run says about its engine, and the length of its output.
    pub fn finish(&mut self, verdict: Verdict, tokens: Option<u64>) {
        self.verdict = verdict;
        self.tokens = tokens;
    }

    fn own(cx: &Rc<EntryCx>, id: AttemptId, permit: Permit) -> Self {
        Self {
            cx: cx.clone(),
            runner: permit.runner.name.clone(),
            addr: permit.runner.addr,
            failure_domain: permit.runner.failure_domain.clone(),
            id,
            from: Source::Own(Box::new(permit)),
            verdict: Verdict::Released,
            tokens: None,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        match &mut self.from {
            Source::Own(permit) => permit.finish(self.verdict, self.tokens),
            Source::Owner(owner) => {
                let owner = *owner;
                self.cx.held.borrow_mut().remove(&self.id);
                let release = ReleaseRequest {
                    id: self.id.clone(),
                    verdict: self.verdict,
                    tokens: self.tokens,
                };
                let client = self.cx.boxes.clone();
                compio::runtime::spawn(async move {
                    let call = client.call::<_, ()>(owner, RELEASE_PATH, &release, CALL_LIMIT);
                    if let Err(err) = call.await {
                        log::debug!("release: {err}; the next sync makes up for it");
                    }
                })
                .detach();
            }
        }
    }
}

/// Gets a slot for a request.
///
/// # Errors
///
/// Returns a [`Refusal`] as soon as the request is given up on.
pub async fn obtain(cx: &Rc<EntryCx>, pool: &str, want: Want) -> Result<Slot, Refusal> {
    let view = cx.sync_gates();
    let placement = view.pools.iter().find(|p| p.pool.name == pool).map(|p| cx.placement(p));
    if placement.unwrap_or(cx.settings.policy.placement) == Placement::Local {
        let id = want.id.clone();
        let permit = cx.gate(pool).admit(want).await?;
        return Ok(Slot::own(cx, id, permit));
    }
    Asking { cx: cx.clone(), pool: pool.to_owned(), want }.ask().await
}

/// One request that looks for an owner with room.
struct Asking {
    cx: Rc<EntryCx>,
    pool: String,
    want: Want,
}

/// What one owner said.
enum Said {
    Quoted(f64),
    Slot(Box<Slot>),
    Busy(Duration),
    Refused(Refusal),
    Away,
}

impl Asking {
    async fn ask(self) -> Result<Slot, Refusal> {
        let mut owners = self.owners();
        let quoted = if self.cx.settings.policy.quotes { QUOTED } else { 0 };
        let rest = owners.split_off(owners.len().min(quoted));
        let mut quoted = self.quotes(owners).await;
        quoted.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut busy: Vec<(Duration, SocketAddr)> = Vec::new();
        let mut refused = None;
        for owner in quoted.into_iter().map(|(_, owner)| owner).chain(rest) {
            match self.ask_owner(owner, Ask::Now).await {
                Said::Slot(slot) => return Ok(*slot),
                Said::Busy(wait) => busy.push((wait, owner)),
                Said::Refused(refusal) => refused = Some(refusal),
                Said::Quoted(_) | Said::Away => {}
            }
            if busy.len() == ASKED {
                break;
            }
        }
        busy.sort();
        for (_, owner) in busy {
            match self.ask_owner(owner, Ask::Wait).await {
                Said::Slot(slot) => return Ok(*slot),
                Said::Refused(refusal) => return Err(refusal),
                Said::Quoted(_) | Said::Busy(_) | Said::Away => {}
            }
        }
        if let Some(refusal) = refused {
            return Err(refusal);
        }
        log::debug!("no owner in reach; this box decides for itself");
        let gate = self.cx.fallback_gate(&self.pool);
        let id = self.want.id.clone();
        let permit = gate.try_admit(&self.want)?;
        let none = || Refusal::new("no owner of the pool's engines answers", NO_OWNER_RETRY);
        permit.map(|permit| Slot::own(&self.cx, id, permit)).ok_or_else(none)
    }

    /// Asks owners for quotes, all at once. An owner without room comes last, and one that does
    /// not answer is left out.
    async fn quotes(&self, owners: Vec<SocketAddr>) -> Vec<(f64, SocketAddr)> {
        let asked = owners.into_iter().map(|owner| async move {
            match self.ask_owner(owner, Ask::Quote).await {
                Said::Quoted(load) => Some((load, owner)),
                Said::Busy(_) => Some((f64::INFINITY, owner)),
                Said::Slot(_) | Said::Refused(_) | Said::Away => None,
            }
        });
        let answers = futures_util::future::join_all(asked).await;
        answers.into_iter().flatten().collect()
    }

    /// Returns the owners of the pool's engines, those of near engines first, in an order drawn
    /// anew each time; an owner of more engines comes earlier as often as it has more.
    fn owners(&self) -> Vec<SocketAddr> {
        let owners = self.cx.owners_of(&self.pool);
        let mut order: Vec<(bool, u64, SocketAddr)> = Vec::with_capacity(owners.len());
        for (addr, engines) in owners {
            let draws = (0..engines).map(|_| rand::random::<u64>());
            let near = self.want.near.as_deref().is_some_and(|near| self.cx.owns_in(near, addr));
            order.extend(draws.max().map(|best| (near, best, addr)));
        }
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.into_iter().map(|(.., addr)| addr).collect()
    }

    async fn ask_owner(&self, owner: SocketAddr, ask: Ask) -> Said {
        if owner == self.cx.settings.boxes_addr {
            return self.ask_self(ask).await;
        }
        let req = GrantRequest {
            holder: self.cx.settings.name.clone(),
            pool: self.pool.clone(),
            want: self.want.clone(),
            ask,
        };
        let limit = match ask {
            Ask::Wait => self.cx.settings.timing.max_wait + WAIT_MARGIN,
            Ask::Now => CALL_LIMIT,
            Ask::Quote => QUOTE_LIMIT,
        };
        let answer = self.cx.boxes.call::<_, GrantAnswer>(owner, GRANT_PATH, &req, limit).await;
        match answer {
            Ok(GrantAnswer::Granted { runner, addr, failure_domain }) => {
                Said::Slot(Box::new(self.granted(owner, runner, addr, failure_domain)))
            }
            Ok(GrantAnswer::Quoted { load }) => Said::Quoted(load),
            Ok(GrantAnswer::Busy { wait }) => Said::Busy(wait),
            Ok(GrantAnswer::Refused(refusal)) => Said::Refused(refusal),
            Ok(GrantAnswer::NotOwner) => Said::Away,
            Err(err) => {
                log::debug!("grant: {err}");
                Said::Away
            }
        }
    }

    fn granted(
        &self,
        owner: SocketAddr,
        runner: RunnerName,
        addr: SocketAddr,
        failure_domain: FailureDomainName,
    ) -> Slot {
        self.cx.held.borrow_mut().insert(self.want.id.clone(), owner);
        Slot {
            cx: self.cx.clone(),
            runner,
            addr,
            failure_domain,
            id: self.want.id.clone(),
            from: Source::Owner(owner),
            verdict: Verdict::Released,
            tokens: None,
        }
    }

    async fn ask_self(&self, ask: Ask) -> Said {
        match decide(&self.cx.gate(&self.pool), &self.want, ask).await {
            Decided::Quote(load) => Said::Quoted(load),
            Decided::Permit(permit) => {
                Said::Slot(Box::new(Slot::own(&self.cx, self.want.id.clone(), *permit)))
            }
            Decided::Busy(wait) => Said::Busy(wait),
            Decided::Refused(refusal) => Said::Refused(refusal),
            Decided::NotOwner => Said::Away,
        }
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

async fn decide(gate: &Gate, want: &Want, ask: Ask) -> Decided {
    if ask == Ask::Quote {
        return match gate.quote(want) {
            Ok(Some(load)) => Decided::Quote(load),
            Ok(None) => Decided::Busy(gate.expected_wait(want.priority)),
            Err(_) => Decided::NotOwner,
        };
    }
    match gate.try_admit(want) {
        Ok(Some(permit)) => Decided::Permit(Box::new(permit)),
        Ok(None) if ask != Ask::Wait => Decided::Busy(gate.expected_wait(want.priority)),
        Ok(None) => match gate.admit(want.clone()).await {
            Ok(permit) => Decided::Permit(Box::new(permit)),
            Err(refusal) => Decided::Refused(refusal),
        },
        Err(_) => Decided::NotOwner,
    }
}

/// Answers a box that asks for a slot.
pub async fn answer(cx: &Rc<EntryCx>, req: GrantRequest) -> GrantAnswer {
    cx.sync_gates();
    let permit = match decide(&cx.gate(&req.pool), &req.want, req.ask).await {
        Decided::Quote(load) => return GrantAnswer::Quoted { load },
        Decided::Permit(permit) => *permit,
        Decided::Busy(wait) => return GrantAnswer::Busy { wait },
        Decided::Refused(refusal) => return GrantAnswer::Refused(refusal),
        Decided::NotOwner => return GrantAnswer::NotOwner,
    };
    let RunnerSpec { name: runner, addr, failure_domain, .. } = permit.runner.clone();
    cx.grants.borrow_mut().put(req.want.id, req.holder, permit, Instant::now());
    GrantAnswer::Granted { runner, addr, failure_domain }
}

/// Takes a slot back.
pub fn release(cx: &EntryCx, req: &ReleaseRequest) {
    cx.grants.borrow_mut().release(&req.id, req.verdict, req.tokens);
}

/// Drops what a holder does not name.
pub fn sync(cx: &EntryCx, req: &GrantSync) {
    cx.grants.borrow_mut().sync(&req.holder, &req.ids, Instant::now());
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
        for (id, owner) in cx.held.borrow().iter() {
            held.entry(*owner).or_default().push(id.clone());
        }
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
