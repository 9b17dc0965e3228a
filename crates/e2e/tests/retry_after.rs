//! Engines and services that request a pause with `Retry-After` or announce that they leave, for
//! generations and for application calls.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use http::{HeaderMap, Method};
use serde::Serialize;

/// Number of concurrent callers.
const CALLERS: usize = 6;
/// Pause of a caller between requests.
const PAUSE: Duration = Duration::from_millis(60);
/// Value of `Retry-After`, in seconds.
const RETRY_AFTER: &str = "2.5";
/// Maximum number of requests that the box may send to a pausing or leaving upstream after
/// [`SETTLED`] or [`DRAINED`].
const MAX_SENT: usize = 2;
/// Time until the box has received `Retry-After` and another 500 ms have passed.
const SETTLED: Duration = Duration::from_millis(900);
/// Duration of a load phase. [`SETTLED`] and this fit into [`RETRY_AFTER`].
const LOAD: Duration = Duration::from_millis(1_300);
/// Time after which a leaving upstream must not get new requests.
const DRAINED: Duration = Duration::from_secs(2);

/// Configures a stand-in through one of its `/admin/` paths.
async fn configure<T: Serialize>(
    fleet: &TestFleet,
    at: SocketAddr,
    path: &str,
    value: T,
) -> anyhow::Result<()> {
    let body = Bytes::from(serde_json::to_vec(&value)?);
    fleet.call_standin(at, Method::POST, path, body).await?;
    Ok(())
}

/// Returns the number of requests that reached a stand-in.
async fn arrival_count(fleet: &TestFleet, at: SocketAddr) -> anyhow::Result<usize> {
    let arrivals: Vec<u64> = fleet.get_standin_json(at, "/admin/arrivals").await?;
    Ok(arrivals.len())
}

/// Sends requests for the given time; returns the statuses.
async fn run_load<F: Future<Output = anyhow::Result<u16>>>(
    time: Duration,
    send: impl Fn() -> F,
) -> anyhow::Result<Vec<u16>> {
    let started = Instant::now();
    let callers = (0..CALLERS).map(|_| async {
        let mut statuses = Vec::new();
        while started.elapsed() < time {
            statuses.push(send().await?);
            compio::time::sleep(PAUSE).await;
        }
        Ok::<_, anyhow::Error>(statuses)
    });
    let callers: Result<Vec<Vec<u16>>, _> = join_all(callers).await.into_iter().collect();
    Ok(callers?.into_iter().flatten().collect())
}

/// Calls a service once with a new idempotency key.
async fn call(fleet: &TestFleet, method: Method, path: &str) -> anyhow::Result<u16> {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", hatchpitch::ids::new_id().parse()?);
    let path = format!("/apps/calculator{path}");
    let (caller, body) = (fleet.caller(0), Bytes::from_static(b"{}"));
    let (parts, body) = caller.call(fleet.entry_addrs[0], method, &path, headers, body).await?;
    let refused = parts.status == 503;
    anyhow::ensure!(!refused || parts.headers.contains_key("retry-after"), "{body:?}");
    Ok(parts.status.as_u16())
}

/// Requests a short generation; returns 503 if it ended with an error.
async fn chat(fleet: &TestFleet) -> anyhow::Result<u16> {
    let answer = fleet.caller(0).chat(fleet.entry_addrs[0], MODEL, "short len=3", |_| true).await?;
    Ok(if answer.error.is_some() { 503 } else { 200 })
}

/// Checks under load that a pausing upstream gets no requests and gets them again afterwards;
/// returns the statuses.
async fn check_pause<F: Future<Output = anyhow::Result<u16>>>(
    fleet: &TestFleet,
    paused: SocketAddr,
    send: impl Fn() -> F,
) -> anyhow::Result<Vec<u16>> {
    configure(fleet, paused, "/admin/rest", Some(RETRY_AFTER)).await?;
    let mut statuses = run_load(SETTLED, &send).await?;
    let before = arrival_count(fleet, paused).await?;
    statuses.extend(run_load(LOAD, &send).await?);
    let sent = arrival_count(fleet, paused).await? - before;
    println!("{sent} during a pause");
    anyhow::ensure!(sent <= MAX_SENT, "{sent} during a pause");
    // After the pause the upstream gets requests again.
    configure(fleet, paused, "/admin/rest", None::<&str>).await?;
    let before = arrival_count(fleet, paused).await?;
    statuses.extend(run_load(2 * LOAD, &send).await?);
    let sent = arrival_count(fleet, paused).await? - before;
    anyhow::ensure!(sent > 2 * MAX_SENT, "{sent} after a pause");
    Ok(statuses)
}

/// Checks under load that a leaving upstream gets no new requests; returns the statuses.
async fn check_leaving<F: Future<Output = anyhow::Result<u16>>>(
    fleet: &TestFleet,
    leaving: SocketAddr,
    send: impl Fn() -> F,
) -> anyhow::Result<Vec<u16>> {
    configure(fleet, leaving, "/admin/say-leaving", true).await?;
    let mut statuses = run_load(DRAINED, &send).await?;
    let before = arrival_count(fleet, leaving).await?;
    statuses.extend(run_load(LOAD, &send).await?);
    let sent = arrival_count(fleet, leaving).await? - before;
    println!("{sent} to a leaving upstream");
    anyhow::ensure!(sent <= MAX_SENT, "{sent} to a leaving upstream");
    Ok(statuses)
}

#[compio::test]
async fn paused_service_gets_no_calls() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 0, apps: 2, ..FleetSpec::default() })
            .await?;
    for (method, path) in [(Method::GET, "/rates"), (Method::POST, "/payoff")] {
        let send = || call(&fleet, method.clone(), path);
        let statuses = check_pause(&fleet, fleet.app_addrs[0], send).await?;
        assert!(statuses.iter().all(|status| *status == 200), "{path}: {statuses:?}");
    }
    Ok(())
}

#[compio::test]
async fn calls_are_refused_immediately_while_all_services_pause() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 0, apps: 1, ..FleetSpec::default() })
            .await?;
    configure(&fleet, fleet.app_addrs[0], "/admin/rest", Some(RETRY_AFTER)).await?;
    for (method, path) in [(Method::GET, "/rates"), (Method::POST, "/payoff")] {
        let started = Instant::now();
        assert_eq!(call(&fleet, method, path).await?, 503);
        assert!(started.elapsed() < Duration::from_millis(700), "{:?}", started.elapsed());
    }
    assert!(arrival_count(&fleet, fleet.app_addrs[0]).await? <= MAX_SENT);
    Ok(())
}

#[compio::test]
async fn paused_engine_gets_no_generations() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 2, apps: 0, ..FleetSpec::default() })
            .await?;
    check_pause(&fleet, fleet.engine_addrs[0], || chat(&fleet)).await?;
    Ok(())
}

#[compio::test]
async fn leaving_service_gets_no_calls() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 0, apps: 2, ..FleetSpec::default() })
            .await?;
    let send = || call(&fleet, Method::GET, "/rates");
    let statuses = check_leaving(&fleet, fleet.app_addrs[0], send).await?;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    Ok(())
}
