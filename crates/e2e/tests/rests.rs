//! Engines and services of the fleet file that ask a box for rest, or say that they leave, on the
//! paths of chat and of calls to applications.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::{Shape, TestFleet};
use http::{HeaderMap, Method};
use serde::Serialize;

const CALLERS: usize = 6;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(60);
/// Rest that is asked for; what the one box may send between half a second after it was asked and
/// its end; and the time until it has been asked and that half second is over.
const REST: &str = "2.5";
const ALLOWED: usize = 2;
const SETTLED: Duration = Duration::from_millis(900);
const LOAD: Duration = Duration::from_millis(1_300);
/// Time within which an upstream that leaves gets no more requests.
const DRAINED: Duration = Duration::from_secs(2);

/// Gives an order to a stand-in.
async fn order<T: Serialize>(
    fleet: &TestFleet,
    at: SocketAddr,
    path: &str,
    value: T,
) -> anyhow::Result<()> {
    let body = Bytes::from(serde_json::to_vec(&value)?);
    fleet.standin(at, Method::POST, path, body).await?;
    Ok(())
}

async fn arrivals(fleet: &TestFleet, at: SocketAddr) -> anyhow::Result<usize> {
    let arrivals: Vec<u64> = fleet.standin_json(at, "/admin/arrivals").await?;
    Ok(arrivals.len())
}

/// Sends requests for a while; returns the statuses.
async fn load<F: Future<Output = anyhow::Result<u16>>>(
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

/// Calls a service once; each call has a key of its own.
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

/// Asks for a short generation.
async fn chat(fleet: &TestFleet) -> anyhow::Result<u16> {
    let answer = fleet.caller(0).chat(fleet.entry_addrs[0], MODEL, "short len=3", |_| true).await?;
    Ok(if answer.error.is_some() { 503 } else { 200 })
}

/// Has the first upstream ask for rest, then none, under this load; returns the statuses.
async fn check_rest<F: Future<Output = anyhow::Result<u16>>>(
    fleet: &TestFleet,
    resting: SocketAddr,
    send: impl Fn() -> F,
) -> anyhow::Result<Vec<u16>> {
    order(fleet, resting, "/admin/rest", Some(REST)).await?;
    let mut statuses = load(SETTLED, &send).await?;
    let before = arrivals(fleet, resting).await?;
    statuses.extend(load(LOAD, &send).await?);
    let sent = arrivals(fleet, resting).await? - before;
    println!("{sent} in a rest");
    anyhow::ensure!(sent <= ALLOWED, "{sent} in a rest");
    // The rest ends, and work comes back.
    order(fleet, resting, "/admin/rest", None::<&str>).await?;
    let before = arrivals(fleet, resting).await?;
    statuses.extend(load(2 * LOAD, &send).await?);
    let sent = arrivals(fleet, resting).await? - before;
    anyhow::ensure!(sent > 2 * ALLOWED, "{sent} after a rest");
    Ok(statuses)
}

/// Has the first upstream say that it leaves; returns the statuses under this load.
async fn check_leaving<F: Future<Output = anyhow::Result<u16>>>(
    fleet: &TestFleet,
    leaver: SocketAddr,
    send: impl Fn() -> F,
) -> anyhow::Result<Vec<u16>> {
    order(fleet, leaver, "/admin/say-leaving", true).await?;
    let mut statuses = load(DRAINED, &send).await?;
    let before = arrivals(fleet, leaver).await?;
    statuses.extend(load(LOAD, &send).await?);
    let sent = arrivals(fleet, leaver).await? - before;
    println!("{sent} to one that leaves");
    anyhow::ensure!(sent <= ALLOWED, "{sent} to one that leaves");
    Ok(statuses)
}

#[compio::test]
async fn a_service_that_asked_for_rest_gets_no_calls() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(Shape { entry: 1, engines: 0, apps: 2, ..Shape::default() }).await?;
    for (method, path) in [(Method::GET, "/rates"), (Method::POST, "/payoff")] {
        let send = || call(&fleet, method.clone(), path);
        let statuses = check_rest(&fleet, fleet.app_addrs[0], send).await?;
        assert!(statuses.iter().all(|status| *status == 200), "{path}: {statuses:?}");
    }
    Ok(())
}

#[compio::test]
async fn calls_that_no_service_wants_are_refused_at_once() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(Shape { entry: 1, engines: 0, apps: 1, ..Shape::default() }).await?;
    order(&fleet, fleet.app_addrs[0], "/admin/rest", Some(REST)).await?;
    for (method, path) in [(Method::GET, "/rates"), (Method::POST, "/payoff")] {
        let started = Instant::now();
        assert_eq!(call(&fleet, method, path).await?, 503);
        assert!(started.elapsed() < Duration::from_millis(700), "{:?}", started.elapsed());
    }
    assert!(arrivals(&fleet, fleet.app_addrs[0]).await? <= ALLOWED);
    Ok(())
}

#[compio::test]
async fn an_engine_that_asked_for_rest_gets_no_generations() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(Shape { entry: 1, engines: 2, apps: 0, ..Shape::default() }).await?;
    check_rest(&fleet, fleet.engine_addrs[0], || chat(&fleet)).await?;
    Ok(())
}

#[compio::test]
async fn a_service_that_says_it_leaves_gets_no_calls() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(Shape { entry: 1, engines: 0, apps: 2, ..Shape::default() }).await?;
    let send = || call(&fleet, Method::GET, "/rates");
    let statuses = check_leaving(&fleet, fleet.app_addrs[0], send).await?;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    Ok(())
}
