//! Open-loop load: requests come when the trace says so, however slow the answers are.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_standins::caller::{Answer, Caller};

use crate::trace::Arrival;

/// What became of one request.
#[derive(Debug, Clone)]
pub struct Served {
    /// Workspace.
    pub workspace: usize,
    /// Tokens that came.
    pub tokens: u64,
    /// Whether the answer is whole.
    pub complete: bool,
    /// Whether it was refused as not run.
    pub refused: bool,
    /// From the request to the first token.
    pub first_token: Option<Duration>,
    /// Between consecutive tokens.
    pub gaps: Vec<Duration>,
}

/// Plays a trace over the entry boxes and waits for every answer.
pub async fn play(
    trace: &[Arrival],
    entries: &[SocketAddr],
    callers: &[Caller],
    model: &str,
) -> Vec<Served> {
    let started = Instant::now();
    let served = Rc::new(RefCell::new(Vec::with_capacity(trace.len())));
    let mut tasks = Vec::with_capacity(trace.len());
    for (i, arrival) in trace.iter().enumerate() {
        let wait = arrival.at.saturating_sub(started.elapsed());
        compio::time::sleep(wait).await;
        let (caller, at) = (callers[arrival.workspace].clone(), entries[i % entries.len()]);
        let (arrival, model, served) = (arrival.clone(), model.to_owned(), served.clone());
        tasks.push(compio::runtime::spawn(async move {
            let sent = Instant::now();
            let answer = caller.chat(at, &model, &arrival.prompt, |_| true).await;
            let answer = answer.unwrap_or_default();
            served.borrow_mut().push(judge(&arrival, &answer, sent));
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    served.take()
}

fn judge(arrival: &Arrival, answer: &Answer, sent: Instant) -> Served {
    let times: Vec<Instant> = answer.tokens.iter().map(|token| token.at).collect();
    Served {
        workspace: arrival.workspace,
        tokens: times.len() as u64,
        complete: answer.complete && times.len() as u64 == arrival.length,
        refused: answer.status == 503 || answer.status == 429,
        first_token: times.first().map(|at| at.duration_since(sent)),
        gaps: times.windows(2).map(|pair| pair[1].duration_since(pair[0])).collect(),
    }
}
