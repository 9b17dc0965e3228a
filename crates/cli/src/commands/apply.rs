//! `hatchpitch apply` and `hatchpitch diff`.

use std::path::Path;
use std::time::Duration;

use anyhow::Context as _;
use hatchpitch::config::ApplyOutcome;
use hatchpitch::config::entity::{EntityKey, kind_name};
use hatchpitch::control::operators::{DiffAnswer, FileProblems};
use hatchpitch::entry::operators::EntryStatus;
use hatchpitch::settings::diagnostic::Problems;
use http::{Method, StatusCode};
use serde::Serialize;

use crate::args::Args;
use crate::client::{Client, Response};
use crate::exit::Exit;
use crate::output::print;

/// Outcome of `apply`, and the entry boxes where the change is not in force yet.
#[derive(Serialize)]
struct Applied {
    #[serde(flatten)]
    outcome: ApplyOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    missing: Option<Vec<String>>,
}

/// Submits a fleet file.
pub async fn apply(args: &Args, file: &Path, wait: Option<u64>) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let res = submit(&client, "/ops/config", file).await?;
    if let Some(exit) = report_problems(args, &res)? {
        return Ok(exit);
    }
    let outcome: ApplyOutcome = match res.status {
        StatusCode::CONFLICT => res.json()?,
        _ => res.success_json()?,
    };
    let (ApplyOutcome::Accepted { number, .. }, Some(seconds)) = (&outcome, wait) else {
        let accepted = matches!(outcome, ApplyOutcome::Accepted { .. });
        let text = describe_outcome(&outcome);
        print(args.output, &Applied { outcome, missing: None }, || text);
        return Ok(if accepted { Exit::Done } else { Exit::Refused });
    };
    let in_force = |status: &EntryStatus| status.config_number >= *number;
    let missing = client.wait_for_entry_boxes(in_force, Duration::from_secs(seconds)).await;
    let mut text = describe_outcome(&outcome);
    match missing.is_empty() {
        true => text.push_str("; in force at every box"),
        false => text.push_str(&format!("; not in force at: {}", missing.join(", "))),
    }
    let exit = if missing.is_empty() { Exit::Done } else { Exit::NotInForce };
    print(args.output, &Applied { outcome, missing: Some(missing) }, || text);
    Ok(exit)
}

/// Shows what a fleet file would change.
pub async fn diff(args: &Args, file: &Path) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let res = submit(&client, "/ops/diff", file).await?;
    if let Some(exit) = report_problems(args, &res)? {
        return Ok(exit);
    }
    let diff: DiffAnswer = res.success_json()?;
    print(args.output, &diff, || {
        let mut lines = vec![format!("against number {}", diff.base)];
        for (sign, keys) in [('+', &diff.added), ('~', &diff.changed), ('-', &diff.removed)] {
            lines.extend(keys.iter().map(|key| format!("{sign} {}", format_key(key))));
        }
        lines.join("\n")
    });
    Ok(Exit::Done)
}

async fn submit(client: &Client, path: &str, file: &Path) -> anyhow::Result<Response> {
    let text = std::fs::read(file).with_context(|| file.display().to_string())?;
    let name = file.file_name().and_then(|name| name.to_str()).unwrap_or("fleet.toml");
    let is_plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    let name = if is_plain { name } else { "fleet.toml" };
    client.call_leader(Method::POST, &format!("{path}?file={name}"), &text).await
}

/// Prints the problems of a rejected file, if the response lists any.
fn report_problems(args: &Args, res: &Response) -> anyhow::Result<Option<Exit>> {
    if res.status != StatusCode::UNPROCESSABLE_ENTITY {
        return Ok(None);
    }
    let body: FileProblems = res.json()?;
    print(args.output, &body, || Problems(body.problems.clone()).to_string());
    Ok(Some(Exit::Invalid))
}

fn describe_outcome(outcome: &ApplyOutcome) -> String {
    match outcome {
        ApplyOutcome::Accepted { number, content } => {
            format!("number {number} accepted, content {}", &content[..12.min(content.len())])
        }
        ApplyOutcome::Taken { number, winner, by } => format!(
            "refused: number {number} was taken by {by} with other content ({}); \
             read it with `hatchpitch get`, then use a higher number",
            &winner[..12.min(winner.len())]
        ),
        ApplyOutcome::Stale { number, newest } => {
            format!("refused: number {number} is below the newest one, {newest}")
        }
    }
}

fn format_key(key: &EntityKey) -> String {
    format!("{} {}", kind_name(key.0), key.1)
}
