//! Tests of the memory budget: what it counts, who waits, who is refused and who is broken off.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::task::noop_waker;
use hatchpitch_net::memory::{SMALL_RESERVATION, Usage};
use hatchpitch_net::{Backlog, Body, BodyError, Holder, MemoryBudget, MemoryError, Origin};
use http_body_util::BodyExt;

const MB: usize = 1_000_000;
/// Limit of a process whose budget is 39 MB.
const PROCESS_LIMIT: usize = 110 * MB;

fn budget() -> MemoryBudget {
    MemoryBudget::new(PROCESS_LIMIT)
}

fn origin(path: &str) -> Origin {
    Origin { path: path.to_owned(), ..Origin::default() }
}

fn usage(budget: &MemoryBudget, holder: Holder) -> Usage {
    budget.usage().get(&holder).copied().unwrap_or_default()
}

fn poll_once<T>(future: impl Future<Output = T>) -> Poll<T> {
    let mut future = pin!(future);
    future.as_mut().poll(&mut Context::from_waker(&noop_waker()))
}

/// A process that reserves more than half of its limit is killed, as allocators and the system take
/// as much again.
#[test]
fn the_budget_leaves_the_process_room_for_what_it_does_not_count() {
    for limit_mb in [88, 110, 220, 260] {
        let budget = MemoryBudget::new(limit_mb * MB);
        assert!(budget.limit() * 2 <= limit_mb * MB, "{limit_mb} MB: {}", budget.limit());
        assert!(budget.limit() >= 8 * MB, "{limit_mb} MB: {}", budget.limit());
    }
}

/// Bytes that nobody counts take the process over its limit.
#[test]
fn every_holder_is_counted_until_its_last_clone_is_gone() {
    let budget = budget();
    for holder in Holder::ALL {
        let held = budget.reserve(holder, origin("/a"), MB).unwrap();
        assert_eq!(usage(&budget, holder).bytes, MB, "{holder:?}");
        let bytes = held.attach(vec![0; MB]);
        let clone = bytes.slice(10..20);
        drop(bytes);
        assert_eq!((budget.used(), usage(&budget, holder).reservations), (MB, 1), "{holder:?}");
        drop(clone);
        assert_eq!((budget.used(), usage(&budget, holder).reservations), (0, 0), "{holder:?}");
        assert_eq!(usage(&budget, holder).peak_bytes, MB, "{holder:?}");
    }
}

/// Heartbeats and votes that find no room cost leases and the leader.
#[test]
fn small_reservations_pass_while_large_ones_fill_their_part() {
    let budget = budget();
    let mut held = Vec::new();
    while let Ok(body) = budget.reserve(Holder::RequestBody, origin("/large"), MB) {
        held.push(body);
    }
    assert!(held.len() * MB <= budget.limit() * 3 / 4);
    for _ in 0..100 {
        held.push(budget.reserve(Holder::BoxMessage, origin("/vote"), SMALL_RESERVATION).unwrap());
    }
    assert!(budget.used() <= budget.limit());
}

/// A wait for room that can never come keeps a caller until its deadline.
#[compio::test]
async fn more_than_the_budget_is_refused_at_once() {
    let budget = budget();
    let held = budget.open(Holder::RequestBody, origin("/large"));
    let grown = poll_once(held.grow(budget.limit(), Duration::from_secs(3_600)));
    assert_eq!(grown, Poll::Ready(Err(MemoryError::Exhausted(budget.limit()))));
}

/// A holder that waits for room and is not woken waits until its timeout.
#[compio::test]
async fn a_holder_that_waits_gets_the_room_that_another_one_returns() {
    let budget = budget();
    let first = budget.reserve(Holder::RequestBody, origin("/a"), 20 * MB).unwrap();
    let second = budget.open(Holder::RequestBody, origin("/b"));
    let release = async {
        compio::time::sleep(Duration::from_millis(20)).await;
        drop(first);
    };
    let grow = second.grow(20 * MB, Duration::from_secs(60));
    let (grown, ()) = futures_util::future::join(grow, release).await;
    assert_eq!((grown, second.bytes()), (Ok(()), 20 * MB));
}

/// A holder whose peer stopped reading keeps its memory for as long as the connection lives.
#[compio::test]
async fn the_largest_holder_that_can_is_broken_off() {
    let budget = budget();
    let largest = budget.reserve(Holder::RequestBody, origin("/served"), 9 * MB).unwrap();
    let reading = budget.reserve(Holder::RequestBody, origin("/reading"), 8 * MB).unwrap();
    let small = budget.reserve(Holder::Connection, origin("/small"), 1_000).unwrap();
    let mut cx = Context::from_waker(std::task::Waker::noop());
    let (mut reads, mut idles) = (pin!(reading.revoked()), pin!(small.revoked()));
    assert_eq!(reads.as_mut().poll(&mut cx), Poll::Pending);
    assert_eq!(idles.as_mut().poll(&mut cx), Poll::Pending);
    let revoked = budget.revoke_largest().unwrap();
    assert_eq!((revoked.origin.path.as_str(), revoked.bytes), ("/reading", 8 * MB));
    assert_eq!(reads.as_mut().poll(&mut cx), Poll::Ready(()));
    assert_eq!(reading.try_grow(1), Err(MemoryError::Revoked));
    assert!(!largest.is_revoked());
    assert_eq!(budget.revoke_largest(), None, "small holders are left alone");
}

/// Memory that no holder counts must not be filled up by those that do.
#[test]
fn large_reservations_wait_while_resident_memory_is_near_the_limit() {
    let budget = budget();
    let held = budget.open(Holder::RequestBody, origin("/a"));
    let running = budget.open(Holder::Answer, origin("/b"));
    budget.record_resident(PROCESS_LIMIT - 5 * MB);
    assert_eq!(held.try_grow(MB), Err(MemoryError::Exhausted(MB)));
    assert_eq!(running.try_grow(MB), Ok(()), "answers in progress go on");
    assert_eq!(held.try_grow(SMALL_RESERVATION), Ok(()));
    budget.record_resident(PROCESS_LIMIT / 2);
    assert_eq!(held.try_grow(MB), Ok(()));
}

/// Chunks that a connection has not taken are memory, however slowly it takes them.
#[compio::test]
async fn chunks_of_a_body_are_counted_until_the_connection_has_sent_them() {
    let budget = budget();
    let (mut tx, mut body) = Body::stream(4, budget.open(Holder::Answer, origin("/a")));
    tx.send(Bytes::from(vec![1; 200_000])).await.unwrap();
    assert_eq!(usage(&budget, Holder::Answer).bytes, 200_000);
    let mut taken = Vec::new();
    for _ in 0..4 {
        taken.push(body.frame().await.unwrap().unwrap().into_data().unwrap());
    }
    assert_eq!(taken.iter().map(Bytes::len).sum::<usize>(), 200_000);
    assert_eq!(usage(&budget, Holder::Answer).bytes, 200_000);
    taken.clear();
    assert_eq!(usage(&budget, Holder::Answer).bytes, 0);
    tx.finish();
    assert!(body.frame().await.is_none());
}

/// A reader that has stopped reading keeps the chunks that wait for it.
#[compio::test]
async fn a_queue_that_is_taken_back_is_emptied_and_its_body_breaks_off() {
    let budget = budget();
    let (mut tx, mut body) = Body::stream(1, budget.open(Holder::Answer, origin("/a")));
    tx.send(Bytes::from(vec![1; 100_000])).await.unwrap();
    let blocked = tx.send(Bytes::from_static(b"more"));
    let revoke = async {
        compio::time::sleep(Duration::from_millis(10)).await;
        budget.revoke_largest().unwrap()
    };
    let (sent, revoked) = futures_util::future::join(blocked, revoke).await;
    assert_eq!(sent, Err(BodyError::NoRoom(MemoryError::Revoked)));
    assert_eq!((revoked.bytes, budget.used()), (100_000, 0));
    assert!(matches!(body.frame().await, Some(Err(BodyError::Broken(_)))));
}

/// A sender that waits for room while its reader has gone holds its request until a time limit.
#[compio::test]
async fn a_sender_that_waits_for_room_notices_that_its_reader_has_gone() {
    let budget = budget();
    let full = budget.open(Holder::RequestBody, origin("/large"));
    while full.try_grow(10_000).is_ok() {}
    let (mut tx, body) = Body::stream(1, budget.open(Holder::Answer, origin("/a")));
    let leave = async {
        compio::time::sleep(Duration::from_millis(10)).await;
        drop(body);
    };
    let send = tx.send(Bytes::from(vec![1; 64_000]));
    let (sent, ()) = futures_util::future::join(send, leave).await;
    assert_eq!(sent, Err(BodyError::Closed));
    drop(full);
}

/// Connections and streams that use the whole budget leave nothing for votes and for the bytes of
/// running answers.
#[test]
fn idle_connections_and_streams_leave_room_for_messages() {
    let budget = MemoryBudget::new(88 * MB);
    let mut held = Vec::new();
    for _ in 0..1_400 {
        held.push(budget.reserve(Holder::Connection, origin("/idle"), 13 * 1_024).unwrap());
    }
    for _ in 0..400 {
        held.push(budget.reserve(Holder::Stream, origin("/stream"), 12 * 1_024).unwrap());
    }
    while let Ok(idle) = budget.reserve(Holder::Connection, origin("/idle"), 13 * 1_024) {
        held.push(idle);
    }
    for _ in 0..50 {
        held.push(budget.reserve(Holder::BoxMessage, origin("/vote"), 2_000).unwrap());
        held.push(budget.reserve(Holder::Answer, origin("/stream"), 20_000).unwrap());
    }
}

/// A body that was read is not being read any more, so breaking its reading off frees nothing.
#[compio::test]
async fn a_holder_that_no_longer_reacts_is_not_taken_for_the_largest() {
    let budget = budget();
    let read = budget.reserve(Holder::RequestBody, origin("/read"), 9 * MB).unwrap();
    let reading = budget.reserve(Holder::RequestBody, origin("/reading"), 8 * MB).unwrap();
    assert_eq!(poll_once(read.revoked()), Poll::Pending);
    let mut revoked = pin!(reading.revoked());
    let mut cx = Context::from_waker(std::task::Waker::noop());
    assert_eq!(revoked.as_mut().poll(&mut cx), Poll::Pending);
    assert_eq!(budget.revoke_largest().unwrap().origin.path, "/reading");
}

/// Bytes that move from one holder to another are counted all the time.
#[test]
fn bytes_that_change_their_holder_stay_counted() {
    let budget = budget();
    let event = budget.reserve(Holder::Event, origin("/a"), 200_000).unwrap();
    let queue = budget.open(Holder::Answer, origin("/a"));
    assert_eq!(event.move_to(&queue, 150_000), 150_000);
    assert_eq!((event.bytes(), queue.bytes(), budget.used()), (50_000, 150_000, 200_000));
    assert_eq!(event.move_to(&queue, 100_000), 50_000);
    drop((event, queue));
    assert_eq!(budget.used(), 0);
}

/// Without an answer, another box takes a request that has run for one that has not.
#[test]
fn a_small_answer_to_another_box_is_sent_without_room() {
    let budget = MemoryBudget::new(88 * MB);
    let backlog = Backlog::new(budget.clone());
    let full = budget.open(Holder::BoxMessage, origin("/full"));
    while full.try_grow(1_000).is_ok() {}
    let mut small = Vec::new();
    while let Ok(message) = budget.reserve(Holder::BoxMessage, origin("/small"), 1_000) {
        small.push(message);
    }
    assert_eq!(backlog.count_answer(vec![1; 3_000]).unwrap().len(), 3_000);
    assert!(backlog.count_answer(vec![1; 300_000]).is_err());
    assert!(backlog.count("/message", vec![1; 3_000]).is_err());
}
