//! Open-loop load generator: requests are sent at the times of the trace, regardless of how long
//! earlier answers take.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_standins::caller::{Answer, Caller};

use crate::trace::Arrival;

/// Result of one request.
#[derive(Debug, Clone)]
pub struct RequestResult {
    /// Workspace, as an index into the fleet's workspaces.
    pub workspace: usize,
    /// Number of tokens received.
    pub tokens: u64,
    /// Whether the answer ended with the expected number of tokens.
    pub complete: bool,
    /// Whether the request was refused without being run.
    pub refused: bool,
    /// Time from the request to the first token.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
}

/// Sends the requests of a trace to the entry boxes in turn and waits for every answer.
pub async fn replay(
    trace: &[Arrival],
    entries: &[SocketAddr],
    callers: &[Caller],
    model: &str,
) -> Vec<RequestResult> {
    let started = Instant::now();
    let results = Rc::new(RefCell::new(Vec::with_capacity(trace.len())));
    let mut tasks = Vec::with_capacity(trace.len());
    for (i, arrival) in trace.iter().enumerate() {
        let wait = arrival.at.saturating_sub(started.elapsed());
        compio::time::sleep(wait).await;
        let (caller, at) = (callers[arrival.workspace].clone(), entries[i % entries.len()]);
        let (arrival, model, results) = (arrival.clone(), model.to_owned(), results.clone());
        tasks.push(compio::runtime::spawn(async move {
            let sent = Instant::now();
            let answer = caller.chat(at, &model, &arrival.prompt, |_| true).await;
            let answer = answer.unwrap_or_default();
            results.borrow_mut().push(summarize(&arrival, &answer, sent));
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    results.take()
}

fn summarize(arrival: &Arrival, answer: &Answer, sent: Instant) -> RequestResult {
    let times: Vec<Instant> = answer.tokens.iter().map(|token| token.at).collect();
    RequestResult {
        workspace: arrival.workspace,
        tokens: times.len() as u64,
        complete: answer.complete && times.len() as u64 == arrival.length,
        refused: answer.status == 503 || answer.status == 429,
        first_token: times.first().map(|at| at.duration_since(sent)),
        gaps: times.windows(2).map(|pair| pair[1].duration_since(pair[0])).collect(),
    }
}
