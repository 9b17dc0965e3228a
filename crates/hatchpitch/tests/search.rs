//! Tests of the order in which a request asks owners, and of the evaluation of their quotes.

use std::net::SocketAddr;
use std::time::Duration;

use hatchpitch::dispatch::search::Search;
use hatchpitch::dispatch::{OwnerChoice, Quote, Refusal, Step};

const ACCEPTS: Duration = Duration::from_millis(900);

fn addr(i: u8) -> SocketAddr {
    ([10, 0, 0, i], 1).into()
}

fn owners(near: u8, far: u8) -> impl Iterator<Item = OwnerChoice> {
    (0..near + far).map(move |i| OwnerChoice { addr: addr(i), engines: 4, near: i < near })
}

/// Creates a search whose random numbers are 1, 2, 3 and so on.
fn search(near: u8, far: u8, quotes: bool) -> Search {
    let mut last = 0;
    let draw = move || {
        last += 1;
        last
    };
    Search::new(owners(near, far), ACCEPTS, quotes, draw)
}

fn expect_quote(step: Step) -> Vec<SocketAddr> {
    let Step::Quote(asked) = step else { panic!("{step:?}") };
    asked
}

fn busy(ms: u64) -> Quote {
    Quote::Busy(Duration::from_millis(ms))
}

#[test]
fn near_and_far_owners_are_asked_in_one_round() {
    let asked = expect_quote(search(10, 30, true).step());
    let near = asked.iter().filter(|a| (0..10).any(|i| addr(i) == **a)).count();
    assert_eq!((near, asked.len()), (2, 4));
    // Owners elsewhere are asked even if none is near.
    assert_eq!(expect_quote(search(0, 30, true).step()).len(), 2);
}

#[test]
fn owners_with_room_are_tried_from_the_least_loaded() {
    let mut search = search(3, 3, true);
    let asked = expect_quote(search.step());
    let quotes = [Quote::Room(0.5), Quote::Room(0.2), busy(10), Quote::Room(0.9)];
    search.record_quotes(asked.iter().copied().zip(quotes));
    assert_eq!(search.step(), Step::Take(asked[1]));
    search.record_busy(asked[1], Duration::from_millis(40));
    assert_eq!(search.step(), Step::Take(asked[0]));
    // `asked[0]` did not answer, which needs no call; the next owner is returned.
    assert_eq!(search.step(), Step::Take(asked[3]));
}

#[test]
fn a_second_round_precedes_waiting_at_the_owner_with_the_shortest_wait() {
    let mut search = search(6, 6, true);
    let first = expect_quote(search.step());
    search.record_quotes(first.iter().map(|owner| (*owner, busy(300))));
    let second = expect_quote(search.step());
    assert!(second.iter().all(|owner| !first.contains(owner)), "{first:?} {second:?}");
    let waits = [busy(200), busy(100), busy(400), busy(250)];
    search.record_quotes(second.iter().copied().zip(waits));
    assert_eq!(search.step(), Step::Wait(second[1]));
    // That owner did not answer; the one with the next shortest wait follows.
    assert_eq!(search.step(), Step::Wait(second[0]));
    search.record_refusal(Refusal::new("displaced", Duration::from_secs(2)));
    assert_eq!(search.step(), Step::Refuse(Refusal::new("displaced", Duration::from_secs(2))));
}

#[test]
fn a_request_is_refused_if_every_quoted_wait_is_too_long() {
    let mut search = search(2, 2, true);
    let asked = expect_quote(search.step());
    search.record_quotes(asked.iter().map(|owner| (*owner, busy(1_500))));
    let Step::Refuse(refusal) = search.step() else { panic!() };
    assert_eq!(refusal.retry_after, Duration::from_millis(1_500));
}

#[test]
fn owners_that_do_not_answer_are_skipped_until_none_is_left() {
    let mut search = search(5, 3, true);
    let mut asked = Vec::new();
    loop {
        match search.step() {
            Step::Quote(owners) => asked.extend(owners),
            step => break assert_eq!(step, Step::DecideLocally),
        }
    }
    asked.sort();
    assert_eq!(asked, (0..8).map(addr).collect::<Vec<_>>());
}

#[test]
fn without_quotes_owners_are_tried_one_by_one_and_near_ones_first() {
    let mut search = search(2, 2, false);
    for _ in 0..2 {
        let Step::Take(owner) = search.step() else { panic!() };
        assert!((0..2).any(|i| addr(i) == owner), "{owner}");
        search.record_busy(owner, Duration::from_millis(10));
    }
}
