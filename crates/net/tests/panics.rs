//! A handler that panics costs its connection, and nothing that the listener counts.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use futures_util::FutureExt as _;
use hatchpitch_net::{Body, Handler, ServerLimits, bind, serve, stop_pair};
use http::Response;

const TIMEOUT: Duration = Duration::from_secs(10);

fn call(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut answer = String::new();
    // The connection may be reset.
    let _ = write!(stream, "GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Guards against a listener that refuses connections for good after some handlers panicked, and
/// a process that never stops because it waits for connections that are gone.
#[test]
fn a_panic_in_a_handler_gives_its_place_back() {
    let (addr_tx, addr_rx) = mpsc::channel();
    let (ended_tx, ended_rx) = mpsc::channel();
    let (stop_tx, stop_rx) = mpsc::channel::<()>();
    std::thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async move {
            let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            addr_tx.send(listener.local_addr().unwrap()).unwrap();
            let handler: Handler = Rc::new(|req, _| {
                let panics = req.uri().path() == "/panic";
                async move {
                    assert!(!panics, "panic requested by the test");
                    Response::new(Body::from("whole".to_owned()))
                }
                .boxed_local()
            });
            let (handle, stop) = stop_pair();
            compio::runtime::spawn(async move {
                while stop_rx.try_recv().is_err() {
                    compio::time::sleep(Duration::from_millis(20)).await;
                }
                drop(handle);
            })
            .detach();
            let limits = ServerLimits { connections: 2, ..ServerLimits::default() };
            serve(listener, limits, handler, stop).await;
            ended_tx.send(()).unwrap();
        });
    });
    let addr = addr_rx.recv().unwrap();
    for _ in 0..4 {
        assert_eq!(call(addr, "/panic"), "");
    }
    let started = Instant::now();
    while !call(addr, "/").ends_with("whole") {
        assert!(started.elapsed() < TIMEOUT, "each place is still taken");
        std::thread::sleep(Duration::from_millis(20));
    }
    stop_tx.send(()).unwrap();
    ended_rx.recv_timeout(TIMEOUT).expect("the listener closes");
}
