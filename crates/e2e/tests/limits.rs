//! Limits that engines and services of the fleet file name, on the paths of chat and of calls to
//! applications. As on the relay, nothing read them: each box gave each upstream its share, and a
//! service that named 4 requests a second got 300 within 4 s, an engine that named 3 got 242.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::{Shape, TestFleet};
use http::{HeaderMap, Method};

/// Entry boxes, and callers before each of them.
const BOXES: usize = 3;
const CALLERS: usize = 4 * BOXES;
/// Rest of a caller between two requests.
const REST: Duration = Duration::from_millis(80);
/// Time over which a limit is counted, and time after which it binds.
const WINDOW_MS: u64 = 4_000;
const SETTLED_MS: u64 = 1_000;
const LOAD: Duration = Duration::from_secs(8);

/// Returns the most requests within the window, from `since` on.
fn most(arrivals: &[u64], since: u64) -> usize {
    let arrivals: Vec<u64> = arrivals.iter().copied().filter(|at| *at >= since).collect();
    let after =
        |from: &u64| arrivals.iter().filter(|at| (*from..*from + WINDOW_MS).contains(at)).count();
    arrivals.iter().map(after).max().unwrap_or(0)
}

/// Has a stand-in name a limit; returns the time of its last request by its own clock.
async fn name_limit(
    fleet: &TestFleet,
    at: std::net::SocketAddr,
    limit: Option<f64>,
) -> anyhow::Result<u64> {
    let body = Bytes::from(serde_json::to_vec(&limit)?);
    fleet.standin(at, Method::POST, "/admin/limit", body).await?;
    let arrivals: Vec<u64> = fleet.standin_json(at, "/admin/arrivals").await?;
    Ok(arrivals.last().copied().unwrap_or(0))
}

/// Sends requests to all boxes for a while; returns the statuses.
async fn load<F: Future<Output = anyhow::Result<u16>>>(
    send: impl Fn(usize) -> F,
) -> anyhow::Result<Vec<u16>> {
    let started = Instant::now();
    let callers = (0..CALLERS).map(|caller| {
        let send = &send;
        async move {
            let mut statuses = Vec::new();
            while started.elapsed() < LOAD {
                statuses.push(send(caller % BOXES).await?);
                compio::time::sleep(REST).await;
            }
            Ok::<_, anyhow::Error>(statuses)
        }
    });
    let callers: Result<Vec<Vec<u16>>, _> = join_all(callers).await.into_iter().collect();
    Ok(callers?.into_iter().flatten().collect())
}

/// Calls a service once; each call has a key of its own.
async fn call(fleet: &TestFleet, at: usize, method: Method, path: &str) -> anyhow::Result<u16> {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", hatchpitch::ids::new_id().parse()?);
    let path = format!("/apps/calculator{path}");
    let addr = fleet.entry_addrs[at];
    let (caller, body) = (fleet.caller(0), Bytes::from_static(b"{}"));
    let (parts, body) = caller.call(addr, method, &path, headers, body).await?;
    let refused = parts.status == 503;
    anyhow::ensure!(!refused || parts.headers.contains_key("retry-after"), "{body:?}");
    Ok(parts.status.as_u16())
}

/// Asks for a short generation.
async fn chat(fleet: &TestFleet, at: usize) -> anyhow::Result<u16> {
    let answer =
        fleet.caller(0).chat(fleet.entry_addrs[at], MODEL, "short len=3", |_| true).await?;
    Ok(if answer.error.is_some() { 503 } else { 200 })
}

#[compio::test]
async fn calls_to_applications_keep_limits_over_all_boxes() -> anyhow::Result<()> {
    let shape = Shape { entry: BOXES, engines: 0, apps: 2, ..Shape::default() };
    let fleet = TestFleet::start(shape).await?;
    for (method, path) in [(Method::GET, "/rates"), (Method::POST, "/payoff")] {
        let mut since = Vec::new();
        for at in &fleet.app_addrs {
            since.push(name_limit(&fleet, *at, Some(4.0)).await?);
        }
        let statuses = load(|at| call(&fleet, at, method.clone(), path)).await?;
        for (at, since) in fleet.app_addrs.iter().zip(since) {
            let arrivals: Vec<u64> = fleet.standin_json(*at, "/admin/arrivals").await?;
            let begun = arrivals.iter().find(|at| **at > since).copied().unwrap_or(since);
            let most = most(&arrivals, begun + SETTLED_MS);
            println!("{path}: {most} within {WINDOW_MS} ms");
            assert!((8..=29).contains(&most), "{path}: {most} within {WINDOW_MS} ms");
        }
        let refused = statuses.iter().filter(|status| **status == 503).count();
        assert!(refused > statuses.len() / 4, "{path}: {refused} of {}", statuses.len());
        // The limits end, and all is served again.
        for at in &fleet.app_addrs {
            name_limit(&fleet, *at, None).await?;
        }
        load(|at| call(&fleet, at, method.clone(), path)).await?;
        for at in 0..BOXES {
            assert_eq!(call(&fleet, at, method.clone(), path).await?, 200, "{path}");
        }
    }
    Ok(())
}

#[compio::test]
async fn generations_keep_limits_over_all_boxes() -> anyhow::Result<()> {
    let shape = Shape { entry: BOXES, engines: 2, apps: 0, ..Shape::default() };
    let fleet = TestFleet::start(shape).await?;
    let mut since = Vec::new();
    for at in &fleet.engine_addrs {
        since.push(name_limit(&fleet, *at, Some(3.0)).await?);
    }
    load(|at| chat(&fleet, at)).await?;
    for (at, since) in fleet.engine_addrs.iter().zip(since) {
        let arrivals: Vec<u64> = fleet.standin_json(*at, "/admin/arrivals").await?;
        let begun = arrivals.iter().find(|at| **at > since).copied().unwrap_or(since);
        let most = most(&arrivals, begun + SETTLED_MS);
        println!("generations: {most} within {WINDOW_MS} ms");
        assert!((6..=23).contains(&most), "{most} within {WINDOW_MS} ms");
    }
    Ok(())
}
