//! The feed tells a box that waits for it when the newest configuration is confirmed.

use std::time::{Duration, Instant};

use futures_util::poll;
use hatchpitch::config::FeedRequest;
use hatchpitch::config::feed::ConfigCell;

/// Far longer than the test takes: an answer that comes does not come because of it.
const HOLD: Duration = Duration::from_secs(5);

fn request(unconfirmed: bool) -> FeedRequest {
    FeedRequest { from: "box".to_owned(), have: 0, hold: HOLD, unconfirmed }
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
