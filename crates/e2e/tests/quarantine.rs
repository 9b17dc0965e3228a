//! Requests that crash upstreams are quarantined, for generations and for application calls.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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

/// Delay from the end of an unframed response to the crash, and from there to the restart.
const CRASH_AFTER_END: Duration = Duration::from_millis(40);
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Serves calls with responses that have neither a length nor chunks. After the end of that to a
/// call named `poison`, it stops listening for a while, as a service that crashes and is restarted.
/// Counts these crashes.
fn serve_unframed(addr: SocketAddr, crashes: &AtomicUsize, is_done: &AtomicBool) {
    while !is_done.load(Ordering::SeqCst) {
        let listener = TcpListener::bind(addr).unwrap();
        for stream in listener.incoming() {
            if is_done.load(Ordering::SeqCst) {
                return;
            }
            let mut stream = stream.unwrap();
            let mut head = String::new();
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).unwrap_or(0) > 0 {}
            if head.is_empty() {
                // A probe.
                continue;
            }
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part");
            let _ = stream.shutdown(Shutdown::Both);
            if head.contains("poison") {
                crashes.fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(CRASH_AFTER_END);
                break;
            }
        }
        drop(listener);
        std::thread::sleep(RESTART_DELAY);
    }
}

/// Number of crashes that may come while the third one is found and its hold is distributed.
const MAX_MORE_CRASHES: usize = 3;

#[compio::test]
async fn call_that_crashes_services_after_an_unframed_response_is_not_refused() -> anyhow::Result<()>
{
    let spec = FleetSpec { entry: 2, engines: 0, apps: UPSTREAMS, ..FleetSpec::default() };
    let mut fleet = TestFleet::start(spec).await?;
    fleet.apps.iter_mut().for_each(|app| app.kill());
    let (crashes, is_done) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    for addr in fleet.app_addrs.clone() {
        let (crashes, is_done) = (crashes.clone(), is_done.clone());
        std::thread::spawn(move || serve_unframed(addr, &crashes, &is_done));
    }
    let started = Instant::now();
    let (poison, other) = ("/rates?poison", "/rates?other");
    for (round, at) in [0, 1].into_iter().cycle().enumerate() {
        let key = format!("poison-{round}");
        let (_, body) = call(&fleet, at, &Method::GET, poison, &key).await?;
        if body.contains(QUARANTINED) {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "not refused after {crashes:?} crashes: {body}");
        compio::time::sleep(RETRY_PAUSE).await;
    }
    let held_after = crashes.load(Ordering::SeqCst);
    assert!((UPSTREAMS..=UPSTREAMS + MAX_MORE_CRASHES).contains(&held_after), "{held_after}");
    for at in [0, 1] {
        for n in 0.. {
            let key = format!("other-{at}-{n}");
            if call(&fleet, at, &Method::GET, other, &key).await?.0 == 200 {
                break;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "other requests are not served");
            compio::time::sleep(RETRY_PAUSE).await;
        }
        let (status, body) = call(&fleet, at, &Method::GET, poison, &format!("last-{at}")).await?;
        assert!(status == 503 && body.contains(QUARANTINED), "{status} {body}");
    }
    is_done.store(true, Ordering::SeqCst);
    Ok(())
}

/// Requests a chat of a system message and a user message; returns status and body.
async fn chat(
    fleet: &TestFleet,
    at: usize,
    system: &str,
    user: &str,
) -> anyhow::Result<(u16, String)> {
    let messages = serde_json::json!([
        {"role": "system", "content": system},
        {"role": "user", "content": format!("{user} len=20")},
    ]);
    let body = serde_json::json!({"model": MODEL, "messages": messages}).to_string();
    let (caller, addr) = (fleet.caller(0), fleet.entry_addrs[at]);
    let path = "/v1/chat/completions";
    let answer = caller.call(addr, Method::POST, path, HeaderMap::new(), body.into()).await?;
    Ok((answer.0.status.as_u16(), String::from_utf8_lossy(&answer.1).into_owned()))
}

/// Sends chats with the system message `bad`, no two alike, to `boxes` in turn until one is refused.
/// Engines crash before the first token of each; crashed ones are restarted.
async fn chat_until_refused(fleet: &mut TestFleet, boxes: &[usize]) -> anyhow::Result<()> {
    let started = Instant::now();
    for n in 0.. {
        for engine in 0..UPSTREAMS {
            while fleet.set_fault(engine, Fault::Die { at: 0 }).await.is_err() {
                fleet.engines[engine].restart()?;
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
        let at = boxes[n % boxes.len()];
        let (_, body) = chat(fleet, at, "bad", &format!("user {n}")).await?;
        if body.contains(QUARANTINED) {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "not refused: {body}");
        compio::time::sleep(RETRY_PAUSE).await;
    }
    for engine in &mut fleet.engines {
        engine.restart()?;
    }
    Ok(())
}

#[compio::test]
async fn message_that_crashes_engines_is_counted_for_each_chat_alone() -> anyhow::Result<()> {
    let spec = FleetSpec { entry: 2, engines: UPSTREAMS, apps: 0, ..FleetSpec::default() };
    let mut fleet = TestFleet::start(spec).await?;
    chat_until_refused(&mut fleet, &[0, 1]).await?;
    let started = Instant::now();
    while chat(&fleet, 0, "sound", "user 0").await?.0 != 200 {
        assert!(started.elapsed() < WAIT_TIMEOUT, "other chats are not served");
        compio::time::sleep(RETRY_PAUSE).await;
    }
    for at in [0, 1] {
        let (status, body) = chat(&fleet, at, "bad", &format!("another user {at}")).await?;
        assert!(status == 503 && body.contains("part 1 of 2 of the prompt"), "{status} {body}");
        let (status, body) = chat(&fleet, at, "sound", "user 0").await?;
        assert_eq!(status, 200, "{body}");
    }
    Ok(())
}

#[compio::test]
async fn message_that_crashes_engines_is_missed_without_control_boxes() -> anyhow::Result<()> {
    let spec = FleetSpec { entry: 2, engines: UPSTREAMS, apps: 0, ..FleetSpec::default() };
    let mut fleet = TestFleet::start(spec).await?;
    for control in &mut fleet.control {
        control.kill();
    }
    chat_until_refused(&mut fleet, &[0]).await?;
    let (status, body) = chat(&fleet, 0, "bad", "another user").await?;
    assert!(status == 503 && body.contains("part 1 of 2 of the prompt"), "{status} {body}");
    Ok(())
}
