//! `hatchpitch status`.

use hatchpitch::control::operators::ControlStatus;
use hatchpitch::entry::operators::{EntryStatus, RunnerStatus};
use serde::Serialize;

use crate::args::Args;
use crate::exit::Exit;
use crate::output::{show, table};
use crate::remote::Remote;

#[derive(Serialize)]
struct FleetStatus {
    control: Vec<Row<ControlStatus>>,
    entry: Vec<Row<EntryStatus>>,
}

#[derive(Serialize)]
struct Row<T> {
    at: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<T>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

impl<T> Row<T> {
    fn new(at: String, status: anyhow::Result<T>) -> Self {
        match status {
            Ok(status) => Self { at, status: Some(status), error: None },
            Err(err) => Self { at, status: None, error: Some(format!("{err:#}")) },
        }
    }
}

/// Asks every box and prints what it says.
pub async fn run(args: &Args) -> anyhow::Result<Exit> {
    let remote = Remote::new(args)?;
    let control = remote.control_status().await.into_iter();
    let control = control.map(|(at, status)| Row::new(at.to_string(), status)).collect();
    let mut entry = Vec::new();
    match remote.entries().await {
        Ok(found) => {
            for (name, addr) in found {
                entry.push(Row::new(name, remote.entry_status(addr).await));
            }
        }
        Err(err) => entry.push(Row::new("entry boxes".to_owned(), Err(err))),
    }
    let fleet = FleetStatus { control, entry };
    show(args.output, &fleet, || text(&fleet));
    Ok(Exit::Done)
}

/// Columns of the table of entry boxes.
const ENTRY_HEAD: [&str; 8] =
    ["ENTRY", "INTAKE", "NUMBER", "CONFIRMED", "ACTIVE", "STREAMS", "WAITING", "EVACUATED"];

fn text(fleet: &FleetStatus) -> String {
    let control: Vec<Vec<String>> = fleet.control.iter().map(control_row).collect();
    let entry: Vec<Vec<String>> = fleet.entry.iter().map(entry_row).collect();
    let seen = fleet.entry.iter().filter_map(|row| row.status.as_ref()).collect::<Vec<_>>();
    let mut parts = vec![
        table(&["CONTROL", "LEADS", "NUMBER", "CLAIMS", "EVACUATED"], &control),
        table(&ENTRY_HEAD, &entry),
    ];
    if let Some(first) = seen.first() {
        parts.push(table(
            &["POOL", "RUNNER", "OWNER", "TAKES WORK", "RUNNING", "LIMIT"],
            &runner_rows(first, &seen),
        ));
    }
    parts.join("\n\n")
}

fn control_row(row: &Row<ControlStatus>) -> Vec<String> {
    let Some(status) = &row.status else {
        return vec![row.at.clone(), row.error.clone().unwrap_or_default()];
    };
    let leads = if status.leads { "yes" } else { "no" };
    let (number, claims) = (status.config_number.to_string(), status.claims.to_string());
    vec![status.name.clone(), leads.to_owned(), number, claims, status.evacuated.join(",")]
}

fn entry_row(row: &Row<EntryStatus>) -> Vec<String> {
    let Some(status) = &row.status else {
        return vec![row.at.clone(), row.error.clone().unwrap_or_default()];
    };
    let confirmed = status.confirmed_age_ms.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
    let streams: u64 = status.streams.iter().map(|(_, count)| count).sum();
    let waiting: usize = status.pools.iter().map(|pool| pool.waiting).sum();
    vec![
        status.name.clone(),
        status.intake.clone(),
        status.config_number.to_string(),
        confirmed,
        status.active.to_string(),
        streams.to_string(),
        waiting.to_string(),
        status.evacuated.1.join(","),
    ]
}

/// One row a runner: the box that decides for it, and what it let in.
fn runner_rows(first: &EntryStatus, seen: &[&EntryStatus]) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for pool in &first.pools {
        for runner in &pool.runners {
            let name = &runner.name;
            let same = |status: &EntryStatus| {
                let mut runners = status.pools.iter().flat_map(|pool| &pool.runners);
                runners.find(|r| r.name == *name && r.owned).cloned()
            };
            let owners: Vec<(&str, RunnerStatus)> =
                seen.iter().filter_map(|s| Some((s.name.as_str(), same(s)?))).collect();
            let names: Vec<&str> = owners.iter().map(|(name, _)| *name).collect();
            let running: u64 = owners.iter().map(|(_, runner)| runner.running).sum();
            let takes = owners.iter().all(|(_, runner)| runner.takes_work) && runner.takes_work;
            let takes = if takes { "yes" } else { "no" };
            rows.push(vec![
                pool.name.clone(),
                name.clone(),
                names.join(","),
                takes.to_owned(),
                running.to_string(),
                runner.limit.map_or_else(String::new, |limit| limit.to_string()),
            ]);
        }
    }
    rows
}
