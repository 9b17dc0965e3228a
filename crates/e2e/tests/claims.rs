//! Non-repeatable requests under failures of real processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_standins::app::AppFault;
use http::{HeaderMap, Method};

/// Sends a non-repeatable call with an idempotency key; returns status, outcome and body.
async fn request_quote(
    fleet: &TestFleet,
    at: SocketAddr,
    key: &str,
    body: &str,
) -> anyhow::Result<(u16, String, String)> {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", key.parse()?);
    let body = Bytes::from(body.to_owned());
    let caller = fleet.caller(0);
    let (parts, body) =
        caller.call(at, Method::POST, "/apps/calculator/payoff", headers, body).await?;
    let outcome = parts.headers["x-hatchpitch-outcome"].to_str()?.to_owned();
    Ok((parts.status.as_u16(), outcome, String::from_utf8_lossy(&body).into_owned()))
}

/// Injects a fault into the application service.
async fn set_fault(fleet: &TestFleet, fault: AppFault) -> anyhow::Result<()> {
    let body = Bytes::from(serde_json::to_vec(&fault)?);
    fleet.call_standin(fleet.app_addrs[0], Method::POST, "/admin/fault", body).await?;
    Ok(())
}

/// Returns how often the service ran each call, by idempotency key.
async fn run_counts(fleet: &TestFleet) -> anyhow::Result<BTreeMap<String, u64>> {
    fleet.get_standin_json(fleet.app_addrs[0], "/admin/ledger").await
}

fn test_spec() -> FleetSpec {
    FleetSpec { entry: 2, engines: 0, ..FleetSpec::default() }
}

#[compio::test]
async fn lost_reply_reports_unknown_outcome_and_runs_once() -> anyhow::Result<()> {
    let fleet = TestFleet::start(test_spec()).await?;
    set_fault(&fleet, AppFault::LoseReply).await?;
    let (status, outcome, body) = request_quote(&fleet, fleet.entry_addrs[0], "q1", "{}").await?;
    assert_eq!((status, outcome.as_str()), (502, "unknown"), "{body}");
    for at in &fleet.entry_addrs {
        let (status, outcome, body) = request_quote(&fleet, *at, "q1", "{}").await?;
        assert_eq!((status, outcome.as_str()), (409, "unknown"), "{body}");
    }
    assert_eq!(run_counts(&fleet).await?["q1"], 1);
    Ok(())
}

#[compio::test]
async fn unreachable_upstream_reports_not_run_and_allows_retry() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(test_spec()).await?;
    fleet.apps[0].kill();
    let (status, outcome, body) = request_quote(&fleet, fleet.entry_addrs[0], "q1", "{}").await?;
    assert_eq!((status, outcome.as_str()), (503, "not_run"), "{body}");
    fleet.apps[0].restart()?;
    let (status, outcome, _) = loop {
        let answer = request_quote(&fleet, fleet.entry_addrs[1], "q1", "{}").await?;
        if answer.0 != 503 {
            break answer;
        }
    };
    assert_eq!((status, outcome.as_str()), (200, "done"));
    assert_eq!(run_counts(&fleet).await?["q1"], 1);
    Ok(())
}

#[compio::test]
async fn box_crash_between_claim_and_answer_causes_no_second_run() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(test_spec()).await?;
    set_fault(&fleet, AppFault::Slow { ms: 800 }).await?;
    let first = {
        let (caller, at) = (fleet.caller(0), fleet.entry_addrs[0]);
        compio::runtime::spawn(async move {
            let mut headers = HeaderMap::new();
            headers.insert("idempotency-key", "q1".parse()?);
            let path = "/apps/calculator/payoff";
            caller.call(at, Method::POST, path, headers, Bytes::from_static(b"{}")).await
        })
    };
    compio::time::sleep(std::time::Duration::from_millis(400)).await;
    fleet.entry[0].kill();
    assert!(first.await.expect("the caller task completed").is_err());
    let (status, outcome, body) = request_quote(&fleet, fleet.entry_addrs[1], "q1", "{}").await?;
    assert_eq!((status, outcome.as_str()), (409, "unknown"), "{body}");
    assert!(run_counts(&fleet).await?.get("q1").copied().unwrap_or(0) <= 1);
    Ok(())
}

#[compio::test]
async fn stored_answers_survive_leader_crashes() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(test_spec()).await?;
    let (status, _, first) = request_quote(&fleet, fleet.entry_addrs[0], "q1", "{}").await?;
    assert_eq!(status, 200);
    for i in 0..3 {
        fleet.control[i].kill();
        let (status, outcome, body) =
            request_quote(&fleet, fleet.entry_addrs[1], "q1", "{}").await?;
        assert_eq!((status, outcome.as_str()), (200, "done"), "{body}");
        assert_eq!(body, first);
        fleet.control[i].restart()?;
    }
    let (status, outcome, _) = request_quote(&fleet, fleet.entry_addrs[1], "q1", "other").await?;
    assert_eq!((status, outcome.as_str()), (422, "not_run"));
    assert_eq!(run_counts(&fleet).await?["q1"], 1);
    Ok(())
}

#[compio::test]
async fn without_control_quorum_quotes_are_refused_and_rate_tables_served() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(test_spec()).await?;
    fleet.control[0].kill();
    fleet.control[1].kill();
    let at = fleet.entry_addrs[0];
    let (status, outcome, body) = request_quote(&fleet, at, "q1", "{}").await?;
    assert_eq!((status, outcome.as_str()), (503, "not_run"), "{body}");
    let caller = fleet.caller(0);
    let path = "/apps/calculator/rates";
    let (parts, _) = caller.call(at, Method::GET, path, HeaderMap::new(), Bytes::new()).await?;
    assert_eq!(parts.status, 200);
    assert!(run_counts(&fleet).await?.is_empty());
    Ok(())
}
