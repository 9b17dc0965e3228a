//! Data-driven tests of the state machines, with one case per file.
//!
//! A case file starts with the headers `machine`, `step` and `fault`; `step` and `fault` name the
//! cell of the fault matrix that the case covers. A line that starts with `> ` is an input to the
//! machine; the lines below it are the expected output.

mod claims;
mod config;
mod core;
mod file;
mod matrix;
mod stream;

use file::Case;

#[test]
fn every_case_produces_its_expected_output() {
    let cases = Case::load_all();
    assert!(cases.len() >= 30, "only {} cases were found", cases.len());
    let mut failed = Vec::new();
    for case in &cases {
        let actual = match case.machine.as_str() {
            "stream" => stream::run(case),
            "claims" => claims::run(case),
            "config" => config::run(case),
            "core" => core::run(case),
            other => panic!("{}: unknown machine {other}", case.name),
        };
        if actual != case.expected() {
            failed.push(format!("{}:\n{}", case.name, case.difference(&actual)));
        }
    }
    assert!(
        failed.is_empty(),
        "{} of {} cases failed\n{}",
        failed.len(),
        cases.len(),
        failed.join("\n")
    );
    println!("{} cases", cases.len());
}
