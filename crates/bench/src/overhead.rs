//! What an idle system adds to the first token and to each token, against the engine directly.

use std::time::{Duration, Instant};

use hatchpitch::engine::adapter;
use hatchpitch::engine::{EngineEvent, GenerateRequest};
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_net::Upstream;

use crate::report::{histogram, millis, table};

/// Tokens of each answer.
const LENGTH: usize = 30;

/// Times of one way of asking.
#[derive(Default)]
struct Times {
    first: Vec<Duration>,
    gaps: Vec<Duration>,
}

/// Asks both ways in turn and prints the quantiles.
///
/// # Errors
///
/// Returns an error if the fleet does not start or an answer breaks off.
pub async fn run(answers: usize) -> anyhow::Result<()> {
    let shape = FleetSpec { control: 1, entry: 3, engines: 1, apps: 0, ..FleetSpec::default() };
    let fleet = TestFleet::start(shape).await?;
    let (mut direct, mut through) = (Times::default(), Times::default());
    for i in 0..answers {
        let prompt = format!("eligibility {i} len={LENGTH}");
        ask_direct(fleet.engine_addrs[0], &prompt, &mut direct).await?;
        let sent = Instant::now();
        let at = fleet.entry_addrs[i % 3];
        let answer = fleet.caller(0).chat(at, MODEL, &prompt, |_| true).await?;
        anyhow::ensure!(answer.complete, "an answer broke off: {:?}", answer.error);
        let times: Vec<Instant> = answer.tokens.iter().map(|token| token.at).collect();
        through.add(sent, &times);
    }
    show(&direct, &through);
    Ok(())
}

impl Times {
    fn add(&mut self, sent: Instant, times: &[Instant]) {
        self.first.extend(times.first().map(|at| at.duration_since(sent)));
        self.gaps.extend(times.windows(2).map(|pair| pair[1].duration_since(pair[0])));
    }
}

async fn ask_direct(
    addr: std::net::SocketAddr,
    prompt: &str,
    times: &mut Times,
) -> anyhow::Result<()> {
    let upstream = Upstream { addr, connect_timeout: Duration::from_secs(1) };
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
    let mut came = Vec::new();
    while let Some(event) = reader.next().await? {
        match event {
            EngineEvent::Token { .. } => came.push(Instant::now()),
            EngineEvent::Done { .. } => break,
            _ => {}
        }
    }
    times.add(sent, &came);
    Ok(())
}

fn show(direct: &Times, through: &Times) {
    let mut rows = Vec::new();
    for (name, times) in [("direct", direct), ("through", through)] {
        let first = histogram(times.first.iter().copied());
        let gaps = histogram(times.gaps.iter().copied());
        rows.push(vec![
            name.to_owned(),
            format!("{:.2}", millis(&first, 0.5)),
            format!("{:.2}", millis(&first, 0.99)),
            format!("{:.2}", millis(&gaps, 0.5)),
            format!("{:.2}", millis(&gaps, 0.99)),
        ]);
    }
    println!("times in ms, {} answers of {LENGTH} tokens each way", direct.first.len());
    table(&["way", "first token p50", "p99", "token gap p50", "p99"], &rows);
}
