//! `hatchpitch explain`.

use std::path::PathBuf;

use anyhow::Context as _;
use hatchpitch::explain::{LogFile, explain};

use crate::args::Output;
use crate::exit::Exit;
use crate::output::show;

/// Prints the story of a request from log files.
pub fn run(output: Output, request: &str, files: &[PathBuf]) -> anyhow::Result<Exit> {
    let mut logs = Vec::with_capacity(files.len());
    for file in files {
        let bytes = std::fs::read(file).with_context(|| format!("log {}", file.display()))?;
        logs.push(LogFile::parse(&String::from_utf8_lossy(&bytes)));
    }
    let story = explain(request, &logs);
    let found = !story.lines.is_empty();
    show(output, &story, || story.text());
    Ok(if found { Exit::Done } else { Exit::Failed })
}
