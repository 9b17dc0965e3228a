//! Polls upstreams for load reports, and updates runner tables and membership from them.

use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{Stop, clock};

use crate::config::Runner;
use crate::engine::{EngineLoad, adapter};
use crate::entry::EntryCx;
use crate::membership::messages::{MemberRecord, MemberStatus, Subject};
use crate::membership::task;
use crate::metrics::Count;
use crate::upstream_signals::task as upstream_signals;

/// Polling interval for the load report of one runner.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Polls the runners that this box owns until `stop` is set.
pub async fn run(cx: Rc<EntryCx>, stop: Stop) {
    while !stop.is_set() {
        let view = cx.sync_gates();
        cx.membership.borrow_mut().set_config_number(view.number);
        for pool in &view.pools {
            let polled = pool.runners.iter().filter(|runner| {
                // Runners that register themselves speak another protocol.
                pool.hosted.is_none() && cx.owns(pool, &runner.name)
            });
            for runner in polled {
                let (cx, runner) = (cx.clone(), runner.clone());
                compio::runtime::spawn(async move { poll_load(&cx, &runner).await }).detach();
            }
            cx.apply_membership(&pool.pool.name);
            let gate = cx.gate(&pool.pool.name);
            gate.tick();
            let refusals = gate.take_refusals();
            for (count, n) in [
                (Count::QueueRefusedOnArrival, refusals.on_arrival),
                (Count::QueueRefusedUntimely, refusals.untimely),
                (Count::QueueRefusedAfterWait, refusals.waited),
            ] {
                if n > 0 {
                    cx.metrics.count_many(count, &pool.pool.name, n);
                }
            }
        }
        compio::time::sleep(REPORT_PERIOD).await;
    }
}

/// Polls one runner for its load and applies the report.
async fn poll_load(cx: &Rc<EntryCx>, runner: &Runner) {
    if !upstream_signals::take_spare(cx, &runner.name) {
        // Requests of callers take precedence within the upstream's limits, and this box knows its
        // own load on the runner without a report.
        return;
    }
    let on_head = |signals| upstream_signals::record_background(cx, &runner.name, signals);
    let load = match adapter::load(&cx.upstream(&runner.name, runner.addr), &on_head).await {
        Ok(load) => load,
        Err(err) => {
            log::debug!("no load report from {}: {err}", runner.name);
            return;
        }
    };
    update_membership(cx, runner, &load);
    cx.gate(&runner.pool).update(|table| table.report(&runner.name, load, clock::now()));
}

/// Updates membership with the status that the upstream reports for its incarnation. Within one
/// incarnation, an upstream that leaves stays so.
fn update_membership(cx: &EntryCx, runner: &Runner, load: &EngineLoad) {
    let status = if load.leaving { MemberStatus::Leaving } else { MemberStatus::Alive };
    let record = MemberRecord {
        subject: Subject::Upstream(runner.name.clone()),
        incarnation: load.incarnation,
        status,
        addr: runner.addr,
        box_addr: runner.addr,
        failure_domain: runner.failure_domain.clone(),
    };
    let actions = cx.membership.borrow_mut().observe(record, clock::now());
    task::perform(&cx.membership, &cx.boxes, actions);
}
