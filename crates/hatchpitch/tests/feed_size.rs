//! Size of the answers that distribute a large configuration change to every box of a large fleet.

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
    BoxClient, Handler, KeyRing, Reservation, ServerLimits, SigningKey, bind, open_message,
    read_body, serve, stop_pair,
};
use sha2::{Digest as _, Sha256};

/// Number of routes that the change adds.
const ROUTES: usize = 1_400;
/// Number of boxes that have to receive the change within `TIME_LIMIT_S`.
const BOXES: usize = 300;
/// Number of control boxes that send the change.
const SOURCES: usize = 5;
/// Link bandwidth of a control box, in bytes per second.
const LINK_BANDWIDTH: f64 = 12.5e6;
/// Time limit for putting a change in force, in seconds. Half of it is reserved for the replicated
/// log, for requests and for boxes that ask late, and half of the bandwidth for other traffic.
const TIME_LIMIT_S: f64 = 3.0;
/// Maximum number of bytes sent to one box.
const MAX_BYTES: f64 = SOURCES as f64 * LINK_BANDWIDTH * TIME_LIMIT_S / 4.0 / BOXES as f64;

/// Returns an incompressible name of hexadecimal digits.
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

/// Applies a configuration with `routes` routes.
fn apply(state: &mut ConfigState, number: u64, routes: usize) {
    let fleet = Fleet::new(number, (0..routes).map(route));
    let change = state.prepare(&fleet, "operator").unwrap();
    state.apply(change).unwrap();
}

fn client() -> BoxClient {
    let key = SigningKey::new("k".into(), vec![3; 32]).unwrap();
    BoxClient::new(KeyRing::new(vec![key]).unwrap()).unwrap()
}

/// Returns the handler of a parent that serves the feed from `cell`.
fn parent(cell: Rc<ConfigCell>, client: BoxClient) -> Handler {
    Rc::new(move |req, _peer| {
        let (cell, client) = (cell.clone(), client.clone());
        async move {
            let (parts, body) = req.into_parts();
            let body: Bytes =
                read_body(body, 1 << 20, Duration::from_secs(9), Reservation::uncounted())
                    .await
                    .unwrap();
            let req: FeedRequest =
                open_message(client.keys(), FEED_PATH, &parts.headers, &body).unwrap();
            client.respond(&cell.answer(&req).await)
        }
        .boxed_local()
    })
}

#[test]
fn a_change_of_many_routes_is_small_enough_for_a_large_fleet() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (_stop_handle, stop) = stop_pair();
        let sender = client();
        let (source, cell) =
            (Rc::new(ConfigCell::new(sender.backlog().clone())), Rc::new(ConfigCell::default()));
        let mut state = ConfigState::default();
        apply(&mut state, 1, 10);
        source.replace(&state);
        cell.replace(&state);
        apply(&mut state, 2, 10 + ROUTES);
        source.replace(&state);
        let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let handler = parent(source, sender);
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
        let receiver = client();
        feed::fetch(&"box".to_owned(), &cell, &receiver, addr, Duration::ZERO).await;
        assert_eq!(cell.number(), 2);
        let bytes = receiver.traffic()[FEED_PATH].body_bytes as f64;
        assert!(bytes <= MAX_BYTES, "{bytes} bytes for one box, at most {MAX_BYTES} are allowed");
    });
}
