//! Limits that engines and services of the fleet file name, on the paths of chat and of calls to
//! applications.

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
const LOAD: Duration = Duration::from_secs(7);

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
    time: Duration,
    send: impl Fn(usize) -> F,
) -> anyhow::Result<Vec<u16>> {
    let started = Instant::now();
    let callers = (0..CALLERS).map(|caller| {
        let send = &send;
        async move {
            let mut statuses = Vec::new();
            while started.elapsed() < time {
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
        let statuses = load(LOAD, |at| call(&fleet, at, method.clone(), path)).await?;
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
        load(LOAD, |at| call(&fleet, at, method.clone(), path)).await?;
        for at in 0..BOXES {
            assert_eq!(call(&fleet, at, method.clone(), path).await?, 200, "{path}");
        }
    }
    Ok(())
}

/// Requests that come to a box at one time as soon as it serves, and how many of them a limit of 2 a
/// second lets through at once, with those that others saved up.
const BURST: usize = 24;
const MOST_AT_ONCE: usize = 5;
/// Time after which a box that has joined must know what the others do.
const JOINED: Duration = Duration::from_millis(2_500);

/// A box that has no answer yet must not send all that callers bring it at once.
#[compio::test]
async fn a_box_that_joins_is_told_of_limits_before_it_sends() -> anyhow::Result<()> {
    let shape = Shape { entry: BOXES, engines: 0, apps: 1, ..Shape::default() };
    let mut fleet = TestFleet::start(shape).await?;
    let app = fleet.app_addrs[0];
    name_limit(&fleet, app, Some(2.0)).await?;
    load(LOAD / 2, |at| call(&fleet, at, Method::GET, "/rates")).await?;
    for joining in 0..BOXES {
        fleet.entry[joining].kill();
        fleet.entry[joining].restart()?;
        fleet.wait_in_force(1).await?;
        compio::time::sleep(JOINED).await;
        let before: Vec<u64> = fleet.standin_json(app, "/admin/arrivals").await?;
        let burst = (0..BURST).map(|_| call(&fleet, joining, Method::GET, "/rates"));
        for status in join_all(burst).await {
            status?;
        }
        let after: Vec<u64> = fleet.standin_json(app, "/admin/arrivals").await?;
        let sent = after.len() - before.len();
        assert!(sent <= MOST_AT_ONCE, "box {joining}: {sent} of {BURST} were sent at once");
    }
    Ok(())
}

/// Returns the most requests that reached each engine within the window, since it named a limit.
async fn most_at_engines(fleet: &TestFleet, since: &[u64]) -> anyhow::Result<Vec<usize>> {
    let mut found = Vec::new();
    for (at, since) in fleet.engine_addrs.iter().zip(since) {
        let arrivals: Vec<u64> = fleet.standin_json(*at, "/admin/arrivals").await?;
        let begun = arrivals.iter().find(|at| *at > since).copied().unwrap_or(*since);
        found.push(most(&arrivals, begun + SETTLED_MS));
    }
    println!("generations: {found:?} within {WINDOW_MS} ms");
    Ok(found)
}

async fn name_at_engines(fleet: &TestFleet, limit: Option<f64>) -> anyhow::Result<Vec<u64>> {
    let mut since = Vec::new();
    for at in &fleet.engine_addrs {
        since.push(name_limit(fleet, *at, limit).await?);
    }
    Ok(since)
}

#[compio::test]
async fn generations_keep_limits_over_all_boxes() -> anyhow::Result<()> {
    let shape = Shape { entry: BOXES, engines: 2, apps: 0, ..Shape::default() };
    let fleet = TestFleet::start(shape).await?;
    let since = name_at_engines(&fleet, Some(3.0)).await?;
    load(LOAD, |at| chat(&fleet, at)).await?;
    let most = most_at_engines(&fleet, &since).await?;
    assert!(most.iter().all(|most| (6..=23).contains(most)), "{most:?}");
    Ok(())
}

/// The owner of an engine hears of a limit and of its end from the boxes that have the requests.
#[compio::test]
async fn owners_hear_what_engines_tell_other_boxes() -> anyhow::Result<()> {
    let shape = Shape { entry: BOXES, engines: 2, apps: 0, ..Shape::default() };
    let mut fleet = TestFleet::start(shape).await?;
    for box_at in 0..2 {
        // All requests come in at one box, which owns some of the engines or none.
        let since = name_at_engines(&fleet, Some(3.0)).await?;
        load(LOAD, |_| chat(&fleet, box_at)).await?;
        let most = most_at_engines(&fleet, &since).await?;
        assert!(most.iter().all(|most| (6..=23).contains(most)), "box {box_at}: {most:?}");
        name_at_engines(&fleet, None).await?;
        load(LOAD / 4, |_| chat(&fleet, box_at)).await?;
        let since = name_at_engines(&fleet, None).await?;
        load(LOAD, |_| chat(&fleet, box_at)).await?;
        let most = most_at_engines(&fleet, &since).await?;
        assert!(most.iter().all(|most| *most > 40), "box {box_at}, ended: {most:?}");
    }
    // Owners that start again know nothing of the limits that hold.
    let since = name_at_engines(&fleet, Some(3.0)).await?;
    load(LOAD, |at| chat(&fleet, at)).await?;
    for at in 0..BOXES {
        fleet.entry[at].kill();
        fleet.entry[at].restart()?;
        fleet.wait_in_force(1).await?;
        load(LOAD / 2, |_| chat(&fleet, (at + 1) % BOXES)).await?;
    }
    let most = most_at_engines(&fleet, &since).await?;
    assert!(most.iter().all(|most| *most <= 23), "{most:?}");
    Ok(())
}
