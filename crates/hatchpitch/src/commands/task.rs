//! Sends the orders while this control box leads.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{Stop, Upstream, clock};
use http::StatusCode;

use super::state::{CommandAction, CommandConfig, Commands, SendOutcome, Target};
use crate::config::FleetView;
use crate::control::context::ControlCx;
use crate::engine::adapter::{self, EngineError};
use crate::engine::messages::{EngineCommand, EngineHoldings};
use crate::ids::{ConfigNumber, Priority, RunnerName};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
const HOLDINGS_PATH: &str = "/v1/holdings";
const COMMANDS_PATH: &str = "/v1/commands";

/// The orders of this box's term as a leader.
struct Leading {
    commands: Commands,
    /// Configuration number that the targets were made from.
    targets_of: Option<ConfigNumber>,
}

type Shared = Rc<RefCell<Option<Leading>>>;

/// Sends what is due until `stop`.
pub async fn run(cx: Rc<ControlCx>, stop: Stop) {
    let shared: Shared = Rc::default();
    while !stop.is_set() {
        compio::time::sleep(TICK).await;
        for action in due(&cx, &shared) {
            let shared = shared.clone();
            compio::runtime::spawn(perform(shared, action)).detach();
        }
    }
}

fn due(cx: &ControlCx, shared: &Shared) -> Vec<CommandAction> {
    let now = clock::now();
    let lease =
        cx.log().and_then(|log| log.with(|replica| Some((replica.term(), replica.lease_until()?))));
    let mut leading = shared.borrow_mut();
    let Some((term, lease_until)) = lease.filter(|(_, until)| now < *until) else {
        *leading = None;
        return Vec::new();
    };
    let leading = match leading.take() {
        Some(same) if same.commands.term() == term => leading.insert(same),
        _ => {
            let commands = Commands::begin(CommandConfig::default(), term, now);
            leading.insert(Leading { commands, targets_of: None })
        }
    };
    let view = cx.config.view();
    if leading.targets_of.replace(view.number) != Some(view.number) {
        leading.commands.set_targets(targets(&view), now);
    }
    leading.commands.tick(now, Some(lease_until))
}

/// Returns what each engine is to hold according to the configuration.
fn targets(view: &FleetView) -> BTreeMap<RunnerName, Target> {
    let mut targets = BTreeMap::new();
    for pool in &view.pools {
        let payers = view.workspaces.iter().filter(|w| w.pools.contains(&pool.pool.name));
        let priority = payers.map(|w| w.priority).max().unwrap_or(Priority::MIN);
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

async fn perform(shared: Shared, action: CommandAction) {
    match action {
        CommandAction::Read { runner, addr } => {
            let held = adapter::get_json::<EngineHoldings>(&upstream(addr), HOLDINGS_PATH).await;
            if let Err(err) = &held {
                log::debug!("holdings of {runner}: {err}");
            }
            if let Some(leading) = shared.borrow_mut().as_mut() {
                leading.commands.on_holdings(&runner, held.ok().as_ref(), clock::now());
            }
        }
        CommandAction::Send { runner, addr, command } => {
            log::info!(
                "order {}.{} to {runner}: {:?}",
                command.term,
                command.sequence,
                command.order
            );
            let outcome = send(addr, &command).await;
            if let Some(leading) = shared.borrow_mut().as_mut() {
                leading.commands.on_sent(&runner, &outcome, clock::now());
            }
        }
    }
}

/// Sends an order; at the deadline the connection is closed, so that it cannot arrive later.
async fn send(addr: SocketAddr, command: &EngineCommand) -> SendOutcome {
    let upstream = upstream(addr);
    let sent = adapter::post_json(&upstream, COMMANDS_PATH, command);
    match compio::time::timeout(CommandConfig::default().deadline, sent).await {
        Ok(Ok(body)) => match serde_json::from_slice(&body) {
            Ok(held) => SendOutcome::Done(held),
            Err(_) => SendOutcome::Unknown,
        },
        Ok(Err(EngineError::Refused { status: StatusCode::CONFLICT, .. })) => SendOutcome::Fenced,
        Ok(Err(_)) | Err(_) => SendOutcome::Unknown,
    }
}

fn upstream(addr: SocketAddr) -> Upstream {
    Upstream { addr, connect_timeout: CommandConfig::default().deadline }
}
