//! A simulated operator that changes the configuration continuously and reads it back from random
//! control boxes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join;
use hatchpitch_net::{Body, Reservation, Upstream, read_body};
use http::{Request, StatusCode, header};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::context::RunCx;
use crate::record::ConfigEvent;

/// Time limit for one call, after which another box is called.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a call without a definite answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two changes, in milliseconds.
const CHANGE_PAUSE_MS: std::ops::Range<u64> = 60..900;
/// Pause between two reads, in milliseconds.
const READ_PAUSE_MS: std::ops::Range<u64> = 50..400;
/// Share of changes that send two contents under one number concurrently.
const RACE_SHARE: f64 = 0.2;
/// Share of changes that are followed by a truncated configuration.
const TRUNCATION_SHARE: f64 = 0.1;
/// Maximum number of redirects that a call follows.
const MAX_REDIRECTS: usize = 2;
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// State shared by the operator's tasks.
pub struct OperatorCx {
    /// State shared by all parts of the run.
    pub run: Rc<RunCx>,
    /// Addresses of the control boxes.
    pub control: Vec<SocketAddr>,
    /// Newest configuration number that was sent.
    pub newest: Rc<Cell<u64>>,
    /// Texts that were sent, with their numbers, to identify the configuration in an answer.
    pub sent_texts: RefCell<Vec<(u64, String)>>,
    /// Numbers of valid configurations that were refused.
    pub refused: RefCell<Vec<u64>>,
}

/// Status and body of an answer.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl OperatorCx {
    /// Changes the configuration until the run stops.
    pub async fn change_repeatedly(self: Rc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.run.stop.is_set() {
            let number = self.newest.get() + rng.random_range(1..4);
            if rng.random_bool(RACE_SHARE) {
                join(self.put(number, 0), self.put(number, 1)).await;
            } else {
                self.put(number, 0).await;
            }
            if rng.random_bool(TRUNCATION_SHARE) {
                self.put_truncated(number + 1).await;
            }
            let pause = rng.random_range(CHANGE_PAUSE_MS);
            compio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends a configuration until it is accepted or refused.
    pub async fn put(&self, number: u64, content: u64) {
        self.newest.set(self.newest.get().max(number));
        let text = (self.run.wire.config)(number, content);
        self.sent_texts.borrow_mut().push((number, text.clone()));
        while !self.run.stop.is_set() {
            let addr = self.any_control();
            match self.call(addr, || (self.run.wire.put_config)(text.clone())).await {
                Some(answer) if answer.status.is_success() => {
                    let at = self.run.record.tick();
                    let event = ConfigEvent::Acknowledged { number, at };
                    return self.run.record.configs.borrow_mut().push(event);
                }
                Some(answer) if answer.status.is_client_error() => {
                    return self.refused.borrow_mut().push(number);
                }
                _ => compio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Sends a truncated configuration under `number`. It must be refused, which leaves the number
    /// free.
    async fn put_truncated(&self, number: u64) {
        let text = (self.run.wire.config)(number, 2);
        let truncated = text[..text.len() / 2].to_owned();
        let answer =
            self.call(self.any_control(), || (self.run.wire.put_config)(truncated.clone())).await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            let event = ConfigEvent::Read {
                number: 0,
                text: "a truncated configuration".into(),
                asked_at: u64::MAX,
            };
            self.run.record.configs.borrow_mut().push(event);
        }
    }

    /// Reads the configuration from random control boxes until the run stops.
    pub async fn read_repeatedly(self: Rc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.run.stop.is_set() {
            self.read().await;
            let pause = rng.random_range(READ_PAUSE_MS);
            compio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Reads the configuration from a random control box. Returns its number, or `None` if the box
    /// did not answer with a configuration.
    pub async fn read(&self) -> Option<u64> {
        let asked_at = self.run.record.tick();
        let answer = self.call(self.any_control(), || (self.run.wire.get_config)()).await?;
        if !answer.status.is_success() {
            return None;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let sent = self.sent_texts.borrow();
        // A text that was never sent gets number 0, which is older than any sent number.
        let number = sent.iter().find(|(_, sent)| *sent == text).map_or(0, |(number, _)| *number);
        self.run.record.configs.borrow_mut().push(ConfigEvent::Read { number, text, asked_at });
        Some(number)
    }

    /// Returns the address of a random control box.
    fn any_control(&self) -> SocketAddr {
        self.control[rand::random_range(0..self.control.len())]
    }

    /// Calls a control box and follows its redirects.
    async fn call(&self, addr: SocketAddr, message: impl Fn() -> Request<Body>) -> Option<Answer> {
        let mut addr = addr;
        for _ in 0..=MAX_REDIRECTS {
            let control = Upstream { addr, connect_timeout: CALL_TIMEOUT, source: None };
            let res = control.send(message(), CALL_TIMEOUT).await.ok()?;
            let status = res.status();
            if status == StatusCode::TEMPORARY_REDIRECT {
                let location = res.headers().get(header::LOCATION)?.to_str().ok()?;
                let authority_and_path = location.strip_prefix("http://")?;
                addr = authority_and_path.split('/').next()?.parse().ok()?;
                continue;
            }
            let body =
                read_body(res.into_body(), MAX_ANSWER, CALL_TIMEOUT, Reservation::uncounted())
                    .await
                    .ok()?;
            return Some(Answer { status, body });
        }
        None
    }
}
