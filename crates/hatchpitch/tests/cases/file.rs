//! Parser for case files.

use std::fs;
use std::path::PathBuf;

/// One input and its expected output lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    pub input: String,
    pub output: Vec<String>,
}

/// A parsed case file.
#[derive(Debug, Clone)]
pub struct Case {
    /// File name.
    pub name: String,
    /// State machine under test.
    pub machine: String,
    /// Row of the fault matrix.
    pub step: String,
    /// Column of the fault matrix.
    pub fault: String,
    pub exchanges: Vec<Exchange>,
}

impl Case {
    /// Loads all case files, in order of name.
    pub fn load_all() -> Vec<Self> {
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/cases/files");
        let mut paths: Vec<PathBuf> =
            fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
        paths.sort();
        paths.iter().map(Self::load).collect()
    }

    fn load(path: &PathBuf) -> Self {
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        let text = fs::read_to_string(path).unwrap();
        let mut case = Self {
            name,
            machine: String::new(),
            step: String::new(),
            fault: String::new(),
            exchanges: Vec::new(),
        };
        for line in text.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#')) {
            case.parse_line(line);
        }
        assert!(!case.exchanges.is_empty(), "{}: case has no input", case.name);
        case
    }

    fn parse_line(&mut self, line: &str) {
        if let Some(input) = line.strip_prefix("> ") {
            self.exchanges.push(Exchange { input: input.to_owned(), output: Vec::new() });
        } else if let Some(exchange) = self.exchanges.last_mut() {
            exchange.output.push(line.to_owned());
        } else {
            let (key, value) =
                line.split_once(": ").expect("expected a header such as `machine: stream`");
            match key {
                "machine" => self.machine = value.to_owned(),
                "step" => self.step = value.to_owned(),
                "fault" => self.fault = value.to_owned(),
                other => panic!("{}: unknown header {other}", self.name),
            }
        }
    }

    /// Returns the expected output of each input.
    pub fn expected(&self) -> Vec<Vec<String>> {
        self.exchanges.iter().map(|exchange| exchange.output.clone()).collect()
    }

    /// Describes the inputs whose actual output differs from the expected one.
    pub fn difference(&self, actual: &[Vec<String>]) -> String {
        let mut lines = Vec::new();
        for (exchange, actual) in self.exchanges.iter().zip(actual) {
            if exchange.output != *actual {
                let Exchange { input, output } = exchange;
                lines
                    .push(format!("  > {input}\n    expected {output:?}\n    actual   {actual:?}"));
            }
        }
        lines.join("\n")
    }
}

/// Splits a line into words; a quoted word may contain spaces.
pub fn words(line: &str) -> Vec<String> {
    line.split('"')
        .enumerate()
        .flat_map(|(i, part)| match i % 2 {
            0 => part.split_whitespace().map(str::to_owned).collect::<Vec<_>>(),
            _ => vec![part.to_owned()],
        })
        .collect()
}
