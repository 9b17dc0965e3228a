//! A fleet is ready once every process responds; an error names a process that exited.

use std::net::TcpListener;

use hatchpitch_e2e::fleet::{MODEL, WAIT_TIMEOUT};
use hatchpitch_e2e::{FleetSpec, Process, TestFleet};
use hatchpitch_standins::engine::server::Fault;

/// Start delay in milliseconds, far longer than the boxes of a fleet take to start.
const START_DELAY_MS: &str = "4000";

#[compio::test]
async fn fleet_waits_for_slow_engine_start() -> anyhow::Result<()> {
    let engine_args = vec!["--start-after-ms".to_owned(), START_DELAY_MS.to_owned()];
    let spec = FleetSpec { entry: 1, engines: 1, apps: 0, engine_args, ..FleetSpec::default() };
    let fleet = TestFleet::start(spec).await?;
    fleet.set_fault(0, Fault::None).await
}

#[compio::test]
async fn engine_exit_during_startup_fails_fleet_start() -> anyhow::Result<()> {
    let engine_args = vec!["--no-such-argument".to_owned()];
    let spec = FleetSpec { entry: 1, engines: 1, apps: 0, engine_args, ..FleetSpec::default() };
    let Err(err) = TestFleet::start(spec).await else { anyhow::bail!("the fleet started") };
    let text = format!("{err:#}");
    assert!(text.contains("engine-0") && text.contains("--no-such-argument"), "{text}");
    Ok(())
}

#[compio::test]
async fn occupied_port_error_contains_process_name_and_log() -> anyhow::Result<()> {
    let occupied = TcpListener::bind("127.0.0.1:0")?;
    let addr = occupied.local_addr()?;
    let dir = tempfile::tempdir()?;
    let args = ["--listen", &addr.to_string(), "--model", MODEL].map(str::to_owned).to_vec();
    let log = dir.path().join("engine.log");
    let mut process = Process::start("engine-of-the-test", "standin-engine", args, log)?;
    let Err(err) = process.wait_ready(addr, WAIT_TIMEOUT).await else {
        anyhow::bail!("the process that holds the port was mistaken for the engine")
    };
    let text = format!("{err:#}");
    assert!(text.contains("engine-of-the-test") && text.contains("in use"), "{text}");
    Ok(())
}
