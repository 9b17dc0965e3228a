//! Generates the table of `docs/FAULT-MATRIX.md` and checks that the page is up to date.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs;
use std::path::PathBuf;

use super::file::Case;

/// Tests with real processes and of the replicated log, with the cells that each covers.
const LISTED_CELLS: &str = include_str!("../../../e2e/tests/cells.txt");
/// Environment variable that regenerates the page if it is set.
const UPDATE_VARIABLE: &str = "HATCHPITCH_UPDATE_DOCS";

fn repo_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Parses the lines `path::test step fault` of [`LISTED_CELLS`], and checks that each test exists.
fn listed_cells() -> Vec<(String, String, String)> {
    let lines =
        LISTED_CELLS.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#'));
    lines
        .map(|line| {
            let [test_path, step, fault] = line.split_whitespace().collect::<Vec<_>>()[..] else {
                panic!("cells.txt: expected `path::test step fault`, found {line:?}");
            };
            let (file, test) =
                test_path.split_once("::").expect("expected `path::test` in cells.txt");
            let source = fs::read_to_string(repo_root().join(file)).unwrap_or_default();
            assert!(source.contains(&format!("fn {test}(")), "{file} has no test {test}");
            (test_path.to_owned(), step.to_owned(), fault.to_owned())
        })
        .collect()
}

/// Renders the page from the case files and the listed cells.
fn render_page() -> String {
    let mut cells: BTreeMap<(String, String), (u32, u32)> = BTreeMap::new();
    for case in Case::load_all() {
        cells.entry((case.step, case.fault)).or_default().0 += 1;
    }
    for (_, step, fault) in listed_cells() {
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
            let text = cell.map_or(String::new(), |(cases, processes)| {
                let format_count = |prefix: &str, count: &u32| {
                    if *count > 0 { format!("{prefix}{count}") } else { String::new() }
                };
                format!("{} {}", format_count("s", cases), format_count("p", processes))
                    .trim()
                    .to_owned()
            });
            let _ = write!(page, " {text} |");
        }
    }
    let (total, covered) = (steps.len() * faults.len(), cells.len());
    let _ = writeln!(page, "\n\n{covered} of {total} cells run.");
    page
}

#[test]
fn fault_matrix_page_is_up_to_date() {
    let path = repo_root().join("docs/FAULT-MATRIX.md");
    let page = render_page();
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&path, &page).unwrap();
    }
    assert_eq!(
        fs::read_to_string(&path).unwrap_or_default(),
        page,
        "set {UPDATE_VARIABLE}=1 to regenerate the page"
    );
}
