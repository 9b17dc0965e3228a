//! Rate limits announced by engines and services apply across all entry boxes, for generations and
//! for application calls.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use http::{HeaderMap, Method};

/// Number of entry boxes.
const BOXES: usize = 3;
/// Number of concurrent callers, spread evenly over the boxes.
const CALLERS: usize = 4 * BOXES;
/// Pause of a caller between requests.
const PAUSE: Duration = Duration::from_millis(80);
/// Length of the sliding window in which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Time after the first limited request from which the limit has to hold.
const SETTLED_MS: u64 = 1_000;
/// Duration of a load phase.
const LOAD: Duration = Duration::from_secs(7);

/// Returns the largest number of requests in any window of [`WINDOW_MS`] that begins at or after
/// `since`.
fn max_per_window(arrivals: &[u64], since: u64) -> usize {
    let arrivals: Vec<u64> = arrivals.iter().copied().filter(|at| *at >= since).collect();
    let count_from =
        |from: &u64| arrivals.iter().filter(|at| (*from..*from + WINDOW_MS).contains(at)).count();
    arrivals.iter().map(count_from).max().unwrap_or(0)
}

/// Sets the rate limit that a stand-in announces; returns the time of its last request in
/// milliseconds since it started.
async fn set_limit(
    fleet: &TestFleet,
    at: std::net::SocketAddr,
    limit: Option<f64>,
) -> anyhow::Result<u64> {
    let body = Bytes::from(serde_json::to_vec(&limit)?);
    fleet.call_standin(at, Method::POST, "/admin/limit", body).await?;
    let arrivals: Vec<u64> = fleet.get_standin_json(at, "/admin/arrivals").await?;
    Ok(arrivals.last().copied().unwrap_or(0))
}

/// Sends requests to all boxes for the given time; returns the statuses.
async fn run_load<F: Future<Output = anyhow::Result<u16>>>(
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
                compio::time::sleep(PAUSE).await;
            }
            Ok::<_, anyhow::Error>(statuses)
        }
    });
    let callers: Result<Vec<Vec<u16>>, _> = join_all(callers).await.into_iter().collect();
    Ok(callers?.into_iter().flatten().collect())
}

/// Calls a service once with a new idempotency key.
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

/// Requests a short generation; returns 503 if it ended with an error.
async fn chat(fleet: &TestFleet, at: usize) -> anyhow::Result<u16> {
    let answer =
        fleet.caller(0).chat(fleet.entry_addrs[at], MODEL, "short len=3", |_| true).await?;
    Ok(if answer.error.is_some() { 503 } else { 200 })
}

#[compio::test]
async fn application_calls_respect_limits_across_boxes() -> anyhow::Result<()> {
    let spec = FleetSpec { entry: BOXES, engines: 0, apps: 2, ..FleetSpec::default() };
    let fleet = TestFleet::start(spec).await?;
    for (method, path) in [(Method::GET, "/rates"), (Method::POST, "/payoff")] {
        let mut since = Vec::new();
        for at in &fleet.app_addrs {
            since.push(set_limit(&fleet, *at, Some(4.0)).await?);
        }
        let statuses = run_load(LOAD, |at| call(&fleet, at, method.clone(), path)).await?;
        for (at, since) in fleet.app_addrs.iter().zip(since) {
            let arrivals: Vec<u64> = fleet.get_standin_json(*at, "/admin/arrivals").await?;
            let first = arrivals.iter().find(|at| **at > since).copied().unwrap_or(since);
            let most = max_per_window(&arrivals, first + SETTLED_MS);
            println!("{path}: {most} within {WINDOW_MS} ms");
            assert!((8..=29).contains(&most), "{path}: {most} within {WINDOW_MS} ms");
        }
        let refused = statuses.iter().filter(|status| **status == 503).count();
        assert!(refused > statuses.len() / 4, "{path}: {refused} of {}", statuses.len());
        // Once the limits are lifted, every call is served again.
        for at in &fleet.app_addrs {
            set_limit(&fleet, *at, None).await?;
        }
        run_load(LOAD, |at| call(&fleet, at, method.clone(), path)).await?;
        for at in 0..BOXES {
            assert_eq!(call(&fleet, at, method.clone(), path).await?, 200, "{path}");
        }
    }
    Ok(())
}

/// Number of concurrent requests sent to a box after it joined.
const BURST: usize = 24;
/// Number of these that a limit of 2 requests per second lets through immediately, including
/// allowance that other boxes accumulated.
const MAX_IMMEDIATE: usize = 5;
/// Time within which a joining box has to learn the limits known to the others.
const JOIN_TIME: Duration = Duration::from_millis(2_500);

/// A joining box that has not yet learned of a limit must not forward a whole burst of requests.
#[compio::test]
async fn joining_box_learns_limits_before_forwarding_bursts() -> anyhow::Result<()> {
    let spec = FleetSpec { entry: BOXES, engines: 0, apps: 1, ..FleetSpec::default() };
    let mut fleet = TestFleet::start(spec).await?;
    let app = fleet.app_addrs[0];
    set_limit(&fleet, app, Some(2.0)).await?;
    run_load(LOAD / 2, |at| call(&fleet, at, Method::GET, "/rates")).await?;
    for joining in 0..BOXES {
        fleet.entry[joining].kill();
        fleet.entry[joining].restart()?;
        fleet.wait_in_force(1).await?;
        compio::time::sleep(JOIN_TIME).await;
        let before: Vec<u64> = fleet.get_standin_json(app, "/admin/arrivals").await?;
        let burst = (0..BURST).map(|_| call(&fleet, joining, Method::GET, "/rates"));
        for status in join_all(burst).await {
            status?;
        }
        let after: Vec<u64> = fleet.get_standin_json(app, "/admin/arrivals").await?;
        let sent = after.len() - before.len();
        assert!(sent <= MAX_IMMEDIATE, "box {joining}: {sent} of {BURST} were sent immediately");
    }
    Ok(())
}

/// Returns the largest number of requests per window at each engine, counted from [`SETTLED_MS`]
/// after its first request later than `since`.
async fn max_per_window_at_engines(fleet: &TestFleet, since: &[u64]) -> anyhow::Result<Vec<usize>> {
    let mut counts = Vec::new();
    for (at, since) in fleet.engine_addrs.iter().zip(since) {
        let arrivals: Vec<u64> = fleet.get_standin_json(*at, "/admin/arrivals").await?;
        let first = arrivals.iter().find(|at| *at > since).copied().unwrap_or(*since);
        counts.push(max_per_window(&arrivals, first + SETTLED_MS));
    }
    println!("generations: {counts:?} within {WINDOW_MS} ms");
    Ok(counts)
}

/// Sets the rate limit of every engine; returns the time of the last request at each.
async fn set_engine_limits(fleet: &TestFleet, limit: Option<f64>) -> anyhow::Result<Vec<u64>> {
    let mut since = Vec::new();
    for at in &fleet.engine_addrs {
        since.push(set_limit(fleet, *at, limit).await?);
    }
    Ok(since)
}

#[compio::test]
async fn generations_respect_limits_across_boxes() -> anyhow::Result<()> {
    let spec = FleetSpec { entry: BOXES, engines: 2, apps: 0, ..FleetSpec::default() };
    let fleet = TestFleet::start(spec).await?;
    let since = set_engine_limits(&fleet, Some(3.0)).await?;
    run_load(LOAD, |at| chat(&fleet, at)).await?;
    let most = max_per_window_at_engines(&fleet, &since).await?;
    assert!(most.iter().all(|most| (6..=23).contains(most)), "{most:?}");
    Ok(())
}

/// The owner of an engine learns of a new or lifted limit from the boxes that forward requests.
#[compio::test]
async fn owners_learn_limits_from_other_boxes() -> anyhow::Result<()> {
    let spec = FleetSpec { entry: BOXES, engines: 2, apps: 0, ..FleetSpec::default() };
    let mut fleet = TestFleet::start(spec).await?;
    for box_at in 0..2 {
        // All requests arrive at one box, which may own any number of the engines.
        let since = set_engine_limits(&fleet, Some(3.0)).await?;
        run_load(LOAD, |_| chat(&fleet, box_at)).await?;
        let most = max_per_window_at_engines(&fleet, &since).await?;
        assert!(most.iter().all(|most| (6..=23).contains(most)), "box {box_at}: {most:?}");
        set_engine_limits(&fleet, None).await?;
        run_load(LOAD / 4, |_| chat(&fleet, box_at)).await?;
        let since = set_engine_limits(&fleet, None).await?;
        run_load(LOAD, |_| chat(&fleet, box_at)).await?;
        let most = max_per_window_at_engines(&fleet, &since).await?;
        assert!(most.iter().all(|most| *most > 40), "box {box_at}, limit lifted: {most:?}");
    }
    // Restarted owners have no record of the limits in effect.
    let since = set_engine_limits(&fleet, Some(3.0)).await?;
    run_load(LOAD, |at| chat(&fleet, at)).await?;
    for at in 0..BOXES {
        fleet.entry[at].kill();
        fleet.entry[at].restart()?;
        fleet.wait_in_force(1).await?;
        run_load(LOAD / 2, |_| chat(&fleet, (at + 1) % BOXES)).await?;
    }
    let most = max_per_window_at_engines(&fleet, &since).await?;
    assert!(most.iter().all(|most| *most <= 23), "{most:?}");
    Ok(())
}
