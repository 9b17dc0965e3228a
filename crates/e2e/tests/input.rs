//! Invalid input at every listener is rejected with a clear error and the process keeps running.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use hatchpitch_e2e::fleet::MODEL;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_standins::caller::Caller;
use http::{HeaderMap, Method};

/// Sends raw bytes and returns the response read until the peer closes the connection or sends
/// nothing for 500 ms.
fn send_raw(at: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    // The peer may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        answer.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[compio::test]
async fn every_listener_rejects_invalid_input_and_keeps_serving() -> anyhow::Result<()> {
    let mut fleet = TestFleet::start(FleetSpec::default()).await?;
    let mut listeners = fleet.entry_addrs.clone();
    listeners.extend(&fleet.control_addrs);
    listeners.extend(&fleet.entry_box_addrs);
    for at in listeners {
        let oversized_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(200_000));
        assert!(send_raw(at, oversized_head.as_bytes()).contains("431"), "{at}: oversized head");
        let random_bytes: Vec<u8> =
            (0..5_000_u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
        let answer = send_raw(at, &random_bytes);
        assert!(answer.is_empty() || answer.contains("400"), "{at}: random bytes: {answer}");
        send_raw(at, b"POST /v1/chat/completions HTTP/1.1\r\ncontent-length: 100\r\n\r\nshort");
        send_raw(at, b"GET / HT");
        assert!(
            send_raw(at, b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n").contains("HTTP/1.1 40"),
            "{at}"
        );
    }
    for process in fleet.entry.iter_mut().chain(&mut fleet.control) {
        assert!(!process.has_ended(), "{} exited", process.name);
    }
    let answer = fleet.caller(0).chat(fleet.entry_addrs[0], MODEL, "note len=3", |_| true).await?;
    assert!(answer.complete);
    Ok(())
}

#[compio::test]
async fn invalid_requests_get_specific_errors() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 1, ..FleetSpec::default() }).await?;
    let at = fleet.entry_addrs[0];
    let long = format!("{{\"model\": \"{MODEL}\", \"prompt\": \"{}\"}}", "a".repeat(2 << 20));
    let cases: [(&str, &str, u16, &str); 8] = [
        ("/v1/chat/completions", "{", 400, "line 1 column 1"),
        ("/v1/chat/completions", "[1, 2]", 400, "request body"),
        ("/v1/chat/completions", "{\"model\": 7, \"messages\": []}", 400, "line 1 column"),
        ("/v1/chat/completions", "{\"model\": \"nothing\", \"messages\": []}", 404, "nothing"),
        ("/v1/chat/completions", "{\"model\": \"explain-7b\", \"messages\": []}", 400, "messages"),
        ("/v1/completions", "{\"model\": \"explain-7b\"}", 400, "prompt"),
        ("/v1/completions", &long, 413, "1048576"),
        ("/apps/nothing/x", "{}", 404, "nothing"),
    ];
    for (path, body, status, part) in cases {
        let body = Bytes::from(body.to_owned());
        let (parts, answer) =
            fleet.caller(0).call(at, Method::POST, path, HeaderMap::new(), body).await?;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert_eq!(parts.status.as_u16(), status, "{path}: {answer}");
        assert!(answer.contains(part), "{path}: {answer}");
        assert_eq!(parts.headers["x-hatchpitch-outcome"], "not_run");
    }
    let unauthorized = Caller { key: "not-a-key".to_owned() };
    for path in ["/v1/chat/completions", "/ops/status", "/ops/drain"] {
        let (parts, _) =
            unauthorized.call(at, Method::POST, path, HeaderMap::new(), Bytes::new()).await?;
        assert_eq!(parts.status, 401, "{path}");
    }
    Ok(())
}

/// Guards against a path that takes a request whose key is missing, unknown or malformed.
#[compio::test]
async fn every_path_needs_the_key_of_a_workspace() -> anyhow::Result<()> {
    let fleet =
        TestFleet::start(FleetSpec { entry: 1, engines: 1, ..FleetSpec::default() }).await?;
    let at = fleet.entry_addrs[0];
    let key = fleet.caller(0).key;
    let refused = [
        String::new(),
        "Authorization: Bearer not-a-key\r\n".to_owned(),
        "Authorization: Bearer\r\n".to_owned(),
        format!("Authorization: Token {key}\r\n"),
        format!("Authorization: {key}\r\n"),
        format!("Authorization: Bearer {key}\r\nAuthorization: Bearer {key}\r\n"),
    ];
    let paths = [
        "POST /v1/chat/completions",
        "POST /v1/completions",
        "POST /apps/calculator/x",
        "GET /v1/responses/a-token",
    ];
    for path in paths {
        for fields in &refused {
            let message = format!(
                "{path} HTTP/1.1\r\nHost: x\r\n{fields}Content-Length: 0\r\n\
                 Connection: close\r\n\r\n"
            );
            let answer = send_raw(at, message.as_bytes());
            assert!(answer.starts_with("HTTP/1.1 401"), "{path}: {fields}: {answer}");
            assert!(answer.contains("unknown_key") && !answer.contains(&key), "{answer}");
        }
    }
    let known =
        format!("GET /v1/responses/x HTTP/1.1\r\nHost: x\r\nAuthorization: bearer {key}\r\n\r\n");
    let answer = send_raw(at, known.as_bytes());
    assert!(!answer.starts_with("HTTP/1.1 401") && answer.starts_with("HTTP/1.1 4"), "{answer}");
    Ok(())
}

#[compio::test]
async fn logs_contain_no_keys_or_prompts() -> anyhow::Result<()> {
    let fleet = TestFleet::start(FleetSpec { engines: 1, ..FleetSpec::default() }).await?;
    let prompt = "a-prompt-that-nobody-else-uses len=5";
    let caller = fleet.caller(0);
    let answer = caller.chat(fleet.entry_addrs[0], MODEL, prompt, |_| true).await?;
    assert!(answer.complete);
    for process in fleet.entry.iter().chain(&fleet.control) {
        let log = process.log();
        assert!(!log.is_empty(), "{} has an empty log", process.name);
        for secret in
            ["a-prompt-that-nobody-else-uses", caller.key.as_str(), "only the boxes share"]
        {
            assert!(!log.contains(secret), "{} logs {secret}", process.name);
        }
    }
    Ok(())
}
