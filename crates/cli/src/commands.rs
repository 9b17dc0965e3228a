//! Dispatches the command line to its command.

mod apply;
mod check;
mod drain;
mod evacuation;
mod explain;
mod quarantine;
mod status;
mod trace;

use clap::CommandFactory;
use hatchpitch::config::Entity;
use hatchpitch::config::view::key_digest;
use hatchpitch::control::operators::AcceptedAnswer;
use hatchpitch::control::repair::Repaired;
use hatchpitch::security::new_key;
use hatchpitch_net::keys::to_hex;
use http::Method;
use serde::Serialize;

use crate::args::{Args, Command, Output};
use crate::client::Client;
use crate::exit::Exit;
use crate::output::print;

/// Runs the command given by the arguments.
pub async fn run(args: Args) -> anyhow::Result<Exit> {
    match &args.command {
        Command::Check { kind, files } => Ok(check::run(args.output, *kind, files)),
        Command::Key => Ok(generate_key(args.output)),
        Command::Diff { file } => apply::diff(&args, file).await,
        Command::Apply { file, wait } => apply::apply(&args, file, *wait).await,
        Command::Get { number: None } => get_config(&args).await,
        Command::Get { number: Some(number) } => get_accepted(&args, *number).await,
        Command::Status => status::run(&args).await,
        Command::Drain { name, wait } => drain::run(&args, name, *wait).await,
        Command::Evacuation(command) => evacuation::run(&args, command).await,
        Command::Quarantine(command) => quarantine::run(&args, command).await,
        Command::Repair { replace } => repair(&args, replace).await,
        Command::Trace { id } => trace::run(&args, id).await,
        Command::Explain { request, logs } => explain::run(args.output, request, logs),
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(*shell, &mut command, "hatchpitch", &mut std::io::stdout());
            Ok(Exit::Done)
        }
    }
}

#[derive(Serialize)]
struct NewKey {
    key: String,
    sha256: String,
}

fn generate_key(output: Output) -> Exit {
    let key = new_key();
    let new = NewKey { sha256: to_hex(&key_digest(&key)), key };
    print(output, &new, || format!("key     {}\nsha256  {}", new.key, new.sha256));
    Exit::Done
}

async fn get_accepted(args: &Args, number: u64) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let path = format!("/ops/accepted?number={number}");
    let accepted: AcceptedAnswer =
        client.call_leader(Method::GET, &path, &[]).await?.success_json()?;
    print(args.output, &accepted, || {
        format!("number {number} holds {} by {}", accepted.content, accepted.by)
    });
    Ok(Exit::Done)
}

async fn repair(args: &Args, name: &str) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let path = format!("/ops/repair?replace={name}");
    let repaired: Repaired = client.call_leader(Method::POST, &path, &[]).await?.success_json()?;
    print(args.output, &repaired, || {
        format!("{name} replaced; these control boxes count: {}", repaired.voters.join(", "))
    });
    Ok(Exit::Done)
}

async fn get_config(args: &Args) -> anyhow::Result<Exit> {
    let client = Client::new(args)?;
    let res = client.call_leader(Method::GET, "/ops/config", &[]).await?;
    let entities: Vec<Entity> = res.success_json()?;
    print(args.output, &entities, || {
        let lines = entities.iter().map(|e| format!("{e:?}"));
        lines.collect::<Vec<_>>().join("\n")
    });
    Ok(Exit::Done)
}
