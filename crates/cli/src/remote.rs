//! Calls to the operators' listeners of control and entry boxes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use hatchpitch::control::operators::ControlStatus;
use hatchpitch::entry::operators::EntryStatus;
use hatchpitch::outcome::ProblemBody;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::args::Args;

/// Time for one call; a box may be frozen.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Time for a repair.
const REPAIR_LIMIT: Duration = Duration::from_secs(90);
/// Time for which a leader is looked for.
const LEADER_BUDGET: Duration = Duration::from_secs(15);
/// Time between looks at all entry boxes.
const POLL: Duration = Duration::from_millis(50);
const RETRY_REST: Duration = Duration::from_millis(200);

/// A client with an operator's key.
pub struct Remote {
    http: cyper::Client,
    key: String,
    control: Vec<SocketAddr>,
    entry: Option<SocketAddr>,
}

/// A box's answer.
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Decodes the body.
    pub fn json<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body).context("the answer does not decode")
    }

    /// Decodes the body of a successful answer.
    pub fn ok<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        if self.status.is_success() {
            return self.json();
        }
        match self.json::<ProblemBody>() {
            Ok(problem) => bail!("{}: {}", self.status, problem.error.message),
            Err(_) => bail!("{}: {}", self.status, String::from_utf8_lossy(&self.body)),
        }
    }
}

impl Remote {
    /// Creates a client from the arguments.
    pub fn new(args: &Args) -> anyhow::Result<Self> {
        let key = args.key.clone();
        let key = key.context("no operator key: give --key or HATCHPITCH_OPERATOR_KEY")?;
        let http = cyper::Client::builder().no_proxy().build()?;
        Ok(Self { http, key, control: args.control.clone(), entry: args.entry })
    }

    /// Calls one box.
    pub async fn call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<Reply> {
        let limit = if path.starts_with("/ops/repair") { REPAIR_LIMIT } else { CALL_LIMIT };
        let req = self.http.request(method, format!("http://{at}{path}"))?;
        let req = req.bearer_auth(&self.key)?.body(body);
        let answer = async {
            let res = req.send().await?;
            let status = res.status();
            anyhow::Ok(Reply { status, body: res.bytes().await?.to_vec() })
        };
        let answer = compio::time::timeout(limit, answer).await;
        answer.with_context(|| format!("box {at}: no answer"))?.with_context(|| format!("box {at}"))
    }

    /// Calls the control leader. The call must be safe to send again.
    pub async fn call_leader(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> anyhow::Result<Reply> {
        if self.control.is_empty() {
            bail!("no control box: give --control or HATCHPITCH_CONTROL");
        }
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < LEADER_BUDGET {
            for at in &self.control {
                match self.call(*at, method.clone(), path, body.to_vec()).await {
                    Ok(reply) if is_final(reply.status) => return Ok(reply),
                    Ok(reply) => last = reply.ok::<()>().err(),
                    Err(err) => last = Some(err),
                }
            }
            compio::time::sleep(RETRY_REST).await;
        }
        let last = last.map_or_else(String::new, |err| format!("{err:#}"));
        bail!("no control leader answered within {LEADER_BUDGET:?}: {last}")
    }

    /// Returns the status of every control box, or why there is none.
    pub async fn control_status(&self) -> Vec<(SocketAddr, anyhow::Result<ControlStatus>)> {
        let mut rows = Vec::new();
        for at in &self.control {
            let reply = self.call(*at, Method::GET, "/ops/status", Vec::new()).await;
            rows.push((*at, reply.and_then(|reply| reply.ok())));
        }
        rows
    }

    /// Returns the status of the entry box that was given.
    pub async fn entry_status(&self, at: SocketAddr) -> anyhow::Result<EntryStatus> {
        self.call(at, Method::GET, "/ops/status", Vec::new()).await?.ok()
    }

    /// Polls every entry box until something is so at all of them; returns the boxes where it is
    /// not when the time is over.
    pub async fn wait_everywhere(
        &self,
        is_so: impl Fn(&EntryStatus) -> bool,
        limit: Duration,
    ) -> Vec<String> {
        let started = Instant::now();
        loop {
            let entries = self.entries().await.unwrap_or_default();
            let mut missing = Vec::new();
            for (name, addr) in &entries {
                if !self.entry_status(*addr).await.is_ok_and(|status| is_so(&status)) {
                    missing.push(name.clone());
                }
            }
            let known = !entries.is_empty();
            if known && missing.is_empty() {
                return missing;
            }
            if started.elapsed() >= limit {
                if !known {
                    missing.push("(no entry box answered)".to_owned());
                }
                return missing;
            }
            compio::time::sleep(POLL).await;
        }
    }

    /// Returns the name and address of every entry box that the given one knows.
    pub async fn entries(&self) -> anyhow::Result<Vec<(String, SocketAddr)>> {
        let entry = self.entry.context("no entry box: give --entry or HATCHPITCH_ENTRY")?;
        let status = self.entry_status(entry).await?;
        Ok(status.boxes.into_iter().map(|b| (b.name, b.addr)).collect())
    }
}

fn is_final(status: StatusCode) -> bool {
    status != StatusCode::MISDIRECTED_REQUEST && status != StatusCode::SERVICE_UNAVAILABLE
}
