//! Command output, as text or JSON.

use serde::Serialize;

use crate::args::Output;

/// Prints `value` as JSON or the result of `text`, depending on the output format.
pub fn print<T: Serialize>(output: Output, value: &T, text: impl FnOnce() -> String) {
    match output {
        Output::Json => match serde_json::to_string_pretty(value) {
            Ok(json) => println!("{json}"),
            Err(err) => eprintln!("hatchpitch: output: {err}"),
        },
        Output::Text => println!("{}", text()),
    }
}

/// Formats rows as left-aligned columns under a header.
pub fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let format_line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut lines = vec![format_line(header.to_vec())];
    lines.extend(rows.iter().map(|row| format_line(row.iter().map(String::as_str).collect())));
    lines.join("\n")
}
