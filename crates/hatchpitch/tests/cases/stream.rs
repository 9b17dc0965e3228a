//! Runs a case file on a [`StreamState`], and verifies each step with a [`StreamVerifier`].

use hatchpitch::engine::{EngineEvent, FinishReason};
use hatchpitch::streams::verify::StreamVerifier;
use hatchpitch::streams::{StreamLimits, StreamState, StreamStep};

use super::file::{Case, words};

/// Runs a case and returns the output of each input.
pub fn run(case: &Case) -> Vec<Vec<String>> {
    let limits = StreamLimits { relinks: 2, reruns: 1 };
    let mut state = StreamState::new("g1".into(), "a1".into(), true, limits);
    let mut verifier = StreamVerifier::default();
    // The verifier expects streamed tokens from index 0 on.
    let mut skips_verifier = false;
    let mut outputs = Vec::new();
    for exchange in &case.exchanges {
        let words = words(&exchange.input);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let step = match words.as_slice() {
            ["whole"] => {
                state = StreamState::new("g1".into(), "a1".into(), false, limits);
                skips_verifier = true;
                None
            }
            ["resume", next] => {
                state = StreamState::resume("g1".into(), "a1".into(), number(next), limits);
                skips_verifier = true;
                None
            }
            ["relinked", attempt] => {
                state.relinked((*attempt).to_owned());
                None
            }
            ["rerun", generation, attempt] => {
                state.rerun((*generation).to_owned(), (*attempt).to_owned());
                None
            }
            ["lost"] => Some(state.on_link_lost("lost")),
            ["gone"] => Some(state.on_generation_lost("gone")),
            event => Some(state.on_event(parse(event))),
        };
        if let Some(step) = &step
            && !skips_verifier
        {
            verifier.observe(state.generation(), step).unwrap_or_else(|err| {
                panic!("{}: {err}", case.name);
            });
        }
        outputs.push(step.iter().map(show).collect());
    }
    outputs
}

/// Parses an event of an engine: its kind, the attempt and the fields of the event.
fn parse(words: &[&str]) -> EngineEvent {
    match *words {
        ["token", attempt, index, text] => EngineEvent::Token {
            attempt: attempt.to_owned(),
            index: number(index),
            text: text.to_owned(),
        },
        ["heartbeat", attempt] => EngineEvent::Heartbeat { attempt: attempt.to_owned() },
        ["preempted", attempt] => EngineEvent::Preempted { attempt: attempt.to_owned() },
        ["superseded", attempt] => EngineEvent::Superseded { attempt: attempt.to_owned() },
        ["failed", attempt, cause] => {
            EngineEvent::Failed { attempt: attempt.to_owned(), cause: cause.to_owned() }
        }
        ["done", attempt, tokens] => EngineEvent::Done {
            attempt: attempt.to_owned(),
            tokens: number(tokens),
            reason: FinishReason::Stop,
        },
        _ => panic!("unknown input {words:?}"),
    }
}

fn number(text: &str) -> u64 {
    text.parse().unwrap()
}

fn show(step: &StreamStep) -> String {
    match step {
        StreamStep::Deliver { index, text } => format!("deliver {index} {text}"),
        StreamStep::Nothing => "nothing".to_owned(),
        StreamStep::Preempted => "preempted".to_owned(),
        StreamStep::Drop => "drop".to_owned(),
        StreamStep::Relink { from } => format!("relink from {from}"),
        StreamStep::Rerun => "rerun".to_owned(),
        StreamStep::Finish { tokens, .. } => format!("finish {tokens}"),
        StreamStep::Fail { cause } => format!("fail: {cause}"),
    }
}
