//! Each holder of bytes of other boxes and operators takes them from the memory budget, and gives up
//! or waits when there is no room.

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use futures_util::FutureExt as _;
use hatchpitch::config::hosted::{HostedRoute, RunPolicy, Target};
use hatchpitch::config::view::key_digest;
use hatchpitch::config::{ConfigState, Entity, Fleet, KeyHash, Operator, feed};
use hatchpitch::control::context::ControlCx;
use hatchpitch::control::{boxes, operators};
use hatchpitch::replication::messages::{Entry, Envelope, LogBatch, LogEnd, Message, Payload};
use hatchpitch::replication::task::{self, Applier};
use hatchpitch::replication::transfer::{LogPart, PartAnswer, Reassembler};
use hatchpitch::replication::{Members, Peer, ReplicaConfig, Storage, disk::Disk};
use hatchpitch::settings::{ControlPeer, ControlSettings};
use hatchpitch_net::memory::Usage;
use hatchpitch_net::{
    BoxClient, Handler, Holder, KeyRing, MemoryBudget, Origin, ServerLimits, SigningKey, bind,
    serve, stop_pair,
};
use serde_bytes::ByteBuf;

const MB: usize = 1 << 20;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of a process whose budget is 39 MB, 29 MB of it for large reservations.
const PROCESS_LIMIT: usize = 110_000_000;
const OPERATOR_KEY: &str = "the key of an operator";

fn keys() -> KeyRing {
    KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]).unwrap()
}

fn client(memory: &MemoryBudget) -> BoxClient {
    BoxClient::new(keys()).unwrap().with_memory(memory.clone())
}

fn usage(memory: &MemoryBudget, holder: Holder) -> Usage {
    memory.usage().get(&holder).copied().unwrap_or_default()
}

/// Takes nearly all of the budget that large reservations may use.
fn fill(memory: &MemoryBudget) -> hatchpitch_net::Reservation {
    let filler = memory.open(Holder::Answer, Origin::default());
    while filler.try_grow(MB / 8).is_ok() {}
    filler
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn control_cx(memory: &MemoryBudget) -> Rc<ControlCx> {
    let own = ControlPeer { name: "c".to_owned(), boxes_addr: addr(1), operators_addr: addr(2) };
    let settings = ControlSettings {
        own,
        listen_ip: None,
        peers: Vec::new(),
        data_folder: Some("unused".into()),
        bootstrap: false,
        core_size: 1,
        replica: ReplicaConfig::default(),
        box_keys: keys(),
        operators: vec![Operator {
            name: "o".to_owned(),
            keys: vec![KeyHash { id: "1".to_owned(), sha256: key_digest(OPERATOR_KEY) }],
        }],
        failure_domains: Default::default(),
        memory: PROCESS_LIMIT,
        log_level: log::LevelFilter::Off,
    };
    ControlCx::new(settings, client(memory))
}

/// Starts the two listeners of a control box without a log; they stop with the test.
fn start_control() -> (SocketAddr, SocketAddr, MemoryBudget) {
    let (tx, rx) = mpsc::channel();
    let memory = MemoryBudget::new(PROCESS_LIMIT);
    let budget = memory.clone();
    std::thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async move {
            let cx = control_cx(&budget);
            let (boxes_cx, operators_cx) = (cx.clone(), cx);
            let for_boxes: Handler =
                Rc::new(move |req, _| boxes::handle(boxes_cx.clone(), req).boxed_local());
            let for_operators: Handler =
                Rc::new(move |req, _| operators::handle(operators_cx.clone(), req).boxed_local());
            let (_handle, stop) = stop_pair();
            let (a, b) = (bind(addr(0)).await.unwrap(), bind(addr(0)).await.unwrap());
            tx.send((a.local_addr().unwrap(), b.local_addr().unwrap())).unwrap();
            let limits = ServerLimits::default();
            let first = serve(a, limits.clone(), for_boxes, stop.clone());
            futures_util::join!(first, serve(b, limits, for_operators, stop));
        });
    });
    let (boxes, operators) = rx.recv().unwrap();
    (boxes, operators, memory)
}

/// Sends a request and returns the head of the answer, or nothing if none arrives in time.
fn ask(addr: SocketAddr, line: &str, headers: &[(&str, &str)], body: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut head = format!("{line} HTTP/1.1\r\nHost: h\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all((head + "\r\n").as_bytes()).unwrap();
    // A box that refuses the request closes the connection before all of it is sent.
    let _ = stream.write_all(body);
    let (mut answer, mut byte) = (Vec::new(), [0]);
    while !answer.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        answer.push(byte[0]);
    }
    String::from_utf8(answer).unwrap().to_ascii_lowercase()
}

fn ask_signed(addr: SocketAddr, path: &str, len: usize, body: &[u8]) -> String {
    let head = keys().sign("box-message-head", &[path.as_bytes(), &(len as u64).to_be_bytes()]);
    let whole = keys().sign("box-message", &[path.as_bytes(), body]);
    let headers = [
        ("Content-Length", len.to_string()),
        ("x-hatchpitch-head-signature", head),
        ("x-hatchpitch-signature", whole),
    ];
    let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
    ask(addr, &format!("POST {path}"), &headers, body)
}

fn append(bytes: usize) -> LogBatch {
    let entries = vec![Entry { term: 1, index: 1, payload: Payload::Command(vec![7; bytes]) }];
    let prev = LogEnd { term: 0, index: 0 };
    let message = Message::Append { term: 1, prev, entries, commit: 0, round: 1 };
    LogBatch { reply_to: addr(9), envelopes: vec![Envelope { from: 2, to: 1, message }] }
}

/// 20 connections with unsigned bodies of 60 MB take a control process to 1,150 MB.
#[test]
fn a_control_process_holds_no_bodies_of_strangers() {
    let (addr, _, memory) = start_control();
    let len = (60 * MB).to_string();
    for path in ["/box/log", "/box/claim", "/box/feed"] {
        let headers = [("Content-Length", len.as_str()), ("x-hatchpitch-signature", "k.00")];
        let answer = ask(addr, &format!("POST {path}"), &headers, &[]);
        assert!(answer.starts_with("http/1.1 401"), "{path}: {answer:?}");
    }
    let peak = usage(&memory, Holder::BoxMessage).peak_bytes;
    assert!(peak < MB / 16, "{peak} bytes were held");
}

/// A box that errs takes the memory of another one through a path whose messages are small.
#[test]
fn each_kind_of_message_between_boxes_has_a_limit_of_its_own() {
    let (addr, _, memory) = start_control();
    for (path, len) in [
        ("/box/claim", 100 * 1024),
        ("/box/feed", 100 * 1024),
        ("/box/hello", 100 * 1024),
        ("/box/log-part", 70 * 1024),
        ("/box/log", 3 * MB),
        ("/box/upstream-news", 3 * MB),
    ] {
        let answer = ask_signed(addr, path, len, &[]);
        assert!(answer.starts_with("http/1.1 413"), "{path}: {answer:?}");
    }
    assert!(usage(&memory, Holder::BoxMessage).peak_bytes < MB / 16);
    assert!(ask_signed(addr, "/box/unknown", 1, b"x").starts_with("http/1.1 404"));
}

/// A part of the log that is above the limit of its own path never arrives.
#[test]
fn a_full_part_of_the_log_is_within_the_limit_of_its_path() {
    let bytes = ByteBuf::from(vec![1; 64 * 1024]);
    let part =
        LogPart { from: u64::MAX, transfer: u64::MAX, total: u64::MAX, offset: u64::MAX, bytes };
    let encoded = rmp_serde::to_vec_named(&part).unwrap();
    assert!(encoded.len() <= hatchpitch::message_limits::max_body("/box/log-part").unwrap());
}

/// Parts of large messages of the log that are put together are not counted.
#[test]
fn parts_of_the_log_are_counted_and_refused_without_room() {
    let (memory, now) = (MemoryBudget::new(PROCESS_LIMIT), Instant::now());
    let mut reassembler = Reassembler::new(memory.clone());
    let part = |transfer, offset| LogPart {
        from: 1,
        transfer,
        total: 4 * MB as u64,
        offset,
        bytes: ByteBuf::from(vec![0; 2 * MB]),
    };
    assert_eq!(reassembler.take(part(1, 0), now).0, PartAnswer::Taken);
    assert!(usage(&memory, Holder::Transfer).bytes >= 8 * MB, "a message and its decoded copy");
    let (answer, complete) = reassembler.take(part(1, 2 * MB as u64), now);
    assert_eq!(answer, PartAnswer::Taken);
    assert!(usage(&memory, Holder::Transfer).bytes >= 8 * MB, "until the replica has it");
    drop(complete);
    assert_eq!(usage(&memory, Holder::Transfer).bytes, 0);
    let filler = fill(&memory);
    assert_eq!(reassembler.take(part(2, 0), now).0, PartAnswer::Refused);
    drop(filler);
    assert_eq!(reassembler.take(part(3, 0), now).0, PartAnswer::Taken, "the sender repeats it");
}

/// Batches of the log wait for the replica without being counted, and a full budget keeps heartbeats
/// and votes from it.
#[test]
fn received_batches_of_the_log_are_counted_and_heartbeats_pass_a_full_budget() {
    let (addr, _, memory) = start_control();
    let send = |batch: &LogBatch| {
        let body = rmp_serde::to_vec_named(batch).unwrap();
        ask_signed(addr, "/box/log", body.len(), &body)
    };
    assert!(send(&append(MB)).starts_with("http/1.1 200"));
    let peak = usage(&memory, Holder::Transfer).peak_bytes;
    assert!(peak >= MB, "{peak} bytes of a batch of 1 MiB");
    let _filler = fill(&memory);
    assert!(send(&append(MB)).starts_with("http/1.1 503"), "the sender repeats it");
    assert!(send(&append(0)).starts_with("http/1.1 200"), "a heartbeat");
}

/// Messages of the log that are queued for a slow replica are not counted.
#[test]
fn messages_of_the_log_are_counted_while_they_are_sent() {
    let silent = TcpListener::bind(addr(0)).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let memory = MemoryBudget::new(PROCESS_LIMIT);
    let peer = |name: &str, boxes_addr| Peer {
        name: name.to_owned(),
        boxes_addr,
        operators_addr: addr(2),
    };
    let members = Members {
        voters: BTreeMap::from([(1, peer("a", addr(1)))]),
        learners: BTreeMap::from([(2, peer("b", silent.local_addr().unwrap()))]),
    };
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let disk = Disk::folder(folder.path()).unwrap();
        Storage::create(&disk, members).unwrap();
        let applier = Applier {
            apply: Box::new(|_| Vec::new()),
            snapshot: Box::new(Vec::new),
            restore: Box::new(|_| Ok(())),
            applied: Box::new(|| {}),
        };
        let (_stop_handle, stop) = stop_pair();
        let cfg = ReplicaConfig::default();
        let log = task::start(disk, 1, cfg, applier, client(&memory), addr(1), stop).unwrap();
        let started = Instant::now();
        while log.propose(vec![7; 2 * MB]).await.is_err() {
            assert!(started.elapsed() < TIMEOUT, "the only voter becomes the leader");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        while usage(&memory, Holder::Transfer).peak_bytes < 4 * MB {
            assert!(started.elapsed() < 2 * TIMEOUT, "{:?}", usage(&memory, Holder::Transfer));
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

fn route(n: usize) -> Entity {
    Entity::HostedRoute(HostedRoute {
        name: format!("route-{n}"),
        host: format!("host-{n}.example"),
        prefix: format!("/{n}/"),
        runs: RunPolicy::Stream,
        time_limit: Duration::from_secs(60),
        answer_aim: Duration::from_secs(60),
        gap_aim: None,
        urgency: 1,
        targets: vec![Target { service: "s".to_owned(), weight: 1 }],
        max_upstreams: 2,
        anonymous: false,
        resumable: false,
        regions: Vec::new(),
    })
}

/// Parts of a configuration are neither counted at the box that sends them nor at the one that
/// receives them, and a box without room for one never gets it.
#[test]
fn parts_of_a_configuration_are_counted_and_requested_again_without_room() {
    let memories = [MemoryBudget::new(PROCESS_LIMIT), MemoryBudget::new(PROCESS_LIMIT)];
    let [sending, receiving] = &memories;
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let sender = client(sending);
        let source = Rc::new(feed::ConfigCell::new(sender.backlog().clone()));
        let mut state = ConfigState::default();
        let fleet = Fleet::new(1, (0..8_000).map(route));
        let change = state.prepare(&fleet, "o").unwrap();
        state.apply(change).unwrap();
        source.replace(&state);
        let listener = bind(addr(0)).await.unwrap();
        let parent = listener.local_addr().unwrap();
        let handler: Handler = Rc::new(move |req, _| {
            let (source, sender) = (source.clone(), sender.clone());
            async move {
                let (parts, body) = req.into_parts();
                let message = sender.receive(&parts, body, MB, TIMEOUT).await.unwrap();
                sender.respond(&source.answer(&message.decode().unwrap()).await)
            }
            .boxed_local()
        });
        let (_stop_handle, stop) = stop_pair();
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
        let receiver = client(receiving);
        let cell = feed::ConfigCell::new(receiver.backlog().clone());
        let own = "box".to_owned();
        let filler = fill(receiving);
        feed::fetch(&own, &cell, &receiver, parent, Duration::ZERO).await;
        assert_eq!(cell.number(), 0, "no room for a part");
        drop(filler);
        feed::fetch(&own, &cell, &receiver, parent, Duration::ZERO).await;
        assert_eq!(cell.number(), 1, "the transfer continues");
        let cached = usage(sending, Holder::Transfer).bytes;
        assert!(cached > 10_000, "{cached} bytes of cached parts");
    });
    assert!(usage(receiving, Holder::Transfer).peak_bytes >= 2 * MB, "parts of 1.5 MB");
    assert_eq!(usage(receiving, Holder::Transfer).bytes, 0, "all parts are in force");
}

/// A configuration takes several times its size while it is decoded, which nothing counts.
#[test]
fn a_configuration_is_counted_with_its_decoded_form_and_refused_without_room() {
    let (_, addr, memory) = start_control();
    let file = format!("# {}\nnumber = 1\n", "x".repeat(2 * MB));
    let len = file.len().to_string();
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("Content-Length", len.as_str()), ("Authorization", bearer.as_str())];
    let send = || ask(addr, "POST /ops/diff", &headers, file.as_bytes());
    let answer = send();
    assert!(!answer.starts_with("http/1.1 503"), "{answer:?}");
    let (text, decoded) = (usage(&memory, Holder::RequestBody), usage(&memory, Holder::Transfer));
    assert!(text.peak_bytes >= 2 * MB, "{text:?}");
    assert!(decoded.peak_bytes >= 8 * MB, "{decoded:?}");
    let _filler = fill(&memory);
    let answer = send();
    assert!(answer.starts_with("http/1.1 503") && answer.contains("retry-after"), "{answer:?}");
    let headers = [("Authorization", bearer.as_str())];
    let answer = ask(addr, "GET /ops/status", &headers, &[]);
    assert!(answer.starts_with("http/1.1 200"), "reads pass: {answer:?}");
}
