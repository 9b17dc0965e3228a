//! `hatchpitch explain`.

use std::path::PathBuf;

use anyhow::Context as _;
use hatchpitch::explain::{LogFile, explain};

use crate::args::Output;
use crate::exit::Exit;
use crate::output::print;

/// Reconstructs the history of a request from log files and prints it.
pub fn run(output: Output, request: &str, files: &[PathBuf]) -> anyhow::Result<Exit> {
    let mut logs = Vec::with_capacity(files.len());
    for file in files {
        let bytes =
            std::fs::read(file).with_context(|| format!("reading log file {}", file.display()))?;
        logs.push(LogFile::parse(&String::from_utf8_lossy(&bytes)));
    }
    let history = explain(request, &logs);
    let found = !history.lines.is_empty();
    print(output, &history, || history.text());
    Ok(if found { Exit::Done } else { Exit::Failed })
}
