//! The feed tells a box that waits for it when the newest configuration is confirmed.

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

/// Far longer than the test takes: an answer that comes does not come because of it.
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
fn a_box_without_a_confirmation_hears_of_one_at_once() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let cell = ConfigCell::default();
        let req = request(true);
        let mut waits = Box::pin(cell.answer(&req));
        assert!(poll!(&mut waits).is_pending(), "nothing is known yet");
        cell.confirm(Instant::now());
        let answer = waits.await;
        assert!(answer.confirmed_age.is_some());
        assert!(answer.held < HOLD, "held for {:?}", answer.held);
        // Asked after the confirmation, the answer does not wait either.
        let mut asks = Box::pin(cell.answer(&req));
        assert!(poll!(&mut asks).is_ready());
    });
}

#[test]
fn further_confirmations_wake_nobody() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let cell = ConfigCell::default();
        cell.confirm(Instant::now());
        let req = request(false);
        let mut waits = Box::pin(cell.answer(&req));
        assert!(poll!(&mut waits).is_pending());
        cell.confirm(Instant::now());
        assert!(poll!(&mut waits).is_pending(), "only a change is news to this box");
    });
}

/// Counts the requests that it has in hand.
struct InHand(Rc<Cell<usize>>);

impl InHand {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Silent parents that have a request in hand when the one with a confirmation answers.
const SILENT: usize = 2;
/// Time in which the box must have its confirmation.
const PATIENCE: Duration = Duration::from_secs(20);

/// Starts a parent. One without a confirmation never answers; one that has it answers once all
/// the others have been asked and are still waited for.
async fn parent(confirmed: bool, in_hand: &Rc<Cell<usize>>, stop: Stop) -> SocketAddr {
    let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (in_hand, cell) = (in_hand.clone(), Rc::new(ConfigCell::default()));
    let handler: Handler = Rc::new(move |_req, _peer| {
        let (in_hand, cell) = (in_hand.clone(), cell.clone());
        async move {
            if !confirmed {
                let _held = InHand::new(&in_hand);
                compio::time::sleep(PATIENCE * 2).await;
            }
            while in_hand.get() < SILENT {
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
fn a_box_without_a_confirmation_does_not_wait_for_a_parent_that_is_silent() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (_stop_handle, stop) = stop_pair();
        let in_hand = Rc::new(Cell::new(0));
        let mut parents = Vec::new();
        for confirmed in [false, false, true] {
            parents.push(parent(confirmed, &in_hand, stop.clone()).await);
        }
        let keys = KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]);
        let client = BoxClient::new(keys.unwrap()).unwrap();
        let cell = Rc::new(ConfigCell::default());
        let (followed, asked) = (cell.clone(), parents.clone());
        let following = async move {
            feed::follow("box".to_owned(), &followed, &client, || asked.clone(), stop).await;
        };
        compio::runtime::spawn(following).detach();
        let started = Instant::now();
        while cell.confirmed_age().is_none() {
            assert!(started.elapsed() < PATIENCE, "the third parent was not asked with the others");
            compio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn rests_grow_and_stay_bounded() {
    let delays: Vec<u128> = (1..=6).map(|n| backoff::delay(n).as_millis()).collect();
    assert_eq!(delays, [25, 50, 100, 200, 200, 200]);
    assert_eq!(backoff::delay(u32::MAX), backoff::delay(6));
}
