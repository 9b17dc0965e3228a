//! A response that is cut short never looks complete to its reader, and a whole one always does.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use hatchpitch_net::{
    Body, Framing, Handler, Reservation, ResponseHead, ServerLimits, Stop, bind, serve, stop_pair,
};
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{HeaderValue, Method, Response, StatusCode};

/// Pause between the pieces of a body, so that each arrives by itself.
const PAUSE: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(10);
const WHOLE: &str = "first second";
/// Size of a body that does not fit into the buffers of a connection, in bytes.
const LARGE: usize = 3 * 1024 * 1024;

/// Sends two pieces of a body, and drops the sender between them if `is_cut`.
fn body(framing: Framing, is_cut: bool) -> Body {
    let (mut tx, body) = Body::stream(1, Reservation::uncounted());
    compio::runtime::spawn(async move {
        tx.send(Bytes::from("first ")).await.unwrap();
        compio::time::sleep(PAUSE).await;
        if is_cut {
            return;
        }
        // Fails if the reader has disconnected.
        let _ = tx.send(Bytes::from("second")).await;
        tx.finish();
    })
    .detach();
    body.framed(framing)
}

/// Starts a server whose paths are `/<framing>/<how the body ends>`; it stops with the test.
fn start() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async move {
            let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let handler: Handler = Rc::new(|req, _| {
                let path = req.uri().path();
                let framing = match path.starts_with("/close/") {
                    true => Framing::UntilClose,
                    false => Framing::Delimited,
                };
                let body = match path.rsplit('/').next() {
                    Some("buffered") => Body::from(WHOLE.to_owned()).framed(framing),
                    Some("large") => Body::from("x".repeat(LARGE)).framed(framing),
                    last => body(framing, last == Some("cut")),
                };
                let mut res = Response::new(body);
                if framing.is_until_close() {
                    // The length of another transfer coding is not that of the body.
                    res.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from_static("5"));
                }
                async move { res }.boxed_local()
            });
            let (_handle, stop): (_, Stop) = stop_pair();
            serve(listener, ServerLimits::default(), handler, stop).await;
        });
    });
    rx.recv().unwrap()
}

/// Sends a request and returns the head, the rest, and whether the connection was reset. Closes the
/// connection for writing once the first piece of the body is there if `half_closes`.
fn get(addr: SocketAddr, path: &str, version: &str, half_closes: bool) -> (String, String, bool) {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    write!(stream, "GET {path} {version}\r\nHost: h\r\nConnection: close\r\n\r\n").unwrap();
    let mut bytes = Vec::new();
    if half_closes {
        while !bytes.ends_with(b"first ") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            bytes.push(byte[0]);
        }
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let read = stream.read_to_end(&mut bytes);
    let was_reset = match &read {
        Ok(_) => false,
        Err(err) if err.kind() == io::ErrorKind::ConnectionReset => true,
        Err(err) => panic!("{path}: {err}"),
    };
    let text = String::from_utf8(bytes).unwrap();
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    (head.to_ascii_lowercase(), rest.to_owned(), was_reset)
}

#[test]
fn a_body_whose_sender_is_dropped_reads_as_complete() {
    let addr = start();
    for (path, version) in
        [("/close/cut", "HTTP/1.1"), ("/close/cut", "HTTP/1.0"), ("/x/cut", "HTTP/1.0")]
    {
        let (head, rest, was_reset) = get(addr, path, version, false);
        assert!(!head.contains("content-length") && !head.contains("chunked"), "{head}");
        assert_eq!((rest.as_str(), was_reset), ("first ", true), "{path} {version}");
    }
    let (head, rest, _) = get(addr, "/x/cut", "HTTP/1.1", false);
    assert!(head.contains("chunked") && !rest.ends_with("0\r\n\r\n"), "{head} {rest}");
}

#[test]
fn a_whole_body_that_ends_with_its_connection_is_reset() {
    let addr = start();
    for path in ["/close/whole", "/close/buffered"] {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let (head, rest, was_reset) = get(addr, path, version, false);
            assert!(!head.contains("content-length") && !head.contains("chunked"), "{head}");
            assert!(head.contains("connection: close"), "{head}");
            assert_eq!((rest.as_str(), was_reset), (WHOLE, false), "{path} {version}");
        }
    }
    let (_, rest, was_reset) = get(addr, "/x/whole", "HTTP/1.0", false);
    assert_eq!((rest.as_str(), was_reset), (WHOLE, false));
    let (head, rest, was_reset) = get(addr, "/x/buffered", "HTTP/1.1", false);
    assert!(head.contains("content-length"), "{head}");
    assert_eq!((rest.as_str(), was_reset), (WHOLE, false));
}

#[test]
fn a_reader_that_half_closes_takes_a_part_of_a_body_for_the_whole() {
    let addr = start();
    let (_, rest, was_reset) = get(addr, "/close/whole", "HTTP/1.1", true);
    assert!(was_reset || rest == WHOLE, "{rest}");
}

#[test]
fn a_request_that_is_sent_early_cuts_a_body_that_ends_with_its_connection() {
    let addr = start();
    for _ in 0..5 {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        write!(stream, "GET /close/large HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
        let mut bytes = vec![0; 1_024];
        stream.read_exact(&mut bytes).unwrap();
        // The server writes all that it can before the rest is read.
        std::thread::sleep(5 * PAUSE);
        let mut piece = [0; 64 * 1024];
        for _ in 0..40 {
            write!(stream, "GET /close/whole HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
            std::thread::sleep(PAUSE / 2);
            let read = stream.read(&mut piece).unwrap();
            bytes.extend_from_slice(&piece[..read]);
        }
        stream.read_to_end(&mut bytes).unwrap();
        assert!(bytes.len() > LARGE, "{}", bytes.len());
    }
}

/// Returns the framing of a response with these headers, or the part of its head that is invalid.
fn framing(
    method: Method,
    status: StatusCode,
    headers: &[(&str, &str)],
) -> Result<Framing, &'static str> {
    let mut res = Response::builder().status(status);
    for (name, value) in headers {
        res = res.header(*name, *value);
    }
    let (head, ()): (Parts, ()) = res.body(()).unwrap().into_parts();
    let head = ResponseHead { method: &method, status: head.status, headers: &head.headers };
    Framing::try_from(head).map_err(|err| err.field())
}

#[test]
fn only_a_length_or_chunks_mark_the_end_of_a_body() {
    let of = |headers: &[(&str, &str)]| framing(Method::POST, StatusCode::OK, headers);
    assert_eq!(of(&[("content-length", "5")]), Ok(Framing::Delimited));
    assert_eq!(of(&[("transfer-encoding", "chunked")]), Ok(Framing::Delimited));
    assert_eq!(of(&[]), Ok(Framing::UntilClose));
    assert_eq!(framing(Method::HEAD, StatusCode::OK, &[]), Ok(Framing::Delimited));
    assert_eq!(framing(Method::GET, StatusCode::NO_CONTENT, &[]), Ok(Framing::Delimited));
}

#[test]
fn an_unknown_transfer_coding_frames_a_body() {
    let of = |headers: &[(&str, &str)]| framing(Method::POST, StatusCode::OK, headers);
    let invalid = Err("transfer-encoding");
    assert_eq!(of(&[("transfer-encoding", "gzip, Chunked")]), invalid);
    assert_eq!(of(&[("transfer-encoding", "gzip")]), invalid);
    assert_eq!(of(&[("content-length", "5"), ("transfer-encoding", "gzip")]), invalid);
    let both = [("content-length", "5"), ("transfer-encoding", "chunked")];
    assert_eq!(of(&both), Err("content-length"));
}
