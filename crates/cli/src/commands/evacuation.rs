//! `hatchpitch evacuation`.

use std::time::Duration;

use hatchpitch::control::operators::EvacuationList;
use hatchpitch::entry::operators::EntryStatus;
use http::Method;
use serde::Serialize;

use crate::args::{Args, Evacuation};
use crate::exit::Exit;
use crate::output::show;
use crate::remote::Remote;

/// What holds after an order, and where it is not in force yet.
#[derive(Serialize)]
struct Held {
    #[serde(flatten)]
    list: EvacuationList,
    #[serde(skip_serializing_if = "Option::is_none")]
    missing: Option<Vec<String>>,
}

/// Gives an order about evacuations, or lists them.
pub async fn run(args: &Args, order: &Evacuation) -> anyhow::Result<Exit> {
    let remote = Remote::new(args)?;
    let (method, path, wait) = match order {
        Evacuation::Begin { domain, wait } => {
            (Method::POST, format!("/ops/evacuations/begin?domain={domain}"), *wait)
        }
        Evacuation::End { domain, wait } => {
            (Method::POST, format!("/ops/evacuations/end?domain={domain}"), *wait)
        }
        Evacuation::List => (Method::GET, "/ops/evacuations".to_owned(), None),
    };
    let list: EvacuationList = remote.call_leader(method, &path, &[]).await?.ok()?;
    let missing = match wait {
        Some(seconds) => {
            let in_force = |status: &EntryStatus| status.evacuated.0 >= list.revision;
            Some(remote.wait_everywhere(in_force, Duration::from_secs(seconds)).await)
        }
        None => None,
    };
    let held = Held { list, missing };
    show(args.output, &held, || text(&held));
    let everywhere = held.missing.as_ref().is_none_or(Vec::is_empty);
    Ok(if everywhere { Exit::Done } else { Exit::NotYet })
}

fn text(held: &Held) -> String {
    let mut text = match held.list.domains.as_slice() {
        [] => "no failure domain is evacuated".to_owned(),
        domains => format!("evacuated: {}", domains.join(", ")),
    };
    match &held.missing {
        Some(missing) if missing.is_empty() => text.push_str("; in force at every box"),
        Some(missing) => text.push_str(&format!("; not in force at: {}", missing.join(", "))),
        None => {}
    }
    text
}
