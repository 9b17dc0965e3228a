//! Each promise that the soak checks is seen broken on a record that shows it broken.

use std::time::{Duration, Instant};

use hatchpitch_soak::record::{Begun, ConfigSeen, End, Kind, LimitedWork, Record, RestedWork};
use hatchpitch_soak::verify::verify;

fn begun(id: &str, life: &str) -> Begun {
    Begun { id: id.to_owned(), life: life.to_owned(), resumed: false, beside_another: false }
}

/// Notes a request to box 0 that runs at `lives` and ends as `end`.
fn call(record: &Record, id: &str, kind: Kind, lives: &[&str], end: End) {
    record.begin(id, kind, (0, 1));
    record.runs.borrow_mut().extend(lives.iter().map(|life| begun(id, life)));
    record.end(id, end);
}

/// Asserts that exactly one promise, named by a part of its text, is shown broken.
fn assert_broken(record: &Record, promise: &str) {
    let broken = verify(record);
    assert_eq!(broken.len(), 1, "{broken:?}");
    assert!(broken[0].promise.contains(promise), "{broken:?}");
}

#[test]
fn a_record_of_whole_answers_and_true_refusals_shows_nothing() {
    let record = Record::default();
    record.set_calm(Some(0));
    call(&record, "a", Kind::Once, &["u0"], End::Answered);
    call(&record, "b", Kind::Once, &[], End::Refused);
    call(&record, "c", Kind::Repeatable, &["u0", "u1"], End::Answered);
    // Not read by anybody, as on a connection that the box closes.
    call(&record, "d", Kind::Once, &[], End::Broken("closed".to_owned()));
    record.set_calm(None);
    call(&record, "e", Kind::Stream, &["u0"], End::Broken("crash".to_owned()));
    assert_eq!(verify(&record), []);
}

#[test]
fn wrong_answers_and_second_runs_are_found() {
    let record = Record::default();
    call(&record, "a", Kind::Repeatable, &["u0"], End::Wrong("another's".to_owned()));
    assert_broken(&record, "its own whole answer");
    for kind in [Kind::Once, Kind::Stream] {
        let record = Record::default();
        call(&record, "a", kind, &["u0", "u1"], End::Answered);
        assert_broken(&record, "runs once");
    }
    let record = Record::default();
    call(&record, "a", Kind::Stream, &["u0"], End::Answered);
    let beside = Begun { resumed: true, beside_another: true, ..begun("a", "u1") };
    record.runs.borrow_mut().push(beside);
    assert_broken(&record, "one runner at a time");
}

#[test]
fn false_refusals_and_unasked_runs_are_found() {
    let record = Record::default();
    call(&record, "a", Kind::Repeatable, &["u0"], End::Refused);
    assert_broken(&record, "was not run");
    let record = Record::default();
    record.runs.borrow_mut().push(begun("nobody", "u0"));
    assert_broken(&record, "what callers sent");
}

#[test]
fn requests_that_planned_work_cuts_off_are_found() {
    for end in [End::Broken("closed".to_owned()), End::Failed(502), End::Unanswered] {
        let record = Record::default();
        record.set_calm(Some(3));
        call(&record, "a", Kind::Once, &["u0"], end);
        assert_broken(&record, "cuts off no request");
    }
    // A request that began or ended outside the calm part says nothing of it.
    let record = Record::default();
    record.begin("a", Kind::Once, (0, 1));
    record.runs.borrow_mut().push(begun("a", "u0"));
    record.set_calm(Some(3));
    record.end("a", End::Failed(502));
    assert_eq!(verify(&record), []);
}

#[test]
fn reads_of_older_or_changing_configurations_are_found() {
    let read = |record: &Record, number, text: &str| {
        let seen = ConfigSeen::Read { number, text: text.to_owned(), asked: record.tick() };
        record.configs.borrow_mut().push(seen);
    };
    let record = Record::default();
    let at = record.tick();
    record.configs.borrow_mut().push(ConfigSeen::Acknowledged { number: 7, at });
    read(&record, 7, "seven");
    read(&record, 9, "nine");
    assert_eq!(verify(&record), []);
    read(&record, 6, "six");
    assert_broken(&record, "newest configuration");
    let record = Record::default();
    read(&record, 7, "seven");
    read(&record, 7, "another seven");
    assert_broken(&record, "one content");
}

#[test]
fn boxes_that_go_back_to_older_routes_are_found() {
    let record = Record::default();
    call(&record, "a", Kind::Marker(5), &["u0"], End::Answered);
    call(&record, "b", Kind::Marker(7), &["u0"], End::Answered);
    call(&record, "c", Kind::Marker(5), &[], End::Failed(404));
    assert_eq!(verify(&record), []);
    call(&record, "d", Kind::Marker(5), &["u0"], End::Answered);
    assert_broken(&record, "older configuration");
    // Another life of the box may begin with an older one.
    let record = Record::default();
    call(&record, "a", Kind::Marker(7), &["u0"], End::Answered);
    record.begin("b", Kind::Marker(5), (0, 2));
    record.runs.borrow_mut().push(begun("b", "u0"));
    record.end("b", End::Answered);
    assert_eq!(verify(&record), []);
}

#[test]
fn late_work_at_a_leaver_is_found() {
    let record = Record::default();
    record.late_work.borrow_mut().push("a reached u0".to_owned());
    assert_broken(&record, "leaves gets no new work");
}

#[test]
fn requests_beyond_a_limit_are_found() {
    let per_second = 2.0;
    let start = Instant::now();
    // From 3 s after the first one on, within 4 s, so many times what the limit says, and 5.
    let allowed = 17;
    for (count, calm, is_broken) in
        [(allowed, Some(0), false), (allowed + 1, Some(0), true), (allowed + 1, None, false)]
    {
        let record = Record::default();
        let work = |ms: u64, calm| LimitedWork {
            life: "u0".to_owned(),
            per_second,
            at: start + Duration::from_millis(ms),
            calm,
        };
        record.limited.borrow_mut().push(work(0, None));
        record.limited.borrow_mut().extend((0..count).map(|n| work(3_000 + n * 100, calm)));
        let broken = verify(&record);
        assert_eq!(!broken.is_empty(), is_broken, "{count} {calm:?}: {broken:?}");
    }
}

#[test]
fn requests_within_a_rest_are_found() {
    let start = Instant::now();
    // Two of each box, and a dozen.
    let allowed = 2 * 3 + 12;
    for (count, calm, is_broken) in
        [(allowed, Some(0), false), (allowed + 1, Some(0), true), (allowed + 1, None, false)]
    {
        let record = Record::default();
        record.boxes.set(3);
        let work = |ms: u64, calm| RestedWork {
            life: "u0".to_owned(),
            rest: Duration::from_secs(3),
            at: start + Duration::from_millis(ms),
            calm,
        };
        // What comes before a rest binds does not count.
        record.rested.borrow_mut().extend((0..20).map(|n| work(n * 20, calm)));
        record.rested.borrow_mut().extend((0..count).map(|n| work(600 + n * 100, calm)));
        let broken = verify(&record);
        assert_eq!(!broken.is_empty(), is_broken, "{count} {calm:?}: {broken:?}");
    }
}
