//! When a fleet counts as started: every process answers, and one that ended is named.

use std::net::TcpListener;

use hatchpitch_e2e::fleet::{MODEL, PATIENCE};
use hatchpitch_e2e::{Process, Shape, TestFleet};
use hatchpitch_standins::engine::server::Fault;

/// Far longer than the boxes of a fleet take to start.
const LATE_MS: &str = "4000";

#[compio::test]
async fn a_fleet_waits_for_an_engine_that_starts_late() -> anyhow::Result<()> {
    let engine_args = vec!["--start-after-ms".to_owned(), LATE_MS.to_owned()];
    let shape = Shape { entry: 1, engines: 1, apps: 0, engine_args, ..Shape::default() };
    let fleet = TestFleet::start(shape).await?;
    fleet.set_fault(0, Fault::None).await
}

#[compio::test]
async fn an_engine_that_ends_at_its_start_fails_the_fleet() -> anyhow::Result<()> {
    let engine_args = vec!["--no-such-argument".to_owned()];
    let shape = Shape { entry: 1, engines: 1, apps: 0, engine_args, ..Shape::default() };
    let Err(err) = TestFleet::start(shape).await else { anyhow::bail!("the fleet started") };
    let text = format!("{err:#}");
    assert!(text.contains("engine-0") && text.contains("--no-such-argument"), "{text}");
    Ok(())
}

#[compio::test]
async fn a_process_whose_port_is_taken_is_named_with_its_log() -> anyhow::Result<()> {
    let taken = TcpListener::bind("127.0.0.1:0")?;
    let addr = taken.local_addr()?;
    let folder = tempfile::tempdir()?;
    let args = ["--listen", &addr.to_string(), "--model", MODEL].map(str::to_owned).to_vec();
    let log = folder.path().join("engine.log");
    let mut process = Process::start("engine-of-the-test", "standin-engine", args, log)?;
    let Err(err) = process.wait_answer(addr, PATIENCE).await else {
        anyhow::bail!("the holder of the port was taken for the engine")
    };
    let text = format!("{err:#}");
    assert!(text.contains("engine-of-the-test") && text.contains("in use"), "{text}");
    Ok(())
}
