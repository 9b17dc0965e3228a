//! HTTP client for the operator endpoints of control and entry boxes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use hatchpitch::control::operators::ControlStatus;
use hatchpitch::entry::operators::EntryStatus;
use hatchpitch::outcome::ProblemBody;
use hatchpitch_net::ResponseHead;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::args::Args;

/// Timeout of one call; an unresponsive box must not block the command.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a repair call.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(90);
/// Time limit for reaching the control leader.
const LEADER_BUDGET: Duration = Duration::from_secs(15);
/// Interval between polls of all entry boxes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before all control boxes are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Client that authenticates with an operator key.
pub struct Client {
    http: cyper::Client,
    key: String,
    control: Vec<SocketAddr>,
    entry: Option<SocketAddr>,
}

/// Response of a box.
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response body.
    pub body: Vec<u8>,
}

impl Response {
    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body).context("the answer does not decode")
    }

    /// Decodes the body of a successful response as JSON.
    pub fn success_json<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        if self.status.is_success() {
            return self.json();
        }
        match self.json::<ProblemBody>() {
            Ok(problem) => bail!("{}: {}", self.status, problem.error.message),
            Err(_) => bail!("{}: {}", self.status, String::from_utf8_lossy(&self.body)),
        }
    }
}

impl Client {
    /// Creates a client from the command-line arguments.
    pub fn new(args: &Args) -> anyhow::Result<Self> {
        let key = args.key.clone();
        let key = key.context("no operator key: give --key or HATCHPITCH_OPERATOR_KEY")?;
        let http = cyper::Client::builder().no_proxy().build()?;
        Ok(Self { http, key, control: args.control.clone(), entry: args.entry })
    }

    /// Sends a request to one box.
    pub async fn call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<Response> {
        let timeout = if path.starts_with("/ops/repair") { REPAIR_TIMEOUT } else { CALL_TIMEOUT };
        let req = self.http.request(method.clone(), format!("http://{at}{path}"))?;
        let req = req.bearer_auth(&self.key)?.body(body);
        let exchange = async {
            let res = req.send().await?;
            let status = res.status();
            let head = ResponseHead { method: &method, status, headers: res.headers() };
            head.check_marked().with_context(|| format!("invalid response head: {path}"))?;
            anyhow::Ok(Response { status, body: res.bytes().await?.to_vec() })
        };
        let res = compio::time::timeout(timeout, exchange).await;
        res.with_context(|| format!("box {at}: no answer"))?.with_context(|| format!("box {at}"))
    }

    /// Sends a request to the control leader. The request must be safe to repeat.
    pub async fn call_leader(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> anyhow::Result<Response> {
        if self.control.is_empty() {
            bail!("no control box: give --control or HATCHPITCH_CONTROL");
        }
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < LEADER_BUDGET {
            for at in &self.control {
                match self.call(*at, method.clone(), path, body.to_vec()).await {
                    Ok(res) if is_final(res.status) => return Ok(res),
                    Ok(res) => last = res.success_json::<()>().err(),
                    Err(err) => last = Some(err),
                }
            }
            compio::time::sleep(RETRY_DELAY).await;
        }
        let last = last.map_or_else(String::new, |err| format!("{err:#}"));
        bail!("no control leader answered within {LEADER_BUDGET:?}: {last}")
    }

    /// Returns the status of every control box, or the error of the call.
    pub async fn control_status(&self) -> Vec<(SocketAddr, anyhow::Result<ControlStatus>)> {
        let mut rows = Vec::new();
        for at in &self.control {
            let res = self.call(*at, Method::GET, "/ops/status", Vec::new()).await;
            rows.push((*at, res.and_then(|res| res.success_json())));
        }
        rows
    }

    /// Returns the status of the entry box at `at`.
    pub async fn entry_status(&self, at: SocketAddr) -> anyhow::Result<EntryStatus> {
        self.call(at, Method::GET, "/ops/status", Vec::new()).await?.success_json()
    }

    /// Polls every entry box until `condition` holds at all of them, and returns the names of the
    /// boxes where it does not hold when `limit` has passed.
    pub async fn wait_for_entry_boxes(
        &self,
        condition: impl Fn(&EntryStatus) -> bool,
        limit: Duration,
    ) -> Vec<String> {
        let started = Instant::now();
        loop {
            let boxes = self.entry_boxes().await.unwrap_or_default();
            let mut missing = Vec::new();
            for (name, addr) in &boxes {
                if !self.entry_status(*addr).await.is_ok_and(|status| condition(&status)) {
                    missing.push(name.clone());
                }
            }
            let any_known = !boxes.is_empty();
            if any_known && missing.is_empty() {
                return missing;
            }
            if started.elapsed() >= limit {
                if !any_known {
                    missing.push("(no entry box answered)".to_owned());
                }
                return missing;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the name and address of every entry box known to the one given by `--entry`.
    pub async fn entry_boxes(&self) -> anyhow::Result<Vec<(String, SocketAddr)>> {
        let entry = self.entry.context("no entry box: give --entry or HATCHPITCH_ENTRY")?;
        let status = self.entry_status(entry).await?;
        Ok(status.boxes.into_iter().map(|b| (b.name, b.addr)).collect())
    }
}

/// Returns whether a response ends the search for the leader: 421 and 503 are retried at other
/// control boxes.
fn is_final(status: StatusCode) -> bool {
    status != StatusCode::MISDIRECTED_REQUEST && status != StatusCode::SERVICE_UNAVAILABLE
}
