//! Requests through a complete fleet of separate processes, from caller to engine or service.

use bytes::Bytes;
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use http::{HeaderMap, Method};

#[compio::test]
async fn chat_request_is_served_end_to_end() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec::default()).await?;
    let caller = fleet.caller(0);

    let discovered = caller.endpoints(fleet.entry_addrs[1]).await?;
    assert!(!discovered.endpoints.is_empty());
    let at = discovered.endpoints[0].addr;
    assert!(fleet.entry_addrs.contains(&at));

    let answer = caller.chat(at, MODEL, "explain amortization len=40", |_| true).await?;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.tokens.len(), 40);
    for (i, token) in answer.tokens.iter().enumerate() {
        assert_eq!(token.index, i as u64);
    }
    let mut generations = fleet.ledger(0).await?;
    generations.extend(fleet.ledger(1).await?);
    assert_eq!(generations.len(), 1);
    assert_eq!(generations[0].tokens.concat(), answer.text());
    Ok(())
}

#[compio::test]
async fn service_calls_succeed_and_quotes_run_once() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec::default()).await?;
    let caller = fleet.caller(1);
    let at = fleet.entry_addrs[0];

    let rates =
        caller.call(at, Method::GET, "/apps/calculator/rates", HeaderMap::new(), Bytes::new());
    let (parts, body) = rates.await?;
    assert_eq!(parts.status, 200);
    assert!(String::from_utf8_lossy(&body).contains("fixed_30"));

    let mut headers = HeaderMap::new();
    let path = "/apps/calculator/payoff";
    let (parts, body) =
        caller.call(at, Method::POST, path, headers.clone(), Bytes::from_static(b"{}")).await?;
    assert_eq!(parts.status, 400, "{body:?}");
    headers.insert("idempotency-key", "loan-17".parse()?);
    for entry in &fleet.entry_addrs {
        let call =
            caller.call(*entry, Method::POST, path, headers.clone(), Bytes::from_static(b"{}"));
        let (parts, body) = call.await?;
        assert_eq!(parts.status, 200, "{body:?}");
        assert_eq!(parts.headers["x-hatchpitch-outcome"], "done");
        assert!(String::from_utf8_lossy(&body).contains("\"run\":1"));
    }
    let runs: std::collections::BTreeMap<String, u64> =
        fleet.get_standin_json(fleet.app_addrs[0], "/admin/ledger").await?;
    assert_eq!(runs.get("loan-17"), Some(&1));
    Ok(())
}
