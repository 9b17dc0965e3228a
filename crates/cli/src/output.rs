//! Printing: for people or as JSON.

use serde::Serialize;

use crate::args::Output;

/// Prints `value` as JSON, or `text` for people.
pub fn show<T: Serialize>(output: Output, value: &T, text: impl FnOnce() -> String) {
    match output {
        Output::Json => match serde_json::to_string_pretty(value) {
            Ok(json) => println!("{json}"),
            Err(err) => eprintln!("hatchpitch: output: {err}"),
        },
        Output::Text => println!("{}", text()),
    }
}

/// Lays rows out in columns.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(head.to_vec())];
    lines.extend(rows.iter().map(|row| line(row.iter().map(String::as_str).collect())));
    lines.join("\n")
}
