//! `hatchpitch evacuation`.

use std::time::Duration;

use hatchpitch::control::operators::EvacuationList;
use hatchpitch::entry::operators::EntryStatus;
use http::Method;
use serde::Serialize;

use crate::args::{Args, Evacuation};
use crate::client::Client;
use crate::exit::Exit;
use crate::output::print;

/// Evacuated failure domains after a command, and the entry boxes where they are not in force yet.
#[derive(Serialize)]
struct EvacuationReport {
    #[serde(flatten)]
    list: EvacuationList,
    #[serde(skip_serializing_if = "Option::is_none")]
    missing: Option<Vec<String>>,
}

/// Begins or ends an evacuation, or lists the evacuated failure domains.
pub async fn run(args: &Args, command: &Evacuation) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let (method, path, wait) = match command {
        Evacuation::Begin { domain, wait } => {
            (Method::POST, format!("/ops/evacuations/begin?domain={domain}"), *wait)
        }
        Evacuation::End { domain, wait } => {
            (Method::POST, format!("/ops/evacuations/end?domain={domain}"), *wait)
        }
        Evacuation::List => (Method::GET, "/ops/evacuations".to_owned(), None),
    };
    let list: EvacuationList = client.call_leader(method, &path, &[]).await?.success_json()?;
    let missing = match wait {
        Some(seconds) => {
            let in_force = |status: &EntryStatus| status.evacuated.0 >= list.revision;
            Some(client.wait_for_entry_boxes(in_force, Duration::from_secs(seconds)).await)
        }
        None => None,
    };
    let report = EvacuationReport { list, missing };
    print(args.output, &report, || render(&report));
    let everywhere = report.missing.as_ref().is_none_or(Vec::is_empty);
    Ok(if everywhere { Exit::Done } else { Exit::NotInForce })
}

fn render(report: &EvacuationReport) -> String {
    let mut text = match report.list.domains.as_slice() {
        [] => "no failure domain is evacuated".to_owned(),
        domains => format!("evacuated: {}", domains.join(", ")),
    };
    match &report.missing {
        Some(missing) if missing.is_empty() => text.push_str("; in force at every box"),
        Some(missing) => text.push_str(&format!("; not in force at: {}", missing.join(", "))),
        None => {}
    }
    text
}
