//! A panic and the end that it causes are lines that say where, why and in which task.

use std::process::Command;
use std::time::Duration;

use hatchpitch::essential::spawn_essential;
use hatchpitch::lifecycle;

/// Set in the environment of the process that panics.
const PANICS: &str = "HATCHPITCH_TEST_PANICS";

/// Guards against panics that only plain text on standard error mentions.
#[test]
fn a_panic_ends_the_process_without_a_line() {
    if std::env::var_os(PANICS).is_some() {
        lifecycle::run(|_| async {
            spawn_essential("doomed", async { panic!("requested by the test") });
            compio::time::sleep(Duration::from_secs(30)).await;
            Ok(())
        });
        return;
    }
    let args = ["--exact", "--nocapture", "a_panic_ends_the_process_without_a_line"];
    let exe = std::env::current_exe().unwrap();
    let output = Command::new(exe).args(args).env(PANICS, "1").output().unwrap();
    let log = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<serde_json::Value> =
        log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let find = |message: &str| lines.iter().find(|line| line["message"] == message);
    let panic = find("a task panicked").unwrap_or_else(|| panic!("{log}"));
    assert!(panic["at"].as_str().unwrap().contains("tests/lifecycle.rs:"), "{log}");
    assert_eq!(
        (&panic["cause"], &panic["task"]),
        (&"requested by the test".into(), &"doomed".into())
    );
    let end = find("the process ends").unwrap_or_else(|| panic!("{log}"));
    assert!(end["cause"].as_str().unwrap().contains("doomed"), "{log}");
    assert_eq!((&end["status"], output.status.code()), (&101.into(), Some(101)));
}
