//! Requests that crash upstreams are quarantined, for generations and for application calls.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hatchpitch_e2e::fleet::{MODEL, WAIT_TIMEOUT};
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_standins::app::AppFault;
use hatchpitch_standins::engine::server::Fault;
use http::{HeaderMap, Method};

/// Number of upstreams of each kind, which is also the number of crashes that quarantine a request.
const UPSTREAMS: usize = 3;
/// Pause of a caller between retries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Error type of a quarantined request.
const QUARANTINED: &str = "quarantined";

/// Calls a service with the same content but a new idempotency key, as a retrying caller does;
/// returns status and body.
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

/// Requests a generation; returns the error type if it failed.
async fn generate(fleet: &TestFleet, at: usize, prompt: &str) -> anyhow::Result<Option<String>> {
    let answer = fleet.caller(0).chat(fleet.entry_addrs[at], MODEL, prompt, |_| true).await?;
    Ok(answer.error.map(|body| body.error.kind))
}

/// Checks that a call that crashes all services is then refused at every box and that other calls
/// are served.
async fn check_crashing_call_is_refused(
    method: Method,
    path: &str,
    other: &str,
) -> anyhow::Result<()> {
    let spec = FleetSpec { entry: 2, engines: 0, apps: UPSTREAMS, ..FleetSpec::default() };
    let mut fleet = TestFleet::start(spec).await?;
    let fault = Bytes::from(serde_json::to_vec(&AppFault::Die)?);
    for addr in fleet.app_addrs.clone() {
        fleet.call_standin(addr, Method::POST, "/admin/fault", fault.clone()).await?;
    }
    let (status, body) = call(&fleet, 0, &method, path, "first").await?;
    assert_eq!(status, 502, "the call was not run: {body}");
    let started = Instant::now();
    for at in [0, 1] {
        for n in 0.. {
            let (_, body) = call(&fleet, at, &method, path, &format!("again-{at}-{n}")).await?;
            if body.contains(QUARANTINED) {
                break;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "not refused at box {at}: {body}");
            compio::time::sleep(RETRY_PAUSE).await;
        }
    }
    // After the restart the services could respond to the call again.
    for app in &mut fleet.apps {
        app.restart()?;
    }
    for n in 0.. {
        if call(&fleet, 0, &method, other, &format!("other-{n}")).await?.0 == 200 {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "other requests are not served");
        compio::time::sleep(RETRY_PAUSE).await;
    }
    for at in [0, 1] {
        let (status, body) = call(&fleet, at, &method, path, &format!("last-{at}")).await?;
        assert!(status == 503 && body.contains("not_run"), "{status} {body}");
    }
    Ok(())
}

#[compio::test]
async fn repeatable_call_that_crashes_services_is_refused_at_every_box() -> anyhow::Result<()> {
    check_crashing_call_is_refused(Method::GET, "/rates?poison", "/rates?other").await
}

#[compio::test]
async fn claimed_call_that_crashes_services_is_refused_at_every_box() -> anyhow::Result<()> {
    check_crashing_call_is_refused(Method::POST, "/payoff?poison", "/payoff?other").await
}

/// Sends a generation to `boxes` in turn until it is refused.
///
/// Engines crash alternately before the first token, after which the generation is retried on
/// another engine, and after it, when it is not. Crashed engines are restarted.
async fn generate_until_refused(fleet: &mut TestFleet, boxes: &[usize]) -> anyhow::Result<()> {
    let started = Instant::now();
    for round in 0.. {
        let at = boxes[round % boxes.len()];
        let crash_at = (round % 2) as u64 * 3;
        for engine in 0..UPSTREAMS {
            while fleet.set_fault(engine, Fault::Die { at: crash_at }).await.is_err() {
                fleet.engines[engine].restart()?;
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
        if generate(fleet, at, "poison len=20").await?.as_deref() == Some(QUARANTINED) {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "the generation was not refused");
        compio::time::sleep(RETRY_PAUSE).await;
    }
    Ok(())
}

#[compio::test]
async fn generation_that_crashes_engines_is_refused_at_every_box() -> anyhow::Result<()> {
    let spec = FleetSpec { entry: 2, engines: UPSTREAMS, apps: 0, ..FleetSpec::default() };
    let mut fleet = TestFleet::start(spec).await?;
    generate_until_refused(&mut fleet, &[0, 1]).await?;
    let started = Instant::now();
    for engine in &mut fleet.engines {
        engine.restart()?;
    }
    while generate(&fleet, 0, "other len=20").await?.is_some() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "other requests are not served");
        compio::time::sleep(RETRY_PAUSE).await;
    }
    for at in [0, 1] {
        let ended = generate(&fleet, at, "poison len=20").await?;
        assert_eq!(ended.as_deref(), Some(QUARANTINED), "box {at}");
    }
    Ok(())
}

#[compio::test]
async fn without_control_boxes_local_crash_evidence_applies() -> anyhow::Result<()> {
    let spec = FleetSpec { entry: 2, engines: UPSTREAMS, apps: 0, ..FleetSpec::default() };
    let mut fleet = TestFleet::start(spec).await?;
    for control in &mut fleet.control {
        control.kill();
    }
    generate_until_refused(&mut fleet, &[0]).await
}
