//! Standby copies of streams: which streams get one, which engines keep one, and that no request
//! suffers from them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch::admission::{AdmissionConfig, MemoryPolicy, Policy};
use hatchpitch::dispatch::{Decision, PoolScheduler, Quote, SlotRequest, verify};
use hatchpitch::grants::messages::Ask;
use hatchpitch::grants::{GrantAnswer, GrantRequest, HeldSlot, HeldSlots, ReleaseRequest};
use hatchpitch::relay::events::EventSplitter;
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};
use hatchpitch::standby::plan::{
    AskLimiter, BrokenStream, check_failover, choose_owner, is_worthwhile, standby_domains,
};

const MS: Duration = Duration::from_millis(1);
/// Memory of each engine, in tokens.
const MEMORY: u64 = 10_000;
/// Largest total size of the messages by which a standby is obtained and released.
const MAX_STANDBY_BYTES: usize = 1_000;

fn spec(name: &str, domain: &str, slots: u64) -> RunnerSpec {
    RunnerSpec {
        name: name.to_owned(),
        addr: ([10, 0, 0, 1], 1).into(),
        failure_domain: domain.to_owned(),
        slots,
        memory: Some(MEMORY),
        copy_rate: f64::INFINITY,
    }
}

/// Creates the scheduler of an owner of engines in the failure domain `d`.
fn owner(memory: MemoryPolicy, slots: u64, engines: &[&str], now: Instant) -> PoolScheduler {
    let routing = RoutingConfig { memory, ..RoutingConfig::default() };
    let mut owner = PoolScheduler::new(AdmissionConfig::default(), routing);
    owner.update(now, |table| table.sync(engines.iter().map(|name| spec(name, "d", slots))));
    owner
}

fn request(id: &str, prompt: u64) -> SlotRequest {
    SlotRequest {
        id: id.to_owned(),
        workspace: "w".to_owned(),
        priority: 1,
        kind: "k".to_owned(),
        prompt,
        max_tokens: 500,
        ..SlotRequest::default()
    }
}

fn standby(id: &str, prompt: u64) -> SlotRequest {
    SlotRequest { standby: true, ..request(id, prompt) }
}

/// Asks for the slot of a standby and returns its engine.
fn take(owner: &mut PoolScheduler, req: &SlotRequest, now: Instant) -> Option<String> {
    let waiting = owner.waiting();
    let decision = owner.decide(req, now);
    verify::verify(owner).unwrap();
    assert_eq!(owner.waiting(), waiting, "a standby was queued");
    match decision {
        Decision::Run(spec) => Some(spec.name),
        Decision::Refuse(_) => None,
        Decision::Wait(_) => panic!("a standby waits"),
    }
}

fn runs(owner: &mut PoolScheduler, req: &SlotRequest, now: Instant) -> bool {
    matches!(owner.decide(req, now), Decision::Run(_))
}

fn running(owner: &PoolScheduler, now: Instant) -> u64 {
    owner.table().overview(now).iter().map(|(_, running, _)| running).sum()
}

/// Guards against standbys that take the place of a request, or make an engine look busier.
#[test]
fn a_standby_takes_no_place_and_no_load() {
    let now = Instant::now();
    let mut owner = owner(MemoryPolicy::Watermark(1.0), 1, &["e"], now);
    let quote = owner.quote(&request("r", 100), now).unwrap();
    assert_eq!(take(&mut owner, &standby("s", 1_000), now).as_deref(), Some("e"));
    assert_eq!(running(&owner, now), 0);
    assert_eq!(owner.quote(&request("r", 100), now).unwrap(), quote);
    assert!(runs(&mut owner, &request("r", 100), now));
    assert_eq!(running(&owner, now), 1);
    // Its release does not count as the end of a run.
    let report = RunReport { verdict: Verdict::Succeeded, ..RunReport::RELEASED };
    owner.release("e", &standby("s", 1_000), 0, report, now + 900 * MS);
    assert_eq!(running(&owner, now), 1);
    assert_eq!(owner.table().service_interval(), None);
}

/// Guards against standbys that use up the memory which requests need next.
#[test]
fn standbys_are_granted_up_to_half_of_the_memory() {
    let now = Instant::now();
    let mut owner = owner(Policy::default().memory, 24, &["e"], now);
    assert!(runs(&mut owner, &request("r", 1_000), now));
    let granted =
        (0..20).filter(|i| take(&mut owner, &standby(&i.to_string(), 500), now).is_some());
    let granted = granted.count() as u64;
    assert!((1..=8).contains(&granted), "{granted}");
    // The next one fits once another has been released.
    assert_eq!(take(&mut owner, &standby("next", 500), now), None);
    owner.release("e", &standby("0", 500), 0, RunReport::RELEASED, now);
    assert!(take(&mut owner, &standby("next", 500), now).is_some());
    assert_eq!(take(&mut owner, &standby("large", 4_900), now), None);
}

#[test]
fn a_standby_goes_to_the_engine_with_the_least_memory_in_use() {
    let now = Instant::now();
    let mut owner = owner(Policy::default().memory, 24, &["e1", "e2"], now);
    let other = |name: &str| if name == "e1" { "e2" } else { "e1" };
    let first = take(&mut owner, &standby("s1", 1_000), now).unwrap();
    assert_eq!(take(&mut owner, &standby("s2", 1_000), now).unwrap(), other(&first));
    let avoid = vec![first.clone()];
    let only = SlotRequest { avoid, ..standby("s3", 100) };
    assert_eq!(take(&mut owner, &only, now).unwrap(), other(&first));
    let elsewhere = SlotRequest { within: vec!["x".to_owned()], ..standby("s4", 100) };
    assert_eq!(take(&mut owner, &elsewhere, now), None);
}

/// Guards against standbys on an engine of whose memory nothing is known.
#[test]
fn no_standby_is_granted_where_the_size_of_the_memory_is_unknown() {
    let now = Instant::now();
    let mut owner = owner(MemoryPolicy::Unlimited, 24, &[], now);
    owner.update(now, |table| table.sync([RunnerSpec { memory: None, ..spec("e", "d", 24) }]));
    assert_eq!(take(&mut owner, &standby("s", 1), now), None);
}

/// Guards against standbys that are granted in a shortage.
#[test]
fn no_standby_is_granted_while_a_request_waits() {
    let now = Instant::now();
    let mut owner = owner(MemoryPolicy::Watermark(1.0), 1, &["e"], now);
    assert!(runs(&mut owner, &request("r1", 100), now));
    assert!(matches!(owner.decide(&request("r2", 100), now), Decision::Wait(_)));
    assert_eq!(take(&mut owner, &standby("s", 100), now), None);
    owner.release("e", &request("r1", 100), 0, RunReport::RELEASED, now);
    assert_eq!(owner.take_answers().len(), 1);
    assert!(take(&mut owner, &standby("s", 100), now).is_some());
}

/// Guards against requests that wait or are refused because of the memory of standbys.
#[test]
fn requests_take_precedence_over_standbys() {
    let now = Instant::now();
    // Prompts that fit into an empty engine, and not beside a standby.
    for (policy, prompt) in [
        (MemoryPolicy::Watermark(1.0), 7_500),
        (MemoryPolicy::Quantile(0.5), 7_500),
        (MemoryPolicy::Survival(2.0), 5_500),
    ] {
        let mut plain = owner(policy, 24, &["e1", "e2"], now);
        let mut with = plain.clone();
        for id in ["s1", "s2"] {
            assert!(take(&mut with, &standby(id, 4_000), now).is_some(), "{policy:?}");
        }
        let large = request("r", prompt);
        assert!(runs(&mut plain, &large, now), "{policy:?}");
        assert!(matches!(with.quote(&large, now), Ok(Quote::Room(_))), "{policy:?}");
        assert!(runs(&mut with, &large, now), "{policy:?}");
    }
}

/// Guards against a request that is placed beside a standby although another engine has room.
#[test]
fn a_request_goes_where_it_fits_beside_the_standbys() {
    let now = Instant::now();
    let mut owner = owner(MemoryPolicy::Watermark(1.0), 24, &["e1", "e2"], now);
    let at = take(&mut owner, &standby("s", 4_000), now).unwrap();
    // The other engine is busier.
    let busier = SlotRequest { avoid: vec![at.clone()], ..request("r1", 500) };
    assert!(runs(&mut owner, &busier, now));
    let later = now + Duration::from_secs(2);
    let Decision::Run(spec) = owner.decide(&request("r2", 7_000), later) else { panic!() };
    assert_ne!(spec.name, at);
}

/// One request of a burst, and the time from its arrival to its slot.
struct Arrival {
    at: Duration,
    prompt: u64,
    run_time: Duration,
}

/// Replays a burst at one owner. With `standbys`, a standby of the same size is asked for before
/// each request. Returns the wait of each request, and the standbys granted.
fn replay(arrivals: &[Arrival], standbys: bool) -> (Vec<Duration>, usize) {
    let start = Instant::now();
    let mut owner = owner(Policy::default().memory, 4, &["e1", "e2", "e3"], start);
    let mut waits = vec![Duration::MAX; arrivals.len()];
    let mut ends: Vec<(Instant, String, usize)> = Vec::new();
    let mut next = 0;
    let mut granted = 0;
    for tick in 0..6_000 {
        let now = start + tick * 10 * MS;
        while let Some(at) = ends.iter().position(|(end, ..)| *end <= now) {
            let (_, engine, i) = ends.swap_remove(at);
            let report = RunReport {
                verdict: Verdict::Succeeded,
                tokens: Some(300),
                first: Some(50 * MS),
                ..RunReport::RELEASED
            };
            owner.release(&engine, &request(&i.to_string(), arrivals[i].prompt), 0, report, now);
        }
        while next < arrivals.len() && start + arrivals[next].at <= now {
            let Arrival { prompt, run_time, .. } = arrivals[next];
            if standbys {
                let copy = standby(&format!("s{next}"), prompt);
                granted += usize::from(take(&mut owner, &copy, now).is_some());
            }
            let req = request(&next.to_string(), prompt);
            if let Decision::Run(spec) = owner.decide(&req, now) {
                waits[next] = now - (start + arrivals[next].at);
                owner.update(now, |table| table.record_first_token(&spec.name, &req.id, 50 * MS));
                ends.push((now + run_time, spec.name, next));
            }
            next += 1;
        }
        owner.tick(now);
        for answer in owner.take_answers() {
            let i: usize = answer.id.parse().unwrap();
            let Ok(spec) = answer.slot else { continue };
            waits[i] = now - (start + arrivals[i].at);
            owner.update(now, |table| table.record_first_token(&spec.name, &answer.id, 50 * MS));
            ends.push((now + arrivals[i].run_time, spec.name, i));
        }
    }
    (waits, granted)
}

/// Guards against a burst whose requests wait longer, or are refused, because of standbys.
#[test]
fn a_burst_does_not_wait_because_of_standbys() {
    // Calm traffic, then ten times as much for 2 s.
    let calm = (0..40).map(|i| Arrival {
        at: i * 250 * MS,
        prompt: 400 + u64::from(i % 7) * 200,
        run_time: 1_500 * MS,
    });
    let burst = (0..80).map(|i| Arrival {
        at: Duration::from_secs(10) + i * 25 * MS,
        prompt: 400 + u64::from(i % 5) * 400,
        run_time: 900 * MS,
    });
    let arrivals: Vec<Arrival> = calm.chain(burst).collect();
    let (plain, none) = replay(&arrivals, false);
    let (with, granted) = replay(&arrivals, true);
    assert_eq!(none, 0);
    assert!(granted >= 10, "{granted} standbys: the replay shows nothing");
    let served = |waits: &[Duration]| waits.iter().filter(|wait| **wait < Duration::MAX).count();
    let total = |waits: &[Duration]| -> Duration {
        waits.iter().filter(|wait| **wait < Duration::MAX).sum()
    };
    println!(
        "served {} of {}, with {granted} standbys {}; total wait {:?}, with standbys {:?}",
        served(&plain),
        arrivals.len(),
        served(&with),
        total(&plain),
        total(&with)
    );
    assert!(plain.iter().any(|wait| !wait.is_zero()), "nothing waits: the replay shows nothing");
    assert!(served(&with) >= served(&plain));
    assert!(total(&with) <= total(&plain));
}

/// Guards against a new owner that takes standbys for runs, or forgets their memory.
#[test]
fn a_new_owner_adopts_standbys_as_standbys() {
    let now = Instant::now();
    let mut owner = owner(Policy::default().memory, 1, &["e"], now);
    assert!(owner.adopt("e", &standby("s", 4_000), now).is_some());
    assert_eq!(running(&owner, now), 0);
    assert_eq!(take(&mut owner, &standby("s2", 1_000), now), None);
    assert!(runs(&mut owner, &request("r", 100), now));
    verify::verify(&owner).unwrap();
}

/// Guards against a stream that continues at its standby unknown to the owner of the engine: the
/// report is repeated until the owner has adopted its slot.
#[test]
fn the_slot_of_a_stream_that_continues_is_reported_until_it_is_adopted() {
    let (now, own): (_, SocketAddr) = (Instant::now(), ([10, 0, 0, 1], 1).into());
    for holder in [own, ([10, 0, 0, 2], 1).into()] {
        let mut slots = HeldSlots::default();
        let held = HeldSlot {
            owner: holder,
            pool: "p".to_owned(),
            runner: "e".to_owned(),
            want: standby("s", 100),
            since: now,
            is_known: true,
            granted_here: holder == own,
        };
        slots.insert("s".to_owned(), held);
        let owner_of = |_: &str| Some(holder);
        assert!(slots.reassigned(own, owner_of, now).is_empty());
        assert!(!slots.insert_beside("unknown", request("r", 100), now));
        assert!(slots.insert_beside("s", request("r", 100), now));
        slots.remove("s");
        for _ in 0..2 {
            let reported = slots.reassigned(own, owner_of, now);
            let ids: Vec<&str> = reported[&holder].iter().map(|s| s.want.id.as_str()).collect();
            assert_eq!(ids, ["r"]);
            assert!(!reported[&holder][0].want.standby);
        }
        assert!(slots.mark_adopted(holder, vec!["r".to_owned()]).is_empty());
        assert!(slots.reassigned(own, owner_of, now).is_empty());
    }
}

#[test]
fn only_streams_of_many_events_get_a_standby() {
    assert!(is_worthwhile(256.0, 4_000, 4));
    assert!(!is_worthwhile(256.0, 100, 4), "its own bound is low");
    assert!(!is_worthwhile(60.0, 4_000, 4), "its kind is short");
    assert!(!is_worthwhile(256.0, 4_000, 64), "it has few events");
    assert!(is_worthwhile(256.0, 4_000, 0));
}

#[test]
fn a_standby_is_in_another_failure_domain_that_the_request_allows() {
    let all = ["a", "b", "c", "b"].map(str::to_owned);
    assert_eq!(standby_domains(&all, "a", &[]), ["b", "c"]);
    assert_eq!(standby_domains(&all, "b", &["b".to_owned(), "c".to_owned()]), ["c"]);
    assert!(standby_domains(&all, "a", &["a".to_owned()]).is_empty());
}

/// Guards against owners that are never asked, and against asking none while there is one.
#[test]
fn owners_are_asked_in_proportion_to_their_engines() {
    let addr = |i: u8| SocketAddr::from(([10, 0, 0, i], 1));
    let owners = vec![(addr(2), 3), (addr(1), 1), (addr(3), 0)];
    let chosen: Vec<SocketAddr> =
        (0..8).filter_map(|draw| choose_owner(owners.clone(), draw)).collect();
    assert_eq!(chosen.len(), 8);
    let count = |i| chosen.iter().filter(|owner| **owner == addr(i)).count();
    assert_eq!((count(1), count(2), count(3)), (2, 6, 0));
    assert_eq!(choose_owner(Vec::new(), 5), None);
    assert!(choose_owner(owners, u64::MAX).is_some());
}

/// Guards against a burst of streams whose standbys exceed the control traffic of their box.
#[test]
fn a_box_asks_for_few_standbys_a_second() {
    let start = Instant::now();
    let mut asks = AskLimiter::default();
    let taken = (0..6_000).filter(|i| asks.try_take(start + *i * 10 * MS)).count();
    assert!((90..=100).contains(&taken), "{taken} in a minute");
    let again = (0..100).filter(|_| asks.try_take(start + 3_600_000 * MS)).count();
    assert_eq!(again, 8);
}

/// Guards against a failover that joins two runs, or that runs where it must not.
#[test]
fn a_stream_continues_only_where_nothing_speaks_against_it() {
    let stream = BrokenStream {
        has_resume_point: true,
        is_source_silent: false,
        is_source_gone: true,
        is_out_of_time: false,
        is_evacuated: false,
        is_held: false,
    };
    assert_eq!(check_failover(stream), Ok(()));
    let cases = [
        BrokenStream { has_resume_point: false, ..stream },
        BrokenStream { is_source_silent: true, ..stream },
        BrokenStream { is_source_gone: false, ..stream },
        BrokenStream { is_out_of_time: true, ..stream },
        BrokenStream { is_evacuated: true, ..stream },
        BrokenStream { is_held: true, ..stream },
    ];
    assert!(cases.into_iter().all(|case| check_failover(case).is_err()));
}

/// Guards against events that are delivered again because the last one has no id to continue after.
#[test]
fn a_stream_has_a_resume_point_after_an_event_with_an_id() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.has_resume_point(), "nothing was delivered");
    let steps = [
        ("id: 1\ndata: a\n\n", true),
        (": keep-alive\n\n", true),
        ("data: b\n\n", false),
        (": keep-alive\n\n", false),
        ("id: 2\ndata: c\n\ndata: d\n\n", false),
        ("id: 3\r\ndata: e\r\n\r\n", true),
        ("data: half", true),
    ];
    for (bytes, expected) in steps {
        splitter.push(bytes.as_bytes());
        assert_eq!(splitter.has_resume_point(), expected, "{bytes:?}");
    }
}

/// Guards against standbys whose control traffic exceeds its part of what a box may send.
#[test]
fn the_messages_of_a_standby_are_small() {
    let want = SlotRequest {
        id: "0123456789abcdef0123456789abcdef".to_owned(),
        workspace: "workspace-1".to_owned(),
        kind: "route-of-streams".to_owned(),
        within: vec!["zone-b".to_owned()],
        event_tokens: 4,
        ..standby("", 3_000)
    };
    let size = |bytes: Result<Vec<u8>, rmp_serde::encode::Error>| bytes.unwrap().len();
    let ask = GrantRequest {
        holder: "10.0.0.1".to_owned(),
        pool: "service".to_owned(),
        want: want.clone(),
        ask: Ask::Now,
    };
    let granted = GrantAnswer::Granted {
        runner: "instance-17@1796257314307".to_owned(),
        addr: ([10, 0, 0, 1], 8_080).into(),
        failure_domain: "zone-b".to_owned(),
        counted: false,
    };
    let release = ReleaseRequest { id: want.id, report: RunReport::RELEASED };
    let sizes = [
        size(rmp_serde::to_vec_named(&ask)),
        size(rmp_serde::to_vec_named(&granted)),
        size(rmp_serde::to_vec_named(&release)),
    ];
    println!("request, answer and release of a standby: {sizes:?} bytes");
    assert!(sizes.iter().sum::<usize>() <= MAX_STANDBY_BYTES, "{sizes:?}");
    // A box of the previous version does not know the field, and this box asks it as well.
    let mut known = serde_json::to_value(&ask).unwrap();
    known["want"].as_object_mut().unwrap().remove("standby");
    let read: GrantRequest = serde_json::from_value(known).unwrap();
    assert!(!read.want.standby);
}

/// Guards against one run too many on an engine whose standby is released after its owner lost and
/// regained it.
#[test]
fn the_release_of_an_unknown_standby_leaves_the_count_of_runs() {
    let now = Instant::now();
    let mut line = PoolScheduler::new(Default::default(), RoutingConfig::default());
    let engine = || spec("e", "d", 4);
    line.update(now, |table| table.sync([engine()]));
    let standby = SlotRequest { id: "s".to_owned(), standby: true, ..SlotRequest::default() };
    let run = SlotRequest { id: "r".to_owned(), ..SlotRequest::default() };
    assert!(matches!(line.decide(&standby, now), Decision::Run(_)));
    line.update(now, |table| table.sync([]));
    line.update(now, |table| table.sync([engine()]));
    assert!(matches!(line.decide(&run, now), Decision::Run(_)));
    line.release("e", &standby, 0, RunReport::RELEASED, now);
    line.release("e", &standby, 0, RunReport::RELEASED, now);
    let running = line.table().overview(now).iter().map(|(_, running, _)| *running).sum::<u64>();
    assert_eq!(running, 1);
}
