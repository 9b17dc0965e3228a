//! Delivery of confirmations by the configuration feed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::{FutureExt, poll};
use hatchpitch::config::FeedRequest;
use hatchpitch::config::feed::{self, ConfigCell};
use hatchpitch::limits::backoff;
use hatchpitch_net::{
    BoxClient, Handler, KeyRing, ServerLimits, SigningKey, Stop, bind, rmp_response, serve,
    stop_pair,
};

/// Hold time of the requests, far longer than the test takes, so that no answer is due to its end.
const HOLD: Duration = Duration::from_secs(5);

fn request(unconfirmed: bool) -> FeedRequest {
    FeedRequest {
        from: "box".to_owned(),
        have: 0,
        hold: HOLD,
        unconfirmed,
        after: None,
        evacuations: 0,
        quarantine: 0,
        unpacks: false,
    }
}

#[test]
fn a_confirmation_is_sent_immediately_to_a_box_without_one() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let cell = ConfigCell::default();
        let req = request(true);
        let mut held = Box::pin(cell.answer(&req));
        assert!(poll!(&mut held).is_pending(), "there is no confirmation yet");
        cell.confirm(Instant::now());
        let answer = held.await;
        assert!(answer.confirmed_age.is_some());
        assert!(answer.held < HOLD, "held for {:?}", answer.held);
        // A request that is sent after the confirmation is not delayed either.
        let mut second = Box::pin(cell.answer(&req));
        assert!(poll!(&mut second).is_ready());
    });
}

#[test]
fn a_repeated_confirmation_does_not_complete_a_held_request() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let cell = ConfigCell::default();
        cell.confirm(Instant::now());
        let req = request(false);
        let mut held = Box::pin(cell.answer(&req));
        assert!(poll!(&mut held).is_pending());
        cell.confirm(Instant::now());
        assert!(poll!(&mut held).is_pending(), "only a change completes this request");
    });
}

/// Counts a pending request for as long as it exists.
struct PendingGuard(Rc<Cell<usize>>);

impl PendingGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Number of parents that never answer.
const SILENT_PARENTS: usize = 2;
/// Time limit for receiving the confirmation.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Starts a parent. A parent without a confirmation does not answer within the test. A parent with
/// a confirmation answers once the requests to all silent parents are pending.
async fn parent(confirmed: bool, pending: &Rc<Cell<usize>>, stop: Stop) -> SocketAddr {
    let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (pending, cell) = (pending.clone(), Rc::new(ConfigCell::default()));
    let handler: Handler = Rc::new(move |_req, _peer| {
        let (pending, cell) = (pending.clone(), cell.clone());
        async move {
            if !confirmed {
                let _guard = PendingGuard::new(&pending);
                compio::time::sleep(TIME_LIMIT * 2).await;
            }
            while pending.get() < SILENT_PARENTS {
                compio::time::sleep(Duration::from_millis(1)).await;
            }
            cell.confirm(Instant::now());
            rmp_response(&cell.answer(&request(true)).await)
        }
        .boxed_local()
    });
    compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
    addr
}

#[test]
fn silent_parents_do_not_delay_a_box_without_a_confirmation() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (_stop_handle, stop) = stop_pair();
        let pending = Rc::new(Cell::new(0));
        let mut parents = Vec::new();
        for confirmed in [false, false, true] {
            parents.push(parent(confirmed, &pending, stop.clone()).await);
        }
        let keys = KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]);
        let client = BoxClient::new(keys.unwrap()).unwrap();
        let cell = Rc::new(ConfigCell::default());
        let (followed, candidates) = (cell.clone(), parents.clone());
        let following = async move {
            feed::follow("box".to_owned(), &followed, &client, || candidates.clone(), stop).await;
        };
        compio::runtime::spawn(following).detach();
        let started = Instant::now();
        while cell.confirmed_age().is_none() {
            assert!(started.elapsed() < TIME_LIMIT, "the third parent was not asked concurrently");
            compio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn backoff_delays_grow_to_a_maximum() {
    let delays: Vec<u128> = (1..=6).map(|n| backoff::delay(n).as_millis()).collect();
    assert_eq!(delays, [25, 50, 100, 200, 200, 200]);
    assert_eq!(backoff::delay(u32::MAX), backoff::delay(6));
}
