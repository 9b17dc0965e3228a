//! `hatchpitch drain`.

use std::time::Duration;

use anyhow::Context as _;
use hatchpitch::entry::operators::EntryStatus;
use http::Method;

use crate::args::Args;
use crate::client::Client;
use crate::exit::Exit;
use crate::output::print;

/// Interval between polls of the box.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Drains an entry box, and waits for it to finish if asked.
pub async fn run(args: &Args, name: &str, wait: bool) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let boxes = client.entry_boxes().await?;
    let found = boxes.into_iter().find(|(box_name, _)| box_name == name);
    let (_, addr) = found.with_context(|| format!("no entry box is named {name:?}"))?;
    let res = client.call(addr, Method::POST, "/ops/drain", Vec::new()).await?;
    let mut status: EntryStatus = res.success_json()?;
    while wait && !(status.intake == "closed" && stream_count(&status) == 0) {
        eprintln!("{name}: intake {}, {} active streams", status.intake, stream_count(&status));
        compio::time::sleep(POLL_INTERVAL).await;
        status = client.entry_status(addr).await?;
    }
    print(args.output, &status, || format!("{name}: {}", status.intake));
    Ok(Exit::Done)
}

fn stream_count(status: &EntryStatus) -> u64 {
    status.streams.iter().map(|(_, count)| count).sum()
}
