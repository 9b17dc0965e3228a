//! Requests that must not be repeated, through real processes that fail.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use hatchpitch_e2e::{Shape, TestFleet};
use hatchpitch_standins::app::AppFault;
use http::{HeaderMap, Method};

async fn quote(
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

async fn set_fault(fleet: &TestFleet, fault: AppFault) -> anyhow::Result<()> {
    let body = Bytes::from(serde_json::to_vec(&fault)?);
    fleet.standin(fleet.app_addrs[0], Method::POST, "/admin/fault", body).await?;
    Ok(())
}

async fn runs(fleet: &TestFleet) -> anyhow::Result<BTreeMap<String, u64>> {
    fleet.standin_json(fleet.app_addrs[0], "/admin/ledger").await
}

fn shape() -> Shape {
    Shape { entry: 2, engines: 0, ..Shape::default() }
}

#[compio::test]
async fn a_lost_reply_is_unknown_and_never_a_second_run() -> anyhow::Result<()> {
    let fleet = TestFleet::start(shape()).await?;
    set_fault(&fleet, AppFault::LoseReply).await?;
    let (status, outcome, body) = quote(&fleet, fleet.entry_addrs[0], "q1", "{}").await?;
    assert_eq!((status, outcome.as_str()), (502, "unknown"), "{body}");
    for at in &fleet.entry_addrs {
        let (status, outcome, body) = quote(&fleet, *at, "q1", "{}").await?;
        assert_eq!((status, outcome.as_str()), (409, "unknown"), "{body}");
    }
    assert_eq!(runs(&fleet).await?["q1"], 1);
    Ok(())
}

#[compio::test]
async fn an_upstream_that_cannot_be_reached_is_not_run_and_may_be_asked_again() -> anyhow::Result<()>
{
    let mut fleet = TestFleet::start(shape()).await?;
    fleet.apps[0].kill();
    let (status, outcome, body) = quote(&fleet, fleet.entry_addrs[0], "q1", "{}").await?;
    assert_eq!((status, outcome.as_str()), (503, "not_run"), "{body}");
    fleet.apps[0].restart()?;
    let (status, outcome, _) = loop {
        let answer = quote(&fleet, fleet.entry_addrs[1], "q1", "{}").await?;
        if answer.0 != 503 {
            break answer;
        }
    };
    assert_eq!((status, outcome.as_str()), (200, "done"));
    assert_eq!(runs(&fleet).await?["q1"], 1);
    Ok(())
}

#[compio::test]
async fn a_box_killed_between_claim_and_answer_causes_no_second_run() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(shape()).await?;
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
    assert!(first.await.expect("the task ran").is_err());
    let (status, outcome, body) = quote(&fleet, fleet.entry_addrs[1], "q1", "{}").await?;
    assert_eq!((status, outcome.as_str()), (409, "unknown"), "{body}");
    assert!(runs(&fleet).await?.get("q1").copied().unwrap_or(0) <= 1);
    Ok(())
}

#[compio::test]
async fn kept_answers_survive_the_loss_of_the_leader() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(shape()).await?;
    let (status, _, first) = quote(&fleet, fleet.entry_addrs[0], "q1", "{}").await?;
    assert_eq!(status, 200);
    for i in 0..3 {
        fleet.control[i].kill();
        let (status, outcome, body) = quote(&fleet, fleet.entry_addrs[1], "q1", "{}").await?;
        assert_eq!((status, outcome.as_str()), (200, "done"), "{body}");
        assert_eq!(body, first);
        fleet.control[i].restart()?;
    }
    let (status, outcome, _) = quote(&fleet, fleet.entry_addrs[1], "q1", "other").await?;
    assert_eq!((status, outcome.as_str()), (422, "not_run"));
    assert_eq!(runs(&fleet).await?["q1"], 1);
    Ok(())
}

#[compio::test]
async fn without_a_control_quorum_a_quote_is_refused_and_a_rate_table_served() -> anyhow::Result<()>
{
    let mut fleet = TestFleet::start(shape()).await?;
    fleet.control[0].kill();
    fleet.control[1].kill();
    let at = fleet.entry_addrs[0];
    let (status, outcome, body) = quote(&fleet, at, "q1", "{}").await?;
    assert_eq!((status, outcome.as_str()), (503, "not_run"), "{body}");
    let caller = fleet.caller(0);
    let path = "/apps/calculator/rates";
    let (parts, _) = caller.call(at, Method::GET, path, HeaderMap::new(), Bytes::new()).await?;
    assert_eq!(parts.status, 200);
    assert!(runs(&fleet).await?.is_empty());
    Ok(())
}
