//! Idle connections have TCP keepalive, on the client and on the server side.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hatchpitch_net::{Body, Handler, ServerLimits, Upstream, bind, serve, stop_pair};
use http::{Request, Response};

/// Code of the keepalive timer in `/proc/net/tcp`.
const KEEPALIVE_TIMER: &str = "02";
/// Time within which the keepalive timer must show up in `/proc/net/tcp`.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the code of the active timer of the connection between two ports, if it exists.
fn timer(from: u16, to: u16) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).map(|row| row.split_whitespace().collect::<Vec<&str>>());
    let (local, remote) = (format!(":{from:04X}"), format!(":{to:04X}"));
    let mut rows = rows.filter(|row| row[1].ends_with(&local) && row[2].ends_with(&remote));
    rows.next().and_then(|row| row[5].split(':').next().map(str::to_owned))
}

/// Waits until the keepalive timer is active. Until sent data is acknowledged, the retransmission
/// timer is shown instead.
async fn wait_for_keepalive(from: u16, to: u16) {
    let started = Instant::now();
    while timer(from, to).as_deref() != Some(KEEPALIVE_TIMER) {
        assert!(started.elapsed() < TIMEOUT, "timer {:?}", timer(from, to));
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[compio::test]
async fn a_connection_to_a_silent_upstream_is_probed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let accepted = std::thread::spawn(move || listener.accept().unwrap());
    let call = compio::runtime::spawn(async move {
        let upstream = Upstream { addr, connect_timeout: TIMEOUT, source: None };
        upstream.send(Request::new(Body::empty()), TIMEOUT).await.map(drop)
    });
    while !accepted.is_finished() {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    let (_stream, caller): (TcpStream, SocketAddr) = accepted.join().unwrap();
    wait_for_keepalive(caller.port(), addr.port()).await;
    drop(call);
}

#[compio::test]
async fn a_connection_of_an_idle_caller_is_probed() {
    let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (_handle, stop) = stop_pair();
    let handler: Handler =
        Rc::new(|_req, _peer| async { Response::new(Body::empty()) }.boxed_local());
    let serving = serve(listener, ServerLimits::default(), handler, stop);
    compio::runtime::spawn(serving).detach();
    let caller = TcpStream::connect(addr).unwrap();
    wait_for_keepalive(addr.port(), caller.local_addr().unwrap().port()).await;
}
