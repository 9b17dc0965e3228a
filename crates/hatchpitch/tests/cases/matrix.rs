//! The table of the fault matrix in `docs/FAULT-MATRIX.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs;
use std::path::PathBuf;

use super::file::Case;

/// Tests with real processes and on the log, each with the cells that it covers.
const CELLS: &str = include_str!("../../../e2e/tests/cells.txt");
/// Set it to write the page anew.
const UPDATE: &str = "HATCHPITCH_UPDATE_DOCS";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Reads `path::test step fault` lines, checking that each test exists.
fn other_cells() -> Vec<(String, String, String)> {
    let lines = CELLS.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#'));
    lines
        .map(|line| {
            let [place, step, fault] = line.split_whitespace().collect::<Vec<_>>()[..] else {
                panic!("cells.txt: {line}");
            };
            let (file, test) = place.split_once("::").expect("file::test");
            let source = fs::read_to_string(root().join(file)).unwrap_or_default();
            assert!(source.contains(&format!("fn {test}(")), "{file} has no test {test}");
            (place.to_owned(), step.to_owned(), fault.to_owned())
        })
        .collect()
}

fn page() -> String {
    let mut cells: BTreeMap<(String, String), (u32, u32)> = BTreeMap::new();
    for case in Case::load_all() {
        cells.entry((case.step, case.fault)).or_default().0 += 1;
    }
    for (_, step, fault) in other_cells() {
        cells.entry((step, fault)).or_default().1 += 1;
    }
    let steps: BTreeSet<&String> = cells.keys().map(|(step, _)| step).collect();
    let faults: BTreeSet<&String> = cells.keys().map(|(_, fault)| fault).collect();
    let mut page = String::from(
        "# Fault matrix\n\n\
         Made by `HATCHPITCH_UPDATE_DOCS=1 cargo test -p hatchpitch --test cases`; CI checks that\n\
         it is current. Rows are the steps, columns the faults. `s2` means two step-exact cases on\n\
         the state machines, `p1` one test with real processes or on the replicated log under\n\
         random schedules. An empty cell is unproved.\n\n|  |",
    );
    for fault in &faults {
        let _ = write!(page, " {fault} |");
    }
    page.push_str("\n|---|");
    page.push_str(&"---|".repeat(faults.len()));
    for step in &steps {
        let _ = write!(page, "\n| {step} |");
        for fault in &faults {
            let cell = cells.get(&((*step).clone(), (*fault).clone()));
            let shown = cell.map_or(String::new(), |(cases, processes)| {
                let part =
                    |sign: &str, n: &u32| if *n > 0 { format!("{sign}{n}") } else { String::new() };
                format!("{} {}", part("s", cases), part("p", processes)).trim().to_owned()
            });
            let _ = write!(page, " {shown} |");
        }
    }
    let (all, run) = (steps.len() * faults.len(), cells.len());
    let _ = writeln!(page, "\n\n{run} of {all} cells run.");
    page
}

#[test]
fn the_page_of_the_fault_matrix_is_current() {
    let path = root().join("docs/FAULT-MATRIX.md");
    let page = page();
    if std::env::var_os(UPDATE).is_some() {
        fs::write(&path, &page).unwrap();
    }
    assert_eq!(fs::read_to_string(&path).unwrap_or_default(), page, "set {UPDATE}=1 to write it");
}
