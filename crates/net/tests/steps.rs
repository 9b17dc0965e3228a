//! A failed call is reported as not run only if the peer received no byte of it.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

use hatchpitch_net::{Body, Reservation, ResponseBody, SendError, SendStep, Upstream, read_body};
use http::Request;

const LIMIT: Duration = Duration::from_millis(300);
const BODY: &str = "a body that is sent at once";

/// Behaviour of a peer on its only connection before it closes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peer {
    CloseImmediately,
    ReadOneByte,
    ReadAll,
    ReadAllAndSendPartialHead,
    ReadAllAndSendPartialBody,
    StaySilent,
}

/// Starts a peer in a thread that returns how many bytes it received.
fn start(peer: Peer) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 4096];
        let mut received = 0;
        match peer {
            Peer::CloseImmediately => {}
            Peer::ReadOneByte => received += stream.read(&mut buf[..1]).unwrap(),
            _ => {
                while !String::from_utf8_lossy(&buf[..received]).ends_with(BODY) {
                    received += stream.read(&mut buf[received..]).unwrap();
                }
            }
        }
        match peer {
            Peer::ReadAllAndSendPartialHead => stream.write_all(b"HTTP/1.1 200 O").unwrap(),
            Peer::ReadAllAndSendPartialBody => {
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").unwrap();
            }
            Peer::StaySilent => std::thread::sleep(LIMIT * 2),
            _ => {}
        }
        received
    });
    (addr, thread)
}

async fn call(addr: SocketAddr) -> Result<http::Response<ResponseBody>, SendError> {
    let upstream = Upstream { addr, connect_timeout: LIMIT, source: None };
    let req = Request::post("/quote").header("host", "x").body(Body::from(BODY.to_owned()));
    upstream.send(req.unwrap(), LIMIT).await
}

#[compio::test]
async fn a_refused_connect_is_not_run() {
    let addr = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let err = call(addr).await.unwrap_err();
    assert_eq!(err.step, SendStep::Connect);
    assert!(err.is_not_run());
}

#[compio::test]
async fn not_run_is_never_said_once_a_byte_arrived() {
    for _ in 0..50 {
        let (addr, peer) = start(Peer::CloseImmediately);
        let err = call(addr).await.unwrap_err();
        let received = peer.join().unwrap();
        assert!(!err.is_not_run() || received == 0, "{err}: {received} bytes arrived");
    }
    for peer in
        [Peer::ReadOneByte, Peer::ReadAll, Peer::ReadAllAndSendPartialHead, Peer::StaySilent]
    {
        let (addr, thread) = start(peer);
        let err = call(addr).await.unwrap_err();
        assert_eq!(err.step, SendStep::AwaitHead, "{peer:?}: {err}");
        assert!(!err.is_not_run());
        assert!(thread.join().unwrap() > 0);
    }
}

#[compio::test]
async fn a_body_that_breaks_off_is_not_an_answer() {
    let (addr, peer) = start(Peer::ReadAllAndSendPartialBody);
    let res = call(addr).await.unwrap();
    assert!(read_body(res.into_body(), 1_000, LIMIT, Reservation::uncounted()).await.is_err());
    peer.join().unwrap();
}
