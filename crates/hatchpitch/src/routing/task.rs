//! Reads the load reports of upstreams and passes on what they say about leaving.

use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{Stop, clock};

use crate::config::Runner;
use crate::engine::{EngineLoad, adapter};
use crate::entry::EntryCx;
use crate::membership::messages::{MemberRecord, MemberStatus, Subject};
use crate::membership::task;
use crate::upstream_signals::task as upstream_signals;

/// Time between load reports of one runner.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Reads reports until `stop`.
pub async fn run(cx: Rc<EntryCx>, stop: Stop) {
    while !stop.is_set() {
        let view = cx.sync_gates();
        cx.membership.borrow_mut().set_config_number(view.number);
        for pool in &view.pools {
            let asked = pool.runners.iter().filter(|runner| {
                // Runners that announce themselves speak another protocol.
                pool.hosted.is_none() && cx.owns(pool, &runner.name)
            });
            for runner in asked {
                let (cx, runner) = (cx.clone(), runner.clone());
                compio::runtime::spawn(async move { read_report(&cx, &runner).await }).detach();
            }
            cx.apply_membership(&pool.pool.name);
            cx.gate(&pool.pool.name).tick();
        }
        compio::time::sleep(REPORT_PERIOD).await;
    }
}

async fn read_report(cx: &Rc<EntryCx>, runner: &Runner) {
    if !upstream_signals::take_spare(cx, &runner.name) {
        // Callers' requests go first; what this box runs there it knows without a report.
        return;
    }
    let on_head = |signals| upstream_signals::record_background(cx, &runner.name, signals);
    let load = match adapter::load(&cx.upstream(runner.addr), &on_head).await {
        Ok(load) => load,
        Err(err) => {
            log::debug!("load report of {}: {err}", runner.name);
            return;
        }
    };
    observe(cx, runner, &load);
    cx.gate(&runner.pool).update(|table| table.report(&runner.name, load, clock::now()));
}

/// Notes what the upstream says about its own life; leaving is sticky within it.
fn observe(cx: &EntryCx, runner: &Runner, load: &EngineLoad) {
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
