//! Sends commands to the engines while this control box leads.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{MemoryBudget, Stop, Upstream, clock};
use http::StatusCode;

use super::state::{CommandAction, CommandConfig, CommandScheduler, SendOutcome, Target};
use crate::config::FleetView;
use crate::control::context::ControlCx;
use crate::engine::adapter::{self, EngineError};
use crate::engine::messages::{EngineCommand, EngineHoldings};
use crate::ids::{ConfigNumber, Priority, RunnerName};
use crate::reachability::UpstreamClient;

/// Interval between two calls of [`CommandScheduler::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const HOLDINGS_PATH: &str = "/v1/holdings";
const COMMANDS_PATH: &str = "/v1/commands";

/// State that exists while this box leads, for one term.
struct LeaderState {
    scheduler: CommandScheduler,
    /// Number of the configuration that the targets were derived from.
    targets_number: Option<ConfigNumber>,
}

type SharedLeaderState = Rc<RefCell<Option<LeaderState>>>;

/// Performs the actions that are due until `stop` is set.
pub async fn run(cx: Rc<ControlCx>, stop: Stop) {
    let shared: SharedLeaderState = Rc::default();
    while !stop.is_set() {
        compio::time::sleep(TICK_INTERVAL).await;
        for action in due_actions(&cx, &shared) {
            let (shared, memory) = (shared.clone(), cx.boxes.memory().clone());
            compio::runtime::spawn(perform(shared, memory, action)).detach();
        }
    }
}

/// Returns the actions that are due, and drops the state of a term whose lease ended.
fn due_actions(cx: &ControlCx, shared: &SharedLeaderState) -> Vec<CommandAction> {
    let now = clock::now();
    let lease =
        cx.log().and_then(|log| log.with(|replica| Some((replica.term(), replica.lease_until()?))));
    let mut leading = shared.borrow_mut();
    let Some((term, lease_until)) = lease.filter(|(_, until)| now < *until) else {
        *leading = None;
        return Vec::new();
    };
    let leading = match leading.take() {
        Some(current) if current.scheduler.term() == term => leading.insert(current),
        _ => {
            let scheduler = CommandScheduler::new(CommandConfig::default(), term, now);
            leading.insert(LeaderState { scheduler, targets_number: None })
        }
    };
    let view = cx.config.view();
    if leading.targets_number.replace(view.number) != Some(view.number) {
        leading.scheduler.set_targets(targets(&view), now);
    }
    leading.scheduler.tick(now, Some(lease_until))
}

/// Returns the desired state of every engine in the configuration.
fn targets(view: &FleetView) -> BTreeMap<RunnerName, Target> {
    let mut targets = BTreeMap::new();
    for pool in &view.pools {
        let workspaces = view.workspaces.iter().filter(|w| w.pools.contains(&pool.pool.name));
        let priority = workspaces.map(|w| w.priority).max().unwrap_or(Priority::MIN);
        for runner in &pool.runners {
            let target = Target {
                addr: runner.addr,
                checks_fence: runner.checks_fence,
                model: pool.pool.model.clone(),
                version: pool.pool.version.clone(),
                priority,
            };
            targets.insert(runner.name.clone(), target);
        }
    }
    targets
}

async fn perform(shared: SharedLeaderState, memory: MemoryBudget, action: CommandAction) {
    match action {
        CommandAction::Read { runner, addr } => {
            let holdings =
                adapter::get_json::<EngineHoldings>(&upstream(addr, memory), HOLDINGS_PATH).await;
            if let Err(err) = &holdings {
                log::debug!("failed to read the holdings of engine {runner}: {err}");
            }
            if let Some(leading) = shared.borrow_mut().as_mut() {
                leading.scheduler.on_holdings(&runner, holdings.ok().as_ref(), clock::now());
            }
        }
        CommandAction::Send { runner, addr, command } => {
            log::info!(
                "sending command {}.{} to engine {runner}: {:?}",
                command.term,
                command.sequence,
                command.order
            );
            let outcome = send(addr, memory, &command).await;
            if let Some(leading) = shared.borrow_mut().as_mut() {
                leading.scheduler.on_sent(&runner, &outcome, clock::now());
            }
        }
    }
}

/// Sends a command. The connection is closed at the deadline, so that the command cannot arrive
/// later.
async fn send(addr: SocketAddr, memory: MemoryBudget, command: &EngineCommand) -> SendOutcome {
    let upstream = upstream(addr, memory);
    let sent = adapter::post_json(&upstream, COMMANDS_PATH, command);
    match compio::time::timeout(CommandConfig::default().deadline, sent).await {
        Ok(Ok(body)) => match serde_json::from_slice(&body) {
            Ok(holdings) => SendOutcome::Done(holdings),
            Err(_) => SendOutcome::Unknown,
        },
        Ok(Err(EngineError::Refused { status: StatusCode::CONFLICT, .. })) => SendOutcome::Fenced,
        Ok(Err(_)) | Err(_) => SendOutcome::Unknown,
    }
}

fn upstream(addr: SocketAddr, memory: MemoryBudget) -> UpstreamClient {
    let connect_timeout = CommandConfig::default().deadline;
    UpstreamClient::direct(Upstream { addr, connect_timeout, source: None }, memory)
}
