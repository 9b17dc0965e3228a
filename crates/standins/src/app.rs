//! Stand-in for an application service that serves a rate table and payoff quotes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use futures_util::FutureExt;
use hatchpitch::outcome::text_response;
use hatchpitch_net::{Body, Handler, ServerLimits, Stop, read_body, serve};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::signals::SignalControls;

/// Maximum size of a request body, in bytes.
const MAX_BODY: usize = 1024 * 1024;
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Fault that a test injects into the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum AppFault {
    /// No fault.
    None,
    /// The next quote is run, but no response is sent.
    LoseReply,
    /// The next quote is delayed.
    Slow {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// The process exits on the next call; a quote is counted as run before the exit.
    Die,
}

/// State of the application service.
pub struct AppServer {
    /// Number of times each quote was run, by idempotency key.
    runs: RefCell<BTreeMap<String, u64>>,
    fault: Cell<AppFault>,
}

impl AppServer {
    /// Creates a service without faults or recorded runs.
    pub fn new() -> Rc<Self> {
        Rc::new(Self { runs: RefCell::default(), fault: Cell::new(AppFault::None) })
    }

    /// Serves requests until `stop` is set.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: Stop) {
        let app = self.clone();
        let handler: Handler = Rc::new(move |req, _peer| {
            let app = app.clone();
            async move { app.handle(req).await }.boxed_local()
        });
        let handler = SignalControls::wrap(handler);
        serve(listener, ServerLimits::default(), handler, stop).await;
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/rates") => {
                if self.fault.get() == AppFault::Die {
                    std::process::exit(9);
                }
                let rates = json!({"fixed_30": 6.125, "fixed_15": 5.5});
                text_response(StatusCode::OK, rates.to_string())
            }
            (Method::POST, "/payoff" | "/scale") => self.quote(req).await,
            (Method::GET, "/admin/ledger") => {
                let runs = serde_json::to_string(&*self.runs.borrow()).unwrap_or_default();
                text_response(StatusCode::OK, runs)
            }
            (Method::POST, "/admin/fault") => self.set_fault(req).await,
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Runs a quote and applies the injected fault.
    async fn quote(&self, req: Request<Incoming>) -> Response<Body> {
        let key = req.headers().get("idempotency-key").and_then(|v| v.to_str().ok());
        let key = key.unwrap_or("").to_owned();
        let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await else {
            return text_response(StatusCode::BAD_REQUEST, "body not read");
        };
        let fault = self.fault.replace(AppFault::None);
        if let AppFault::Slow { ms } = fault {
            compio::time::sleep(Duration::from_millis(ms)).await;
        }
        let run = {
            let mut runs = self.runs.borrow_mut();
            let count = runs.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        match fault {
            AppFault::LoseReply => std::future::pending().await,
            AppFault::Die => std::process::exit(9),
            AppFault::None | AppFault::Slow { .. } => {}
        }
        let quote = json!({"quote": format!("q-{key}"), "run": run, "bytes": body.len()});
        text_response(StatusCode::OK, quote.to_string())
    }

    async fn set_fault(&self, req: Request<Incoming>) -> Response<Body> {
        let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await else {
            return text_response(StatusCode::BAD_REQUEST, "body not read");
        };
        match serde_json::from_slice(&body) {
            Ok(fault) => {
                self.fault.set(fault);
                text_response(StatusCode::OK, "set")
            }
            Err(err) => text_response(StatusCode::BAD_REQUEST, err.to_string()),
        }
    }
}
