//! Runs the commands documented in `docs/OPERATORS.md` against a fleet.

use std::time::{Duration, Instant};

use hatchpitch_e2e::fleet::{MODEL, OPERATOR_KEY, WAIT_TIMEOUT};
use hatchpitch_e2e::process::run;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_standins::engine::server::Fault;
use serde_json::Value;

/// Runs `hatchpitch` with the addresses and operator key of a fleet; returns exit code and output.
fn hatchpitch(fleet: &TestFleet, args: &[&str]) -> (i32, String) {
    let control: Vec<String> = fleet.control_addrs.iter().map(ToString::to_string).collect();
    let (control, entry) = (control.join(","), fleet.entry_addrs[0].to_string());
    let mut all = vec!["--control", &control, "--entry", &entry, "--key", OPERATOR_KEY];
    all.extend(args);
    run("hatchpitch", &all).unwrap()
}

#[test]
fn explain_reads_logs_without_a_fleet() -> anyhow::Result<()> {
    let dir = tempfile::tempdir()?;
    let log = dir.path().join("entry.log");
    let line = r#"{"time_ms":1,"level":"INFO","box":"e1","target":"t","message":"refused","request":"r-1","outcome":"not_run","cause":"stopping"}"#;
    std::fs::write(&log, format!("{line}\n"))?;
    let log = log.display().to_string();
    let output = run("hatchpitch", &["explain", "r-1", &log])?;
    assert_eq!(output.0, 0, "{}", output.1);
    assert!(output.1.ends_with("end: refused at box e1, not_run: stopping\n"), "{}", output.1);
    let output = run("hatchpitch", &["--output", "json", "explain", "r-2", &log])?;
    assert_eq!((output.0, json(&output)["lines"].as_array().map(Vec::len)), (1, Some(0)));
    assert_eq!(run("hatchpitch", &["explain", "r-1", "/nowhere/at/all"])?.0, 1);
    Ok(())
}

/// Parses the output of a command as JSON.
fn json(output: &(i32, String)) -> Value {
    serde_json::from_str(&output.1).unwrap_or_else(|err| panic!("{err}: {}", output.1))
}

#[compio::test]
async fn check_diff_apply_get_and_status_work_as_documented() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec { engines: 1, ..FleetSpec::default() }).await?;
    let two = fleet
        .write_file("two.toml", &fleet.fleet_file(2).replace("priority = 9", "priority = 8"))?;
    let other = fleet.write_file("other.toml", &fleet.fleet_file(2))?;
    let invalid = fleet
        .write_file("bad.toml", &fleet.fleet_file(3).replace("max_batch = 16", "max_batch = 0"))?;
    let old = fleet
        .write_file("old.toml", &fleet.fleet_file(1).replace("priority = 9", "priority = 7"))?;
    let path = |p: &std::path::PathBuf| p.display().to_string();

    assert_eq!(hatchpitch(&fleet, &["check", &path(&two)]).0, 0);
    let checked = hatchpitch(&fleet, &["check", &path(&invalid)]);
    assert_eq!(checked.0, 3);
    assert!(checked.1.contains("runner.max_batch: found 0, expected 1 to 4096"), "{}", checked.1);
    for kind in ["entry", "control"] {
        let settings = fleet.dir().join(format!("{kind}-0.toml"));
        let checked = hatchpitch(&fleet, &["check", "--kind", kind, &path(&settings)]);
        assert_eq!(checked.0, 0, "{}", checked.1);
    }

    let diff = json(&hatchpitch(&fleet, &["--output", "json", "diff", &path(&two)]));
    assert_eq!(diff["changed"].as_array().unwrap().len(), 1, "{diff}");
    let applied = hatchpitch(&fleet, &["--output", "json", "apply", &path(&two), "--wait"]);
    assert_eq!(applied.0, 0, "{}", applied.1);
    assert_eq!(json(&applied)["missing"].as_array().unwrap().len(), 0);
    assert_eq!(
        hatchpitch(&fleet, &["apply", &path(&two)]).0,
        0,
        "applying the same file again failed"
    );

    let conflict = hatchpitch(&fleet, &["apply", &path(&other)]);
    assert_eq!(conflict.0, 4);
    assert!(conflict.1.contains("was taken by root"), "{}", conflict.1);
    assert_eq!(hatchpitch(&fleet, &["apply", &path(&old)]).0, 4);
    assert_eq!(hatchpitch(&fleet, &["apply", &path(&invalid)]).0, 3);

    let got = json(&hatchpitch(&fleet, &["--output", "json", "get"]));
    assert!(got.as_array().unwrap().len() > 5);
    let accepted = hatchpitch(&fleet, &["get", "--number", "2"]);
    assert!(accepted.0 == 0 && accepted.1.contains("by root"), "{}", accepted.1);
    assert_eq!(hatchpitch(&fleet, &["get", "--number", "77"]).0, 1);
    let status = hatchpitch(&fleet, &["status"]);
    assert_eq!(status.0, 0);
    for part in ["control-0", "entry-2", "engine-0", "OWNER"] {
        assert!(status.1.contains(part), "{}", status.1);
    }
    Ok(())
}

#[compio::test]
async fn evacuation_commands_work_as_documented() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec { engines: 1, ..FleetSpec::default() }).await?;
    let order = |args: &[&str]| hatchpitch(&fleet, &[&["evacuation"], args].concat());
    let config = json(&hatchpitch(&fleet, &["--output", "json", "get"]));
    let domains = config.as_array().unwrap().iter().filter_map(|e| e.get("FailureDomain"));
    let domains: Vec<&str> = domains.filter_map(|domain| domain["name"].as_str()).collect();
    let unknown = order(&["begin", "nowhere"]);
    assert!(unknown.0 == 1 && unknown.1.contains("no failure domain"), "{}", unknown.1);
    for domain in &domains {
        let output = order(&["begin", domain, "--wait"]);
        assert!(output.0 == 0 && output.1.contains("in force at every box"), "{}", output.1);
        assert_eq!(order(&["begin", domain]).0, 0, "beginning the evacuation again failed");
    }
    let listed = order(&["list"]).1;
    assert!(domains.iter().all(|domain| listed.contains(domain)), "{listed}");
    let status = hatchpitch(&fleet, &["status"]).1;
    assert!(status.contains("EVACUATED") && status.contains(&domains.join(",")), "{status}");
    // With every runner evacuated, generations are refused immediately.
    let caller = fleet.caller(0);
    let refused = caller.chat(fleet.entry_addrs[0], MODEL, "note len=3", |_| true).await?;
    assert!(refused.status == 503 && refused.retry_after.is_some(), "{refused:?}");
    for domain in &domains {
        let ended = order(&["end", domain, "--wait"]);
        assert!(ended.0 == 0, "{}", ended.1);
    }
    assert!(order(&["list"]).1.contains("no failure domain is evacuated"));
    assert_eq!(order(&["end", domains[0]]).0, 0, "ending an ended evacuation failed");
    let answer = caller.chat(fleet.entry_addrs[0], MODEL, "note len=3", |_| true).await?;
    assert!(answer.complete, "{answer:?}");
    Ok(())
}

#[compio::test]
async fn quarantine_commands_work_as_documented() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(FleetSpec { engines: 3, ..FleetSpec::default() }).await?;
    assert!(hatchpitch(&fleet, &["quarantine", "list"]).1.contains("no request is held"));
    let wrong = hatchpitch(&fleet, &["quarantine", "release", "something"]);
    assert!(wrong.0 == 1 && wrong.1.contains("32 hexadecimal digits"), "{}", wrong.1);
    for engine in 0..3 {
        fleet.set_fault(engine, Fault::Die { at: 0 }).await?;
    }
    let (caller, at) = (fleet.caller(0), fleet.entry_addrs[0]);
    let started = Instant::now();
    let content = loop {
        caller.chat(at, MODEL, "poison len=3", |_| true).await?;
        let list = json(&hatchpitch(&fleet, &["--output", "json", "quarantine", "list"]));
        if let Some(content) = list[0]["content"].as_str() {
            break content.to_owned();
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "the request was not quarantined");
    };
    for engine in &mut fleet.engines {
        engine.restart()?;
    }
    let released = hatchpitch(&fleet, &["quarantine", "release", &content]);
    assert!(released.0 == 0 && released.1.contains("no request is held"), "{}", released.1);
    while !caller.chat(at, MODEL, "poison len=3", |_| true).await?.complete {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the released request was not served");
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

#[compio::test]
async fn trace_shows_every_hop() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec { engines: 1, ..FleetSpec::default() }).await?;
    let answer = fleet.caller(0).chat(fleet.entry_addrs[1], MODEL, "note len=3", |_| true).await?;
    let started = Instant::now();
    loop {
        // The root span ends shortly after the last token.
        let (code, text) = hatchpitch(&fleet, &["trace", &answer.trace]);
        let hops = ["caller.request", "admission.wait", "engine.generate"];
        if code == 0 && hops.iter().all(|hop| text.contains(hop)) {
            return Ok(());
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "{text}");
    }
}

#[compio::test]
async fn drain_waits_for_running_requests() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec { engines: 1, ..FleetSpec::default() }).await?;
    let (caller, at) = (fleet.caller(0), fleet.entry_addrs[2]);
    let answer =
        compio::runtime::spawn(
            async move { caller.chat(at, MODEL, "report len=400", |_| true).await },
        );
    compio::time::sleep(std::time::Duration::from_millis(300)).await;
    let control: Vec<String> = fleet.control_addrs.iter().map(ToString::to_string).collect();
    let (control, entry) = (control.join(","), fleet.entry_addrs[0].to_string());
    // Runs on a separate thread because the caller has to keep reading the answer.
    let drained = std::thread::spawn(move || {
        let args = ["--control", &control, "--entry", &entry, "--key", OPERATOR_KEY];
        run("hatchpitch", &[&args[..], &["drain", "entry-2", "--wait"]].concat())
    });
    let answer = answer.await.expect("the caller task completed")?;
    assert!(answer.complete, "{:?}", answer.error);
    let (code, text) = drained.join().expect("the drain thread completed")?;
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("closed"), "{text}");
    Ok(())
}

#[compio::test]
async fn workspace_keys_rotate_without_downtime() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 1, ..FleetSpec::default() }).await?;
    let new = json(&run("hatchpitch", &["--output", "json", "key"])?);
    let (key, digest) = (new["key"].as_str().unwrap(), new["sha256"].as_str().unwrap());
    let old =
        hatchpitch_net::keys::to_hex(&hatchpitch::config::view::key_digest(&fleet.caller(0).key));
    let entry = |id: &str, digest: &str| format!("{{ id = \"{id}\", sha256 = \"{digest}\" }}");
    let both = format!("[{}, {}]", entry("k1", &old), entry("k2", digest));
    let one = format!("[{}]", entry("k1", &old));
    let text = fleet.fleet_file(2).replace(&one, &both);
    assert_eq!(fleet.submit(&text).await?.0, 200);
    fleet.wait_in_force(2).await?;
    let (at, next) =
        (fleet.entry_addrs[0], hatchpitch_standins::caller::Caller { key: key.into() });
    for caller in [fleet.caller(0), next.clone()] {
        assert!(caller.chat(at, MODEL, "note len=2", |_| true).await?.complete);
    }
    let text = fleet.fleet_file(3).replace(&one, &format!("[{}]", entry("k2", digest)));
    assert_eq!(fleet.submit(&text).await?.0, 200);
    fleet.wait_in_force(3).await?;
    assert!(next.chat(at, MODEL, "note len=2", |_| true).await?.complete);
    assert_eq!(fleet.caller(0).chat(at, MODEL, "note len=2", |_| true).await?.status, 401);
    Ok(())
}

#[compio::test]
async fn help_and_completions_are_printed_and_invalid_arguments_refused() -> anyhow::Result<()> {
    let (code, text) = run("hatchpitch", &["--help"])?;
    assert_eq!(code, 0);
    assert!(text.contains("Exit codes") && text.contains("repair"), "{text}");
    for shell in ["bash", "zsh", "fish"] {
        let (code, text) = run("hatchpitch", &["completions", shell])?;
        assert!(code == 0 && text.contains("hatchpitch"), "{shell}");
    }
    assert_eq!(run("hatchpitch", &["nothing"])?.0, 2);
    Ok(())
}
