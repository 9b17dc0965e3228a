//! `hatchpitch status`.

use hatchpitch::control::operators::ControlStatus;
use hatchpitch::entry::operators::{EntryStatus, RunnerStatus};
use serde::Serialize;

use crate::args::Args;
use crate::client::Client;
use crate::exit::Exit;
use crate::output::{format_table, print};

/// Status of all boxes, encoded as the JSON output.
#[derive(Serialize)]
struct FleetStatus {
    control: Vec<BoxRow<ControlStatus>>,
    entry: Vec<BoxRow<EntryStatus>>,
}

/// Status of one box, or the error of the call to it.
#[derive(Serialize)]
struct BoxRow<T> {
    at: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<T>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

impl<T> BoxRow<T> {
    fn new(at: String, status: anyhow::Result<T>) -> Self {
        match status {
            Ok(status) => Self { at, status: Some(status), error: None },
            Err(err) => Self { at, status: None, error: Some(format!("{err:#}")) },
        }
    }
}

/// Queries every box and prints its status.
pub async fn run(args: &Args) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let control = client.control_status().await.into_iter();
    let control = control.map(|(at, status)| BoxRow::new(at.to_string(), status)).collect();
    let mut entry = Vec::new();
    match client.entry_boxes().await {
        Ok(boxes) => {
            for (name, addr) in boxes {
                entry.push(BoxRow::new(name, client.entry_status(addr).await));
            }
        }
        Err(err) => entry.push(BoxRow::new("entry boxes".to_owned(), Err(err))),
    }
    let fleet = FleetStatus { control, entry };
    print(args.output, &fleet, || render(&fleet));
    Ok(Exit::Done)
}

/// Header of the entry box table.
const ENTRY_HEADER: [&str; 8] =
    ["ENTRY", "INTAKE", "NUMBER", "CONFIRMED", "ACTIVE", "STREAMS", "WAITING", "EVACUATED"];

/// Header of the runner table.
const RUNNER_HEADER: [&str; 8] =
    ["POOL", "RUNNER", "OWNER", "TAKES WORK", "RUNNING", "LIMIT", "MEAN GAP", "RISK"];

fn render(fleet: &FleetStatus) -> String {
    let control: Vec<Vec<String>> = fleet.control.iter().map(control_row).collect();
    let entry: Vec<Vec<String>> = fleet.entry.iter().map(entry_row).collect();
    let statuses = fleet.entry.iter().filter_map(|row| row.status.as_ref()).collect::<Vec<_>>();
    let mut tables = vec![
        format_table(&["CONTROL", "LEADS", "NUMBER", "CLAIMS", "EVACUATED"], &control),
        format_table(&ENTRY_HEADER, &entry),
    ];
    if let Some(first) = statuses.first() {
        tables.push(format_table(&RUNNER_HEADER, &runner_rows(first, &statuses)));
    }
    tables.join("\n\n")
}

fn control_row(row: &BoxRow<ControlStatus>) -> Vec<String> {
    let Some(status) = &row.status else {
        return vec![row.at.clone(), row.error.clone().unwrap_or_default()];
    };
    let leads = if status.leads { "yes" } else { "no" };
    let (number, claims) = (status.config_number.to_string(), status.claims.to_string());
    vec![status.name.clone(), leads.to_owned(), number, claims, status.evacuated.join(",")]
}

fn entry_row(row: &BoxRow<EntryStatus>) -> Vec<String> {
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

/// Returns one row per runner: the boxes that own its admission decisions, and the requests that
/// they have running there.
fn runner_rows(first: &EntryStatus, statuses: &[&EntryStatus]) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for pool in &first.pools {
        for runner in &pool.runners {
            let name = &runner.name;
            let owned = |status: &EntryStatus| {
                let mut runners = status.pools.iter().flat_map(|pool| &pool.runners);
                runners.find(|r| r.name == *name && r.owned).cloned()
            };
            let owners: Vec<(&str, RunnerStatus)> =
                statuses.iter().filter_map(|s| Some((s.name.as_str(), owned(s)?))).collect();
            let names: Vec<&str> = owners.iter().map(|(name, _)| *name).collect();
            let running: u64 = owners.iter().map(|(_, runner)| runner.running).sum();
            let takes_work =
                owners.iter().all(|(_, runner)| runner.takes_work) && runner.takes_work;
            let takes_work = if takes_work { "yes" } else { "no" };
            let pace = owners.iter().find_map(|(_, r)| Some((r.mean_gap_ms?, r.risk?)));
            let (mean_gap, risk) = pace.map_or_else(Default::default, |(mean_gap, risk)| {
                (format!("{mean_gap:.0} ms"), format!("{risk:.2}"))
            });
            rows.push(vec![
                pool.name.clone(),
                name.clone(),
                names.join(","),
                takes_work.to_owned(),
                running.to_string(),
                runner.limit.map_or_else(String::new, |limit| limit.to_string()),
                mean_gap,
                risk,
            ]);
        }
    }
    rows
}
