//! Test controls for the signal headers of a stand-in's responses, and a record of the requests
//! that it received.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hatchpitch::engine::adapter::SIGNAL_HEADERS;
use hatchpitch::outcome::{OUTCOME_HEADER, Outcome, text_response};
use hatchpitch_net::{Body, Handler, Reservation, read_body};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

/// Maximum size of a control request's body, in bytes.
const MAX_BODY: usize = 1024;
/// Timeout for reading a control request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Signals that a stand-in sends in its responses, set by tests.
pub struct SignalControls {
    /// Announced rate limit, in requests per second; `None` announces no limit.
    limit: Cell<Option<f64>>,
    /// Value of `Retry-After` with which all requests are refused; `None` serves them.
    retry_after: RefCell<Option<String>>,
    /// Whether responses announce that the stand-in is leaving.
    leaving: Cell<bool>,
    started: Instant,
    /// Arrival times of requests other than control requests, in milliseconds since the start.
    arrivals: RefCell<Vec<u64>>,
}

impl SignalControls {
    /// Wraps a handler with the control paths `/admin/limit`, `/admin/rest`, `/admin/say-leaving`
    /// and `/admin/arrivals`.
    ///
    /// The signals apply to all requests of the handler except those below `/admin/`.
    pub fn wrap(handler: Handler) -> Handler {
        let controls = Rc::new(Self {
            limit: Cell::new(None),
            retry_after: RefCell::default(),
            leaving: Cell::new(false),
            started: Instant::now(),
            arrivals: RefCell::default(),
        });
        Rc::new(move |req, peer| {
            let (controls, handler) = (controls.clone(), handler.clone());
            async move {
                match req.uri().path() {
                    "/admin/limit" => set(req, |value| controls.limit.set(value)).await,
                    "/admin/rest" => {
                        set(req, |value| *controls.retry_after.borrow_mut() = value).await
                    }
                    "/admin/say-leaving" => set(req, |value| controls.leaving.set(value)).await,
                    "/admin/arrivals" => controls.list_arrivals(),
                    path if path.starts_with("/admin/") => handler(req, peer).await,
                    _ => {
                        controls.record_arrival();
                        let retry_after = controls.retry_after.borrow().clone();
                        let response = match retry_after {
                            Some(retry_after) => refuse(&retry_after),
                            None => handler(req, peer).await,
                        };
                        controls.add_signals(response)
                    }
                }
            }
            .boxed_local()
        })
    }

    /// Records the arrival time of a request.
    fn record_arrival(&self) {
        let at = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.arrivals.borrow_mut().push(at);
    }

    /// Adds the signal headers to a response.
    fn add_signals(&self, mut res: Response<Body>) -> Response<Body> {
        let value = self.limit.get().map(|limit| HeaderValue::from_str(&limit.to_string()));
        if let Some(Ok(value)) = value {
            res.headers_mut().insert(SIGNAL_HEADERS.limit, value);
        }
        if self.leaving.get() {
            res.headers_mut().insert(SIGNAL_HEADERS.leaving, HeaderValue::from_static("1"));
        }
        res
    }

    /// Returns the recorded arrival times as a JSON array.
    fn list_arrivals(&self) -> Response<Body> {
        let arrivals = serde_json::to_string(&*self.arrivals.borrow()).unwrap_or_default();
        text_response(StatusCode::OK, arrivals)
    }
}

/// Decodes a control request's body and passes the value to `apply`.
async fn set<T: DeserializeOwned>(req: Request<Incoming>, apply: impl FnOnce(T)) -> Response<Body> {
    let Ok(body) =
        read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT, Reservation::uncounted()).await
    else {
        return text_response(StatusCode::BAD_REQUEST, "body not read");
    };
    match serde_json::from_slice(&body) {
        Ok(value) => {
            apply(value);
            text_response(StatusCode::OK, "set")
        }
        Err(err) => text_response(StatusCode::BAD_REQUEST, err.to_string()),
    }
}

/// Returns the 503 response of an overloaded upstream, with the given `Retry-After` value.
fn refuse(retry_after: &str) -> Response<Body> {
    let body = r#"{"error":"wants rest","ran":false}"#;
    let mut res = text_response(StatusCode::SERVICE_UNAVAILABLE, body);
    let headers = res.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::NotRun.as_str()));
    if let Ok(value) = HeaderValue::from_str(retry_after) {
        headers.insert(header::RETRY_AFTER, value);
    }
    res
}
