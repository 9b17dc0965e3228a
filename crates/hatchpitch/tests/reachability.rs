//! Which upstreams a box reaches on its own links, and which boxes it asks to reach others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch::reachability::messages::{AnswersReply, AnswersRequest};
use hatchpitch::reachability::silence::{
    AckWatch, AnswerTable, Evidence, INQUIRY_INTERVAL, Inquiries, MAX_ITEMS, MAX_UNACKNOWLEDGED,
    WaitingRequest,
};
use hatchpitch::reachability::state::PathChange;
use hatchpitch::reachability::watch::INQUIRY_PEERS;
use hatchpitch::reachability::{PathTable, PeerTable, verify};
use hatchpitch_net::{Acknowledgements, ProbedLink};

const MS: Duration = Duration::from_millis(1);

fn addr(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 80))
}

/// Returns a table that lost the link to an upstream, as another box confirmed.
fn with_lost_link(upstream: SocketAddr, now: Instant) -> PathTable {
    let mut paths = PathTable::default();
    paths.record_failure(upstream, now);
    assert_eq!(paths.record_peer_success(upstream, now), Some(PathChange::Broken));
    verify::verify(&paths).unwrap();
    paths
}

#[test]
fn a_failure_that_nobody_confirms_does_not_divert_requests() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    paths.record_failure(addr(1), now);
    assert!(paths.is_direct(addr(1), now));
    paths.record_peer_failure(addr(1));
    assert!(paths.is_direct(addr(1), now));
    assert!(paths.is_direct(addr(2), now));
    assert_eq!(paths.broken_count(), 0);
}

#[test]
fn a_lost_link_diverts_requests_to_all_upstreams_until_one_link_works() {
    let now = Instant::now();
    let mut paths = with_lost_link(addr(1), now);
    assert!(!paths.is_direct(addr(1), now));
    assert!(!paths.is_direct(addr(2), now));
    paths.record_success(addr(2), now + MS);
    assert!(!paths.is_direct(addr(1), now + MS));
    assert!(paths.is_direct(addr(2), now + MS));
    assert_eq!(paths.record_success(addr(1), now + MS), Some(PathChange::Restored));
    assert!(paths.is_direct(addr(1), now + MS));
}

#[test]
fn a_known_lost_link_does_not_divert_requests_to_other_upstreams_again() {
    let now = Instant::now();
    let mut paths = with_lost_link(addr(1), now);
    paths.record_success(addr(2), now + MS);
    paths.record_reset(addr(1), now + 2 * MS);
    assert_eq!(paths.record_peer_success(addr(1), now + 3 * MS), None);
    assert!(paths.is_direct(addr(2), now + 3 * MS));
}

#[test]
fn a_response_on_an_old_connection_does_not_restore_a_lost_link() {
    let now = Instant::now();
    let opened = now - MS;
    let mut paths = with_lost_link(addr(1), now);
    assert_eq!(paths.record_success(addr(1), opened), None);
    assert!(!paths.is_direct(addr(1), now + MS));
    assert!(!paths.is_direct(addr(2), now + MS));
}

#[test]
fn a_box_without_links_is_no_witness_against_upstreams() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    paths.record_failure(addr(1), now);
    assert!(!paths.is_witness(addr(1), now));
    paths.record_success(addr(3), now + MS);
    paths.record_failure(addr(1), now + 2 * MS);
    assert!(paths.is_witness(addr(1), now + 2 * MS));
    assert!(!paths.is_witness(addr(1), now + 3_000 * MS));
    paths.record_failure(addr(2), now + 2 * MS);
    assert!(!paths.is_witness(addr(2), now));
    paths.record_success(addr(3), now + 3 * MS);
    paths.record_failure(addr(2), now + 4 * MS);
    assert!(paths.is_witness(addr(2), now + 4 * MS));
    paths.record_peer_success(addr(2), now + 4 * MS);
    paths.record_failure(addr(3), now + 5 * MS);
    assert!(!paths.is_witness(addr(3), now + 5 * MS));
}

#[test]
fn probes_of_lost_links_do_not_multiply_with_requests() {
    let mut now = Instant::now();
    let mut paths = with_lost_link(addr(1), now);
    let end = now + 1_000 * MS;
    let mut probes = 0;
    while now < end {
        probes += usize::from(paths.take_probe(now));
        now += 10 * MS;
    }
    assert_eq!(probes, 2);
}

#[test]
fn boxes_that_helped_are_asked_first_and_those_that_could_not_last() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.record_help(addr(1), now);
    peers.record_no_help(addr(2), now);
    let sample = [addr(2), addr(3), addr(1)];
    assert_eq!(peers.order(&sample, 1, now), [addr(1), addr(3), addr(2)]);
    let later = now + 3_000 * MS;
    assert_eq!(peers.order(&sample, 1, later), [addr(1), addr(2), addr(3)]);
}

/// With four of six boxes cut, each request that asked unknown boxes first was sent to three of
/// those, one of which sent it on a link that it did not know to be lost.
#[test]
fn no_request_asks_unknown_boxes_before_one_that_helped() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.record_help(addr(9), now);
    let sample = [addr(1), addr(2), addr(3), addr(4)];
    for draw in 0..16 {
        assert_eq!(peers.order(&sample, draw, now)[0], addr(9), "draw {draw}");
    }
}

#[test]
fn requests_are_spread_over_the_boxes_that_helped() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    for host in 1..=4 {
        peers.record_help(addr(host), now);
    }
    let first = |draw| peers.order(&[], draw, now)[0];
    let asked: std::collections::BTreeSet<SocketAddr> = (0..4).map(first).collect();
    assert_eq!(asked.len(), 4);
}

/// Returns a table with evidence that connections to an upstream stay silent.
fn with_silent_link(upstream: SocketAddr, now: Instant) -> PathTable {
    let mut paths = PathTable::default();
    assert_eq!(paths.record_silence(upstream, now), Some(PathChange::Silent));
    verify::verify(&paths).unwrap();
    paths
}

/// A box whose connections are established and carry nothing sent all requests on them, as each
/// probe found the link to work.
#[test]
fn a_connect_does_not_restore_links_that_are_silent() {
    let now = Instant::now();
    let mut paths = with_silent_link(addr(1), now);
    for upstream in [addr(1), addr(2)] {
        assert!(!paths.is_direct(upstream, now));
        assert_eq!(paths.record_connect(upstream, now + MS), None);
        assert!(!paths.is_direct(upstream, now + MS));
    }
    assert_eq!(paths.record_peer_success(addr(1), now + 2 * MS), None);
    assert_eq!(paths.record_connect(addr(1), now + 3 * MS), None);
    assert!(!paths.is_direct(addr(1), now + 3 * MS));
    verify::verify(&paths).unwrap();
}

#[test]
fn a_byte_on_a_later_connection_restores_silent_links_one_by_one() {
    let now = Instant::now();
    let mut paths = with_silent_link(addr(1), now);
    assert_eq!(paths.record_success(addr(2), now - MS), None);
    assert!(!paths.is_direct(addr(2), now));
    paths.record_success(addr(2), now + MS);
    assert!(paths.is_direct(addr(2), now + MS));
    assert!(!paths.is_direct(addr(1), now + MS));
    assert_eq!(paths.record_success(addr(1), now + MS), Some(PathChange::Restored));
    assert!(paths.is_direct(addr(1), now + MS));
    verify::verify(&paths).unwrap();
}

#[test]
fn a_connect_restores_links_that_did_not_connect_before() {
    let now = Instant::now();
    let mut paths = with_lost_link(addr(1), now);
    assert_eq!(paths.record_connect(addr(1), now + MS), Some(PathChange::Restored));
    assert!(paths.is_direct(addr(1), now + MS));
}

/// A host that goes down must not divert the requests to all others each time that one of its
/// connections is found to be silent.
#[test]
fn a_known_silent_link_does_not_divert_requests_to_other_upstreams_again() {
    let now = Instant::now();
    let mut paths = with_silent_link(addr(1), now);
    paths.record_success(addr(2), now + MS);
    assert_eq!(paths.record_silence(addr(1), now + 2 * MS), None);
    assert!(paths.is_direct(addr(2), now + 3 * MS));
    assert_eq!(paths.abandon_at(addr(2), now - MS), None);
    assert_eq!(paths.record_success(addr(1), now + MS), Some(PathChange::Restored));
}

#[test]
fn requests_are_abandoned_on_silent_links_only_if_sent_before_the_evidence() {
    let now = Instant::now();
    let mut paths = with_silent_link(addr(1), now);
    assert_eq!(paths.abandon_at(addr(1), now - MS), Some(now));
    assert_eq!(paths.abandon_at(addr(1), now + MS), None);
    // Other links have a while to show that they work.
    let other = paths.abandon_at(addr(2), now - MS).unwrap();
    assert!(other > now && other < now + 500 * MS);
    assert_eq!(paths.abandon_at(addr(2), now + MS), None);
    paths.record_success(addr(3), now + MS);
    assert_eq!(paths.abandon_at(addr(2), now - MS), None);
    assert_eq!(paths.abandon_at(addr(1), now - MS), Some(now));
}

#[test]
fn a_box_with_silent_links_is_no_witness_against_upstreams() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    paths.record_success(addr(2), now - MS);
    paths.record_silence(addr(1), now);
    assert!(!paths.is_witness(addr(1), now));
    assert!(!paths.is_witness(addr(2), now));
}

fn acks(are_pending: bool, last_age: Duration) -> Acknowledgements {
    Acknowledgements { are_pending, last_age }
}

#[test]
fn bytes_that_stay_unacknowledged_are_evidence_after_their_time() {
    let sent = Instant::now();
    let mut watch = AckWatch::new(sent);
    for age in [100 * MS, 200 * MS, MAX_UNACKNOWLEDGED - MS] {
        assert_eq!(watch.observe(acks(true, age), sent + age), None);
    }
    let evidence = watch.observe(acks(true, MAX_UNACKNOWLEDGED), sent + MAX_UNACKNOWLEDGED);
    assert_eq!(evidence, Some(Evidence::Unacknowledged(MAX_UNACKNOWLEDGED)));
}

#[test]
fn a_slow_upstream_that_acknowledges_is_no_evidence() {
    let sent = Instant::now();
    let mut watch = AckWatch::new(sent);
    for wait in 1..100 {
        let wait = wait * 100 * MS;
        assert_eq!(watch.observe(acks(false, wait), sent + wait), None);
    }
}

/// The body of a request may continue after a pause, and be acknowledged piece by piece.
#[test]
fn bytes_sent_after_a_pause_have_their_own_time() {
    let sent = Instant::now();
    let mut watch = AckWatch::new(sent);
    assert_eq!(watch.observe(acks(false, 2_000 * MS), sent + 2_000 * MS), None);
    assert_eq!(watch.observe(acks(true, 2_100 * MS), sent + 2_100 * MS), None);
    assert_eq!(watch.observe(acks(true, 50 * MS), sent + 2_500 * MS), None);
    assert!(watch.observe(acks(true, 450 * MS), sent + 2_900 * MS).is_some());
}

fn waiting(sent: Instant) -> WaitingRequest {
    WaitingRequest { addr: addr(1), kind: "kind".to_owned(), sent }
}

#[test]
fn an_answer_elsewhere_is_evidence_only_with_a_lead_of_half_of_the_wait() {
    let sent = Instant::now();
    let asked = sent + 400 * MS;
    let evidence = Evidence::AnsweredElsewhere { waited: 400 * MS, age: 200 * MS };
    assert_eq!(waiting(sent).judge(200 * MS, asked), Some(evidence));
    assert_eq!(waiting(sent).judge(201 * MS, asked), None);
    assert_eq!(waiting(sent).judge(500 * MS, asked), None);
}

/// On a loaded machine, requests to an upstream that is silent for 1.2 s were taken for lost, and
/// one of them ran twice.
#[test]
fn no_answer_of_an_upstream_that_is_slow_for_all_boxes_is_evidence() {
    let sent = Instant::now();
    for slow in [1_200 * MS, 1_500 * MS] {
        for waited in (100..=2_300).step_by(100) {
            // No answered request can have been sent later than the time that answers take.
            assert_eq!(waiting(sent).judge(slow, sent + waited * MS), None, "{waited} ms");
        }
    }
}

#[test]
fn refusals_and_requests_of_other_kinds_are_not_compared() {
    let now = Instant::now();
    let mut answers = AnswerTable::default();
    answers.record(addr(1), None, now, now);
    answers.record(addr(1), Some("other"), now, now);
    answers.record(addr(2), Some("kind"), now, now);
    answers.record(addr(3), Some(""), now, now);
    assert_eq!(answers.age(addr(1), "kind", now), None);
    assert_eq!(answers.age(addr(3), "", now), None);
    answers.record(addr(1), Some("kind"), now - 20 * MS, now);
    answers.record(addr(1), Some("kind"), now - 30 * MS, now);
    assert_eq!(answers.age(addr(1), "kind", now), Some(20 * MS));
    assert_eq!(answers.age(addr(1), "kind", now + 60_000 * MS), None);
}

/// The system sends bytes of a connection from before the end of a cut again only after a while,
/// when later connections work.
#[test]
fn an_answer_to_a_later_request_shows_that_the_link_works() {
    let now = Instant::now();
    let mut answers = AnswerTable::default();
    answers.record(addr(1), None, now, now);
    assert!(answers.has_since(addr(1), now - MS));
    assert!(!answers.has_since(addr(1), now + MS));
    assert!(!answers.has_since(addr(2), now - MS));
}

#[test]
fn inquiries_do_not_multiply_with_requests_and_name_those_that_wait_longest() {
    let start = Instant::now();
    let mut inquiries = Inquiries::default();
    let mut asked = Vec::new();
    for tick in 0..1_000 {
        let now = start + tick * 10 * MS;
        for upstream in 0..40 {
            let sent = start + u32::from(upstream) * MS;
            let req = WaitingRequest { addr: addr(upstream), ..waiting(sent) };
            let items = inquiries.add(&req, now);
            asked.extend((!items.is_empty()).then_some(items));
        }
    }
    // A few at first, then two a second.
    assert!((20..=24).contains(&asked.len()), "{}", asked.len());
    assert!(asked.iter().all(|items| items.len() <= MAX_ITEMS));
    assert!(asked[1].contains(&WaitingRequest { addr: addr(0), ..waiting(start) }));
}

#[test]
fn other_boxes_are_not_asked_about_requests_that_have_hardly_waited() {
    let start = Instant::now();
    let mut inquiries = Inquiries::default();
    assert!(inquiries.add(&waiting(start), start + 100 * MS).is_empty());
    assert_eq!(inquiries.add(&waiting(start), start + 300 * MS), [waiting(start)]);
}

/// Requests that wait for long are normal where upstreams are slow, so inquiries may go on all day.
#[test]
fn inquiries_and_their_answers_stay_under_1_kb_a_second() {
    let item = (addr(1), "summaries".to_owned());
    let message = AnswersRequest { items: vec![item; MAX_ITEMS] };
    let reply = AnswersReply { ages_ms: vec![Some(9_999); MAX_ITEMS] };
    let bytes = rmp_serde::to_vec_named(&message).unwrap().len()
        + rmp_serde::to_vec_named(&reply).unwrap().len();
    let per_second = Duration::from_secs(1).div_duration_f64(INQUIRY_INTERVAL);
    let total = (bytes * INQUIRY_PEERS) as f64 * per_second;
    assert!(total < 1_000.0, "{total} bytes a second");
}

/// A request that had ended stayed in the next inquiry, and the answer of another box to a later one
/// was taken for evidence.
#[test]
fn other_boxes_are_not_asked_about_requests_that_have_ended() {
    let start = Instant::now();
    let mut inquiries = Inquiries::default();
    let other = |sent| WaitingRequest { addr: addr(2), ..waiting(sent) };
    assert_eq!(inquiries.add(&other(start), start + 300 * MS), [other(start)]);
    assert!(inquiries.add(&waiting(start), start + 400 * MS).is_empty());
    let later = start + 5_000 * MS;
    assert_eq!(inquiries.add(&other(start), later), [other(start)]);
    // The oldest request of a kind has ended while later ones wait on.
    assert!(inquiries.add(&waiting(start), later + 100 * MS).is_empty());
    let recent = waiting(start + MS);
    assert!(inquiries.add(&recent, later + 150 * MS).is_empty());
    assert_eq!(inquiries.add(&recent, later + 400 * MS), [recent]);
}

/// Three upstreams that are slow for all boxes hid a lost link to a fourth one.
#[test]
fn long_waits_do_not_keep_others_out_of_inquiries() {
    let start = Instant::now();
    let mut inquiries = Inquiries::default();
    let mut named = std::collections::BTreeSet::new();
    for tick in 3..50 {
        let now = start + tick * 100 * MS;
        for upstream in 0..10 {
            let sent = start + u32::from(upstream) * MS;
            let req = WaitingRequest { addr: addr(upstream), ..waiting(sent) };
            named.extend(inquiries.add(&req, now).into_iter().map(|item| item.addr));
        }
    }
    assert_eq!(named.len(), 10);
}

/// A box whose event loop had stalled took bytes that it had just written for silence.
#[test]
fn a_stall_of_the_box_before_the_first_look_is_no_evidence() {
    let sent = Instant::now();
    let mut watch = AckWatch::new(sent);
    assert_eq!(watch.observe(acks(true, 350 * MS), sent + 350 * MS), None);
    assert_eq!(watch.observe(acks(false, MS), sent + 450 * MS), None);
    assert_eq!(watch.observe(acks(true, 350 * MS), sent + 800 * MS), None);
    assert!(watch.observe(acks(true, 650 * MS), sent + 1_100 * MS).is_some());
}

/// An upstream stood still for 1.2 s and then answered another box a moment earlier than this one.
/// The request here was abandoned, and ran twice.
#[test]
fn an_answer_elsewhere_after_a_freeze_is_acted_on_only_if_the_link_itself_stays_silent() {
    let sent = Instant::now();
    // The other box sent its request 700 ms later, and was answered first after the thaw.
    let evidence = waiting(sent).judge(500 * MS, sent + 1_200 * MS).unwrap();
    assert!(!evidence.is_confirmed_by(None));
    assert!(!evidence.is_confirmed_by(Some(ProbedLink::Answers)));
    assert!(!evidence.is_confirmed_by(Some(ProbedLink::Closed)));
    assert!(evidence.is_confirmed_by(Some(ProbedLink::Silent)));
    assert!(evidence.is_confirmed_by(Some(ProbedLink::NoConnection)));
    // Unacknowledged bytes are evidence on the link itself.
    assert!(Evidence::Unacknowledged(MAX_UNACKNOWLEDGED).is_confirmed_by(None));
}

/// The probe of the silent link itself took the box's only probe for 500 ms, while requests on
/// working links were abandoned after 250 ms.
#[test]
fn another_link_than_the_silent_one_is_probed_first() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    assert!(paths.take_probe(now - MS));
    paths.record_silence(addr(1), now);
    assert!(!paths.take_probe_of(addr(1), now + MS));
    assert!(paths.take_probe_of(addr(2), now + MS));
    assert!(!paths.take_probe_of(addr(3), now + 2 * MS));
    assert!(paths.take_probe_of(addr(1), now + 600 * MS));
    verify::verify(&paths).unwrap();
}

/// Requests on working links were abandoned where all answers since the evidence came on
/// connections from before it.
#[test]
fn requests_are_not_abandoned_on_a_link_that_carried_a_byte_after_the_evidence() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    paths.record_byte(addr(3), now - MS);
    paths.record_silence(addr(1), now);
    for upstream in [addr(1), addr(2)] {
        paths.record_byte(upstream, now + MS);
    }
    assert_eq!(paths.abandon_at(addr(2), now - MS), None);
    assert!(paths.abandon_at(addr(3), now - MS).is_some());
    assert_eq!(paths.abandon_at(addr(1), now - MS), Some(now));
    assert!(!paths.is_direct(addr(2), now + MS));
    verify::verify(&paths).unwrap();
}

/// An upstream that had been silent and then went down was never blamed or ejected: no box counted
/// as having a link to it.
#[test]
fn an_upstream_that_goes_down_after_its_link_was_silent_can_be_blamed() {
    let now = Instant::now();
    let mut paths = with_silent_link(addr(1), now);
    // While the box is isolated, a failed connect is no news of the upstream.
    paths.record_failure(addr(1), now + MS);
    assert!(!paths.is_link_known(addr(1)));
    paths.record_success(addr(2), now + 2 * MS);
    // A connection that is established and reset is a link that does not work.
    paths.record_reset(addr(1), now + 3 * MS);
    assert!(!paths.is_link_known(addr(1)));
    paths.record_failure(addr(1), now + 4 * MS);
    assert!(paths.is_witness(addr(1), now + 5 * MS));
    verify::verify(&paths).unwrap();
}

/// A box whose links became suspect while it tried one of them said that it was a witness.
#[test]
fn a_connect_during_which_links_became_suspect_makes_no_witness() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    assert!(paths.record_witness(addr(2), addr(1), now));
    paths.record_silence(addr(3), now + MS);
    assert!(!paths.record_witness(addr(2), addr(1), now + 2 * MS));
}
