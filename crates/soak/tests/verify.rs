//! For each guarantee that the soak checks, tests that a record which violates it is reported.

use std::os::unix::process::ExitStatusExt as _;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use hatchpitch_net::Framing;
use hatchpitch_soak::record::{
    ConfigEvent, LimitedRequest, Outcome, ProcessEnd, Record, RejectedRequest, RequestKind,
    RunStart,
};
use hatchpitch_soak::verify::verify;

fn run_start(id: &str, instance: &str) -> RunStart {
    RunStart { id: id.to_owned(), instance: instance.to_owned(), resumed: false, concurrent: false }
}

/// Records a request to box 0 that starts runs at `instances` and has the given outcome.
fn call(record: &Record, id: &str, kind: RequestKind, instances: &[&str], outcome: Outcome) {
    record.begin(id, kind, (0, 1));
    record.runs.borrow_mut().extend(instances.iter().map(|instance| run_start(id, instance)));
    record.finish(id, outcome);
}

/// Asserts that exactly one violation is found and that its guarantee contains `property`.
fn assert_violation(record: &Record, property: &str) {
    let violations = verify(record);
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].property.contains(property), "{violations:?}");
}

#[test]
fn valid_answers_and_refusals_are_accepted() {
    let record = Record::default();
    record.set_calm(Some(0));
    call(&record, "a", RequestKind::Once, &["u0"], Outcome::Answered);
    call(&record, "b", RequestKind::Once, &[], Outcome::Refused);
    call(&record, "c", RequestKind::Repeatable, &["u0", "u1"], Outcome::Answered);
    // The request never reached an upstream, as when the box closes an idle connection.
    call(&record, "d", RequestKind::Once, &[], Outcome::Broken("closed".to_owned()));
    record.set_calm(None);
    call(&record, "e", RequestKind::Stream, &["u0"], Outcome::Broken("crash".to_owned()));
    assert_eq!(verify(&record), []);
}

#[test]
fn wrong_answers_and_repeated_runs_are_reported() {
    let record = Record::default();
    call(&record, "a", RequestKind::Repeatable, &["u0"], Outcome::Wrong("another's".to_owned()));
    assert_violation(&record, "its own complete answer");
    for kind in [RequestKind::Once, RequestKind::Stream] {
        let record = Record::default();
        call(&record, "a", kind, &["u0", "u1"], Outcome::Answered);
        assert_violation(&record, "runs at most once");
    }
    let record = Record::default();
    call(&record, "a", RequestKind::Stream, &["u0"], Outcome::Answered);
    let concurrent_run = RunStart { resumed: true, concurrent: true, ..run_start("a", "u1") };
    record.runs.borrow_mut().push(concurrent_run);
    assert_violation(&record, "one upstream at a time");
}

/// Records a request whose answer had this framing and ended in order before it was whole.
fn partial(framing: Option<Framing>, is_cut: bool) -> Record {
    let record = Record::default();
    record.begin("a", RequestKind::Stream, (0, 1));
    record.runs.borrow_mut().push(run_start("a", "u0"));
    if let Some(framing) = framing {
        record.set_framing("a", framing);
    }
    if is_cut {
        record.cut.borrow_mut().insert("a".to_owned());
    }
    record.finish("a", Outcome::Partial("20 of 60 events".to_owned()));
    record
}

#[test]
fn a_truncated_answer_that_is_framed_as_complete_is_reported() {
    for framing in [Some(Framing::Delimited), None] {
        for is_cut in [false, true] {
            assert_violation(&partial(framing, is_cut), "not framed as complete");
        }
    }
}

#[test]
fn an_unframed_answer_that_ends_early_is_reported_unless_its_upstream_ended_it() {
    assert_violation(&partial(Some(Framing::UntilClose), false), "only where its upstream");
    let record = partial(Some(Framing::UntilClose), true);
    assert_eq!(verify(&record), []);
    // The answer to another request was cut.
    record.cut.borrow_mut().clear();
    record.cut.borrow_mut().insert("b".to_owned());
    assert_violation(&record, "only where its upstream");
}

#[test]
fn false_refusals_and_unknown_runs_are_reported() {
    let record = Record::default();
    call(&record, "a", RequestKind::Repeatable, &["u0"], Outcome::Refused);
    assert_violation(&record, "was not run");
    let record = Record::default();
    record.runs.borrow_mut().push(run_start("nobody", "u0"));
    assert_violation(&record, "that callers sent");
}

#[test]
fn requests_interrupted_by_maintenance_are_reported() {
    let cut = Outcome::Partial("cut".to_owned());
    let broken = Outcome::Broken("closed".to_owned());
    for outcome in [broken, cut, Outcome::Failed(502), Outcome::Unanswered] {
        let record = Record::default();
        record.cut.borrow_mut().insert("a".to_owned());
        record.set_calm(Some(3));
        record.begin("a", RequestKind::Once, (0, 1));
        record.set_framing("a", Framing::UntilClose);
        record.runs.borrow_mut().push(run_start("a", "u0"));
        record.finish("a", outcome);
        assert_violation(&record, "interrupts no request");
    }
    // A request that starts or ends outside of the calm phase is not checked.
    let record = Record::default();
    record.begin("a", RequestKind::Once, (0, 1));
    record.runs.borrow_mut().push(run_start("a", "u0"));
    record.set_calm(Some(3));
    record.finish("a", Outcome::Failed(502));
    assert_eq!(verify(&record), []);
}

#[test]
fn stale_reads_and_changed_contents_are_reported() {
    let read = |record: &Record, number, text: &str| {
        let event = ConfigEvent::Read { number, text: text.to_owned(), asked_at: record.tick() };
        record.configs.borrow_mut().push(event);
    };
    let record = Record::default();
    let at = record.tick();
    record.configs.borrow_mut().push(ConfigEvent::Acknowledged { number: 7, at });
    read(&record, 7, "seven");
    read(&record, 9, "nine");
    assert_eq!(verify(&record), []);
    read(&record, 6, "six");
    assert_violation(&record, "newest acknowledged configuration");
    let record = Record::default();
    read(&record, 7, "seven");
    read(&record, 7, "another seven");
    assert_violation(&record, "one content");
}

#[test]
fn returning_to_an_older_configuration_is_reported() {
    let record = Record::default();
    call(&record, "a", RequestKind::Marker(5), &["u0"], Outcome::Answered);
    call(&record, "b", RequestKind::Marker(7), &["u0"], Outcome::Answered);
    call(&record, "c", RequestKind::Marker(5), &[], Outcome::Failed(404));
    assert_eq!(verify(&record), []);
    call(&record, "d", RequestKind::Marker(5), &["u0"], Outcome::Answered);
    assert_violation(&record, "older configuration");
    // After a restart, the entry process may start with an older configuration.
    let record = Record::default();
    call(&record, "a", RequestKind::Marker(7), &["u0"], Outcome::Answered);
    record.begin("b", RequestKind::Marker(5), (0, 2));
    record.runs.borrow_mut().push(run_start("b", "u0"));
    record.finish("b", Outcome::Answered);
    assert_eq!(verify(&record), []);
}

#[test]
fn late_requests_at_a_leaving_upstream_are_reported() {
    let record = Record::default();
    record.late_requests.borrow_mut().push("a reached u0".to_owned());
    assert_violation(&record, "leaving upstream receives no new requests");
}

#[test]
fn requests_beyond_a_limit_are_reported() {
    let per_second = 2.0;
    let start = Instant::now();
    // Counting starts 3 s after the first request. A window of 4 s allows 1.5 times the limit
    // plus 5 requests.
    let allowed = 17;
    for (count, calm, is_violation) in
        [(allowed, Some(0), false), (allowed + 1, Some(0), true), (allowed + 1, None, false)]
    {
        let record = Record::default();
        let request = |ms: u64, calm| LimitedRequest {
            instance: "u0".to_owned(),
            per_second,
            at: start + Duration::from_millis(ms),
            calm,
        };
        record.limited.borrow_mut().push(request(0, None));
        record.limited.borrow_mut().extend((0..count).map(|n| request(3_000 + n * 100, calm)));
        let violations = verify(&record);
        assert_eq!(!violations.is_empty(), is_violation, "{count} {calm:?}: {violations:?}");
    }
}

#[test]
fn requests_during_a_rest_are_reported() {
    let start = Instant::now();
    // Two requests per box, plus a slack of 12.
    let allowed = 2 * 3 + 12;
    for (count, calm, is_violation) in
        [(allowed, Some(0), false), (allowed + 1, Some(0), true), (allowed + 1, None, false)]
    {
        let record = Record::default();
        record.boxes.set(3);
        let request = |ms: u64, calm| RejectedRequest {
            instance: "u0".to_owned(),
            rest: Duration::from_secs(3),
            at: start + Duration::from_millis(ms),
            calm,
        };
        // Requests before the rest is enforced do not count.
        record.rejected.borrow_mut().extend((0..20).map(|n| request(n * 20, calm)));
        record.rejected.borrow_mut().extend((0..count).map(|n| request(600 + n * 100, calm)));
        let violations = verify(&record);
        assert_eq!(!violations.is_empty(), is_violation, "{count} {calm:?}: {violations:?}");
    }
}

/// Guards against a process that ends by itself, or that a signal ends which must not, unnoticed.
#[test]
fn ends_without_a_cause_are_reported() {
    // The wait status of an exit holds its code in the second byte, that of a signal its number.
    let exited = |code: i32| code << 8;
    let (kill, term, hup, abort) = (libc::SIGKILL, libc::SIGTERM, libc::SIGHUP, libc::SIGABRT);
    for (status, signals, is_violation) in [
        (kill, vec![kill], false),
        (kill, vec![term, kill], false),
        (term, vec![term], false),
        (exited(0), vec![term], false),
        // The process ended before the signal that would have ended it.
        (exited(101), vec![kill], true),
        (exited(1), vec![term], true),
        (exited(0), vec![], true),
        (exited(0), vec![kill], true),
        (kill, vec![], true),
        (kill, vec![term], true),
        (hup, vec![hup], true),
        (abort, vec![term], true),
    ] {
        let record = Record::default();
        record.ends.borrow_mut().push(ProcessEnd {
            process: "box-1-entry".to_owned(),
            status: ExitStatus::from_raw(status),
            at: Duration::from_millis(2_500),
            age: Duration::from_secs(1),
            signals: signals.iter().map(|signal| (*signal, Duration::from_secs(2))).collect(),
            log: "the last line".to_owned(),
        });
        let violations = verify(&record);
        assert_eq!(!violations.is_empty(), is_violation, "{status} {signals:?}: {violations:?}");
        for part in ["box-1-entry", "2.50s", "the last line"] {
            assert!(violations.iter().all(|found| found.observed.contains(part)));
        }
    }
}

/// Guards against a process that passes the limit of its machine unnoticed.
#[test]
fn memory_over_the_limit_is_reported() {
    let record = Record::default();
    record.memory_limit.set(110_000_000);
    record.faults.borrow_mut().push("KillBox(0)".to_owned());
    record.note_memory("box-1-entry", 1, 110_000_000, Duration::from_secs(1));
    record.note_memory("box-1-entry", 2, 20_000_000, Duration::from_secs(2));
    assert_eq!(verify(&record), []);
    record.note_memory("box-1-entry", 2, 110_000_001, Duration::from_secs(3));
    record.note_memory("box-1-entry", 2, 292_000_000, Duration::from_secs(4));
    record.note_memory("box-1-entry", 2, 20_000_000, Duration::from_secs(5));
    assert_violation(&record, "the memory of a process");
    let observed = &verify(&record)[0].observed;
    for part in ["box-1-entry, start 2", "3.00s", "292 MB", "KillBox(0)"] {
        assert!(observed.contains(part), "{observed}");
    }
}

/// Guards against a box that takes a message which nobody signed, or a configuration that is none.
#[test]
fn messages_that_had_to_be_rejected_are_reported() {
    let record = Record::default();
    record.accepted.borrow_mut().push("/box/gossip: 200 OK".to_owned());
    assert_violation(&record, "are rejected");
}
