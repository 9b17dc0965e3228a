//! Connections that are established and carry nothing must not look like links that work.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hatchpitch_net::{Body, ProbedLink, Upstream};
use http::Request;
use socket2::{SockFilter, SockRef};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const HOLD: Duration = Duration::from_millis(20);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an accepted connection is served.
const SERVED: Duration = Duration::from_millis(600);
/// Instruction of a packet filter that drops every packet.
const DROP: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// Starts a peer in a thread that serves its only connection.
fn start(serve: impl FnOnce(TcpStream) + Send + 'static) -> (Upstream, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || serve(listener.accept().unwrap().0));
    (Upstream { addr, connect_timeout: CONNECT_TIMEOUT, source: None }, thread)
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

async fn probe(serve: impl FnOnce(TcpStream) + Send + 'static) -> ProbedLink {
    let (upstream, peer) = start(serve);
    let probed = upstream.probe(HOLD, ANSWER_TIMEOUT).await;
    peer.join().unwrap();
    probed
}

#[compio::test]
async fn a_probe_finds_out_whether_the_upstream_reacts() {
    let answers = |mut stream: TcpStream| {
        assert!(stream.read(&mut [0; 64]).unwrap() > 0);
        stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").unwrap();
    };
    assert_eq!(probe(answers).await, ProbedLink::Answers);
    let closes = |mut stream: TcpStream| {
        assert!(stream.read(&mut [0; 64]).unwrap() > 0);
    };
    assert_eq!(probe(closes).await, ProbedLink::Answers);
    let resets_at_once = |stream: TcpStream| reset(&stream);
    assert_eq!(probe(resets_at_once).await, ProbedLink::Closed);
    // A slow host resets connections only after the time for which a probe waits at first.
    let resets_late = |mut stream: TcpStream| {
        assert!(stream.read(&mut [0; 64]).unwrap() > 0);
        reset(&stream);
    };
    assert_eq!(probe(resets_late).await, ProbedLink::Closed);
    let stays_silent = |_stream: TcpStream| std::thread::sleep(SERVED);
    assert_eq!(probe(stays_silent).await, ProbedLink::Silent);
}

#[compio::test]
async fn a_probe_of_no_listener_finds_no_connection() {
    let addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let upstream = Upstream { addr, connect_timeout: CONNECT_TIMEOUT, source: None };
    assert_eq!(upstream.probe(HOLD, ANSWER_TIMEOUT).await, ProbedLink::NoConnection);
}

/// Sends a request to a peer, waits for `wait`, and returns whether its bytes are pending and since
/// when nothing was acknowledged.
async fn acknowledgements(
    wait: Duration,
    serve: impl FnOnce(TcpStream) + Send + 'static,
) -> (bool, Duration) {
    let (upstream, peer) = start(serve);
    let conn = upstream.connect().await.unwrap();
    let monitor = conn.monitor();
    // The peer attaches its filter first.
    compio::time::sleep(HOLD).await;
    let req = Request::post("/").header("host", "x").body(Body::from("body".to_owned())).unwrap();
    let sent = conn.send(req, wait).await;
    assert!(sent.is_err(), "the peer does not answer");
    let acks = monitor.acknowledgements().unwrap();
    monitor.reset();
    // The runtime drops the operations that kept the socket open.
    compio::time::sleep(HOLD).await;
    peer.join().unwrap();
    (acks.are_pending, acks.last_age)
}

#[compio::test]
async fn lost_packets_stay_unacknowledged_and_a_silent_upstream_acknowledges() {
    let wait = Duration::from_millis(250);
    let silent = |_stream: TcpStream| std::thread::sleep(SERVED);
    assert!(!acknowledgements(wait, silent).await.0);
    let cut = |stream: TcpStream| {
        SockRef::from(&stream).attach_filter(&[DROP]).unwrap();
        std::thread::sleep(SERVED);
    };
    let (are_pending, last_age) = acknowledgements(wait, cut).await;
    assert!(are_pending);
    assert!(last_age >= wait, "{last_age:?}");
}

/// Without the reset, the system would send the request again once the link is back.
#[compio::test]
async fn a_request_on_a_connection_that_was_reset_never_arrives() {
    let cut = |mut stream: TcpStream| {
        SockRef::from(&stream).attach_filter(&[DROP]).unwrap();
        std::thread::sleep(SERVED);
        SockRef::from(&stream).detach_filter().unwrap();
        stream.set_read_timeout(Some(SERVED * 2)).unwrap();
        let started = Instant::now();
        let read = stream.read(&mut [0; 64]);
        assert!(!matches!(read, Ok(1..)), "after {:?}: {read:?}", started.elapsed());
    };
    acknowledgements(Duration::from_millis(250), cut).await;
}
