//! Generations of real processes whose engine streams have neither a length nor chunks, and end with
//! their connection.

use bytes::Bytes;
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_standins::caller::{Answer, BodyEnd, Received};
use hatchpitch_standins::engine::server::{Fault, LedgerRow, StreamEnding};
use http::{HeaderMap, Method};
use serde_json::Value;

/// Number of tokens of each answer.
const TOKENS: u64 = 30;
const ENGINES: usize = 2;
/// Number of streams that is never reached in a test.
const ALL_LINKS: u32 = 10_000;
/// Endings before the last event of a stream.
const EARLY: [StreamEnding; 3] =
    [StreamEnding::BetweenLines, StreamEnding::InsideLine, StreamEnding::Reset];
/// Indices of the first token that is not sent; at the last one, only the final event is missing.
const AFTER: [u64; 3] = [1, 10, TOKENS];

async fn start() -> anyhow::Result<TestFleet> {
    TestFleet::start(FleetSpec { entry: 1, engines: ENGINES, ..FleetSpec::default() }).await
}

/// Makes the next `links` streams of each engine end like this.
async fn set_ending(
    fleet: &TestFleet,
    ending: StreamEnding,
    after: u64,
    links: u32,
) -> anyhow::Result<()> {
    for engine in 0..ENGINES {
        fleet.set_fault(engine, Fault::Unframed { ending, after, links }).await?;
    }
    Ok(())
}

async fn stream(fleet: &TestFleet, prompt: &str) -> anyhow::Result<Answer> {
    fleet.caller(0).chat(fleet.entry_addrs[0], MODEL, prompt, |_| true).await
}

/// Requests an answer that is not streamed.
async fn complete(fleet: &TestFleet, prompt: &str) -> anyhow::Result<Received> {
    let body = serde_json::json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
    });
    let (at, path) = (fleet.entry_addrs[0], "/v1/chat/completions");
    let body = Bytes::from(body.to_string());
    fleet.caller(0).exchange(at, Method::POST, path, HeaderMap::new(), body).await
}

/// Returns the generations with a prompt at all engines.
async fn generations(fleet: &TestFleet, prompt: &str) -> anyhow::Result<Vec<LedgerRow>> {
    let mut rows = Vec::new();
    for engine in 0..ENGINES {
        rows.extend(fleet.ledger(engine).await?);
    }
    rows.retain(|row| row.prompt.contains(prompt));
    Ok(rows)
}

/// Returns the sum of a counter of the entry box.
async fn counter(fleet: &TestFleet, name: &str) -> anyhow::Result<u64> {
    let at = fleet.entry_addrs[0];
    let text = fleet.call_standin(at, Method::GET, "/metrics", Bytes::new()).await?;
    let text = String::from_utf8(text.to_vec())?;
    let lines = text.lines().filter(|line| line.starts_with(&format!("{name}{{")));
    let values = lines.filter_map(|line| line.rsplit(' ').next());
    Ok(values.map(str::parse::<u64>).collect::<Result<Vec<_>, _>>()?.iter().sum())
}

/// Asserts that an answer is whole and comes from the only generation with its prompt.
async fn assert_one_generation(fleet: &TestFleet, prompt: &str, text: &str) -> anyhow::Result<()> {
    let rows = generations(fleet, prompt).await?;
    assert_eq!(rows.len(), 1, "{prompt}: the generation ran again: {rows:?}");
    assert_eq!(rows[0].tokens.len() as u64, TOKENS, "{prompt}");
    assert_eq!(rows[0].tokens.concat(), text, "{prompt}");
    Ok(())
}

fn text_of(received: &Received) -> anyhow::Result<String> {
    let body: Value = serde_json::from_slice(&received.body)?;
    assert_eq!(body["usage"]["completion_tokens"], TOKENS);
    Ok(body["choices"][0]["message"]["content"].as_str().unwrap_or("").to_owned())
}

/// Requests an answer, streamed and not streamed, and asserts that both are whole.
async fn check_whole(
    fleet: &TestFleet,
    name: &str,
    ending: StreamEnding,
    after: u64,
) -> anyhow::Result<()> {
    set_ending(fleet, ending, after, 1).await?;
    let prompt = format!("streamed {name} len={TOKENS}");
    let answer = stream(fleet, &prompt).await?;
    assert!(answer.complete, "{prompt}: {answer:?}");
    assert_eq!(answer.end, BodyEnd::Marked, "{prompt}");
    assert!(answer.tokens.iter().map(|token| token.index).eq(0..TOKENS), "{prompt}: {answer:?}");
    assert_one_generation(fleet, &prompt, &answer.text()).await?;
    set_ending(fleet, ending, after, 1).await?;
    let prompt = format!("collected {name} len={TOKENS}");
    let received = complete(fleet, &prompt).await?;
    assert_eq!((received.head.status.as_u16(), received.end), (200, BodyEnd::Marked), "{prompt}");
    assert_one_generation(fleet, &prompt, &text_of(&received)?).await
}

#[compio::test]
async fn a_stream_that_ends_before_its_last_event_completes_an_answer() -> anyhow::Result<()> {
    let fleet = start().await?;
    for ending in EARLY {
        for after in AFTER {
            set_ending(&fleet, ending, after, ALL_LINKS).await?;
            let prompt = format!("streamed {ending:?} {after} len={TOKENS}");
            let answer = stream(&fleet, &prompt).await?;
            assert!(!answer.complete, "{prompt}: {answer:?}");
            assert_eq!(answer.tokens.len() as u64, after, "{prompt}: {answer:?}");
            let error = answer.error.expect("a typed error").error;
            assert_eq!(error.kind, "engine_lost", "{prompt}");
            assert_eq!(generations(&fleet, &prompt).await?.len(), 1, "{prompt}");
            let prompt = format!("collected {ending:?} {after} len={TOKENS}");
            let received = complete(&fleet, &prompt).await?;
            assert_eq!(received.head.status.as_u16(), 502, "{prompt}: {received:?}");
        }
    }
    assert_eq!(counter(&fleet, "hatchpitch_done_total").await?, 0);
    Ok(())
}

#[compio::test]
async fn a_stream_that_ends_before_its_last_event_is_not_resumed() -> anyhow::Result<()> {
    let fleet = start().await?;
    let mut answers = 0;
    for ending in EARLY {
        for after in AFTER {
            check_whole(&fleet, &format!("{ending:?} {after}"), ending, after).await?;
            answers += 2;
        }
    }
    assert_eq!(counter(&fleet, "hatchpitch_done_total").await?, answers);
    assert_eq!(counter(&fleet, "hatchpitch_relinks_total").await?, answers);
    assert_eq!(counter(&fleet, "hatchpitch_reruns_total").await?, 0);
    Ok(())
}

#[compio::test]
async fn a_whole_stream_without_chunks_is_lost() -> anyhow::Result<()> {
    let fleet = start().await?;
    check_whole(&fleet, "whole", StreamEnding::Whole, 0).await?;
    assert_eq!(counter(&fleet, "hatchpitch_done_total").await?, 2);
    assert_eq!(counter(&fleet, "hatchpitch_relinks_total").await?, 0);
    Ok(())
}
