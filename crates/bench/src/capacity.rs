//! Scaling measurements for docs/CAPACITY.md: the cost of each role against the quantities that it
//! grows with.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hatchpitch::admission::memory::{Candidate, EngineMemory, MemoryPolicy};
use hatchpitch::admission::state::Waiter;
use hatchpitch::admission::{AdmissionConfig, AdmissionQueue, LengthModel};
use hatchpitch::config::{ConfigState, FleetView, load_fleet};
use hatchpitch::dispatch::owners::OwnerMap;
use hatchpitch::engine::EngineLoad;
use hatchpitch::membership::{MemberRecord, MemberStatus, Subject};
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::process::Usage;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use http::{HeaderMap, Method};

use crate::report::{histogram, millis, print_table};

/// Time over which idle costs are measured.
const IDLE_WINDOW: Duration = Duration::from_secs(8);
/// Time for a fleet to settle after a start or restart.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Runs every measurement, or only the named one.
///
/// # Errors
///
/// Returns an error if a fleet does not start or if `only` is not the name of a measurement.
pub async fn run(only: Option<&str>) -> anyhow::Result<()> {
    const MEASUREMENTS: [&str; 8] =
        ["decisions", "ownership", "config", "idle", "in-force", "claims", "fail-over", "tokens"];
    if let Some(only) = only.filter(|only| !MEASUREMENTS.contains(only)) {
        anyhow::bail!("unknown measurement {only:?}, expected one of {}", MEASUREMENTS.join(", "));
    }
    for name in MEASUREMENTS.into_iter().filter(|name| only.is_none_or(|only| only == *name)) {
        match name {
            "decisions" => decisions(),
            "ownership" => ownership(),
            "config" => config_bytes()?,
            "idle" => idle().await?,
            "in-force" => in_force().await?,
            "claims" => claims().await?,
            "fail-over" => fail_over().await?,
            _ => tokens().await?,
        }
    }
    Ok(())
}

/// Measures the time of a queue decision against the number of waiting requests, and of a memory
/// decision against the batch size, in nanoseconds.
fn decisions() {
    const ROUNDS: u32 = 20_000;
    let now = Instant::now();
    let mut rows = Vec::new();
    for waiting in [10_u32, 100, 1_000, 10_000] {
        let cfg = AdmissionConfig { max_waiting: 20_000, ..AdmissionConfig::default() };
        let mut queue = AdmissionQueue::new(cfg);
        let waiter = |i: u32| Waiter {
            workspace: format!("w{}", i % 500),
            priority: (i % 9) as u8 + 1,
            cost: u64::from(i % 700) + 20,
            since: now,
            acceptable_wait: Duration::MAX,
        };
        for i in 0..waiting {
            queue.enqueue(waiter(i));
        }
        let started = Instant::now();
        for i in 0..ROUNDS {
            queue.grant(now);
            queue.enqueue(waiter(i));
        }
        let each = started.elapsed() / ROUNDS;
        rows.push(vec![waiting.to_string(), format!("{}", each.as_nanos())]);
    }
    println!("\nqueue: one grant and one arrival");
    print_table(&["waiting", "ns"], &rows);

    let mut rows = Vec::new();
    for batch in [8_u32, 16, 32, 64, 128] {
        let mut lengths = LengthModel::default();
        (0..500_u64).for_each(|i| lengths.observe("w", 8 + i * 3 % 900));
        let mut memory = EngineMemory::default();
        let load = EngineLoad {
            incarnation: 1,
            leaving: false,
            memory_used: 0,
            memory_limit: 1_000_000,
            running: 0,
            waiting: 0,
            preemptions: 0,
        };
        memory.report(&load, now);
        let candidate = Candidate { kind: "w".to_owned(), prompt: 50, max_output: u64::MAX };
        (0..batch).for_each(|i| memory.add(format!("g{i}"), candidate.clone(), now));
        let rounds = 2_000;
        let started = Instant::now();
        for _ in 0..rounds {
            let fits = memory.fits(MemoryPolicy::Survival(3.0), &candidate, &lengths, now);
            std::hint::black_box(fits);
        }
        let each = started.elapsed() / rounds;
        rows.push(vec![batch.to_string(), each.as_nanos().to_string()]);
    }
    println!("\nmemory: whether one more generation fits");
    print_table(&["batch", "ns"], &rows);
}

/// Measures the time to compute the owners of all engines: initially, after a box joined and after
/// a box left.
fn ownership() {
    let mut rows = Vec::new();
    for (boxes, engines) in [(12, 15), (48, 600), (370, 4_600)] {
        let text = pool_fleet_file(engines);
        let mut state = ConfigState::default();
        if let Err(err) = apply(&mut state, &text) {
            println!("ownership: {err}");
            return;
        }
        let view = FleetView::new(&state);
        let records: Vec<MemberRecord> = (0..=boxes).map(member_record).collect();
        let all: Vec<&MemberRecord> = records.iter().collect();
        let mut map = OwnerMap::default();
        let mut times = Vec::new();
        for serving in [&all[..boxes], &all[..], &all[1..]] {
            let started = Instant::now();
            map.set_engines(&view);
            map.update(serving, &records[1]);
            times.push(started.elapsed().as_micros().to_string());
        }
        let mut row = vec![boxes.to_string(), engines.to_string()];
        row.extend(times);
        rows.push(row);
    }
    println!("\nownership of all engines, us");
    print_table(&["boxes", "engines", "at first", "a box came", "a box went"], &rows);
}

fn member_record(i: usize) -> MemberRecord {
    let addr: std::net::SocketAddr = ([127, 0, 0, 1], 1_000 + i as u16).into();
    MemberRecord {
        subject: Subject::Box(format!("box-{i}")),
        incarnation: 1,
        status: MemberStatus::Alive,
        addr,
        box_addr: addr,
        failure_domain: "d".to_owned(),
    }
}

/// Returns a fleet file with one pool of `engines` engines.
fn pool_fleet_file(engines: usize) -> String {
    use std::fmt::Write as _;
    let mut text = String::from(
        "number = 1\n[[failure_domain]]\nname = \"d\"\nregion = \"r\"\n\
         [[pool]]\nname = \"p\"\nmodel = \"m\"\nversion = \"1\"\nmax_tokens = 100\n",
    );
    for i in 0..engines {
        let _ = write!(
            text,
            "[[runner]]\nname = \"engine-{i}\"\npool = \"p\"\naddr = \"127.0.0.1:1\"\n\
             failure_domain = \"d\"\nmax_batch = 8\n"
        );
    }
    text
}

/// Measures the encoded size of a configuration delta against the number of workspaces and the
/// number of missed changes.
fn config_bytes() -> anyhow::Result<()> {
    let mut rows = Vec::new();
    for workspaces in [10_usize, 100, 1_000, 5_500] {
        let mut state = ConfigState::default();
        apply(&mut state, &workspace_fleet_file(1, workspaces, 0))?;
        let missed_changes = [1_u64, 10, 100, 1_000];
        let mut cells = vec![workspaces.to_string()];
        let mut number = 1;
        let mut delta_time = Duration::ZERO;
        for count in missed_changes {
            let have = number;
            let changes = count.min(if workspaces > 1_000 { 20 } else { 100 });
            for i in 0..changes {
                number += 1;
                apply(&mut state, &workspace_fleet_file(number, workspaces, i as usize + 1))?;
            }
            let started = Instant::now();
            let (snapshot, delta) = state.delta_since(have);
            delta_time = delta_time.max(started.elapsed());
            assert!(!snapshot);
            cells.push(format!("{}", encoded_len(&delta)));
        }
        let (_, all) = state.delta_since(0);
        cells.push(encoded_len(&all).to_string());
        cells.push(delta_time.as_micros().to_string());
        rows.push(cells);
    }
    println!(
        "\nconfiguration: bytes of the delta after changes of one workspace's priority \
         (at most 100 changes, 20 at 5,500 workspaces), of a snapshot, and time to make a delta"
    );
    print_table(&["workspaces", "1", "10", "100", "1000 (100/20)", "snapshot", "us"], &rows);
    Ok(())
}

fn encoded_len<T: serde::Serialize>(value: &T) -> usize {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len())
}

fn apply(state: &mut ConfigState, text: &str) -> anyhow::Result<()> {
    let fleet = load_fleet("fleet", text)?;
    let change = state.prepare(&fleet, "bench").map_err(|o| anyhow::anyhow!("{o:?}"))?;
    state.apply(change);
    Ok(())
}

/// Returns a fleet file in which the priority of the last workspace depends on `revision`.
fn workspace_fleet_file(number: u64, workspaces: usize, revision: usize) -> String {
    use std::fmt::Write as _;
    let mut text = format!("number = {number}\n");
    for i in 0..workspaces {
        let priority = if i + 1 == workspaces { revision % 9 + 1 } else { 5 };
        let _ = write!(
            text,
            "[[workspace]]\nname = \"workspace-{i}\"\npriority = {priority}\n\
             keys = [{{ id = \"k1\", sha256 = \"{:064x}\" }}]\n",
            i + 1
        );
    }
    text
}

fn fleet_shape(entry: usize) -> FleetSpec {
    FleetSpec { control: 3, entry, engines: 2, apps: 0, ..FleetSpec::default() }
}

/// Measures the idle cost of an entry process and of the control leader against the number of entry
/// boxes.
async fn idle() -> anyhow::Result<()> {
    let mut rows = Vec::new();
    for boxes in [3_usize, 6, 12, 24, 48] {
        let fleet = TestFleet::start(fleet_shape(boxes)).await?;
        compio::time::sleep(SETTLE_TIME).await;
        let before = snapshot(&fleet).await?;
        compio::time::sleep(IDLE_WINDOW).await;
        let after = snapshot(&fleet).await?;
        let mut cells = vec![boxes.to_string()];
        for (before, after) in before.iter().zip(&after) {
            cells.extend(before.format_until(after));
        }
        rows.push(cells);
    }
    println!("\nidle: an entry process (mean of all) and the control leader, over {IDLE_WINDOW:?}");
    let header = [
        "boxes",
        "entry cpu %",
        "MB",
        "calls/s",
        "body B/s",
        "leader cpu %",
        "MB",
        "calls/s",
        "body B/s",
    ];
    print_table(&header, &rows);
    Ok(())
}

/// Resource usage of one role, as a mean over its processes.
struct RoleUsage {
    cpu: f64,
    memory: f64,
    calls: f64,
    bytes: f64,
    at: Instant,
}

impl RoleUsage {
    /// Formats the usage between two snapshots: CPU percentage, memory in megabytes, and calls and
    /// body bytes per second.
    fn format_until(&self, after: &Self) -> Vec<String> {
        let seconds = after.at.duration_since(self.at).as_secs_f64();
        vec![
            format!("{:.2}", (after.cpu - self.cpu) / seconds * 100.0),
            format!("{:.1}", after.memory / 1e6),
            format!("{:.1}", (after.calls - self.calls) / seconds),
            format!("{:.0}", (after.bytes - self.bytes) / seconds),
        ]
    }
}

async fn snapshot(fleet: &TestFleet) -> anyhow::Result<[RoleUsage; 2]> {
    let mut entries = Vec::new();
    for (process, at) in fleet.entry.iter().zip(&fleet.entry_addrs) {
        entries.push((process.usage()?, read_metrics(fleet, *at).await?));
    }
    let mut leader = Vec::new();
    for (process, at) in fleet.control.iter().zip(&fleet.control_addrs) {
        let (calls, bytes, leads) = read_metrics(fleet, *at).await?;
        if leads > 0.0 {
            leader.push((process.usage()?, (calls, bytes, leads)));
        }
    }
    Ok([mean(&entries), mean(&leader)])
}

/// Usage of one process, and its counters from [`read_metrics`].
type ProcessSample = (Usage, (f64, f64, f64));

fn mean(rows: &[ProcessSample]) -> RoleUsage {
    let count = rows.len().max(1) as f64;
    let sum = |value: fn(&ProcessSample) -> f64| rows.iter().map(value).sum::<f64>() / count;
    RoleUsage {
        cpu: sum(|row| row.0.cpu.as_secs_f64()),
        memory: sum(|row| row.0.memory as f64),
        calls: sum(|row| row.1.0),
        bytes: sum(|row| row.1.1),
        at: Instant::now(),
    }
}

/// Reads from `/metrics` the number of calls, their body bytes, and whether the box leads (1 or 0).
async fn read_metrics(
    fleet: &TestFleet,
    at: std::net::SocketAddr,
) -> anyhow::Result<(f64, f64, f64)> {
    let (_, text) = fleet.operator_call(at, Method::GET, "/metrics", Bytes::new()).await?;
    let find = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().parse::<f64>().ok()).unwrap_or(0.0)
    };
    Ok((
        find("hatchpitch_box_calls "),
        find("hatchpitch_box_body_bytes "),
        find("hatchpitch_leads "),
    ))
}

/// Measures the time from the acceptance of a configuration until it is in force at all 12 boxes.
async fn in_force() -> anyhow::Result<()> {
    const CHANGES: u64 = 60;
    let fleet = TestFleet::start(fleet_shape(12)).await?;
    compio::time::sleep(SETTLE_TIME).await;
    let (mut accepted, mut everywhere) = (Vec::new(), Vec::new());
    for number in 2..2 + CHANGES {
        let sent = Instant::now();
        fleet.apply(number).await?;
        accepted.push(sent.elapsed());
        let from = Instant::now();
        fleet.wait_in_force(number).await?;
        everywhere.push(from.elapsed());
    }
    let (accepted, everywhere) =
        (histogram(accepted.into_iter()), histogram(everywhere.into_iter()));
    println!("\nconfiguration: {CHANGES} changes on 12 boxes, ms (looked at box by box)");
    let row = |name: &str, h: &hdrhistogram::Histogram<u64>| {
        vec![name.to_owned(), format!("{:.1}", millis(h, 0.5)), format!("{:.1}", millis(h, 0.99))]
    };
    let rows = [row("sent to accepted", &accepted), row("accepted to in force", &everywhere)];
    print_table(&["", "p50", "p99"], &rows);
    Ok(())
}

/// Measures the rate and latency of calls whose claim and settlement are synced at a majority, with
/// 1, 8 and 64 callers at once.
async fn claims() -> anyhow::Result<()> {
    const RUN_TIME: Duration = Duration::from_secs(3);
    let shape = FleetSpec { control: 3, entry: 3, engines: 0, apps: 3, ..FleetSpec::default() };
    let fleet = TestFleet::start(shape).await?;
    let mut rows = Vec::new();
    for concurrency in [1_usize, 8, 64] {
        let mut tasks = Vec::new();
        for task in 0..concurrency {
            let (caller, at) = (fleet.caller(0), fleet.entry_addrs[task % 3]);
            tasks.push(compio::runtime::spawn(async move {
                let started = Instant::now();
                let mut times = Vec::new();
                while started.elapsed() < RUN_TIME {
                    let mut headers = HeaderMap::new();
                    let key = format!("{concurrency}-{task}-{}", times.len());
                    headers.insert("idempotency-key", key.parse()?);
                    let sent = Instant::now();
                    let path = "/apps/calculator/payoff";
                    let call = caller.call(at, Method::POST, path, headers, Bytes::new());
                    let (parts, _) = call.await?;
                    anyhow::ensure!(parts.status == 200, "{}", parts.status);
                    times.push(sent.elapsed());
                }
                anyhow::Ok(times)
            }));
        }
        let mut times = Vec::new();
        for task in tasks {
            times.extend(task.await.map_err(|_| anyhow::anyhow!("a task did not finish"))??);
        }
        let rate = times.len() as f64 / RUN_TIME.as_secs_f64();
        let times = histogram(times.into_iter());
        rows.push(vec![
            concurrency.to_string(),
            format!("{rate:.0}"),
            format!("{:.1}", millis(&times, 0.5)),
            format!("{:.1}", millis(&times, 0.99)),
        ]);
    }
    println!("\nquotes: claim, call and settlement, each synced at a majority");
    print_table(&["at once", "a second", "p50 ms", "p99 ms"], &rows);
    Ok(())
}

/// Measures the time from a kill of the leader to the next accepted change.
async fn fail_over() -> anyhow::Result<()> {
    const KILLS: u64 = 8;
    let mut fleet = TestFleet::start(fleet_shape(2)).await?;
    let mut times = Vec::new();
    for kill in 0..KILLS {
        let mut leader = None;
        for (i, at) in fleet.control_addrs.clone().into_iter().enumerate() {
            if read_metrics(&fleet, at).await.is_ok_and(|metrics| metrics.2 > 0.0) {
                leader = Some(i);
            }
        }
        let Some(leader) = leader else {
            compio::time::sleep(SETTLE_TIME).await;
            continue;
        };
        fleet.control[leader].kill();
        let killed = Instant::now();
        fleet.apply(2 + kill).await?;
        times.push(killed.elapsed());
        fleet.control[leader].restart()?;
        compio::time::sleep(SETTLE_TIME).await;
    }
    let count = times.len();
    let times = histogram(times.into_iter());
    println!(
        "\nfail-over: {count} kills of the leader; next accepted change after p50 {:.0} ms, worst {:.0} ms",
        millis(&times, 0.5),
        millis(&times, 1.0)
    );
    Ok(())
}

/// Measures the processor time of an entry process per token, for short and long answers.
async fn tokens() -> anyhow::Result<()> {
    let mut rows = Vec::new();
    for length in [10_u64, 200] {
        let shape = FleetSpec {
            control: 1,
            entry: 1,
            engines: 4,
            apps: 0,
            engine_args: vec!["--memory".into(), "1000000".into()],
            ..FleetSpec::default()
        };
        let fleet = TestFleet::start(shape).await?;
        compio::time::sleep(SETTLE_TIME).await;
        let before = fleet.entry[0].usage()?;
        let started = Instant::now();
        let mut tasks = Vec::new();
        for task in 0..60 {
            let (caller, at) = (fleet.caller(0), fleet.entry_addrs[0]);
            tasks.push(compio::runtime::spawn(async move {
                for i in 0..(2_000 / length).min(20) {
                    let prompt = format!("note {task} {i} len={length}");
                    let answer = caller.chat(at, MODEL, &prompt, |_| true).await?;
                    anyhow::ensure!(answer.complete, "{:?}", answer.error);
                }
                anyhow::Ok((2_000 / length).min(20))
            }));
        }
        let mut answers = 0;
        for task in tasks {
            answers += task.await.map_err(|_| anyhow::anyhow!("a task did not finish"))??;
        }
        let used = fleet.entry[0].usage()?.cpu - before.cpu;
        let seconds = started.elapsed().as_secs_f64();
        let tokens = answers * length;
        rows.push(vec![
            length.to_string(),
            answers.to_string(),
            format!("{:.0}", tokens as f64 / seconds),
            format!("{:.1}", used.as_secs_f64() * 1e6 / tokens as f64),
            format!("{:.1}", used.as_secs_f64() / seconds * 100.0),
            format!("{:.1}", fleet.entry[0].usage()?.memory as f64 / 1e6),
        ]);
    }
    println!("\nstreams: processor time of one entry process");
    print_table(&["tokens an answer", "answers", "tokens/s", "us a token", "cpu %", "MB"], &rows);
    Ok(())
}
