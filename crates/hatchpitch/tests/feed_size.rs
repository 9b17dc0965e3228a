//! What it takes to bring a change of many routes to every box of a large fleet.

use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hatchpitch::config::entity::{Entity, Fleet};
use hatchpitch::config::feed::{self, ConfigCell, FEED_PATH};
use hatchpitch::config::hosted::{HostedRoute, RunPolicy, Target};
use hatchpitch::config::{ConfigState, FeedRequest};
use hatchpitch_net::{
    BoxClient, Handler, KeyRing, ServerLimits, SigningKey, bind, open_message, read_body, serve,
    stop_pair,
};
use sha2::{Digest as _, Sha256};

/// Routes that are added at one time.
const ROUTES: usize = 1_400;
/// Boxes that are to have a change within `IN_FORCE_S`.
const BOXES: usize = 300;
/// Control boxes that send it to them, and what the link of each passes in a second, in bytes.
const SOURCES: usize = 5;
const LINK: f64 = 12.5e6;
/// Time in which a change has to be in force, in seconds. Half of it is left for the log, for
/// questions and for boxes that ask late, and half of the links for all else.
const IN_FORCE_S: f64 = 3.0;
/// Bytes that may be sent for one box.
const MAX_BYTES: f64 = SOURCES as f64 * LINK * IN_FORCE_S / 4.0 / BOXES as f64;

/// Letters and digits that nothing else tells.
fn random_name(n: usize, len: usize) -> String {
    let digest = Sha256::digest(n.to_le_bytes());
    let mut name = String::new();
    for byte in digest {
        let _ = write!(name, "{byte:02x}");
    }
    name.truncate(len);
    name
}

fn route(n: usize) -> Entity {
    let minutes = |n: u64| Duration::from_secs(60 * n);
    Entity::HostedRoute(HostedRoute {
        name: format!("r-{}", random_name(2 * n, 7)),
        host: format!("host-{}.example", n % 5),
        prefix: format!("/{}/", random_name(2 * n + 1, 8)),
        runs: RunPolicy::Stream,
        time_limit: minutes(1),
        answer_aim: minutes(1),
        gap_aim: Some(minutes(1)),
        urgency: 1,
        targets: vec![
            Target { service: "service-a".to_owned(), weight: 90 },
            Target { service: "service-b".to_owned(), weight: 10 },
        ],
        max_upstreams: 2,
        anonymous: false,
        resumable: false,
        regions: Vec::new(),
    })
}

fn put(state: &mut ConfigState, number: u64, routes: usize) {
    let fleet = Fleet::new(number, (0..routes).map(route));
    let change = state.prepare(&fleet, "operator").unwrap();
    state.apply(change).unwrap();
}

fn client() -> BoxClient {
    let key = SigningKey::new("k".into(), vec![3; 32]).unwrap();
    BoxClient::new(KeyRing::new(vec![key]).unwrap()).unwrap()
}

/// Answers boxes that ask for a configuration.
fn parent(cell: Rc<ConfigCell>, client: BoxClient) -> Handler {
    Rc::new(move |req, _peer| {
        let (cell, client) = (cell.clone(), client.clone());
        async move {
            let (parts, body) = req.into_parts();
            let body: Bytes = read_body(body, 1 << 20, Duration::from_secs(9)).await.unwrap();
            let req: FeedRequest =
                open_message(client.keys(), FEED_PATH, &parts.headers, &body).unwrap();
            client.respond(&cell.answer(&req).await)
        }
        .boxed_local()
    })
}

#[test]
fn many_new_routes_reach_all_boxes_of_a_large_fleet_in_time() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (_stop_handle, stop) = stop_pair();
        let sender = client();
        let (source, cell) =
            (Rc::new(ConfigCell::new(sender.backlog().clone())), Rc::new(ConfigCell::default()));
        let mut state = ConfigState::default();
        put(&mut state, 1, 10);
        source.replace(&state);
        cell.replace(&state);
        put(&mut state, 2, 10 + ROUTES);
        source.replace(&state);
        let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let handler = parent(source, sender);
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
        let asker = client();
        feed::fetch(&"box".to_owned(), &cell, &asker, addr, Duration::ZERO).await;
        assert_eq!(cell.number(), 2);
        let bytes = asker.traffic()[FEED_PATH].body_bytes as f64;
        assert!(bytes <= MAX_BYTES, "{bytes} bytes for one box, {MAX_BYTES} may be sent");
    });
}
