//! Obtains the slots of standby copies.

use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use hatchpitch_net::clock;

use super::plan::{DEFAULT_OUTPUT_TOKENS, choose_owner, is_worthwhile, standby_domains};
use crate::config::hosted::RunPolicy;
use crate::dispatch::SlotRequest;
use crate::grants::Slot;
use crate::grants::task::obtain_standby;
use crate::ids::{FailureDomainName, RunnerName, new_id};
use crate::metrics::Count;
use crate::relay::{HostedRequest, Relay};

/// Longest time for which a request waits for the slot of its standby: a few round trips between
/// boxes, and little beside the time to a first event.
const OBTAIN_TIMEOUT: Duration = Duration::from_millis(10);

/// Obtains a slot for the standby of a request that is about to be sent to the engine of `slot`, if
/// the request gets one. Asks a single owner, once.
pub async fn obtain(
    relay: &Rc<Relay>,
    req: &HostedRequest,
    service: &str,
    slot: &Slot,
    within: &[FailureDomainName],
    avoid: &[RunnerName],
) -> Option<Slot> {
    let cx = &relay.cx;
    let needs = req.generation.filter(|_| req.route.runs == RunPolicy::Stream)?;
    let engine = cx.engine(service).filter(|engine| engine.backups)?;
    let kind = &req.route.name;
    let expected = relay.lengths.borrow().mean_of(kind, DEFAULT_OUTPUT_TOKENS);
    if !cx.settings.policy.standby_copies
        || !is_worthwhile(expected, needs.max_output, engine.tokens_per_event)
    {
        return None;
    }
    let view = cx.sync_gates();
    let pool = view.pools.iter().find(|p| p.pool.name == service)?;
    let all = pool.runners.iter().map(|runner| &runner.failure_domain);
    let mut domains = standby_domains(all, &slot.failure_domain, within);
    let owns_any = |owner| domains.iter().any(|domain| cx.owns_in(domain, owner));
    let owners = cx.owners_of(service).into_iter().filter(|(owner, _)| owns_any(*owner));
    let owner = choose_owner(owners.collect(), rand::random())?;
    if owner != cx.settings.boxes_addr && !relay.standby_asks.borrow_mut().try_take(clock::now()) {
        return None;
    }
    domains.retain(|domain| cx.owns_in(domain, owner));
    let want = SlotRequest {
        id: new_id(),
        workspace: req.workspace.clone().unwrap_or_default(),
        priority: req.priority(),
        kind: kind.clone(),
        prompt: needs.prompt,
        max_tokens: needs.max_output,
        avoid: avoid.to_vec(),
        within: domains,
        event_tokens: engine.tokens_per_event,
        standby: true,
        ..SlotRequest::default()
    };
    let (tx, rx) = oneshot::channel();
    let (asking, pool) = (cx.clone(), service.to_owned());
    compio::runtime::spawn(async move {
        let granted = obtain_standby(&asking, &pool, want, owner).await;
        // A slot that is granted too late is dropped here, which releases it.
        let _ = tx.send(granted);
    })
    .detach();
    let granted = compio::time::timeout(OBTAIN_TIMEOUT, rx).await;
    let granted = granted.ok().and_then(Result::ok).flatten();
    let standby = granted.filter(|standby| {
        cx.upstream_serves(&standby.runner)
            && !cx.is_evacuated(&standby.failure_domain)
            && standby.failure_domain != slot.failure_domain
    });
    let count = if standby.is_some() { Count::StandbysTaken } else { Count::StandbysRefused };
    cx.metrics.count(count, service);
    standby
}
