//! Text-driven cases of the state machines: one case a file, expectations beside the input.
//!
//! A file begins with `machine`, `step` and `fault`; the last two name the
//! cell of the fault matrix that it covers. Lines after `> ` go into the
//! machine; the lines below them are what has to come out.

mod claims;
mod config;
mod file;
mod matrix;
mod stream;

use file::Case;

#[test]
fn every_case_has_the_outcome_written_beside_it() {
    let cases = Case::load_all();
    assert!(cases.len() >= 30, "only {} cases were found", cases.len());
    let mut failed = Vec::new();
    for case in &cases {
        let got = match case.machine.as_str() {
            "stream" => stream::run(case),
            "claims" => claims::run(case),
            "config" => config::run(case),
            other => panic!("{}: unknown machine {other}", case.name),
        };
        if got != case.expected() {
            failed.push(format!("{}:\n{}", case.name, case.difference(&got)));
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
