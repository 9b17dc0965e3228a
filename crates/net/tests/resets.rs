//! A response whose end only its connection marks is complete only if the connection ended in order,
//! after the upstream had read the request.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use hatchpitch_net::{Body, BodyError, Upstream, read_stream};
use http::{Request, StatusCode};
use socket2::{Domain, SockRef, Socket, Type};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before an upstream resets a connection that it has ended in order.
const PAUSE: Duration = Duration::from_millis(500);
/// Size of a request that does not fit into the buffers of a connection, in bytes.
const UPLOAD: usize = 16 * 1024 * 1024;
/// Receive buffer of an upstream that leaves a request unread, in bytes.
const RECEIVE_BUFFER: usize = 4 * 1024;
const BODY: &str = "the first half, and then the other half of a body";

/// A response body as its reader received it.
type Received = Result<Bytes, BodyError>;

fn head(status: StatusCode, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}\r\n")
}

/// Starts an upstream that reads the beginning of its only request and then does `answer`.
fn start(answer: impl FnOnce(TcpStream) + Send + 'static) -> Upstream {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(1).unwrap();
    let listener = TcpListener::from(listener);
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        assert!(stream.read(&mut [0; 256]).unwrap() > 0);
        answer(stream);
    });
    Upstream { addr, connect_timeout: TIMEOUT, source: None }
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Reads the rest of a request until the client closes the connection.
fn drain(mut stream: TcpStream) {
    let mut buf = vec![0; 64 * 1024];
    while stream.read(&mut buf).is_ok_and(|read| read > 0) {}
}

fn upload(len: usize) -> Request<Body> {
    let body = Body::from("x".repeat(len));
    Request::post("/").header("host", "h").body(body).unwrap()
}

/// Sends a request of the given size and reads the response.
async fn receive(upstream: &Upstream, len: usize) -> (StatusCode, Received) {
    let res = upstream.send(upload(len), TIMEOUT).await.unwrap();
    let status = res.status();
    let mut body = res.into_body();
    let mut bytes = Vec::new();
    loop {
        let read = compio::time::timeout(TIMEOUT, read_stream(&mut body)).await;
        match read.expect("the response ends") {
            Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
            Ok(None) => return (status, Ok(Bytes::from(bytes))),
            Err(err) => return (status, Err(err)),
        }
    }
}

/// Sends a request of the given size to an upstream that answers so, and reads the response.
async fn exchange(
    len: usize,
    answer: impl FnOnce(TcpStream) + Send + 'static,
) -> (StatusCode, Received) {
    receive(&start(answer), len).await
}

/// Returns what the reader gets of half of a body that a reset cuts short, if `is_reported` after
/// another operation on the connection has been told of the reset.
async fn read_cut(len: usize, is_reported: bool) -> Received {
    let (cut_tx, cut_rx) = mpsc::channel::<()>();
    let (done_tx, done_rx) = mpsc::channel();
    let upstream = start(move |mut stream| {
        stream.write_all(head(StatusCode::OK, "").as_bytes()).unwrap();
        cut_rx.recv().unwrap();
        stream.write_all(&BODY.as_bytes()[..BODY.len() / 2]).unwrap();
        reset(stream);
        done_tx.send(()).unwrap();
    });
    let conn = upstream.connect().await.unwrap();
    let monitor = conn.monitor();
    let mut body = conn.send(upload(len), TIMEOUT).await.unwrap().into_body();
    // The client runs on this thread, so it sees the bytes and the reset at the same moment.
    cut_tx.send(()).unwrap();
    done_rx.recv().unwrap();
    if is_reported {
        assert!(SockRef::from(&monitor).take_error().unwrap().is_some());
    }
    let mut bytes = Vec::new();
    while let Some(chunk) = read_stream(&mut body).await? {
        bytes.extend_from_slice(&chunk);
    }
    Ok(Bytes::from(bytes))
}

#[compio::test]
async fn a_reset_that_another_operation_is_told_of_looks_like_the_end_of_a_response() {
    for len in [0, UPLOAD] {
        for is_reported in [false, true] {
            let read = read_cut(len, is_reported).await;
            assert!(read.is_err(), "{len} bytes, {is_reported}: {read:?}");
        }
    }
}

/// Returns a head and a body with each framing, of which the last has none.
fn framed(status: StatusCode, body: &str) -> [String; 3] {
    let len = body.len();
    [
        format!("{}{body}", head(status, &format!("Content-Length: {len}\r\n"))),
        format!("{}{len:x}\r\n{body}\r\n0\r\n\r\n", head(status, "Transfer-Encoding: chunked\r\n")),
        format!("{}{body}", head(status, "")),
    ]
}

fn write(mut stream: &TcpStream, response: &str) {
    stream.write_all(response.as_bytes()).unwrap();
}

fn assert_whole((read_status, read): (StatusCode, Received), status: StatusCode, body: &str) {
    assert_eq!(read_status, status);
    let len = read.as_ref().map(Bytes::len);
    assert!(read.as_ref().is_ok_and(|read| read == body), "{status}: {len:?} of {}", body.len());
}

#[compio::test]
async fn a_whole_response_to_a_request_that_is_still_being_sent_is_lost() {
    // Larger than what is read of a connection at a stretch.
    let body = BODY.repeat(1_000);
    for status in [StatusCode::OK, StatusCode::PAYLOAD_TOO_LARGE] {
        for response in framed(status, &body) {
            let read = exchange(UPLOAD, move |stream| {
                write(&stream, &response);
                stream.shutdown(Shutdown::Write).unwrap();
                drain(stream);
            });
            assert_whole(read.await, status, &body);
        }
    }
}

#[compio::test]
async fn a_whole_framed_response_is_lost_in_the_reset_that_follows_it() {
    let body = BODY.repeat(1_000);
    for status in [StatusCode::OK, StatusCode::PAYLOAD_TOO_LARGE] {
        let [with_length, chunked, _] = framed(status, &body);
        for response in [with_length, chunked] {
            // Closing a connection whose request is unread resets it.
            let read = exchange(UPLOAD, move |stream| write(&stream, &response));
            assert_whole(read.await, status, &body);
        }
    }
}

#[compio::test]
async fn an_orderly_end_before_a_reset_looks_like_the_end_of_a_response() {
    for status in [StatusCode::OK, StatusCode::PAYLOAD_TOO_LARGE] {
        let (_, read) = exchange(UPLOAD, move |stream| {
            write(&stream, &(head(status, "") + &BODY[..BODY.len() / 2]));
            stream.shutdown(Shutdown::Write).unwrap();
            std::thread::sleep(PAUSE);
            reset(stream);
        })
        .await;
        assert!(read.is_err(), "{status}: {read:?}");
    }
}

#[compio::test]
async fn a_success_of_an_upstream_that_does_not_read_its_request_looks_complete() {
    for status in [StatusCode::OK, StatusCode::PAYLOAD_TOO_LARGE] {
        let (done_tx, done_rx) = mpsc::channel::<()>();
        let upstream = start(move |stream| {
            write(&stream, &(head(status, "") + BODY));
            stream.shutdown(Shutdown::Write).unwrap();
            // Keeps the connection open until the response has been read.
            let _ = done_rx.recv();
        });
        let (_, read) = receive(&upstream, UPLOAD).await;
        drop(done_tx);
        assert_eq!(read.is_ok(), !status.is_success(), "{status}: {read:?}");
    }
}

#[compio::test]
async fn a_response_that_ends_before_a_slow_upstream_has_read_its_request_is_lost() {
    let read = exchange(UPLOAD, |mut stream| {
        write(&stream, &(head(StatusCode::OK, "") + BODY));
        stream.shutdown(Shutdown::Write).unwrap();
        let mut buf = vec![0; UPLOAD / 32];
        while stream.read_exact(&mut buf).is_ok() {
            std::thread::sleep(PAUSE / 5);
        }
        drain(stream);
    });
    assert_whole(read.await, StatusCode::OK, BODY);
}
