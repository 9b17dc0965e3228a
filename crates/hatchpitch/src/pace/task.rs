//! Reports the pace of engines to their owners, and applies such reports.

use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{Stop, clock};

use super::messages::PaceReport;
use crate::admission::Pick;
use crate::entry::EntryCx;

/// Path of pace reports.
pub const PACE_PATH: &str = "/box/pace";
/// Interval between reports: a few events of a stream, and a tenth of the time in which a new
/// engine fills.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a report. A later one replaces it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends reports until `stop` is set. Does nothing unless placement uses them.
pub async fn run(cx: Rc<EntryCx>, stop: Stop) {
    if cx.settings.policy.pick != Pick::Objective {
        return;
    }
    while !stop.is_set() {
        compio::time::sleep(REPORT_INTERVAL).await;
        cx.sync_gates();
        let reports = cx.pace.borrow_mut().take(|runner| cx.owner_addr(runner), clock::now());
        for (owner, report) in reports {
            if owner == cx.settings.boxes_addr {
                apply(&cx, &report);
                continue;
            }
            let cx = cx.clone();
            compio::runtime::spawn(async move {
                let call = cx.boxes.call::<_, ()>(owner, PACE_PATH, &report, REPORT_TIMEOUT);
                if let Err(err) = call.await {
                    log::debug!("report of the pace of engines: {err}");
                }
            })
            .detach();
        }
    }
}

/// Applies a report to the engines that this box owns.
pub fn apply(cx: &EntryCx, report: &PaceReport) {
    let now = clock::now();
    for engine in &report.engines {
        cx.gate(&engine.pool).update(|table| table.observe_gaps(&engine.runner, &engine.gaps, now));
    }
    for first in &report.firsts {
        cx.gate(&first.pool).update(|table| {
            table.record_first_token(&first.runner, &first.id, first.took);
        });
    }
}
