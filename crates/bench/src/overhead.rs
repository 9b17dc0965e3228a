//! Latency that an idle system adds to the first token and to each further token, compared with
//! calling the engine directly.

use std::time::{Duration, Instant};

use hatchpitch::engine::adapter;
use hatchpitch::engine::{EngineEvent, GenerateRequest};
use hatchpitch::reachability::UpstreamClient;
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_net::{MemoryBudget, Upstream};

use crate::report::{histogram, millis, print_table};

/// Number of tokens of each answer.
const ANSWER_TOKENS: usize = 30;

/// Latencies of one access path.
#[derive(Default)]
struct Latencies {
    first_token: Vec<Duration>,
    gaps: Vec<Duration>,
}

/// Alternates between both paths and prints the quantiles of their latencies.
///
/// # Errors
///
/// Returns an error if the fleet does not start or an answer is incomplete.
pub async fn run(answers: usize) -> anyhow::Result<()> {
    let shape = FleetSpec { control: 1, entry: 3, engines: 1, apps: 0, ..FleetSpec::default() };
    let fleet = TestFleet::start(shape).await?;
    let (mut direct, mut proxied) = (Latencies::default(), Latencies::default());
    for i in 0..answers {
        let prompt = format!("eligibility {i} len={ANSWER_TOKENS}");
        call_engine(fleet.engine_addrs[0], &prompt, &mut direct).await?;
        let sent = Instant::now();
        let at = fleet.entry_addrs[i % 3];
        let answer = fleet.caller(0).chat(at, MODEL, &prompt, |_| true).await?;
        anyhow::ensure!(answer.complete, "incomplete answer: {:?}", answer.error);
        let times: Vec<Instant> = answer.tokens.iter().map(|token| token.at).collect();
        proxied.add(sent, &times);
    }
    print_results(&direct, &proxied);
    Ok(())
}

impl Latencies {
    fn add(&mut self, sent: Instant, times: &[Instant]) {
        self.first_token.extend(times.first().map(|at| at.duration_since(sent)));
        self.gaps.extend(times.windows(2).map(|pair| pair[1].duration_since(pair[0])));
    }
}

async fn call_engine(
    addr: std::net::SocketAddr,
    prompt: &str,
    times: &mut Latencies,
) -> anyhow::Result<()> {
    let upstream = Upstream { addr, connect_timeout: Duration::from_secs(1), source: None };
    let upstream = UpstreamClient::direct(upstream, MemoryBudget::default());
    let id = hatchpitch::ids::new_id();
    let req = GenerateRequest {
        generation: id.clone(),
        attempt: id,
        model: MODEL.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: 4_000,
        priority: 9,
        seed: None,
    };
    let sent = Instant::now();
    let mut reader =
        adapter::generate(&upstream, &req, "", Duration::from_secs(5), &|_| {}).await?;
    let mut arrivals = Vec::new();
    while let Some(event) = reader.next().await? {
        match event {
            EngineEvent::Token { .. } => arrivals.push(Instant::now()),
            EngineEvent::Done { .. } => break,
            _ => {}
        }
    }
    times.add(sent, &arrivals);
    Ok(())
}

fn print_results(direct: &Latencies, proxied: &Latencies) {
    let mut rows = Vec::new();
    for (name, times) in [("direct", direct), ("through", proxied)] {
        let first = histogram(times.first_token.iter().copied());
        let gaps = histogram(times.gaps.iter().copied());
        rows.push(vec![
            name.to_owned(),
            format!("{:.2}", millis(&first, 0.5)),
            format!("{:.2}", millis(&first, 0.99)),
            format!("{:.2}", millis(&gaps, 0.5)),
            format!("{:.2}", millis(&gaps, 0.99)),
        ]);
    }
    println!(
        "times in ms, {} answers of {ANSWER_TOKENS} tokens each way",
        direct.first_token.len()
    );
    print_table(&["way", "first token p50", "p99", "token gap p50", "p99"], &rows);
}
