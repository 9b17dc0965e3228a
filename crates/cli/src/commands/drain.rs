//! `hatchpitch drain`.

use std::time::Duration;

use anyhow::Context as _;
use hatchpitch::entry::operators::EntryStatus;
use http::Method;

use crate::args::Args;
use crate::exit::Exit;
use crate::output::show;
use crate::remote::Remote;

const POLL: Duration = Duration::from_millis(500);

/// Has a box finish what it has.
pub async fn run(args: &Args, name: &str, wait: bool) -> anyhow::Result<Exit> {
    let remote = Remote::new(args)?;
    let entries = remote.entries().await?;
    let found = entries.into_iter().find(|(known, _)| known == name);
    let (_, addr) = found.with_context(|| format!("no entry box is named {name:?}"))?;
    let reply = remote.call(addr, Method::POST, "/ops/drain", Vec::new()).await?;
    let mut status: EntryStatus = reply.ok()?;
    while wait && !(status.intake == "closed" && running(&status) == 0) {
        eprintln!("{name}: {}, {} streams", status.intake, running(&status));
        compio::time::sleep(POLL).await;
        status = remote.entry_status(addr).await?;
    }
    show(args.output, &status, || format!("{name}: {}", status.intake));
    Ok(Exit::Done)
}

fn running(status: &EntryStatus) -> u64 {
    status.streams.iter().map(|(_, count)| count).sum()
}
