//! What a stand-in says of itself in the heads of its answers, and the requests that reached it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hatchpitch::engine::adapter::SIGNAL_HEADERS;
use hatchpitch::outcome::{OUTCOME_HEADER, Outcome, text_response};
use hatchpitch_net::{Body, Handler, read_body};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

const MAX_BODY: usize = 1024;
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// What tests have a stand-in say.
pub struct HeadOrders {
    /// Requests a second; `None` to name none.
    limit: Cell<Option<f64>>,
    /// The time to come back that all requests are turned away with, if they are.
    rest: RefCell<Option<String>>,
    /// Whether its answers say that it leaves.
    leaving: Cell<bool>,
    started: Instant,
    /// Milliseconds from the start to each request that was no test's order.
    arrivals: RefCell<Vec<u64>>,
}

impl HeadOrders {
    /// Serves orders of tests under `/admin/limit`, `/admin/rest`, `/admin/say-leaving` and
    /// `/admin/arrivals`, and carries them out in all other answers of a handler but those to its own
    /// orders.
    pub fn around(handler: Handler) -> Handler {
        let orders = Rc::new(Self {
            limit: Cell::new(None),
            rest: RefCell::default(),
            leaving: Cell::new(false),
            started: Instant::now(),
            arrivals: RefCell::default(),
        });
        Rc::new(move |req, peer| {
            let (orders, handler) = (orders.clone(), handler.clone());
            async move {
                match req.uri().path() {
                    "/admin/limit" => set(req, |value| orders.limit.set(value)).await,
                    "/admin/rest" => set(req, |value| *orders.rest.borrow_mut() = value).await,
                    "/admin/say-leaving" => set(req, |value| orders.leaving.set(value)).await,
                    "/admin/arrivals" => orders.answer_arrivals(),
                    path if path.starts_with("/admin/") => handler(req, peer).await,
                    _ => {
                        orders.note();
                        let rest = orders.rest.borrow().clone();
                        let answer = match rest {
                            Some(rest) => turned_away(&rest),
                            None => handler(req, peer).await,
                        };
                        orders.speak(answer)
                    }
                }
            }
            .boxed_local()
        })
    }

    fn note(&self) {
        let at = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.arrivals.borrow_mut().push(at);
    }

    fn speak(&self, mut res: Response<Body>) -> Response<Body> {
        let value = self.limit.get().map(|limit| HeaderValue::from_str(&limit.to_string()));
        if let Some(Ok(value)) = value {
            res.headers_mut().insert(SIGNAL_HEADERS.limit, value);
        }
        if self.leaving.get() {
            res.headers_mut().insert(SIGNAL_HEADERS.leaving, HeaderValue::from_static("1"));
        }
        res
    }

    fn answer_arrivals(&self) -> Response<Body> {
        let arrivals = serde_json::to_string(&*self.arrivals.borrow()).unwrap_or_default();
        text_response(StatusCode::OK, arrivals)
    }
}

/// Takes in a test's order.
async fn set<T: DeserializeOwned>(req: Request<Incoming>, take: impl FnOnce(T)) -> Response<Body> {
    let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_LIMIT).await else {
        return text_response(StatusCode::BAD_REQUEST, "body not read");
    };
    match serde_json::from_slice(&body) {
        Ok(value) => {
            take(value);
            text_response(StatusCode::OK, "set")
        }
        Err(err) => text_response(StatusCode::BAD_REQUEST, err.to_string()),
    }
}

/// Turns a request away as engines and services do.
fn turned_away(rest: &str) -> Response<Body> {
    let body = r#"{"error":"wants rest","ran":false}"#;
    let mut res = text_response(StatusCode::SERVICE_UNAVAILABLE, body);
    let headers = res.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::NotRun.as_str()));
    if let Ok(rest) = HeaderValue::from_str(rest) {
        headers.insert(header::RETRY_AFTER, rest);
    }
    res
}
