//! `hatchpitch quarantine`.

use hatchpitch::control::quarantine::HeldContent;
use http::Method;

use crate::args::{Args, Quarantine};
use crate::client::Client;
use crate::exit::Exit;
use crate::output::{format_table, print};

/// Lists the requests that are refused for crashing upstreams, or releases one.
pub async fn run(args: &Args, command: &Quarantine) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let (method, path) = match command {
        Quarantine::List => (Method::GET, "/ops/quarantine".to_owned()),
        Quarantine::Release { content } => {
            (Method::POST, format!("/ops/quarantine/release?content={content}"))
        }
    };
    let held: Vec<HeldContent> = client.call_leader(method, &path, &[]).await?.success_json()?;
    print(args.output, &held, || render(&held));
    Ok(Exit::Done)
}

fn render(held: &[HeldContent]) -> String {
    if held.is_empty() {
        return "no request is held".to_owned();
    }
    let rows: Vec<Vec<String>> = held
        .iter()
        .map(|held| {
            vec![
                held.content.clone(),
                held.left_s.to_string(),
                if held.is_part { "part" } else { "request" }.to_owned(),
                held.crashes.to_string(),
                held.workspace.clone().unwrap_or_else(|| "all".to_owned()),
                held.with.join(","),
            ]
        })
        .collect();
    format_table(&["CONTENT", "SECONDS LEFT", "KIND", "CRASHES", "WORKSPACE", "WITH"], &rows)
}
