//! Stand-in for an application service that serves a rate table and payoff quotes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use futures_util::FutureExt;
use hatchpitch::outcome::text_response;
use hatchpitch_net::{Body, Framing, Handler, Reservation, ServerLimits, Stop, read_body, serve};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::signals::SignalControls;

/// Maximum size of a request body, in bytes.
const MAX_BODY: usize = 1024 * 1024;
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between the parts of an answer, so that each arrives by itself.
const PART_PAUSE: Duration = Duration::from_millis(5);

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
    /// The answer to the next call has neither a length nor chunks.
    Unframed {
        /// How the answer ends.
        ending: AnswerEnding,
        /// Value of its `Content-Type`.
        content_type: AnswerType,
    },
}

/// How an answer that has neither a length nor chunks ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerEnding {
    /// The connection ends in order after the whole answer.
    Whole,
    /// The connection ends in order after half of the answer.
    Cut,
    /// The connection is reset after half of the answer.
    Reset,
}

/// Declared type of an answer, which always is a JSON document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerType {
    /// `application/json`.
    Json,
    /// `text/plain`.
    Text,
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
                let fault = self.fault.get();
                match fault {
                    AppFault::Die => std::process::exit(9),
                    AppFault::Unframed { .. } => self.fault.set(AppFault::None),
                    AppFault::None | AppFault::LoseReply | AppFault::Slow { .. } => {}
                }
                let rates = json!({"fixed_30": 6.125, "fixed_15": 5.5});
                respond(rates.to_string(), fault)
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
        let Ok(body) =
            read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT, Reservation::uncounted()).await
        else {
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
            AppFault::None | AppFault::Slow { .. } | AppFault::Unframed { .. } => {}
        }
        let quote = json!({"quote": format!("q-{key}"), "run": run, "bytes": body.len()});
        respond(quote.to_string(), fault)
    }

    async fn set_fault(&self, req: Request<Incoming>) -> Response<Body> {
        let Ok(body) =
            read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT, Reservation::uncounted()).await
        else {
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

/// Returns the answer to a call, without a length and chunks if the fault says so.
fn respond(text: String, fault: AppFault) -> Response<Body> {
    let AppFault::Unframed { ending, content_type } = fault else {
        return text_response(StatusCode::OK, text);
    };
    let (mut tx, body) = Body::stream(1, Reservation::uncounted());
    compio::runtime::spawn(async move {
        let whole = Bytes::from(text);
        let half = whole.len() / 2;
        // A box that has disconnected reads no more parts.
        if tx.send(whole.slice(..half)).await.is_err() {
            return;
        }
        compio::time::sleep(PART_PAUSE).await;
        match ending {
            AnswerEnding::Whole => drop(tx.send(whole.slice(half..)).await),
            AnswerEnding::Cut => {}
            AnswerEnding::Reset => return tx.abort(),
        }
        tx.finish();
    })
    .detach();
    let content_type = match content_type {
        AnswerType::Json => "application/json",
        AnswerType::Text => "text/plain",
    };
    let mut res = Response::new(body.framed(Framing::UntilClose));
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
