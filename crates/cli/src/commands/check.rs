//! `hatchpitch check`.

use std::path::PathBuf;

use hatchpitch::config::{Fleet, raw::RawFleet};
use hatchpitch::settings::control::RawControlSettings;
use hatchpitch::settings::diagnostic::{Problem, Problems};
use hatchpitch::settings::entry::RawEntrySettings;
use hatchpitch::settings::{ControlSettings, EntrySettings, load_file};

use crate::args::{FileKind, Output};
use crate::exit::Exit;
use crate::output::print;

/// Validates each file and prints all problems.
pub fn run(output: Output, kind: FileKind, files: &[PathBuf]) -> Exit {
    let mut problems: Vec<Problem> = Vec::new();
    for file in files {
        let checked = match kind {
            FileKind::Fleet => load_file::<RawFleet, Fleet>(file).map(drop),
            FileKind::Entry => load_file::<RawEntrySettings, EntrySettings>(file).map(drop),
            FileKind::Control => load_file::<RawControlSettings, ControlSettings>(file).map(drop),
        };
        if let Err(Problems(found)) = checked {
            problems.extend(found);
        }
    }
    print(output, &problems, || match problems.is_empty() {
        true => format!("{} file(s) checked, no problem", files.len()),
        false => Problems(problems.clone()).to_string(),
    });
    if problems.is_empty() { Exit::Done } else { Exit::Invalid }
}
