//! A response whose head is spoilt never looks like one, and a valid one always does.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arbitrary::Unstructured;
use hatchpitch_net::{
    Body, BoxClient, CallStep, Framing, KeyRing, Reservation, SendError, SendStep, SigningKey,
    Upstream, read_body,
};
use http::{HeaderMap, Method, Request, StatusCode, header};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between the pieces of a head.
const PAUSE: Duration = Duration::from_millis(5);
/// Time that is spent on drawing heads, in milliseconds.
const DRAW_MS: u64 = 1_500;
const BODY: &str = "the whole body of a response";

/// What a response is to be sent as: pieces, each of which arrives by itself.
type Pieces = Vec<Vec<u8>>;

/// An upstream that sends the same bytes to every request.
struct Peer {
    addr: SocketAddr,
    pieces: Arc<Mutex<Pieces>>,
}

impl Peer {
    /// Starts an upstream that serves one connection after the other.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let pieces = Arc::new(Mutex::new(Pieces::new()));
        let shared = pieces.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                read_head(&mut stream);
                for piece in &*shared.lock().unwrap() {
                    // A client that has seen enough has closed the connection.
                    let _ = stream.write_all(piece);
                    std::thread::sleep(PAUSE);
                }
            }
        });
        Self { addr, pieces }
    }

    /// Sends a request, which is answered with these bytes.
    async fn exchange(&self, method: Method, pieces: Pieces) -> Result<Received, SendError> {
        *self.pieces.lock().unwrap() = pieces;
        let upstream = Upstream { addr: self.addr, connect_timeout: TIMEOUT, source: None };
        let req = Request::builder().method(method).uri("/").header("host", "h");
        let res = upstream.send(req.body(Body::empty()).unwrap(), TIMEOUT).await?;
        let (head, body) = res.into_parts();
        let framing = body.framing();
        let body = read_body(body, usize::MAX, TIMEOUT, Reservation::uncounted()).await;
        let body = body.ok().map(|body| String::from_utf8_lossy(&body).into_owned());
        Ok(Received { status: head.status, headers: head.headers, framing, body })
    }

    async fn send(&self, response: &[u8]) -> Result<Received, SendError> {
        self.exchange(Method::POST, vec![response.to_vec()]).await
    }
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|read| read > 0) {
        head.push(byte[0]);
    }
}

/// A response that passed as one.
#[derive(Debug)]
struct Received {
    status: StatusCode,
    headers: HeaderMap,
    framing: Framing,
    /// The body, unless it broke off.
    body: Option<String>,
}

fn chunked() -> String {
    let (first, second) = BODY.split_at(BODY.len() / 2);
    format!("{:x}\r\n{first}\r\n{:X}\r\n{second}\r\n0\r\n\r\n", first.len(), second.len())
}

/// Header lines that spoil a head.
const SPOILT_LINES: &[&[u8]] = &[
    b"Transfer-Encoding: chunkd",
    b"Transfer-Encoding: xchunked",
    b"Transfer-Encoding: \"chunked\"",
    b"Transfer-Encoding: chunked;q=1",
    b"Transfer-Encoding: chunked, x",
    b"Transfer-Encoding: chunked\xff",
    b"Transfer-Encoding:",
    b"Transfer-Encoding: ,",
    b"Transfer-Encoding: chunked chunked",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: gzip",
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: identity",
    b"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: chunked\r\nContent-Length: 7",
    b"Transfer-Encoding: chunked\r\nContent-Length: x",
    b"Transfer-Encoding: chunkd\r\nContent-Length: 7",
    b"Transfer-Encoding: gzip\r\nContent-Length: 28",
    b"Content-Length: 28x",
    b"Content-Length: +28",
    b"Content-Length: -28",
    b"Content-Length: 28, 7",
    b"Content-Length: 28,",
    b"Content-Length: 28\r\nContent-Length: 7",
    b"Content-Length:",
    b"Content-Length: 0x1c",
    b"Content-Length: 28.0",
    b"Content-Length: 2 8",
    b"Content-Length: 28\xff",
    b"Content-Length: 99999999999999999999",
    b"Content-Length:\r\n 28",
    b"Content-Length: 2\x008",
    b"Content-Length : 28",
    b"Content-Length\t: 28",
    b"Content Length: 28",
    b"Content\x01Length: 28",
    b"Content-Length\x7f: 28",
    b"Content-L\xe9ngth: 28",
    b"Content-Length@: 28",
    b"X-A b: 1",
    b"X-A\x01: 1",
    b"X\x00: 1",
    b" X-A: 1",
    b"X-A: 1\r\n folded",
    b"X-A: 1\rX-B: 2",
    b"X-A: \x00",
    b": no name",
    b"a line without a colon",
    b"<html><body>502</body></html>",
];

/// Status lines that are not those of a final response.
const SPOILT_STATUSES: &[&str] = &[
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/3.1 200 OK",
    "HTTP/1.x 200 OK",
    "HTTQ/1.1 200 OK",
    "ICY 200 OK",
    "200 OK",
];

async fn assert_invalid(peer: &Peer, response: &[u8]) {
    let read = peer.send(response).await;
    let text = String::from_utf8_lossy(response);
    let err = read.expect_err(&text);
    assert_eq!(err.step, SendStep::InvalidResponse, "{text}: {err}");
    assert!(!err.is_not_run(), "{text}");
}

#[compio::test]
async fn a_head_with_a_spoilt_line_passes_as_that_of_a_response() {
    let peer = Peer::start();
    for line in SPOILT_LINES {
        for body in [BODY.to_owned(), chunked()] {
            for further in ["Content-Type: text/plain\r\n", ""] {
                let head = [b"HTTP/1.1 200 OK\r\n", further.as_bytes(), line].concat();
                assert_invalid(&peer, &[&head, b"\r\n\r\n".as_slice(), body.as_bytes()].concat())
                    .await;
            }
        }
    }
}

#[compio::test]
async fn a_spoilt_head_behind_an_interim_response_passes() {
    let peer = Peer::start();
    for interim in ["HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"]
    {
        let spoilt = format!("{interim}HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkd\r\n\r\n");
        assert_invalid(&peer, (spoilt + &chunked()).as_bytes()).await;
        let whole = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{BODY}");
        assert_eq!(peer.send(whole.as_bytes()).await.unwrap().body.as_deref(), Some(BODY));
    }
}

#[compio::test]
async fn a_status_that_no_final_response_has_is_passed_on() {
    let peer = Peer::start();
    for status in SPOILT_STATUSES {
        for framing in ["Content-Length: 28\r\n", ""] {
            assert_invalid(&peer, format!("{status}\r\n{framing}\r\n{BODY}").as_bytes()).await;
        }
    }
}

#[compio::test]
async fn a_transfer_coding_in_a_response_of_http_1_0_is_decoded() {
    let peer = Peer::start();
    let head = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_invalid(&peer, (head.to_owned() + &chunked()).as_bytes()).await;
}

#[compio::test]
async fn a_head_that_a_recipient_may_accept_is_refused() {
    let peer = Peer::start();
    let (delimited, until_close) = (Framing::Delimited, Framing::UntilClose);
    let extended = format!("1c ;x=y\r\n{BODY}\r\n00;z\r\nX-Trailer: 1\r\n\r\n");
    for (head, body, framing) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 28\r\n", BODY, delimited),
        ("HTTP/1.1 200 OK\r\nContent-Length: 28, 28\r\n", BODY, delimited),
        ("HTTP/1.1 200 OK\r\nContent-Length: 28\r\nContent-Length: 28\r\n", BODY, delimited),
        ("HTTP/1.1 200 OK\r\nContent-Length: \t028 \r\n", BODY, delimited),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n", &chunked(), delimited),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding:\tCHUNKED \r\n", &chunked(), delimited),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: , chunked\r\n", &chunked(), delimited),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: x\r\n", &extended, delimited),
        ("HTTP/1.1 200 OK\nContent-Length: 28\n", BODY, delimited),
        ("HTTP/1.1 200\r\nContent-Length: 28\r\n", BODY, delimited),
        ("HTTP/1.1 200 \r\nContent-Length: 28\r\n", BODY, delimited),
        ("HTTP/1.0 200 OK\r\nContent-Length: 28\r\n", BODY, delimited),
        ("HTTP/1.1 299 A reason\r\nContent-Length: 28\r\nX-E:\r\nX-O: \u{e9}\r\n", BODY, delimited),
        ("HTTP/1.1 200 OK\r\n", BODY, until_close),
        ("HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n", BODY, until_close),
        ("HTTP/1.1 599 x\r\nConnection: close\r\n", BODY, until_close),
    ] {
        let end = if head.contains('\r') { "\r\n" } else { "\n" };
        let response = format!("{head}{end}{body}");
        let whole = peer.send(response.as_bytes()).await;
        let pieces = response.as_bytes().chunks(7).map(<[u8]>::to_vec).collect();
        let in_pieces = peer.exchange(Method::POST, pieces).await;
        for received in [whole, in_pieces] {
            let received = received.unwrap_or_else(|err| panic!("{response}: {err}"));
            assert_eq!(received.body.as_deref(), Some(BODY), "{response}");
            assert_eq!(received.framing, framing, "{response}");
            assert_unframed(&received);
        }
    }
}

/// Asserts that no field of the head frames the body.
fn assert_unframed(received: &Received) {
    for name in [header::CONTENT_LENGTH, header::TRANSFER_ENCODING] {
        assert!(!received.headers.contains_key(&name), "{received:?}");
    }
}

#[compio::test]
async fn a_response_without_a_body_is_framed_by_its_fields() {
    let peer = Peer::start();
    for (method, status) in [
        (Method::POST, "204 No Content"),
        (Method::GET, "304 Not Modified"),
        (Method::HEAD, "200 OK"),
    ] {
        for field in ["Content-Length: 28\r\n", "Transfer-Encoding: chunked\r\n", ""] {
            let response = format!("HTTP/1.1 {status}\r\n{field}\r\n{BODY}").into_bytes();
            let received = peer.exchange(method.clone(), vec![response]).await.unwrap();
            assert_eq!(
                (received.body.as_deref(), received.framing),
                (Some(""), Framing::Delimited)
            );
            assert_unframed(&received);
        }
    }
}

#[compio::test]
async fn a_second_response_behind_a_whole_one_is_read_as_its_body() {
    let peer = Peer::start();
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{BODY}");
    let received = peer.send(whole.repeat(2).as_bytes()).await.unwrap();
    assert_eq!((received.status, received.body.as_deref()), (StatusCode::OK, Some(BODY)));
}

#[compio::test]
async fn a_spoilt_chunk_passes_as_a_part_of_a_body() {
    let peer = Peer::start();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for chunks in [
        "1c\r\n{}",
        "1cx\r\n{}\r\n0\r\n\r\n",
        "+1c\r\n{}\r\n0\r\n\r\n",
        "0x1c\r\n{}\r\n0\r\n\r\n",
        "\r\n{}\r\n0\r\n\r\n",
        "1000000000000001c\r\n{}\r\n0\r\n\r\n",
        "1c\r\n{}0\r\n\r\n",
        "1b\r\n{}\r\n0\r\n\r\n",
        "1c\r\n{}\r\n",
        "1c\r\n{}\r\n0\r\n",
    ] {
        let response = head.to_owned() + &chunks.replace("{}", BODY);
        let received = peer.send(response.as_bytes()).await.unwrap();
        assert_eq!(received.body, None, "{response}");
    }
}

#[compio::test]
async fn a_spoilt_head_passes_as_the_answer_of_another_box() {
    let peer = Peer::start();
    let keys = KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]).unwrap();
    let boxes = BoxClient::new(keys).unwrap();
    for (fields, is_valid) in [
        ("Content-Length: 1\r\n", true),
        ("Content-Length: 1, 1\r\n", true),
        // Boxes mark the end of their answers.
        ("", false),
        ("Transfer-Encoding: identity\r\n", false),
        ("Transfer-Encoding: chunkd\r\n", false),
        ("Transfer-Encoding: chunkd\r\nContent-Length: 1\r\n", false),
        ("X A: 1\r\nContent-Length: 1\r\n", false),
    ] {
        // The message is the number 5.
        let response = format!("HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\n\x05");
        *peer.pieces.lock().unwrap() = vec![response.into_bytes()];
        let answer = boxes.call::<_, u64>(peer.addr, "/box/test", &(), TIMEOUT).await;
        match answer {
            Ok(answer) => assert!(is_valid && answer == 5, "{fields}: {answer}"),
            Err(err) => assert!(!is_valid && err.step == CallStep::Send, "{fields}: {err}"),
        }
    }
}

/// How a valid head is spoilt.
#[derive(Debug, Clone, Copy)]
enum Spoil {
    /// A byte of the name of a framing field becomes one that no name has.
    Name(u8),
    /// A byte that no coding or length has is inserted into the value of a framing field.
    Value(u8),
    /// A field that frames the body otherwise is added.
    Further(&'static str),
    /// The status becomes one that is not valid.
    Status(u16),
}

fn draw_spoil(u: &mut Unstructured<'_>) -> arbitrary::Result<Spoil> {
    Ok(match u.int_in_range(0..=3)? {
        0 => Spoil::Name(*u.choose(b" \t\x00\x01\x0b\x1f\x7f\"(),/:;<=>?@[\\]{}\x80\xe9\xff")?),
        1 => Spoil::Value(*u.choose(b" \t\x00\x01\x7f\"();x-+.\x80\xe9\xff")?),
        2 => Spoil::Further(u.choose(&[
            "Content-Length: 7",
            "Content-Length: x",
            "Transfer-Encoding: chunkd",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: identity",
        ])?),
        _ => Spoil::Status(match u.ratio(1, 2)? {
            true => u.int_in_range(0..=99)?,
            false => u.int_in_range(600..=999)?,
        }),
    })
}

/// Draws a response with a spoilt head.
fn draw_response(u: &mut Unstructured<'_>) -> arbitrary::Result<Vec<u8>> {
    let (name, value, body) = match u.ratio(1, 2)? {
        true => ("Content-Length", "28", BODY.to_owned()),
        false => ("Transfer-Encoding", "chunked", chunked()),
    };
    let (mut name, mut value) = (name.as_bytes().to_vec(), value.as_bytes().to_vec());
    let (mut status, mut lines) = (200, Vec::new());
    match draw_spoil(u)? {
        Spoil::Name(byte) => {
            // A colon ends the name, and is that of another field.
            let at = u.int_in_range(1..=name.len() - 1)?;
            if byte == b':' {
                name.insert(0, byte);
            } else {
                name[at] = byte;
            }
        }
        Spoil::Value(byte) => value.insert(u.int_in_range(1..=value.len() - 1)?, byte),
        Spoil::Further(line) => lines.push(line.as_bytes().to_vec()),
        Spoil::Status(code) => status = code,
    }
    lines.push([name.as_slice(), b": ", &value].concat());
    for _ in 0..u.int_in_range(0..=2)? {
        let at = u.int_in_range(0..=lines.len())?;
        lines.insert(at, b"Content-Type: text/plain".to_vec());
    }
    let mut response = format!("HTTP/1.1 {status:03} OK\r\n").into_bytes();
    for line in &lines {
        response.extend_from_slice(line);
        response.extend_from_slice(b"\r\n");
    }
    response.extend_from_slice(b"\r\n");
    response.extend_from_slice(body.as_bytes());
    Ok(response)
}

#[test]
fn a_drawn_head_that_is_spoilt_passes_as_that_of_a_response() {
    let peer = Peer::start();
    let runtime = compio::runtime::Runtime::new().unwrap();
    arbtest::arbtest(|u| {
        let response = draw_response(u)?;
        runtime.block_on(assert_invalid(&peer, &response));
        Ok(())
    })
    .budget_ms(DRAW_MS);
}
