//! An operator: changes the configuration all the time, and reads it back from any box.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join;
use hatchpitch_net::{Body, Upstream, read_body};
use http::{Request, StatusCode, header};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::context::RunCx;
use crate::record::ConfigSeen;

/// Time for one call, after which another box is called.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Rest after a call without a clear answer.
const RETRY_REST: Duration = Duration::from_millis(100);
/// Rest between two changes, in milliseconds.
const CHANGE_REST_MS: std::ops::Range<u64> = 60..900;
/// Rest between two reads, in milliseconds.
const READ_REST_MS: std::ops::Range<u64> = 50..400;
/// Part of the changes that are sent as two contents under one number, at two boxes.
const RACES: f64 = 0.2;
/// Part of the changes that are followed by one that is cut short.
const CUT_SHORT: f64 = 0.1;
/// Redirects that are followed.
const MAX_REDIRECTS: usize = 2;
/// Largest configuration that is read, in bytes.
const MAX_TEXT: usize = 1 << 20;

/// What the operator's tasks share.
pub struct OperatorCx {
    /// What the parts of the run share.
    pub run: Rc<RunCx>,
    /// Where control boxes take calls.
    pub control: Vec<SocketAddr>,
    /// Newest number that was sent.
    pub newest: Rc<Cell<u64>>,
    /// Numbers of the texts that were sent, to read answers by.
    pub texts: RefCell<Vec<(u64, String)>>,
    /// Numbers that were refused though they are valid.
    pub refused: RefCell<Vec<u64>>,
}

/// An answer to one call.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl OperatorCx {
    /// Changes the configuration until the run ends.
    pub async fn change(self: Rc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.run.stop.is_set() {
            let number = self.newest.get() + rng.random_range(1..4);
            if rng.random_bool(RACES) {
                join(self.put(number, 0), self.put(number, 1)).await;
            } else {
                self.put(number, 0).await;
            }
            if rng.random_bool(CUT_SHORT) {
                self.put_cut_short(number + 1).await;
            }
            let rest = rng.random_range(CHANGE_REST_MS);
            compio::time::sleep(Duration::from_millis(rest)).await;
        }
    }

    /// Sends a configuration until it has a clear answer.
    pub async fn put(&self, number: u64, content: u64) {
        self.newest.set(self.newest.get().max(number));
        let text = (self.run.wire.config)(number, content);
        self.texts.borrow_mut().push((number, text.clone()));
        while !self.run.stop.is_set() {
            let addr = self.any_control();
            match self.call(addr, || (self.run.wire.put_config)(text.clone())).await {
                Some(answer) if answer.status.is_success() => {
                    let at = self.run.record.tick();
                    let seen = ConfigSeen::Acknowledged { number, at };
                    return self.run.record.configs.borrow_mut().push(seen);
                }
                Some(answer) if answer.status.is_client_error() => {
                    return self.refused.borrow_mut().push(number);
                }
                _ => compio::time::sleep(RETRY_REST).await,
            }
        }
    }

    /// Sends a configuration whose end is missing; no number is used up by it.
    async fn put_cut_short(&self, number: u64) {
        let text = (self.run.wire.config)(number, 2);
        let part = text[..text.len() / 2].to_owned();
        let answer =
            self.call(self.any_control(), || (self.run.wire.put_config)(part.clone())).await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            let seen = ConfigSeen::Read { number: 0, text: "a part".into(), asked: u64::MAX };
            self.run.record.configs.borrow_mut().push(seen);
        }
    }

    /// Reads the configuration from any box until the run ends.
    pub async fn read_all(self: Rc<Self>, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.run.stop.is_set() {
            self.read().await;
            let rest = rng.random_range(READ_REST_MS);
            compio::time::sleep(Duration::from_millis(rest)).await;
        }
    }

    /// Reads the configuration from any box; returns its number if the box was sure of it.
    pub async fn read(&self) -> Option<u64> {
        let asked = self.run.record.tick();
        let answer = self.call(self.any_control(), || (self.run.wire.get_config)()).await?;
        if !answer.status.is_success() {
            return None;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let sent = self.texts.borrow();
        // A text that nobody sent counts as one of number 0, which is older than any.
        let number = sent.iter().find(|(_, sent)| *sent == text).map_or(0, |(number, _)| *number);
        self.run.record.configs.borrow_mut().push(ConfigSeen::Read { number, text, asked });
        Some(number)
    }

    /// Returns the address of any control box.
    fn any_control(&self) -> SocketAddr {
        self.control[rand::random_range(0..self.control.len())]
    }

    /// Calls a control box, and the ones that it names instead.
    async fn call(&self, addr: SocketAddr, message: impl Fn() -> Request<Body>) -> Option<Answer> {
        let mut addr = addr;
        for _ in 0..=MAX_REDIRECTS {
            let control = Upstream { addr, connect_timeout: CALL_LIMIT };
            let res = control.send(message(), CALL_LIMIT).await.ok()?;
            let status = res.status();
            if status == StatusCode::TEMPORARY_REDIRECT {
                let location = res.headers().get(header::LOCATION)?.to_str().ok()?;
                let rest = location.strip_prefix("http://")?;
                addr = rest.split('/').next()?.parse().ok()?;
                continue;
            }
            let body = read_body(res.into_body(), MAX_TEXT, CALL_LIMIT).await.ok()?;
            return Some(Answer { status, body });
        }
        None
    }
}
