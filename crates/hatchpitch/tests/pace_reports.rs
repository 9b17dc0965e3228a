//! Failures of the collection of gaps between events, and of the reports of them to owners.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch::admission::{AdmissionConfig, Pick, Policy};
use hatchpitch::dispatch::{PoolScheduler, Quote, SlotRequest};
use hatchpitch::entry::EntryCx;
use hatchpitch::membership::MemberStatus;
use hatchpitch::membership::messages::{MemberRecord, Subject};
use hatchpitch::membership::state::{Membership, MembershipConfig};
use hatchpitch::metrics::{Count, Metrics};
use hatchpitch::pace::collector::MAX_ENTRIES;
use hatchpitch::pace::messages::{EngineGaps, FirstToken};
use hatchpitch::pace::task::{self, apply_to_table};
use hatchpitch::pace::watch::{PaceChange, PaceSummary, RiskWatch, paces};
use hatchpitch::pace::{Collector, GapHistogram, PaceReport};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, RunnerTable, Verdict, verify};
use hatchpitch::settings::EntrySettings;
use hatchpitch::settings::entry::{EntryLimits, EntryTiming};
use hatchpitch_net::{BoxClient, KeyRing, SigningKey};

/// Interval between reports.
const INTERVAL: Duration = Duration::from_millis(250);
const POOL: &str = "p";
/// Gaps between events per interval in these tests.
const GAPS: u32 = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn owner(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 1).into()
}

fn spec(name: &str) -> RunnerSpec {
    RunnerSpec {
        name: name.to_owned(),
        addr: ([10, 0, 1, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 24,
        memory: None,
        copy_rate: f64::INFINITY,
    }
}

fn table(names: &[&str]) -> RunnerTable {
    let mut table =
        RunnerTable::new(RoutingConfig { pick: Pick::Objective, ..RoutingConfig::default() });
    table.sync(names.iter().map(|name| spec(name)));
    table
}

/// A box whose streams run on these engines, without a network.
struct Reporter {
    collector: Collector,
    engines: Vec<String>,
    owner: Cell<Option<SocketAddr>>,
    now: Instant,
}

impl Reporter {
    fn new(engines: impl IntoIterator<Item = String>) -> Self {
        Self {
            collector: Collector::new(Pick::Objective),
            engines: engines.into_iter().collect(),
            owner: Cell::new(Some(owner(1))),
            now: Instant::now(),
        }
    }

    fn one() -> Self {
        Self::new(["e@1".to_owned()])
    }

    /// Records [`GAPS`] gaps of every engine and returns the reports at the end of the interval.
    fn interval(&mut self) -> BTreeMap<SocketAddr, PaceReport> {
        for engine in &self.engines {
            for _ in 0..GAPS {
                self.collector.record_gap(POOL, engine, ms(60), self.now);
            }
        }
        self.idle_interval()
    }

    /// Returns the reports at the end of an interval in which nothing was observed.
    fn idle_interval(&mut self) -> BTreeMap<SocketAddr, PaceReport> {
        self.now += INTERVAL;
        self.collector.take(|_| self.owner.get(), self.now)
    }
}

/// Returns the weight of the gaps in a report for an owner, or 0 if there is none.
fn gaps(reports: &BTreeMap<SocketAddr, PaceReport>, to: SocketAddr) -> f64 {
    let entries = reports.get(&to).into_iter().flat_map(|report| &report.engines);
    entries.map(|entry| entry.gaps.count()).sum()
}

fn entry(runner: &str, gap: Duration, count: u32) -> EngineGaps {
    let mut gaps = GapHistogram::default();
    (0..count).for_each(|_| gaps.record(gap));
    EngineGaps { pool: POOL.to_owned(), runner: runner.to_owned(), gaps }
}

fn first(runner: &str, id: &str, took: Duration) -> FirstToken {
    FirstToken { pool: POOL.to_owned(), runner: runner.to_owned(), id: id.to_owned(), took }
}

fn is_about(found: f64, expected: f64) -> bool {
    (found - expected).abs() < 0.01 * expected.max(1.0)
}

/// Guards against an owner that starts without data, and against gaps that are counted with each
/// report.
#[test]
fn a_new_owner_gets_the_last_seconds_once() {
    let mut reporter = Reporter::one();
    for _ in 0..40 {
        assert!(is_about(gaps(&reporter.interval(), owner(1)), f64::from(GAPS)));
    }
    reporter.owner.set(Some(owner(2)));
    let reports = reporter.interval();
    let resent = gaps(&reports, owner(2));
    // 4 s hold 16 intervals; the weights decay.
    let (new, kept) = (f64::from(GAPS), 16.0 * f64::from(GAPS));
    assert!(resent > 0.7 * kept && resent < 1.3 * kept, "{resent} gaps for {kept}");
    assert_eq!(reports.len(), 1, "the previous owner gets no report");
    for _ in 0..4 {
        assert!(is_about(gaps(&reporter.interval(), owner(2)), new), "reported twice");
    }
}

/// Guards against a new owner that waits for the next gap of a stream that has just paused.
#[test]
fn a_new_owner_gets_the_last_seconds_of_a_paused_engine() {
    let mut reporter = Reporter::one();
    reporter.interval();
    reporter.owner.set(Some(owner(2)));
    assert!(gaps(&reporter.idle_interval(), owner(2)) > 0.9 * f64::from(GAPS));
    assert!(reporter.idle_interval().is_empty());
}

/// Guards against lost gaps while an owner has left and the next one is not known yet.
#[test]
fn gaps_are_kept_while_the_owner_is_unknown() {
    let mut reporter = Reporter::one();
    reporter.interval();
    reporter.owner.set(None);
    for _ in 0..4 {
        assert!(reporter.interval().is_empty());
    }
    reporter.owner.set(Some(owner(1)));
    let sent = gaps(&reporter.interval(), owner(1));
    let all = 5.0 * f64::from(GAPS);
    assert!(sent > 0.8 * all && sent <= all, "{sent} gaps of {all}");
    assert!(is_about(gaps(&reporter.interval(), owner(1)), f64::from(GAPS)));
}

/// Guards against memory that grows, and against minutes of old gaps that outweigh the present.
#[test]
fn a_collector_without_a_known_owner_is_bounded() {
    let mut reporter = Reporter::new([]);
    reporter.owner.set(None);
    for round in 0..1_200_u32 {
        // Engines live for 20 s.
        reporter.engines = (0..8).map(|i| format!("e{i}@{}", round / 80)).collect();
        for i in 0..50 {
            let id = format!("{round}-{i}");
            reporter.collector.record_first(POOL, "e0@0", &id, ms(300));
        }
        assert!(reporter.interval().is_empty());
        let (engines, firsts) = reporter.collector.kept();
        assert!(engines <= 16 && firsts == 0, "{engines} engines, {firsts} first tokens");
    }
    reporter.owner.set(Some(owner(1)));
    let reports = reporter.idle_interval();
    // An engine holds at most what about 4 s show: the sum of the decaying weights.
    let most = f64::from(GAPS) / (1.0 - 0.94);
    for entry in &reports[&owner(1)].engines {
        assert!(entry.gaps.count() <= most + 1.0, "{} of {most}", entry.gaps.count());
    }
    for _ in 0..20 {
        reporter.idle_interval();
    }
    assert_eq!(reporter.collector.kept(), (0, 0), "engines without streams are forgotten");
}

/// Guards against first tokens that pile up if the task that takes reports stands still.
#[test]
fn first_tokens_are_bounded_between_two_reports() {
    let mut reporter = Reporter::one();
    for i in 0..10_000 {
        reporter.collector.record_first(POOL, "e@1", &i.to_string(), ms(300));
    }
    assert!(reporter.collector.kept().1 <= 1_024);
    assert_eq!(reporter.idle_interval()[&owner(1)].firsts.len(), MAX_ENTRIES);
    assert!(reporter.idle_interval().is_empty());
}

/// Guards against an owner that comes back without data and learns only from new gaps.
#[test]
fn an_owner_that_dies_and_comes_back_gets_the_last_seconds_again() {
    let mut reporter = Reporter::one();
    (0..20).for_each(|_| drop(reporter.interval()));
    reporter.owner.set(Some(owner(2)));
    (0..8).for_each(|_| drop(reporter.interval()));
    reporter.owner.set(Some(owner(1)));
    let sent = gaps(&reporter.interval(), owner(1));
    assert!(sent > 8.0 * f64::from(GAPS), "{sent} gaps");
    let mut back = table(&["e@1"]);
    assert_eq!(back.pace("e@1", reporter.now), None);
    let report = PaceReport { engines: vec![entry("e@1", ms(60), sent as u32)], firsts: vec![] };
    apply_to_table(&mut back, POOL, &report, reporter.now);
    assert!(back.pace("e@1", reporter.now).is_some(), "known with the first report");
    assert!(is_about(gaps(&reporter.interval(), owner(1)), f64::from(GAPS)));
}

/// Guards against entries that are lost or disturb decisions while two boxes take themselves for
/// the owner.
#[test]
fn two_owners_for_a_second_each_use_what_they_get() {
    let (mut here, mut there) = (Reporter::one(), Reporter::one());
    there.owner.set(Some(owner(2)));
    let mut tables = BTreeMap::from([(owner(1), table(&["e@1"])), (owner(2), table(&["e@1"]))]);
    let mut applied = BTreeMap::<SocketAddr, f64>::new();
    let mut apply = |reports: BTreeMap<SocketAddr, PaceReport>, now| {
        for (to, report) in reports {
            let table = tables.get_mut(&to).unwrap();
            assert_eq!(apply_to_table(table, POOL, &report, now), report.engines.len());
            *applied.entry(to).or_default() += gaps(&BTreeMap::from([(to, report)]), to);
            verify::verify(table).unwrap();
        }
    };
    for _ in 0..4 {
        apply(here.interval(), here.now);
        apply(there.interval(), there.now);
    }
    // The second box is the owner for both from now on.
    here.owner.set(Some(owner(2)));
    apply(here.interval(), here.now);
    apply(there.interval(), there.now);
    let (now, new) = (here.now, f64::from(GAPS));
    assert!(is_about(applied[&owner(1)], 4.0 * new));
    let second = applied[&owner(2)];
    assert!(second > 9.0 * new && second <= 10.0 * new, "{second} gaps");
    for table in tables.values() {
        assert_eq!(table.pace("e@1", now).unwrap().0.mean_gap.as_millis(), 60);
    }
}

/// Guards against a pace of an earlier life that is taken for that of the present one.
#[test]
fn entries_for_an_earlier_life_are_dropped() {
    let (mut table, now) = (table(&["e@2"]), Instant::now());
    let report = PaceReport {
        engines: vec![entry("e@1", ms(200), 50), entry("e@2", ms(60), 50)],
        firsts: vec![first("e@1", "r", ms(300)), first("e@2", "r", ms(300))],
    };
    assert_eq!(apply_to_table(&mut table, POOL, &report, now), 2, "two of four are applied");
    assert_eq!(table.pace("e@1", now), None);
    assert_eq!(table.pace("e@2", now).unwrap().0.mean_gap.as_millis(), 60);
    assert_eq!(apply_to_table(&mut table, "other", &report, now), 0);
    verify::verify(&table).unwrap();
}

/// Returns the state of an entry box that has no connections.
fn entry_box() -> Rc<EntryCx> {
    let key = SigningKey::new("k".into(), vec![3; 32]).unwrap();
    let keys = KeyRing::new(vec![key]).unwrap();
    let own = MemberRecord {
        subject: Subject::Box("b".to_owned()),
        incarnation: 1,
        status: MemberStatus::Alive,
        addr: owner(1),
        box_addr: owner(1),
        failure_domain: "d".to_owned(),
    };
    let settings = EntrySettings {
        name: "b".to_owned(),
        failure_domain: "d".to_owned(),
        regions: BTreeMap::new(),
        callers_addr: owner(1),
        advertised_addr: None,
        boxes_addr: owner(1),
        listen_ip: None,
        upstream_source_ip: None,
        control: vec![],
        seeds: vec![],
        box_keys: keys.clone(),
        log_level: log::LevelFilter::Off,
        limits: EntryLimits::default(),
        timing: EntryTiming::default(),
        policy: Policy { pick: Pick::Objective, ..Policy::default() },
    };
    let membership = Membership::new(own, MembershipConfig::default(), 1, Instant::now());
    EntryCx::new(settings, Rc::new(RefCell::new(membership)), BoxClient::new(keys).unwrap())
}

/// Guards against entries that vanish without a trace, and against reports that make a box keep
/// state for pools that do not exist.
#[test]
fn entries_that_concern_no_engine_of_the_box_are_counted() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let cx = entry_box();
        cx.gate(POOL).update(|table| table.sync([spec("e@2")]));
        let mut report = PaceReport {
            engines: vec![entry("e@1", ms(200), 50), entry("e@2", ms(60), 50)],
            firsts: vec![first("e@1", "r", ms(300)), first("e@2", "r", ms(300))],
        };
        task::apply(&cx, &report);
        assert_eq!(cx.metrics.total(Count::PaceEntriesDropped), 2);
        report.engines.iter_mut().for_each(|engine| engine.pool = "other".to_owned());
        report.firsts.clear();
        task::apply(&cx, &report);
        assert_eq!(cx.metrics.total(Count::PaceEntriesDropped), 4);
        assert_eq!(cx.gates().len(), 1, "a report created a gate");
        let pace = cx.gate(POOL).update(|table| table.pace("e@2", Instant::now())).unwrap().0;
        assert_eq!((pace.mean_gap.as_millis(), pace.gaps.round()), (60, 50.0));
        let text = cx.metrics.render();
        assert!(text.contains("hatchpitch_pace_entries_dropped_total{pool=\"\"} 4"), "{text}");
    });
}

/// Guards against messages without a bound, and against engines that are never reported because
/// others take all entries.
#[test]
fn more_engines_than_entries_are_reported_in_turn() {
    let count = MAX_ENTRIES + 36;
    let mut reporter = Reporter::new((0..count).map(|i| format!("e{i}@1")));
    let mut reported = BTreeMap::<String, f64>::new();
    for round in 1..=4 {
        let reports = reporter.interval();
        let entries = &reports[&owner(1)].engines;
        assert_eq!(entries.len(), MAX_ENTRIES);
        for entry in entries {
            *reported.entry(entry.runner.clone()).or_default() += entry.gaps.count();
        }
        if round == 2 {
            assert_eq!(reported.len(), count, "some engines are not reported");
        }
    }
    // What did not fit waits: nothing is lost.
    let mut rest = 0.0;
    for _ in 0..2 {
        rest += gaps(&reporter.idle_interval(), owner(1));
    }
    let total = reported.values().sum::<f64>() + rest;
    assert!(is_about(total, 4.0 * f64::from(GAPS) * count as f64), "{total} gaps");
}

/// Guards against calls that carry nothing.
#[test]
fn an_empty_interval_sends_nothing() {
    let mut reporter = Reporter::one();
    assert!(reporter.idle_interval().is_empty());
    assert_eq!(reporter.interval().len(), 1);
    (0..40).for_each(|_| assert!(reporter.idle_interval().is_empty()));
}

/// Guards against costs for fleets that do not place by reports.
#[test]
fn nothing_is_recorded_or_sent_while_the_setting_is_off() {
    for pick in [Pick::LeastLoaded, Pick::RoundRobin] {
        let mut reporter = Reporter::one();
        reporter.collector = Collector::new(pick);
        reporter.collector.record_first(POOL, "e@1", &"r".to_owned(), ms(300));
        assert!(reporter.interval().is_empty());
        assert_eq!(reporter.collector.kept(), (0, 0));
    }
}

/// Returns what an owner quotes after a run on its only engine, with another prompt waiting there.
fn quote_after_run(reported: Option<Duration>, at_release: Duration) -> f64 {
    let routing = RoutingConfig { pick: Pick::Objective, ..RoutingConfig::default() };
    let (mut line, now) = (PoolScheduler::new(AdmissionConfig::default(), routing), Instant::now());
    line.update(now, |table| table.sync([spec("e@1")]));
    let req = |id: &str, prompt| SlotRequest {
        id: id.to_owned(),
        workspace: "w".to_owned(),
        kind: "k".to_owned(),
        prompt,
        max_tokens: 500,
        ..SlotRequest::default()
    };
    let run = req("r", 3_000);
    assert!(line.place(&run, now).unwrap().is_some());
    let end = now + Duration::from_secs(8);
    if let Some(took) = reported {
        let report = PaceReport { engines: vec![], firsts: vec![first("e@1", "r", took)] };
        for _ in 0..2 {
            // A report that is duplicated counts once as well.
            line.update(now + took, |table| apply_to_table(table, POOL, &report, now + took));
        }
    }
    let cost = line.cost(&run);
    let released =
        RunReport { verdict: Verdict::Succeeded, first: Some(at_release), ..RunReport::RELEASED };
    line.release("e@1", &run, cost, released, end);
    assert!(line.place(&req("next", 1_500), end).unwrap().is_some());
    match line.quote(&req("asks", 100), end).unwrap() {
        Quote::Room(load) => load,
        busy => panic!("{busy:?}"),
    }
}

/// Guards against a first token that changes the prefill rate twice: with its report, and when the
/// slot is released.
#[test]
fn a_first_token_that_is_reported_early_is_not_counted_at_the_release() {
    let once = quote_after_run(None, ms(300));
    assert_eq!(quote_after_run(Some(ms(300)), ms(900)), once);
    assert_ne!(quote_after_run(None, ms(900)), once, "the quote does not show the rate");
}

/// Guards against a log that repeats itself while the risk varies around its limit.
#[test]
fn an_engine_changes_its_state_at_most_once_a_second() {
    let (mut watch, mut now) = (RiskWatch::default(), Instant::now());
    let mut changes = Vec::new();
    for i in 0..40_u32 {
        let risk = if i % 2 == 0 { 0.9 } else { 0.1 };
        changes.extend(watch.observe(POOL, "e@1", risk, now).map(|change| (now, change)));
        now += INTERVAL;
    }
    assert_eq!(changes.first().map(|(_, change)| *change), Some(PaceChange::Slowed));
    assert!(changes.windows(2).all(|pair| pair[1].0 - pair[0].0 >= Duration::from_secs(1)));
    let mut steady = RiskWatch::default();
    let near_limit = [0.45, 0.55, 0.45, 0.55, 0.45, 0.35];
    let changes: Vec<PaceChange> = near_limit
        .iter()
        .filter_map(|risk| {
            now += Duration::from_secs(2);
            steady.observe(POOL, "e@1", *risk, now)
        })
        .collect();
    assert_eq!(changes, [PaceChange::Slowed, PaceChange::Recovered]);
    steady.retain("other", |_| false);
    assert_eq!(steady.len(), 1);
    steady.retain(POOL, |_| false);
    assert!(steady.is_empty(), "engines that are gone are forgotten");
}

/// Guards against gauges that count engines twice or carry a label per engine.
#[test]
fn gauges_sum_up_the_engines_of_a_box() {
    let (mut table, now) = (table(&["a@1", "b@1", "c@1"]), Instant::now());
    let engines =
        vec![entry("a@1", ms(50), 40), entry("b@1", ms(150), 40), entry("c@1", ms(90), 2)];
    apply_to_table(&mut table, POOL, &PaceReport { engines, firsts: vec![] }, now);
    let mut summary = PaceSummary::default();
    summary.add(&paces(&table, now));
    assert_eq!((summary.known, summary.unknown, summary.at_risk), (2, 1, 0));
    let metrics = Metrics::default();
    metrics.pace(&summary);
    let text = metrics.render();
    for line in [
        "hatchpitch_pace_engines_known 2",
        "hatchpitch_pace_engines_unknown 1",
        "hatchpitch_pace_lowest_mean_gap_seconds 0.05",
        "hatchpitch_pace_highest_mean_gap_seconds 0.15",
        "hatchpitch_pace_share_at_risk 0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}: {text}");
    }
    let names: BTreeSet<&str> = text.lines().filter(|line| line.contains("@1")).collect();
    assert!(names.is_empty(), "{names:?}");
}
