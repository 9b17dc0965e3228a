//! Requests that crash what runs them, on the paths of generations and of calls to applications.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hatchpitch_e2e::fleet::{MODEL, PATIENCE};
use hatchpitch_e2e::{Shape, TestFleet};
use hatchpitch_standins::app::AppFault;
use hatchpitch_standins::engine::server::Fault;
use http::{HeaderMap, Method};

/// Upstreams of a kind, and crashes after which a request is refused.
const UPSTREAMS: usize = 3;
/// Time between two tries of a caller.
const REST: Duration = Duration::from_millis(200);
const QUARANTINED: &str = "quarantined";

/// Calls a service as a caller does that tries again: with the same content, under a key of its
/// own. Returns status and body.
async fn call(
    fleet: &TestFleet,
    at: usize,
    method: &Method,
    path: &str,
    key: &str,
) -> anyhow::Result<(u16, String)> {
    let (caller, addr) = (fleet.caller(0), fleet.entry_addrs[at]);
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", key.parse()?);
    let body = Bytes::from_static(b"{}");
    let path = format!("/apps/calculator{path}");
    let answer = caller.call(addr, method.clone(), &path, headers, body).await?;
    Ok((answer.0.status.as_u16(), String::from_utf8_lossy(&answer.1).into_owned()))
}

/// Asks for a generation; returns the kind of problem that it ended with, if it did.
async fn generate(fleet: &TestFleet, at: usize, prompt: &str) -> anyhow::Result<Option<String>> {
    let answer = fleet.caller(0).chat(fleet.entry_addrs[at], MODEL, prompt, |_| true).await?;
    Ok(answer.error.map(|body| body.error.kind))
}

/// Has a call end all services, and checks that it is refused from then on.
async fn a_call_is_refused(method: Method, path: &str, other: &str) -> anyhow::Result<()> {
    let shape = Shape { entry: 2, engines: 0, apps: UPSTREAMS, ..Shape::default() };
    let mut fleet = TestFleet::start(shape).await?;
    let fault = Bytes::from(serde_json::to_vec(&AppFault::Die)?);
    for addr in fleet.app_addrs.clone() {
        fleet.standin(addr, Method::POST, "/admin/fault", fault.clone()).await?;
    }
    let (status, body) = call(&fleet, 0, &method, path, "first").await?;
    assert_eq!(status, 502, "it ran: {body}");
    let started = Instant::now();
    for at in [0, 1] {
        for n in 0.. {
            let (_, body) = call(&fleet, at, &method, path, &format!("again-{at}-{n}")).await?;
            if body.contains(QUARANTINED) {
                break;
            }
            assert!(started.elapsed() < PATIENCE, "never refused at box {at}: {body}");
            compio::time::sleep(REST).await;
        }
    }
    // The services are back, and would answer.
    for app in &mut fleet.apps {
        app.restart()?;
    }
    for n in 0.. {
        if call(&fleet, 0, &method, other, &format!("other-{n}")).await?.0 == 200 {
            break;
        }
        assert!(started.elapsed() < PATIENCE, "others are not served");
        compio::time::sleep(REST).await;
    }
    for at in [0, 1] {
        let (status, body) = call(&fleet, at, &method, path, &format!("last-{at}")).await?;
        assert!(status == 503 && body.contains("not_run"), "{status} {body}");
    }
    Ok(())
}

#[compio::test]
async fn a_repeatable_call_that_ends_services_is_refused_at_every_box() -> anyhow::Result<()> {
    a_call_is_refused(Method::GET, "/rates?poison", "/rates?other").await
}

#[compio::test]
async fn a_claimed_call_that_ends_services_is_refused_at_every_box() -> anyhow::Result<()> {
    a_call_is_refused(Method::POST, "/payoff?poison", "/payoff?other").await
}

/// Sends a generation to some boxes in turn until it is refused. Engines end under it before and
/// after their first token, which decides whether it is run elsewhere, and begin again.
async fn until_refused(fleet: &mut TestFleet, boxes: &[usize]) -> anyhow::Result<()> {
    let started = Instant::now();
    for round in 0.. {
        let at = boxes[round % boxes.len()];
        let token = (round % 2) as u64 * 3;
        for engine in 0..UPSTREAMS {
            while fleet.set_fault(engine, Fault::Die { at: token }).await.is_err() {
                fleet.engines[engine].restart()?;
                compio::time::sleep(REST).await;
            }
        }
        if generate(fleet, at, "poison len=20").await?.as_deref() == Some(QUARANTINED) {
            break;
        }
        assert!(started.elapsed() < PATIENCE, "never refused");
        compio::time::sleep(REST).await;
    }
    Ok(())
}

#[compio::test]
async fn a_generation_that_ends_engines_is_refused_at_every_box() -> anyhow::Result<()> {
    let shape = Shape { entry: 2, engines: UPSTREAMS, apps: 0, ..Shape::default() };
    let mut fleet = TestFleet::start(shape).await?;
    until_refused(&mut fleet, &[0, 1]).await?;
    let started = Instant::now();
    for engine in &mut fleet.engines {
        engine.restart()?;
    }
    while generate(&fleet, 0, "other len=20").await?.is_some() {
        assert!(started.elapsed() < PATIENCE, "others are not served");
        compio::time::sleep(REST).await;
    }
    for at in [0, 1] {
        let ended = generate(&fleet, at, "poison len=20").await?;
        assert_eq!(ended.as_deref(), Some(QUARANTINED), "box {at}");
    }
    Ok(())
}

#[compio::test]
async fn without_control_boxes_a_box_goes_by_what_it_saw_itself() -> anyhow::Result<()> {
    let shape = Shape { entry: 2, engines: UPSTREAMS, apps: 0, ..Shape::default() };
    let mut fleet = TestFleet::start(shape).await?;
    for control in &mut fleet.control {
        control.kill();
    }
    until_refused(&mut fleet, &[0]).await
}
