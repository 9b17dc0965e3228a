//! Control boxes as real processes: crashes, suspensions, lost disks and concurrent operators.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hatchpitch::config::packed::PackedDelta;
use hatchpitch::config::view::key_digest;
use hatchpitch::config::{ApplyOutcome, Delta, load_fleet};
use hatchpitch::control::operators::ControlStatus;
use hatchpitch::control::repair::Repaired;
use hatchpitch_e2e::fleet::WAIT_TIMEOUT;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_net::keys::to_hex;
use http::Method;

/// Returns the status of a control box.
async fn control_status(fleet: &TestFleet, i: usize) -> anyhow::Result<ControlStatus> {
    let at = fleet.control_addrs[i];
    let (status, body) = fleet.operator_call(at, Method::GET, "/ops/status", Bytes::new()).await?;
    anyhow::ensure!(status == 200, "{body}");
    Ok(serde_json::from_str(&body)?)
}

/// Waits for a leader among the control boxes that `eligible` accepts and returns its index.
async fn wait_leader(fleet: &TestFleet, eligible: impl Fn(usize) -> bool) -> anyhow::Result<usize> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        for i in (0..fleet.control_addrs.len()).filter(|i| eligible(*i)) {
            if control_status(fleet, i).await.is_ok_and(|status| status.leads) {
                return Ok(i);
            }
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    anyhow::bail!("no leader among the eligible control boxes")
}

fn small_spec() -> FleetSpec {
    FleetSpec { entry: 2, engines: 1, apps: 0, ..FleetSpec::default() }
}

#[compio::test]
async fn killed_leader_is_replaced_without_losing_accepted_changes() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(small_spec()).await?;
    for number in 2..=4 {
        let leader = wait_leader(&fleet, |_| true).await?;
        fleet.control[leader].kill();
        fleet.apply(number).await?;
        fleet.wait_in_force(number).await?;
        fleet.control[leader].restart()?;
    }
    for i in 0..3 {
        let started = Instant::now();
        while control_status(&fleet, i).await.map_or(0, |s| s.config_number) < 4 {
            assert!(started.elapsed() < WAIT_TIMEOUT, "control-{i} does not catch up");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

#[compio::test]
async fn resumed_stale_leader_cannot_accept_changes() -> anyhow::Result<()> {
    let fleet = TestFleet::start(small_spec()).await?;
    let old = wait_leader(&fleet, |_| true).await?;
    fleet.control[old].freeze();
    let new = wait_leader(&fleet, |i| i != old).await?;
    fleet.apply(2).await?;
    fleet.wait_in_force(2).await?;
    fleet.control[old].thaw();
    let (status, body) = {
        let body = Bytes::from(fleet.fleet_file(2).replace("priority = 9", "priority = 8"));
        fleet.operator_call(fleet.control_addrs[old], Method::POST, "/ops/config", body).await?
    };
    assert_ne!(status, 200, "{body}");
    for i in 0..2 {
        assert_eq!(fleet.entry_status(i).await?.config_number, 2);
    }
    assert!(control_status(&fleet, new).await?.config_number >= 2);
    Ok(())
}

#[compio::test]
async fn concurrent_submissions_have_one_winner_and_resends_are_idempotent() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(small_spec()).await?;
    let mut winners: BTreeMap<u64, String> = BTreeMap::new();
    for number in 2..=9 {
        let one = fleet.fleet_file(number);
        let other = one.replace("priority = 1\n", "priority = 2\n");
        let (first, second) = join_both(fleet.submit(&one), fleet.submit(&other)).await;
        let outcomes = [outcome(first?)?, outcome(second?)?];
        let accepted = outcomes.iter().filter(|o| matches!(o, ApplyOutcome::Accepted { .. }));
        let accepted: Vec<&ApplyOutcome> = accepted.collect();
        assert_eq!(accepted.len(), 1, "{outcomes:?}");
        let ApplyOutcome::Accepted { content, .. } = accepted[0] else { unreachable!() };
        winners.insert(number, content.clone());
        let refused = outcomes.iter().find_map(|o| match o {
            ApplyOutcome::Taken { winner, .. } => Some(winner.clone()),
            _ => None,
        });
        assert_eq!(refused.as_ref(), Some(content), "{outcomes:?}");
        let again = [outcome(fleet.submit(&one).await?)?, outcome(fleet.submit(&other).await?)?];
        assert_eq!(again, outcomes);
    }
    let leader = wait_leader(&fleet, |_| true).await?;
    fleet.control[leader].kill();
    for (number, content) in &winners {
        let one = fleet.fleet_file(*number);
        let other = one.replace("priority = 1\n", "priority = 2\n");
        for text in [one, other] {
            match outcome(fleet.submit(&text).await?)? {
                ApplyOutcome::Accepted { content: accepted, .. } => assert_eq!(accepted, *content),
                ApplyOutcome::Taken { winner, .. } => assert_eq!(winner, *content),
                stale => panic!("{stale:?}"),
            }
        }
    }
    Ok(())
}

/// Runs two futures concurrently and returns both outputs.
async fn join_both<A, B>(a: impl Future<Output = A>, b: impl Future<Output = B>) -> (A, B) {
    futures_util::future::join(a, b).await
}

/// Decodes the outcome of a submission.
fn outcome((status, body): (u16, String)) -> anyhow::Result<ApplyOutcome> {
    anyhow::ensure!(status == 200 || status == 409, "{status}: {body}");
    Ok(serde_json::from_str(&body)?)
}

#[compio::test]
async fn repaired_disk_loss_tolerates_a_second_disk_loss() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(small_spec()).await?;
    for number in 2..=5 {
        fleet.apply(number).await?;
    }
    let leader = wait_leader(&fleet, |_| true).await?;
    let lost = (leader + 1) % 3;
    let third = (leader + 2) % 3;
    fleet.control[lost].kill();
    std::fs::remove_dir_all(fleet.data_dir(lost))?;
    fleet.control[lost].restart()?;

    let repaired = repair(&fleet, lost).await?;
    assert_eq!(repaired.voters.len(), 3);
    fleet.control[third].kill();
    std::fs::remove_dir_all(fleet.data_dir(third))?;

    let text = fleet.fleet_file(5);
    assert!(matches!(outcome(fleet.submit(&text).await?)?, ApplyOutcome::Accepted { .. }));
    fleet.apply(6).await?;
    fleet.wait_in_force(6).await?;
    Ok(())
}

/// Replaces the voter `control-{lost}`, retrying at all control boxes until one completes it.
async fn repair(fleet: &TestFleet, lost: usize) -> anyhow::Result<Repaired> {
    let started = Instant::now();
    let path = format!("/ops/repair?replace=control-{lost}");
    let mut last = String::new();
    while started.elapsed() < WAIT_TIMEOUT {
        for at in &fleet.control_addrs {
            match fleet.operator_call(*at, Method::POST, &path, Bytes::new()).await {
                Ok((200, body)) => return Ok(serde_json::from_str(&body)?),
                Ok((status, body)) => last = format!("{status}: {body}"),
                Err(err) => last = format!("{err:#}"),
            }
        }
    }
    anyhow::bail!("control-{lost} was not repaired: {last}")
}

#[compio::test]
async fn box_with_lost_disk_does_not_start_a_new_log() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(small_spec()).await?;
    let lost = 1;
    fleet.control[lost].kill();
    std::fs::remove_dir_all(fleet.data_dir(lost))?;
    fleet.control[lost].restart()?;
    wait_leader(&fleet, |i| i != lost).await?;
    let status = {
        let started = Instant::now();
        loop {
            match control_status(&fleet, lost).await {
                Ok(status) => break status,
                Err(err) => assert!(started.elapsed() < WAIT_TIMEOUT, "{err:#}"),
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(status.voters.is_empty());
    assert_eq!(status.config_number, 0);
    Ok(())
}

#[compio::test]
async fn restarted_entry_box_catches_up_with_hundreds_of_changes() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(small_spec()).await?;
    fleet.entry[0].kill();
    for number in 2..=200 {
        fleet.apply(number).await?;
    }
    fleet.entry[0].restart()?;
    fleet.wait_in_force(200).await?;
    Ok(())
}

#[compio::test]
async fn only_the_leader_serves_configuration_reads() -> anyhow::Result<()> {
    let fleet = TestFleet::start(small_spec()).await?;
    let leader = wait_leader(&fleet, |_| true).await?;
    let file = Bytes::from(fleet.fleet_file(2));
    for (i, at) in fleet.control_addrs.iter().enumerate() {
        for (method, path, body) in [
            (Method::GET, "/ops/config", Bytes::new()),
            (Method::GET, "/ops/accepted?number=1", Bytes::new()),
            (Method::POST, "/ops/diff", file.clone()),
        ] {
            let (status, answer) = fleet.operator_call(*at, method, path, body).await?;
            let expected = if i == leader { 200 } else { 421 };
            assert_eq!(status, expected, "{path} at box {i}: {answer}");
        }
    }
    Ok(())
}

/// Returns the number of body bytes that an entry box has exchanged with other boxes.
async fn box_bytes(fleet: &TestFleet, entry: usize) -> anyhow::Result<f64> {
    let at = fleet.entry_addrs[entry];
    let (_, text) = fleet.operator_call(at, Method::GET, "/metrics", Bytes::new()).await?;
    let calls = text.lines().any(|line| line.starts_with("hatchpitch_box_path_calls{path=\"/box/"));
    let bytes = text.lines().filter(|line| line.starts_with("hatchpitch_box_path_body_bytes{"));
    anyhow::ensure!(calls && bytes.count() > 1, "no metrics by path");
    let line = text.lines().find_map(|line| line.strip_prefix("hatchpitch_box_body_bytes "));
    Ok(line.ok_or_else(|| anyhow::anyhow!("no hatchpitch_box_body_bytes metric"))?.parse()?)
}

#[compio::test]
async fn large_change_is_delivered_to_a_box_once() -> anyhow::Result<()> {
    let fleet = TestFleet::start(small_spec()).await?;
    let mut file = fleet.fleet_file(2);
    for i in 0..2_000 {
        file.push_str(&format!(
            "\n[[workspace]]\nname = \"w{i}\"\npriority = 1\npools = [\"explain\"]\n\
             keys = [{{ id = \"k1\", sha256 = \"{}\" }}]\n",
            to_hex(&key_digest(&format!("key-{i}")))
        ));
    }
    let before = box_bytes(&fleet, 0).await?;
    let (status, answer) = fleet.submit(&file).await?;
    assert_eq!(status, 200, "{answer}");
    fleet.wait_in_force(2).await?;
    // A duplicate delivery would arrive within the time that a fetch waits for the feed.
    compio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    let received = box_bytes(&fleet, 0).await? - before;
    let upserts = load_fleet("fleet", &file)?.entities.into_values().collect();
    let change = PackedDelta::new(&Delta { upserts, removals: Vec::new() }).packed_len() as f64;
    assert!(change > 2_000.0 * 32.0, "the change is smaller than its incompressible digests");
    assert!(received > change / 2.0 && received < change * 1.8, "{received} bytes for {change}");
    Ok(())
}
