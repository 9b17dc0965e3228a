//! Connections on which nothing arrives: the kernel asks whether the peer is still there.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hatchpitch_net::{Body, Handler, ServerLimits, Upstream, bind, serve, stop_pair};
use http::{Request, Response};

/// Timer of a connection in the kernel's table: it will ask the peer once it has rested.
const PROBE_TIMER: &str = "02";
/// Time in which the kernel's table shows what a test waits for.
const PATIENCE: Duration = Duration::from_secs(20);

/// Returns the timer of the connection from one port to another, if there is one.
fn timer(from: u16, to: u16) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let row = table.lines().skip(1).map(|row| row.split_whitespace().collect::<Vec<&str>>());
    let ends = (format!(":{from:04X}"), format!(":{to:04X}"));
    let mut rows = row.filter(|row| row[1].ends_with(&ends.0) && row[2].ends_with(&ends.1));
    rows.next().and_then(|row| row[5].split(':').next().map(str::to_owned))
}

/// Waits until the connection is to be probed; what was sent last is acknowledged first.
async fn wait_for_probes(from: u16, to: u16) {
    let started = Instant::now();
    while timer(from, to).as_deref() != Some(PROBE_TIMER) {
        assert!(started.elapsed() < PATIENCE, "timer {:?}", timer(from, to));
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[compio::test]
async fn a_call_to_a_silent_upstream_is_probed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let accepted = std::thread::spawn(move || listener.accept().unwrap());
    let call = compio::runtime::spawn(async move {
        let upstream = Upstream { addr, connect_timeout: PATIENCE };
        upstream.send(Request::new(Body::empty()), PATIENCE).await.map(drop)
    });
    while !accepted.is_finished() {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    let (_stream, caller): (TcpStream, SocketAddr) = accepted.join().unwrap();
    wait_for_probes(caller.port(), addr.port()).await;
    drop(call);
}

#[compio::test]
async fn a_caller_that_rests_is_probed() {
    let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (_handle, stop) = stop_pair();
    let handler: Handler =
        Rc::new(|_req, _peer| async { Response::new(Body::empty()) }.boxed_local());
    let serving = serve(listener, ServerLimits::default(), handler, stop);
    compio::runtime::spawn(serving).detach();
    let caller = TcpStream::connect(addr).unwrap();
    wait_for_probes(addr.port(), caller.local_addr().unwrap().port()).await;
}
