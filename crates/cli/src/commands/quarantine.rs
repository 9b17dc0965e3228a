//! `hatchpitch quarantine`.

use hatchpitch::control::quarantine::HeldContent;
use http::Method;

use crate::args::{Args, Quarantine};
use crate::exit::Exit;
use crate::output::{show, table};
use crate::remote::Remote;

/// Lists the requests that are refused for crashing upstreams, or lets one go.
pub async fn run(args: &Args, order: &Quarantine) -> anyhow::Result<Exit> {
    let remote = Remote::new(args)?;
    let (method, path) = match order {
        Quarantine::List => (Method::GET, "/ops/quarantine".to_owned()),
        Quarantine::Release { content } => {
            (Method::POST, format!("/ops/quarantine/release?content={content}"))
        }
    };
    let held: Vec<HeldContent> = remote.call_leader(method, &path, &[]).await?.ok()?;
    show(args.output, &held, || text(&held));
    Ok(Exit::Done)
}

fn text(held: &[HeldContent]) -> String {
    if held.is_empty() {
        return "no request is held".to_owned();
    }
    let rows: Vec<Vec<String>> =
        held.iter().map(|one| vec![one.content.clone(), one.left_s.to_string()]).collect();
    table(&["CONTENT", "SECONDS LEFT"], &rows)
}
