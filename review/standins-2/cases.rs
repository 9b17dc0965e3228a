//! What the cases have in common, and the cases themselves. Each returns whether its rule was broken.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::{Behaviour, Fleet, Links, Message, Out, Runner, call, cannot_run, request, tally};

const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// A route of the application service `app`.
fn app_route(name: &str, kind: &str, target: &str, anonymous: bool) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"hostname\":\"h.example\",\"path_prefix\":\"/{name}/\",\
         \"route_type\":\"{kind}\",\"timeout_ms\":3000,\"target_latency_ms\":150,\"priority\":1,\
         {target},\"max_attempts\":2,\"allow_anonymous\":{anonymous},\
         \"session_affinity\":false,\"stream_resumption\":false}}"
    )
}

const TO_APP: &str = "\"upstream\":\"app\"";
const APP: &str = "{\"name\":\"app\",\"health_check_path\":\"/health\",\"max_connections\":110,\
                   \"protocol\":\"h1\",\"tls\":false}";

fn config(version: u64, routes: &[String], services: &str) -> String {
    format!(
        "{{\"config_version\":{version},\"routes\":[{}],\"upstreams\":[{services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
    )
}

/// A runner that answers each request at once.
fn sound() -> Arc<Behaviour> {
    Arc::new(|runner: &Runner, message: &Message, stream: &mut TcpStream| {
        let _ = stream.write_all(runner.answer(message, "", "whole").as_bytes());
    })
}

/// Gives the fleet its first configuration and waits until all machines are ready.
fn prepare(fleet: &Fleet, text: &str) {
    match fleet.put_config(text, Duration::from_secs(20)) {
        Some(200) => {}
        other => cannot_run(&format!("the first configuration is not taken: {other:?}")),
    }
    if !fleet.await_ready(Duration::from_secs(20)) {
        cannot_run("the machines are not ready");
    }
}

/// Sends a request to a machine; returns its id and the answer.
fn send(fleet: &Fleet, at: usize, path: &str, headers: &str) -> (String, Option<Message>) {
    let id = fleet.next_id("q");
    let headers = format!(
        "Host: h.example\r\nX-Hatchpitch-Request-Id: {id}\r\nX-Hatchpitch-Deadline-Ms: 3000\r\n{headers}"
    );
    let bytes = request("POST", path, &headers, "body");
    fleet.out.note(&format!("{id} is sent to machine {at}: POST {path}"));
    let answer = call(fleet.front(at), &bytes, Duration::from_secs(4));
    fleet.out.note(&format!("{id} is answered with {}", status(&answer)));
    (id, answer)
}

fn key(key: &str) -> String {
    format!("Authorization: Token {key}\r\n")
}

fn status(answer: &Option<Message>) -> u16 {
    answer.as_ref().map_or(0, Message::status)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A machine of the core loses its disk while another one, whose successor is long there, is removed.
pub fn replaced_core(out: &Out, trouble: bool) -> bool {
    // Over three times `recovery_s`.
    const PATIENCE: Duration = Duration::from_secs(40);
    let mut fleet = Fleet::start_with_spare(3, 1, out);
    let text = |version| config(version, &[app_route("once", "unsafe", TO_APP, false)], APP);
    prepare(&fleet, &text(1));
    thread::sleep(Duration::from_secs(2));
    fleet.restart_machine(3);
    out.say("machine 3 is added, with an empty disk, to take the place of machine 2");
    thread::sleep(Duration::from_secs(10));
    let taken = fleet.put_config(&text(4), Duration::from_secs(5));
    out.say(&format!("10 s later: version 4 of the configuration is answered with {taken:?}"));
    if taken != Some(200) {
        cannot_run("version 4 was not acknowledged");
    }
    fleet.remove_machine(2);
    out.say("machine 2 is stopped for good with SIGTERM");
    thread::sleep(Duration::from_millis(500));
    if trouble {
        fleet.kill_machine(1);
        fleet.wipe(1);
        out.say("machine 1 is killed and loses its disk");
        thread::sleep(Duration::from_millis(1_000));
        fleet.restart_machine(1);
        out.say("machine 1 is started again at its address, with an empty disk");
    }
    let started = Instant::now();
    let read = request("GET", "/config", "Host: x\r\n", "");
    while started.elapsed() < PATIENCE {
        let mut statuses = Vec::new();
        for at in [0, 1, 3] {
            let answer = call(fleet.control(at), &read, Duration::from_secs(1));
            let body = answer.as_ref().map(|m| String::from_utf8_lossy(&m.body).into_owned());
            statuses.push(status(&answer).to_string());
            if status(&answer) == 200 {
                let is_newest = body.is_some_and(|text| text.contains("\"config_version\":4"));
                out.say(&format!(
                    "{:.1} s later the configuration is read back; it is version 4: {is_newest}",
                    started.elapsed().as_secs_f64()
                ));
                return !is_newest;
            }
        }
        out.note(&format!("GET /config at machines 0, 1, 3: {}", statuses.join(", ")));
        thread::sleep(Duration::from_millis(500));
    }
    let status = fleet.put_config(&text(6), Duration::from_secs(5));
    out.say(&format!("version 6 of the configuration is answered with {status:?}"));
    out.say(&format!(
        "no machine gives the configuration for {PATIENCE:?}, with machines 0, 1 and 3 running"
    ));
    true
}

/// Two machines act as the owner of a cold runner while one of them is cut off.
pub fn two_owners(out: &Out, trouble: bool) -> bool {
    const COLD_PER_S: f64 = 31.0;
    const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
    const CUT: Duration = Duration::from_millis(5_900);
    let links = Arc::new(Links::default());
    let fleet = Fleet::start_linked(3, out, &links);
    let route = "{\"name\":\"r-gen\",\"hostname\":\"h.example\",\"path_prefix\":\"/gen/\",\
                 \"route_type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":1500,\
                 \"priority\":0,\"upstream\":\"llm\",\"max_attempts\":1,\"allow_anonymous\":false,\
                 \"session_affinity\":true,\"stream_resumption\":false,\"gap_aim_ms\":180}";
    let service = "{\"name\":\"llm\",\"health_check_path\":\"/health\",\"max_connections\":592,\
                   \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":5,\"cold_per_s\":31,\
                   \"engine\":{\"slots\":24,\"kv_capacity_tokens\":26837,\"kv_token_bytes\":327680,\
                   \"link_mbps\":47000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
                   \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
    prepare(&fleet, &config(1, &[route.to_owned()], service));
    let stream_answer: Arc<Behaviour> = Arc::new(|_, message, stream| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Hatchpitch-Request-Id: {}\r\nX-Hatchpitch-Response-Seal: seal\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            message.header("x-hatchpitch-request-id").unwrap_or(""),
        );
        let _ = stream.write_all(head.as_bytes());
        for n in 1..=2 {
            thread::sleep(Duration::from_millis(30));
            let event = format!("id: {n}\ndata: x\n\n");
            let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        }
        let _ = stream.write_all(b"0\r\n\r\n");
    });
    let runner = Runner::new("i-cold", "llm", "zone-b", out, stream_answer);
    let controls = fleet.controls();
    runner.beat_to(controls[1]);
    thread::sleep(Duration::from_secs(2));
    let fleet = Arc::new(fleet);
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(f64, usize, u16)>>> = Arc::default();
    // Eight clients of each machine, with about 60 requests a second together.
    let clients: Vec<_> = (0..24)
        .map(|n| {
            let (fleet, out) = (fleet.clone(), out.clone());
            let (is_over, answers) = (is_over.clone(), answers.clone());
            thread::spawn(move || {
                let headers = format!(
                    "{}X-Hatchpitch-Model: m\r\nX-Hatchpitch-Token-Usage: 100,8\r\n\
                     X-Hatchpitch-Prompt-Prefix: a1:50,b{n}:50\r\n",
                    key(KEY)
                );
                while !is_over.load(Ordering::Relaxed) {
                    let (_, answer) = send(&fleet, n % 3, "/gen/x", &headers);
                    answers.lock().unwrap().push((out.at(), n % 3, status(&answer)));
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    // The heartbeats go to the machines in turn, every 1.2 s.
    let beat = Duration::from_millis(1_200);
    let started = Instant::now();
    let beat_to = |n: u32, machine: usize| {
        sleep_until(started + beat * n);
        runner.beat_to(controls[machine]);
    };
    beat_to(0, 2);
    sleep_until(started + Duration::from_millis(800));
    let cut_at = out.at();
    let cut_end = Instant::now() + CUT;
    if trouble {
        links.cut_off(0);
        out.say("machine 0 is cut off from all other machines; clients and the runner reach it");
    }
    beat_to(1, 2);
    beat_to(2, 1);
    sleep_until(started + beat * 3 - Duration::from_millis(100));
    runner.set_cold_until(Instant::now() + Duration::from_secs(5));
    let cold_at = out.at();
    out.say("the runner becomes cold, for 5 s");
    beat_to(3, 0);
    beat_to(4, 1);
    let known_at = out.at();
    out.say("both sides know from heartbeats that the runner is cold");
    beat_to(5, 2);
    sleep_until(cut_end);
    if trouble {
        links.heal();
        out.say("the cut ends");
    }
    let end = out.at();
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let arrivals: Vec<f64> = runner.arrivals.lock().unwrap().iter().map(|(at, _)| *at).collect();
    let within = |from: f64, to: f64| arrivals.iter().filter(|at| (from..to).contains(*at)).count();
    let answers = answers.lock().unwrap();
    let mut from = cut_at - 1.0;
    while from + 0.5 <= end {
        let of = |m: usize| {
            let served = |(at, of, status): &&(f64, usize, u16)| {
                *of == m && *status == 200 && (from..from + 0.5).contains(at)
            };
            answers.iter().filter(served).count()
        };
        out.say(&format!(
            "half second from cut {:+.1} s: {} requests reach the runner{}; answered by machines 0, 1, 2: \
             {}, {}, {}",
            from - cut_at,
            within(from, from + 0.5),
            if from >= cold_at { " (cold)" } else { "" },
            of(0),
            of(1),
            of(2),
        ));
        from += 0.5;
    }
    // Only seconds in which both sides have known for 0.1 s that it is cold, and it still is.
    let (first, last) = (known_at + 0.1, end.min(cold_at + 5.0) - 1.0);
    let starts = arrivals.iter().filter(|at| (first..last).contains(*at));
    let most = starts.map(|from| within(*from, *from + 1.0)).max().unwrap_or(0);
    out.say(&format!(
        "most requests in one second that reach the cold runner: {most}; allowed: {BOUND}"
    ));
    let statuses: Vec<String> = answers.iter().map(|(_, _, status)| status.to_string()).collect();
    out.say(&format!("answers: {}", tally(statuses.iter().map(String::as_str))));
    most as f64 > BOUND
}

/// A request with a key that no configuration ever held runs on a route that takes requests without one.
pub fn unknown_key(out: &Out, trouble: bool) -> bool {
    let fleet = Fleet::start(3, out);
    let routes =
        [app_route("open", "safe", TO_APP, true), app_route("closed", "safe", TO_APP, false)];
    prepare(&fleet, &config(1, &routes, APP));
    let runner = Runner::start("i-1", "app", "zone-a", fleet.controls(), out, sound());
    thread::sleep(Duration::from_secs(2));
    let mut ran = 0;
    let stranger = key("nobody4everheldthiskey");
    let mut kinds = vec![("no key", String::new()), ("the key of a tenant", key(KEY))];
    if trouble {
        kinds.push(("a key that no configuration holds", stranger.clone()));
    }
    for path in ["/open/x", "/closed/x"] {
        for (kind, headers) in &kinds {
            for at in 0..3 {
                let (id, answer) = send(&fleet, at, path, headers);
                let arrivals = runner.arrivals.lock().unwrap();
                let mut own = arrivals
                    .iter()
                    .filter(|(_, m)| m.header("x-hatchpitch-request-id") == Some(&id));
                let run = own.next();
                let tenant = run.and_then(|(_, m)| m.header("x-hatchpitch-tenant-id"));
                out.say(&format!(
                    "{path} with {kind}, machine {at}: {}, {}, tenant for the runner: {tenant:?}",
                    status(&answer),
                    if run.is_some() { "runs" } else { "does not run" },
                ));
                ran += usize::from(run.is_some() && *headers == stranger);
            }
        }
    }
    out.say(&format!("requests that run with a key that no configuration ever held: {ran}"));
    ran > 0
}

/// A configuration with a route that names an unknown service is acknowledged.
pub fn unknown_service(out: &Out, trouble: bool) -> bool {
    let fleet = Fleet::start(3, out);
    let routes = |target: &str| [app_route("once", "unsafe", target, false)];
    prepare(&fleet, &config(1, &routes(TO_APP), APP));
    let _runner = Runner::start("i-1", "app", "zone-a", fleet.controls(), out, sound());
    let split = "\"traffic_split\":[{\"upstream\":\"app\",\"weight\":1}]";
    let valid = config(3, &routes(split), APP);
    out.say(&format!(
        "version 3, with a route that is split over known services: {:?}",
        fleet.put_config(&valid, Duration::from_secs(5))
    ));
    if !trouble {
        return false;
    }
    let plain = config(5, &routes("\"upstream\":\"nowhere\""), APP);
    let refused = fleet.put_config(&plain, Duration::from_secs(5));
    out.say(&format!("version 5, with a route to the unknown service nowhere: {refused:?}"));
    let invalid = config(7, &routes(&format!("\"upstream\":\"nowhere\",{split}")), APP);
    let taken = fleet.put_config(&invalid, Duration::from_secs(5));
    out.say(&format!("version 7, with a route to nowhere that is also split: {taken:?}"));
    let read = request("GET", "/config", "Host: x\r\n", "");
    let is_in_force = |at: usize| {
        let answer = call(fleet.control(at), &read, Duration::from_secs(2));
        answer.is_some_and(|m| String::from_utf8_lossy(&m.body).contains("\"config_version\":7"))
    };
    // Only the leader gives the configuration; the others name it.
    let in_force = (0..3).any(is_in_force);
    out.say(&format!("version 7 is read back: {in_force}"));
    refused == Some(200) || taken == Some(200)
}

/// Requests with more than a hundred header fields, far below the configured size, are turned away.
pub fn many_headers(out: &Out, trouble: bool) -> bool {
    const REQUESTS: usize = 60;
    let fleet = Fleet::start(3, out);
    prepare(&fleet, &config(1, &[app_route("once", "unsafe", TO_APP, false)], APP));
    let runner = Runner::start("i-1", "app", "zone-a", fleet.controls(), out, sound());
    thread::sleep(Duration::from_secs(2));
    let fields = if trouble { 120 } else { 60 };
    let extra: String = (0..fields).map(|n| format!("X-Field-{n}: value-{n}\r\n")).collect();
    let headers = key(KEY) + &extra;
    out.say(&format!(
        "{REQUESTS} requests with {fields} further fields, about {} bytes of headers; the configuration \
         allows 16384",
        headers.len() + 120
    ));
    let statuses: Vec<u16> =
        (0..REQUESTS).map(|n| status(&send(&fleet, n % 3, "/once/x", &headers).1)).collect();
    let texts: Vec<String> = statuses.iter().map(u16::to_string).collect();
    out.say(&format!("answers: {}", tally(texts.iter().map(String::as_str))));
    out.say(&format!("requests that reach the runner: {}", runner.arrivals.lock().unwrap().len()));
    let is_denied = |s: &&u16| (300..500).contains(*s) && ![408, 421, 429].contains(*s);
    let denied = statuses.iter().filter(is_denied).count();
    let allowed = 5 + REQUESTS / 500;
    out.say(&format!("ended with a 3xx or 4xx of the system: {denied}; allowed: {allowed}"));
    denied > allowed
}
