//! Calls to real processes of a service whose answers have neither a length nor chunks, and end with
//! their connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_standins::app::{AnswerEnding, AnswerType, AppFault};
use hatchpitch_standins::caller::{BodyEnd, Received};
use http::{HeaderMap, Method};

/// Number of service upstreams, so that a call that is sent again reaches another one.
const APPS: usize = 2;
/// Calls of each kind that are sent to each box.
const CALLS: usize = 3;
/// Answer of the repeatable route.
const RATES: &str = r#"{"fixed_15":5.5,"fixed_30":6.125}"#;

fn test_spec() -> FleetSpec {
    FleetSpec { entry: 2, engines: 0, apps: APPS, ..FleetSpec::default() }
}

/// Makes the next answer of a service upstream end like this.
async fn set_ending(
    fleet: &TestFleet,
    app: usize,
    ending: AnswerEnding,
    content_type: AnswerType,
) -> anyhow::Result<()> {
    let fault = AppFault::Unframed { ending, content_type };
    let body = Bytes::from(serde_json::to_vec(&fault)?);
    fleet.call_standin(fleet.app_addrs[app], Method::POST, "/admin/fault", body).await?;
    Ok(())
}

/// Makes the next answers of all service upstreams end like this.
async fn set_endings(
    fleet: &TestFleet,
    ending: AnswerEnding,
    content_type: AnswerType,
) -> anyhow::Result<()> {
    for app in 0..APPS {
        set_ending(fleet, app, ending, content_type).await?;
    }
    Ok(())
}

/// Sends a repeatable call.
async fn get_rates(fleet: &TestFleet, at: SocketAddr) -> anyhow::Result<Received> {
    let (caller, path) = (fleet.caller(0), "/apps/calculator/rates");
    caller.exchange(at, Method::GET, path, HeaderMap::new(), Bytes::new()).await
}

/// Sends a call that must not run twice.
async fn get_quote(fleet: &TestFleet, at: SocketAddr, key: &str) -> anyhow::Result<Received> {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", key.parse()?);
    let (caller, path) = (fleet.caller(0), "/apps/calculator/payoff");
    caller.exchange(at, Method::POST, path, headers, Bytes::from_static(b"{}")).await
}

/// Returns how often all service upstreams together ran each quote, by idempotency key.
async fn run_counts(fleet: &TestFleet) -> anyhow::Result<BTreeMap<String, u64>> {
    let mut counts = BTreeMap::new();
    for addr in &fleet.app_addrs {
        let runs: BTreeMap<String, u64> = fleet.get_standin_json(*addr, "/admin/ledger").await?;
        for (key, count) in runs {
            *counts.entry(key).or_default() += count;
        }
    }
    Ok(counts)
}

fn quote(key: &str) -> String {
    format!(r#"{{"bytes":2,"quote":"q-{key}","run":1}}"#)
}

fn status(received: &Received) -> (u16, &str) {
    let outcome = received.head.headers["x-hatchpitch-outcome"].to_str().unwrap_or("");
    (received.head.status.as_u16(), outcome)
}

fn assert_open(received: &Received, body: &str) {
    assert_eq!(status(received), (200, "unknown"), "{received:?}");
    assert_eq!((received.end, &received.body[..]), (BodyEnd::WithConnection, body.as_bytes()));
}

fn assert_complete(received: &Received, body: &str) {
    assert_eq!(status(received), (200, "done"), "{received:?}");
    assert_eq!((received.end, &received.body[..]), (BodyEnd::Marked, body.as_bytes()));
}

#[compio::test]
async fn half_of_an_answer_without_a_length_looks_complete() -> anyhow::Result<()> {
    let fleet = TestFleet::start(test_spec()).await?;
    for at in fleet.entry_addrs.iter().copied() {
        for i in 0..CALLS {
            set_endings(&fleet, AnswerEnding::Cut, AnswerType::Text).await?;
            assert_open(&get_rates(&fleet, at).await?, &RATES[..RATES.len() / 2]);
            set_endings(&fleet, AnswerEnding::Cut, AnswerType::Text).await?;
            let key = format!("cut-{at}-{i}");
            let whole = quote(&key);
            assert_open(&get_quote(&fleet, at, &key).await?, &whole[..whole.len() / 2]);
        }
    }
    let runs = run_counts(&fleet).await?;
    assert_eq!(runs.len(), CALLS * fleet.entry_addrs.len());
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    Ok(())
}

#[compio::test]
async fn a_whole_answer_without_a_length_is_lost_or_gets_one() -> anyhow::Result<()> {
    let fleet = TestFleet::start(test_spec()).await?;
    for at in fleet.entry_addrs.iter().copied() {
        for content_type in [AnswerType::Json, AnswerType::Text] {
            for i in 0..CALLS {
                set_endings(&fleet, AnswerEnding::Whole, content_type).await?;
                assert_open(&get_rates(&fleet, at).await?, RATES);
                set_endings(&fleet, AnswerEnding::Whole, content_type).await?;
                let key = format!("whole-{content_type:?}-{at}-{i}");
                assert_open(&get_quote(&fleet, at, &key).await?, &quote(&key));
            }
        }
    }
    let runs = run_counts(&fleet).await?;
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    Ok(())
}

#[compio::test]
async fn half_of_a_document_is_returned_though_the_call_may_be_repeated() -> anyhow::Result<()> {
    let fleet = TestFleet::start(test_spec()).await?;
    let broken = [(AnswerEnding::Cut, AnswerType::Json), (AnswerEnding::Reset, AnswerType::Text)];
    for at in fleet.entry_addrs.iter().copied() {
        for (ending, content_type) in broken {
            // Calls go to the upstreams in turn, and only one of them breaks its answer off.
            for app in (0..APPS).cycle().take(2 * APPS) {
                set_ending(&fleet, app, ending, content_type).await?;
                assert_complete(&get_rates(&fleet, at).await?, RATES);
                assert_complete(&get_rates(&fleet, at).await?, RATES);
            }
        }
    }
    Ok(())
}

#[compio::test]
async fn half_of_a_document_from_every_upstream_is_returned() -> anyhow::Result<()> {
    let fleet = TestFleet::start(test_spec()).await?;
    for at in fleet.entry_addrs.iter().copied() {
        set_endings(&fleet, AnswerEnding::Cut, AnswerType::Json).await?;
        let received = get_rates(&fleet, at).await?;
        assert_eq!(status(&received), (502, "unknown"), "{received:?}");
    }
    Ok(())
}

#[compio::test]
async fn a_claim_is_settled_as_done_with_a_broken_answer() -> anyhow::Result<()> {
    let fleet = TestFleet::start(test_spec()).await?;
    let broken = [
        (AnswerEnding::Cut, AnswerType::Json),
        (AnswerEnding::Reset, AnswerType::Json),
        (AnswerEnding::Reset, AnswerType::Text),
    ];
    let mut calls = 0;
    for at in fleet.entry_addrs.iter().copied() {
        for (ending, content_type) in broken {
            let key = format!("{ending:?}-{content_type:?}-{at}");
            set_endings(&fleet, ending, content_type).await?;
            let received = get_quote(&fleet, at, &key).await?;
            assert_eq!(status(&received), (502, "unknown"), "{key}: {received:?}");
            for other in fleet.entry_addrs.iter().copied() {
                let received = get_quote(&fleet, other, &key).await?;
                assert_eq!(status(&received), (409, "unknown"), "{key}: {received:?}");
            }
            calls += 1;
        }
    }
    let runs = run_counts(&fleet).await?;
    assert_eq!(runs.len(), calls);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    Ok(())
}

#[compio::test]
async fn a_kept_answer_without_a_length_is_replayed_as_complete() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(test_spec()).await?;
    let mut kept = Vec::new();
    for ending in [AnswerEnding::Cut, AnswerEnding::Whole] {
        let key = format!("{ending:?}");
        set_endings(&fleet, ending, AnswerType::Text).await?;
        let received = get_quote(&fleet, fleet.entry_addrs[0], &key).await?;
        let whole = quote(&key);
        let body = if ending == AnswerEnding::Cut { &whole[..whole.len() / 2] } else { &whole };
        assert_open(&received, body);
        kept.push((key, body.to_owned()));
    }
    for leader in 0..3 {
        fleet.control[leader].kill();
        for (key, body) in &kept {
            for at in fleet.entry_addrs.iter().copied() {
                assert_open(&get_quote(&fleet, at, key).await?, body);
            }
        }
        fleet.control[leader].restart()?;
    }
    let runs = run_counts(&fleet).await?;
    assert!(runs.len() == kept.len() && runs.values().all(|count| *count == 1), "{runs:?}");
    Ok(())
}

#[compio::test]
async fn a_kept_answer_with_a_length_is_replayed_as_open() -> anyhow::Result<()> {
    let fleet = TestFleet::start(test_spec()).await?;
    for at in [fleet.entry_addrs[0], fleet.entry_addrs[1], fleet.entry_addrs[0]] {
        assert_complete(&get_quote(&fleet, at, "q1").await?, &quote("q1"));
    }
    assert_eq!(run_counts(&fleet).await?["q1"], 1);
    Ok(())
}
