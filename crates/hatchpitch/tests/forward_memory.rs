//! Memory of requests that a box sends to upstreams for other boxes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt as _;
use hatchpitch::admission::Policy;
use hatchpitch::entry::{EntryCx, boxes};
use hatchpitch::membership::MemberStatus;
use hatchpitch::membership::messages::{MemberRecord, Subject};
use hatchpitch::membership::state::{Membership, MembershipConfig};
use hatchpitch::reachability::messages::{ForwardAction, ForwardRequest, ForwardedMessage};
use hatchpitch::reachability::task::FORWARD_PATH;
use hatchpitch::settings::EntrySettings;
use hatchpitch::settings::entry::{EntryLimits, EntryTiming};
use hatchpitch_net::memory::Usage;
use hatchpitch_net::{
    BoxClient, Handler, Holder, KeyRing, MemoryBudget, Origin, ServerLimits, SigningKey, bind,
    serve, stop_pair,
};
use serde_bytes::ByteBuf;

const MB: usize = 1 << 20;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Size of a request, in bytes. The buffers of a connection to an upstream that does not read take
/// only a part of it.
const BODY: usize = 12 * MB;
/// Limit of a process whose budget is 39 MB, 29 MB of it for large reservations.
const PROCESS_LIMIT: usize = 110_000_000;

fn keys() -> KeyRing {
    KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]).unwrap()
}

fn entry_box(memory: &MemoryBudget) -> Rc<EntryCx> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let own = MemberRecord {
        subject: Subject::Box("b".to_owned()),
        incarnation: 1,
        status: MemberStatus::Alive,
        addr,
        box_addr: addr,
        failure_domain: "d".to_owned(),
    };
    let settings = EntrySettings {
        name: "b".to_owned(),
        failure_domain: "d".to_owned(),
        regions: BTreeMap::new(),
        callers_addr: addr,
        advertised_addr: None,
        boxes_addr: addr,
        listen_ip: None,
        upstream_source_ip: None,
        control: vec![],
        seeds: vec![],
        box_keys: keys(),
        log_level: log::LevelFilter::Off,
        limits: EntryLimits::default(),
        timing: EntryTiming::default(),
        policy: Policy::default(),
    };
    let membership = Membership::new(own, MembershipConfig::default(), 1, Instant::now());
    let client = BoxClient::new(keys()).unwrap().with_memory(memory.clone());
    EntryCx::new(settings, Rc::new(RefCell::new(membership)), client)
}

fn usage(memory: &MemoryBudget) -> Usage {
    memory.usage().get(&Holder::BoxMessage).copied().unwrap_or_default()
}

/// The decoded copy of a forwarded request is not counted, and stays for as long as the upstream
/// does not read it.
#[test]
fn a_forwarded_request_is_counted_until_the_upstream_has_it() {
    let upstream = TcpListener::bind("127.0.0.1:0").unwrap();
    let memory = MemoryBudget::new(PROCESS_LIMIT);
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let cx = entry_box(&memory);
        let handler: Handler = Rc::new(move |req, _| boxes::handle(cx.clone(), req).boxed_local());
        let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (_stop_handle, stop) = stop_pair();
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
        let req = ForwardRequest {
            upstream: "u".to_owned(),
            addr: upstream.local_addr().unwrap(),
            action: ForwardAction::Send(ForwardedMessage {
                method: "POST".to_owned(),
                target: "/".to_owned(),
                headers: vec![("host".to_owned(), ByteBuf::from("h"))],
                body: ByteBuf::from(vec![7; BODY]),
                head_timeout: TIMEOUT,
                kind: String::new(),
                is_repeatable: false,
            }),
        };
        let asker = BoxClient::new(keys()).unwrap();
        let ask = || asker.request_stream(addr, FORWARD_PATH, &req, TIMEOUT, TIMEOUT);
        let asked = compio::time::timeout(Duration::from_secs(1), ask()).await;
        assert!(asked.is_err(), "the upstream does not answer");
        assert!(usage(&memory).peak_bytes >= 2 * BODY, "{:?}", usage(&memory));
        assert!(usage(&memory).bytes >= BODY, "{:?}", usage(&memory));
        let filler = memory.open(Holder::Answer, Origin::default());
        while filler.try_grow(MB / 8).is_ok() {}
        let refused = ask().await.expect("an answer of the box");
        assert_eq!(refused.status(), 503, "another box is asked");
    });
}
