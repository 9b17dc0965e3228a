//! Reads case files.

use std::fs;
use std::path::PathBuf;

/// One input and what has to come out of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    pub input: String,
    pub output: Vec<String>,
}

/// One case file.
#[derive(Debug, Clone)]
pub struct Case {
    pub name: String,
    pub machine: String,
    pub step: String,
    pub fault: String,
    pub exchanges: Vec<Exchange>,
}

impl Case {
    pub fn load_all() -> Vec<Self> {
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/cases/files");
        let mut paths: Vec<PathBuf> =
            fs::read_dir(folder).unwrap().map(|found| found.unwrap().path()).collect();
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
            case.take(line);
        }
        assert!(!case.exchanges.is_empty(), "{}: no input", case.name);
        case
    }

    fn take(&mut self, line: &str) {
        if let Some(input) = line.strip_prefix("> ") {
            self.exchanges.push(Exchange { input: input.to_owned(), output: Vec::new() });
        } else if let Some(exchange) = self.exchanges.last_mut() {
            exchange.output.push(line.to_owned());
        } else {
            let (key, value) = line.split_once(": ").expect("a header such as `machine: stream`");
            match key {
                "machine" => self.machine = value.to_owned(),
                "step" => self.step = value.to_owned(),
                "fault" => self.fault = value.to_owned(),
                other => panic!("{}: unknown header {other}", self.name),
            }
        }
    }

    pub fn expected(&self) -> Vec<Vec<String>> {
        self.exchanges.iter().map(|exchange| exchange.output.clone()).collect()
    }

    pub fn difference(&self, got: &[Vec<String>]) -> String {
        let mut lines = Vec::new();
        for (exchange, got) in self.exchanges.iter().zip(got) {
            if exchange.output != *got {
                let Exchange { input, output } = exchange;
                lines.push(format!("  > {input}\n    expected {output:?}\n    got      {got:?}"));
            }
        }
        lines.join("\n")
    }
}

/// Splits a line into words; a quoted word may hold blanks.
pub fn words(line: &str) -> Vec<String> {
    line.split('"')
        .enumerate()
        .flat_map(|(i, part)| match i % 2 {
            0 => part.split_whitespace().map(str::to_owned).collect::<Vec<_>>(),
            _ => vec![part.to_owned()],
        })
        .collect()
}
