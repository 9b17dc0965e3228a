//! Tests of messages between boxes: strangers cannot make a box hold their bytes, boxes of earlier
//! versions are still heard, and every message is counted in the memory budget.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use futures_util::FutureExt as _;
use hatchpitch_net::receive::MAX_UNVERIFIED_BODY;
use hatchpitch_net::rpc::{HEAD_SIGNATURE_HEADER, SIGNATURE_HEADER, sign_head, verify_head};
use hatchpitch_net::{
    BoxClient, CallStep, Handler, Holder, KeyRing, MemoryBudget, ServerLimits, SigningKey, bind,
    serve, stop_pair,
};

const MB: usize = 1 << 20;
const PATH: &str = "/box/test";
/// Largest message that the box of the tests accepts, in bytes.
const MAX_BODY: usize = 16 * MB;
/// Time for a whole body, far above that for an answer to a head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of a process whose budget is 39 MB.
const PROCESS_LIMIT: usize = 110_000_000;

fn keys() -> KeyRing {
    KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]).unwrap()
}

/// Starts a box that answers each message with its size; it stops with the test.
fn start_box() -> (SocketAddr, MemoryBudget) {
    let (tx, rx) = mpsc::channel();
    let memory = MemoryBudget::new(PROCESS_LIMIT);
    let budget = memory.clone();
    std::thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async move {
            let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let client = BoxClient::new(keys()).unwrap().with_memory(budget);
            let handler: Handler = Rc::new(move |req, _| {
                let client = client.clone();
                async move {
                    let (parts, body) = req.into_parts();
                    match client.receive(&parts, body, MAX_BODY, BODY_TIMEOUT).await {
                        Ok(message) => client.respond(&message.size()),
                        Err(refusal) => *refusal,
                    }
                }
                .boxed_local()
            });
            let (_handle, stop) = stop_pair();
            serve(listener, ServerLimits::default(), handler, stop).await;
        });
    });
    (rx.recv().unwrap(), memory)
}

/// Opens a connection and sends the head of a message.
fn send_head(addr: SocketAddr, headers: &[(&str, &str)]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut head = format!("POST {PATH} HTTP/1.1\r\nHost: h\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all((head + "\r\n").as_bytes()).unwrap();
    stream
}

/// Returns the status of the answer, or 0 if none arrives in time.
fn status(mut stream: &TcpStream) -> u16 {
    let mut line = [0; 12];
    match stream.read_exact(&mut line) {
        Ok(()) => std::str::from_utf8(&line[9..]).unwrap().parse().unwrap(),
        Err(_) => 0,
    }
}

fn signature(body: &[u8]) -> String {
    keys().sign("box-message", &[PATH.as_bytes(), body])
}

/// Sends a message as boxes of earlier versions do, without a signature of its head.
fn send_earlier(addr: SocketAddr, body: &[u8]) -> u16 {
    let len = body.len().to_string();
    let headers = [("Content-Length", len.as_str()), (SIGNATURE_HEADER, &signature(body))];
    let mut stream = send_head(addr, &headers);
    // A box that refuses the message closes the connection before all of it is sent.
    let _ = stream.write_all(body);
    status(&stream)
}

fn box_bytes(memory: &MemoryBudget) -> usize {
    memory.usage().get(&Holder::BoxMessage).map_or(0, |usage| usage.bytes)
}

fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_true() {
        assert!(started.elapsed() < TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A stranger's body is held, and takes the process over the limit of its machine.
#[test]
fn a_message_without_a_valid_head_is_refused_before_its_body_is_read() {
    let (addr, memory) = start_box();
    let len = (60 * MB).to_string();
    let forged = KeyRing::new(vec![SigningKey::new("k".into(), vec![4; 32]).unwrap()]).unwrap();
    let forged = sign_head(&forged, PATH, 100);
    let of_another_length = sign_head(&keys(), PATH, 101);
    let of_another_path = sign_head(&keys(), "/box/other", 100);
    let cases: [&[(&str, &str)]; 6] = [
        &[("Content-Length", &len)],
        &[("Transfer-Encoding", "chunked")],
        &[("Transfer-Encoding", "chunked"), (HEAD_SIGNATURE_HEADER, &of_another_length)],
        &[("Content-Length", "100"), (HEAD_SIGNATURE_HEADER, &forged)],
        &[("Content-Length", "100"), (HEAD_SIGNATURE_HEADER, &of_another_length)],
        &[("Content-Length", "100"), (HEAD_SIGNATURE_HEADER, &of_another_path)],
    ];
    for headers in cases {
        let stream = send_head(addr, headers);
        assert_eq!(status(&stream), 401, "{headers:?}");
        assert_eq!(box_bytes(&memory), 0, "{headers:?}");
    }
    let oversized = (MAX_BODY + 1).to_string();
    let signed = sign_head(&keys(), PATH, MAX_BODY + 1);
    let headers = [("Content-Length", oversized.as_str()), (HEAD_SIGNATURE_HEADER, &signed)];
    assert_eq!(status(&send_head(addr, &headers)), 413, "a signed head allows only the limit");
}

/// A message that was changed on its way, or by a stranger, is taken for that of a box.
#[test]
fn any_change_of_path_length_or_signature_is_refused() {
    arbtest::arbtest(|u: &mut Unstructured<'_>| {
        let keys = keys();
        let path: String = u.arbitrary()?;
        let len: u32 = u.arbitrary()?;
        let signature = sign_head(&keys, &path, len as usize);
        assert!(verify_head(&keys, &path, len.into(), &signature));
        let other: u64 = u.arbitrary()?;
        assert!(other == u64::from(len) || !verify_head(&keys, &path, other, &signature));
        let other: String = u.arbitrary()?;
        assert!(other == path || !verify_head(&keys, &other, len.into(), &signature));
        let mut changed = signature.clone().into_bytes();
        let at = u.choose_index(changed.len())?;
        changed[at] ^= u.int_in_range(1..=127)?;
        if let Ok(changed) = String::from_utf8(changed)
            && !changed.eq_ignore_ascii_case(&signature)
        {
            assert!(!verify_head(&keys, &path, len.into(), &changed), "{changed}");
        }
        // The signature of a message must not pass for that of a head, nor the reverse.
        let of_body = keys.sign("box-message", &[path.as_bytes(), &u64::from(len).to_be_bytes()]);
        assert!(!verify_head(&keys, &path, len.into(), &of_body));
        Ok(())
    });
}

/// During an upgrade, boxes of both versions lose each other's messages.
#[test]
fn messages_of_earlier_versions_pass_up_to_a_limit() {
    let (addr, _) = start_box();
    for len in [1, 66 * 1024, MB, MAX_UNVERIFIED_BODY] {
        assert_eq!(send_earlier(addr, &vec![0; len]), 200, "{len} bytes");
    }
    assert_ne!(send_earlier(addr, &vec![0; MAX_UNVERIFIED_BODY + 1]), 200);
    let mut stream = send_head(addr, &[("Content-Length", "3"), (SIGNATURE_HEADER, "k.00")]);
    stream.write_all(b"abc").unwrap();
    assert_eq!(status(&stream), 401, "the signature of the body is still verified");
}

/// Many strangers fill the memory of a process with bodies that are small each, or keep the boxes
/// from hearing each other.
#[test]
fn bodies_of_strangers_share_a_small_pool_that_small_messages_pass() {
    let (addr, memory) = start_box();
    let (len, half) = (MB.to_string(), vec![0; MB / 2]);
    let _strangers: Vec<TcpStream> = (0..20)
        .map(|_| {
            let mut stream = send_head(addr, &[("Content-Length", &len)]);
            let _ = stream.write_all(&half);
            stream
        })
        .collect();
    wait_until("the pool takes bodies", || box_bytes(&memory) >= 6 * MB);
    assert!(box_bytes(&memory) <= 8 * MB, "{} bytes of strangers", box_bytes(&memory));
    assert_eq!(send_earlier(addr, &[0; 1_000]), 200, "a heartbeat of an earlier version");
    assert_eq!(send_earlier(addr, &vec![0; MB]), 503, "the pool is full");
    let answer = compio::runtime::Runtime::new().unwrap().block_on(async {
        let client = BoxClient::new(keys()).unwrap();
        client.call::<_, usize>(addr, PATH, &vec![0_u8; 4 * MB], TIMEOUT).await
    });
    assert!(answer.unwrap() >= 4 * MB, "a message with a signed head does not use the pool");
}

/// Messages that are queued for a box which reads slowly are not counted, so many of them take the
/// process over its limit; and a full budget keeps heartbeats from being sent.
#[test]
fn a_queued_message_is_counted_and_fails_unsent_without_room() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = silent.local_addr().unwrap();
    let memory = MemoryBudget::new(PROCESS_LIMIT);
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let client = BoxClient::new(keys()).unwrap().with_memory(memory.clone());
        let send = |bytes: usize| {
            let client = client.clone();
            let message = "x".repeat(bytes);
            async move { client.call::<_, ()>(addr, PATH, &message, TIMEOUT).await }
        };
        let first = compio::runtime::spawn(send(20 * MB));
        compio::time::sleep(Duration::from_millis(200)).await;
        assert!(box_bytes(&memory) >= 20 * MB, "{} bytes counted", box_bytes(&memory));
        let started = Instant::now();
        let refused = send(20 * MB).await.unwrap_err();
        assert!(refused.step == CallStep::Send && refused.cause.contains("no room"), "{refused}");
        assert!(started.elapsed() < TIMEOUT / 2, "the call does not wait");
        let before = box_bytes(&memory);
        let small = compio::runtime::spawn(send(1_000));
        compio::time::sleep(Duration::from_millis(200)).await;
        assert!(box_bytes(&memory) > before, "a small message is queued");
        drop((first, small));
    });
}

/// A box answers without end, or with more than a process can hold.
#[test]
fn an_answer_is_read_within_its_limit_and_counted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let chunk = [b"10000\r\n".as_slice(), &[0; 0x1_0000], b"\r\n"].concat();
                let mut sent = stream.write_all(head.as_bytes());
                while sent.is_ok() {
                    sent = stream.write_all(&chunk);
                }
            });
        }
    });
    let memory = MemoryBudget::new(PROCESS_LIMIT);
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let client = BoxClient::new(keys())
            .unwrap()
            .with_memory(memory.clone())
            .with_answer_limits(|_| 2 * MB);
        let failed = client.call::<_, ()>(addr, PATH, &(), TIMEOUT).await.unwrap_err();
        assert!(failed.step == CallStep::Decode && failed.cause.contains("larger"), "{failed}");
    });
    let usage = memory.usage()[&Holder::BoxMessage];
    assert!((MB..=3 * MB).contains(&usage.peak_bytes), "{usage:?}");
    assert_eq!(usage.bytes, 0);
}
