//! Streamed answers of real processes under faults. Each token arrives once, in order and from a
//! single generation.

use std::time::{Duration, Instant};

use hatchpitch_e2e::fleet::{MODEL, WAIT_TIMEOUT};
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_standins::caller::Answer;
use hatchpitch_standins::engine::server::{Fault, LedgerRow};

/// Returns the generations of all engines that respond.
async fn ledgers(fleet: &TestFleet) -> Vec<LedgerRow> {
    let mut rows = Vec::new();
    for i in 0..fleet.engine_addrs.len() {
        rows.extend(fleet.ledger(i).await.unwrap_or_default());
    }
    rows
}

/// Checks that the received tokens are a prefix of exactly one generation.
fn check_tokens(answer: &Answer, generations: &[LedgerRow]) {
    for (i, token) in answer.tokens.iter().enumerate() {
        assert_eq!(token.index, i as u64, "tokens out of order or duplicated");
    }
    let seen: Vec<&str> = answer.tokens.iter().map(|t| t.text.as_str()).collect();
    let sources = generations.iter().filter(|row| {
        row.tokens.len() >= seen.len() && row.tokens.iter().zip(&seen).all(|(a, b)| a == b)
    });
    assert_eq!(sources.count(), 1, "tokens do not come from a single generation");
}

/// Checks that an answer is complete despite a fault of the only engine.
async fn check_complete_despite(fault: Fault, length: usize) -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 1, ..FleetSpec::default() }).await?;
    fleet.set_fault(0, fault).await?;
    let prompt = format!("report len={length}");
    let answer = fleet.caller(0).chat(fleet.entry_addrs[0], MODEL, &prompt, |_| true).await?;
    assert!(answer.complete, "{fault:?}: {:?}", answer.error);
    assert_eq!(answer.tokens.len(), length, "{fault:?}");
    check_tokens(&answer, &ledgers(&fleet).await);
    Ok(())
}

#[compio::test]
async fn broken_link_is_reconnected() -> anyhow::Result<()> {
    check_complete_despite(Fault::Break { after: 10, links: 1 }, 60).await
}

#[compio::test]
async fn stalled_link_is_reconnected() -> anyhow::Result<()> {
    check_complete_despite(Fault::Stall { after: 10, links: 1 }, 60).await
}

#[compio::test]
async fn duplicate_foreign_and_reordered_tokens_are_filtered() -> anyhow::Result<()> {
    for fault in [Fault::Duplicate, Fault::Crossed, Fault::Reorder { at: 5 }] {
        check_complete_despite(fault, 30).await?;
    }
    Ok(())
}

#[compio::test]
async fn engine_crash_before_first_token_is_retried_elsewhere() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec { entry: 1, ..FleetSpec::default() }).await?;
    fleet.set_fault(0, Fault::Die { at: 0 }).await?;
    fleet.set_fault(1, Fault::None).await?;
    for i in 0..4 {
        let prompt = format!("report {i} len=20");
        let answer = fleet.caller(0).chat(fleet.entry_addrs[0], MODEL, &prompt, |_| true).await?;
        assert!(answer.complete, "{:?}", answer.error);
        check_tokens(&answer, &ledgers(&fleet).await);
    }
    Ok(())
}

#[compio::test]
async fn engine_crash_after_a_token_ends_answer_with_typed_error() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 1, ..FleetSpec::default() }).await?;
    fleet.set_fault(0, Fault::Die { at: 10 }).await?;
    let caller = fleet.caller(0);
    let answer = caller.chat(fleet.entry_addrs[0], MODEL, "report len=60", |_| true).await?;
    assert!(!answer.complete);
    assert_eq!(answer.tokens.len(), 10);
    let error = answer.error.expect("a typed error").error;
    assert_eq!(error.kind, "engine_lost");
    assert_eq!(serde_json::to_value(error.outcome)?, "unknown");
    assert!(error.retry_after_ms.is_some());
    Ok(())
}

#[compio::test]
async fn answer_resumes_at_another_box_after_box_crash() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(FleetSpec { engines: 1, ..FleetSpec::default() }).await?;
    let caller = fleet.caller(0);
    let (first, second) = (fleet.entry_addrs[0], fleet.entry_addrs[1]);
    let broken = caller.chat(first, MODEL, "report len=200", |token| {
        if token.index == 30 {
            fleet.entry[0].kill();
        }
        true
    });
    let broken = broken.await?;
    assert!(!broken.complete);
    let answer = caller.resume(second, broken, |_| true).await?;
    assert!(answer.complete, "{:?}", answer.error);
    assert_eq!(answer.tokens.len(), 200);
    check_tokens(&answer, &ledgers(&fleet).await);
    Ok(())
}

#[compio::test]
async fn response_is_not_readable_by_another_workspace() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 1, ..FleetSpec::default() }).await?;
    let at = fleet.entry_addrs[0];
    let own = fleet.caller(0).chat(at, MODEL, "report len=50", |t| t.index < 5).await?;
    let mut stolen = own.clone();
    stolen.tokens.clear();
    let other = fleet.caller(1).resume(at, stolen, |_| true).await?;
    assert_eq!(other.status, 404);
    assert!(other.tokens.is_empty());
    let mut forged = own.clone();
    forged.response.push('0');
    let forged = fleet.caller(0).resume(at, forged, |_| true).await?;
    assert_eq!(forged.status, 404);
    Ok(())
}

#[compio::test]
async fn abandoned_generation_is_cancelled() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec {
        entry: 1,
        engines: 1,
        timing: vec!["resume_window_ms = 200".into()],
        ..FleetSpec::default()
    })
    .await?;
    let caller = fleet.caller(0);
    caller.chat(fleet.entry_addrs[0], MODEL, "report len=3000", |t| t.index < 5).await?;
    let started = Instant::now();
    while !ledgers(&fleet).await.iter().any(|row| row.cancelled) {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the generation was not cancelled");
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

#[compio::test]
async fn leaving_upstream_gets_no_new_work_at_any_box() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec::default()).await?;
    fleet
        .call_standin(fleet.engine_addrs[0], http::Method::POST, "/admin/leave", Default::default())
        .await?;
    for i in 0..3 {
        fleet
            .wait_entry(i, |status| {
                let runners = &status.pools[0].runners;
                runners.iter().any(|r| r.name == "engine-0" && !r.takes_work)
            })
            .await?;
    }
    let before = fleet.ledger(0).await?.len();
    for i in 0..9 {
        let prompt = format!("report {i} len=5");
        let answer =
            fleet.caller(0).chat(fleet.entry_addrs[i % 3], MODEL, &prompt, |_| true).await?;
        assert!(answer.complete);
    }
    assert_eq!(fleet.ledger(0).await?.len(), before);
    Ok(())
}

#[compio::test]
async fn rolling_restart_under_load_loses_no_answers() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(FleetSpec::default()).await?;
    for i in 0..3 {
        let mut tasks = Vec::new();
        for n in 0..6 {
            let caller = fleet.caller(n % 3);
            let at = fleet.entry_addrs[(i + n) % 3];
            let prompt = format!("report {i} {n} len=150");
            tasks.push(compio::runtime::spawn(async move {
                caller.chat(at, MODEL, &prompt, |_| true).await
            }));
        }
        compio::time::sleep(Duration::from_millis(300)).await;
        fleet.entry[i].signal(libc::SIGTERM);
        for task in tasks {
            let answer = task.await.expect("the caller task completed")?;
            assert!(answer.complete, "{:?}", answer.error);
            check_tokens(&answer, &ledgers(&fleet).await);
        }
        assert!(fleet.entry[i].wait_end(WAIT_TIMEOUT).await, "entry-{i} did not exit");
        fleet.entry[i].restart()?;
        fleet.wait_in_force(1).await?;
    }
    Ok(())
}

// The owner of an engine refused the requests that waited for it when it stopped.
#[compio::test]
async fn a_queue_is_refused_when_the_box_that_holds_it_stops() -> anyhow::Result<()> {
    let mut fleet =
        TestFleet::start(FleetSpec { engines: 1, max_batch: 1, ..FleetSpec::default() }).await?;
    // One of the boxes owns the engine.
    for i in 0..3 {
        let mut tasks = Vec::new();
        for n in 0..6 {
            let (caller, at) = (fleet.caller(n % 3), fleet.entry_addrs[n % 3]);
            let prompt = format!("queue {i} {n} len=40");
            tasks.push(compio::runtime::spawn(async move {
                caller.chat(at, MODEL, &prompt, |_| true).await
            }));
        }
        compio::time::sleep(Duration::from_millis(300)).await;
        fleet.entry[i].signal(libc::SIGTERM);
        for task in tasks {
            let answer = task.await.expect("the caller task completed")?;
            assert!(answer.complete, "entry-{i} was stopped: {:?}", answer.error);
        }
        assert!(fleet.entry[i].wait_end(WAIT_TIMEOUT).await, "entry-{i} did not exit");
        fleet.entry[i].restart()?;
        fleet.wait_in_force(1).await?;
    }
    Ok(())
}

#[compio::test]
async fn leaving_box_is_not_listed_to_callers() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec::default()).await?;
    let caller = fleet.caller(0);
    let leaving = fleet.entry_addrs[0];
    fleet.entry[0].signal(libc::SIGTERM);
    let started = Instant::now();
    for other in [fleet.entry_addrs[1], fleet.entry_addrs[2]] {
        loop {
            let discovered = caller.endpoints(other).await?;
            if discovered.endpoints.iter().all(|e| e.addr != leaving) {
                break;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{leaving} is still listed");
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

#[compio::test]
async fn queued_generation_is_not_considered_lost() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec {
        entry: 1,
        engines: 1,
        engine_args: vec!["--max-batch".into(), "1".into()],
        ..FleetSpec::default()
    })
    .await?;
    let mut tasks = Vec::new();
    for i in 0..3 {
        let (caller, at) = (fleet.caller(0), fleet.entry_addrs[0]);
        tasks.push(compio::runtime::spawn(async move {
            caller.chat(at, MODEL, &format!("report {i} len=300"), |_| true).await
        }));
    }
    for task in tasks {
        let answer = task.await.expect("the caller task completed")?;
        assert!(answer.complete, "{:?}", answer.error);
    }
    assert_eq!(ledgers(&fleet).await.len(), 3, "a generation ran twice");
    Ok(())
}

#[compio::test]
async fn answer_of_suspended_box_resumes_at_another_box() -> anyhow::Result<()> {
    // The answer takes seconds after the token at which the box is suspended: a caller that is not
    // scheduled for 1.4 s would read that token after the box has sent the whole answer.
    let engine_args = vec!["--step-us".into(), "40000".into()];
    let spec = FleetSpec { engines: 1, engine_args, ..FleetSpec::default() };
    let fleet = TestFleet::start(spec).await?;
    let caller = fleet.caller(0);
    let broken = caller.chat(fleet.entry_addrs[0], MODEL, "report len=200", |token| {
        if token.index == 30 {
            fleet.entry[0].freeze();
        }
        true
    });
    let broken = broken.await?;
    assert!(!broken.complete);
    let answer = caller.resume(fleet.entry_addrs[1], broken, |_| true).await?;
    assert!(answer.complete, "{:?}", answer.error);
    assert_eq!(answer.tokens.len(), 200);
    check_tokens(&answer, &ledgers(&fleet).await);
    fleet.entry[0].thaw();
    compio::time::sleep(Duration::from_millis(500)).await;
    assert!(
        ledgers(&fleet).await.iter().all(|row| !row.cancelled),
        "the stale reader cancelled the generation"
    );
    Ok(())
}

#[compio::test]
async fn tokens_are_correct_under_scheduled_kills() -> anyhow::Result<()> {
    const REQUESTS: usize = 60;
    let mut fleet = TestFleet::start(FleetSpec { engines: 3, ..FleetSpec::default() }).await?;
    let mut tasks = Vec::new();
    for i in 0..REQUESTS {
        let (caller, entries) = (fleet.caller(i % 3), fleet.entry_addrs.clone());
        tasks.push(compio::runtime::spawn(async move {
            let prompt = format!("report {i} len={}", 40 + i * 7 % 160);
            let mut at = i % 3;
            let mut answer = caller.chat(entries[at], MODEL, &prompt, |_| true).await;
            // If the box crashes, the caller resumes at another box, or starts over if it received
            // no response token.
            for _ in 0..10 {
                let broken = match answer {
                    Ok(answer) if answer.complete || answer.error.is_some() => return Some(answer),
                    Ok(broken) if !broken.response.is_empty() => Some(broken),
                    _ => None,
                };
                compio::time::sleep(Duration::from_millis(100)).await;
                at = (at + 1) % 3;
                answer = match broken {
                    Some(broken) => caller.resume(entries[at], broken, |_| true).await,
                    None => caller.chat(entries[at], MODEL, &prompt, |_| true).await,
                };
            }
            None
        }));
        compio::time::sleep(Duration::from_millis(40)).await;
        // Fixed schedule: boxes are killed in turn, and one engine is killed in between.
        match i {
            10 | 25 | 40 => {
                let victim = i / 15 % 3;
                fleet.entry[victim].kill();
                fleet.entry[victim].restart()?;
            }
            32 => fleet.engines[2].kill(),
            _ => {}
        }
    }
    let mut answers = Vec::new();
    for task in tasks {
        answers.extend(task.await.expect("the caller task completed"));
    }
    let generations = ledgers(&fleet).await;
    let complete = answers.iter().filter(|answer| answer.complete).count();
    for answer in &answers {
        let known = answer.tokens.first().is_some_and(|first| {
            generations.iter().any(|row| row.tokens.first() == Some(&first.text))
        });
        // The ledger of the killed engine is lost, so only the indices of its tokens are checked.
        if known {
            check_tokens(answer, &generations);
        }
        for (i, token) in answer.tokens.iter().enumerate() {
            assert_eq!(token.index, i as u64);
        }
    }
    println!(
        "{complete} of {REQUESTS} answers are complete, {} ended with an error",
        answers.len() - complete
    );
    assert!(complete >= REQUESTS / 2, "{complete} of {REQUESTS}");
    Ok(())
}

#[compio::test]
async fn generations_of_non_reading_callers_are_cancelled() -> anyhow::Result<()> {
    use std::io::{Read as _, Write as _};
    let fleet = TestFleet::start(FleetSpec {
        entry: 1,
        engines: 1,
        engine_args: vec!["--step-us".into(), "200".into(), "--memory".into(), "500000".into()],
        timing: vec!["slow_caller_ms = 500".into(), "resume_window_ms = 100".into()],
        ..FleetSpec::default()
    })
    .await?;
    // Each caller reads the first bytes of the response and then stops, so that buffers fill up.
    let mut callers = Vec::new();
    for i in 0..12 {
        let body = format!(
            "{{\"model\": \"{MODEL}\", \"stream\": true, \"max_tokens\": 4000, \
             \"messages\": [{{\"role\": \"user\", \"content\": \"report {i} len=4000\"}}]}}"
        );
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
             content-length: {}\r\n\r\n",
            fleet.caller(0).key,
            body.len()
        );
        let mut stream = std::net::TcpStream::connect(fleet.entry_addrs[0])?;
        stream.write_all(format!("{head}{body}").as_bytes())?;
        let mut first = [0; 64];
        stream.read_exact(&mut first)?;
        callers.push(stream);
    }
    let started = Instant::now();
    loop {
        let generations = ledgers(&fleet).await;
        let running = generations.iter().filter(|r| !r.cancelled && r.tokens.len() < 4_000).count();
        let status = fleet.entry_status(0).await?;
        if running == 0 && status.streams.is_empty() {
            break;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "{running} generations still running, {:?}",
            status.streams
        );
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    drop(callers);
    Ok(())
}

#[compio::test]
async fn reclaimed_engine_loses_only_unfinished_answers() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(FleetSpec { entry: 2, ..FleetSpec::default() }).await?;
    let mut tasks = Vec::new();
    for i in 0..12 {
        let (caller, at) = (fleet.caller(i % 3), fleet.entry_addrs[i % 2]);
        let prompt = format!("report {i} len={}", if i < 6 { 20 } else { 400 });
        tasks.push(compio::runtime::spawn(async move {
            caller.chat(at, MODEL, &prompt, |_| true).await
        }));
    }
    compio::time::sleep(Duration::from_millis(100)).await;
    let notice = serde_json::to_vec(&1_500)?.into();
    fleet.call_standin(fleet.engine_addrs[0], http::Method::POST, "/admin/reclaim", notice).await?;
    for (i, task) in tasks.into_iter().enumerate() {
        let answer = task.await.expect("the caller task completed")?;
        let engine_lost = answer.error.as_ref().is_some_and(|e| e.error.kind == "engine_lost");
        assert!(answer.complete || engine_lost, "{i}: {answer:?}");
        assert!(answer.complete || i >= 6, "a short answer did not finish within the notice");
    }
    assert!(fleet.engines[0].wait_end(WAIT_TIMEOUT).await);
    let after = fleet.caller(0).chat(fleet.entry_addrs[0], MODEL, "note len=5", |_| true).await?;
    assert!(after.complete, "{:?}", after.error);
    Ok(())
}
