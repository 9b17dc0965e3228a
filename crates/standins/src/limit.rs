//! The limit that a stand-in names in its answers, and the requests that reached it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hatchpitch::engine::adapter::RATE_LIMIT;
use hatchpitch::outcome::text_response;
use hatchpitch_net::{Body, Handler, read_body};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

const MAX_BODY: usize = 1024;
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// A limit that tests set.
pub struct NamedLimit {
    /// Requests a second; `None` to name none.
    limit: Cell<Option<f64>>,
    started: Instant,
    /// Milliseconds from the start to each request that was no test's order.
    arrivals: RefCell<Vec<u64>>,
}

impl NamedLimit {
    /// Serves orders of tests under `/admin/limit` and `/admin/arrivals`, and names the limit in all
    /// other answers of a handler but those to its own orders.
    pub fn around(handler: Handler) -> Handler {
        let limit = Rc::new(Self {
            limit: Cell::new(None),
            started: Instant::now(),
            arrivals: RefCell::default(),
        });
        Rc::new(move |req, peer| {
            let (limit, handler) = (limit.clone(), handler.clone());
            async move {
                match req.uri().path() {
                    "/admin/limit" => limit.set(req).await,
                    "/admin/arrivals" => limit.answer_arrivals(),
                    path if path.starts_with("/admin/") => handler(req, peer).await,
                    _ => {
                        limit.note();
                        limit.name(handler(req, peer).await)
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

    fn name(&self, mut res: Response<Body>) -> Response<Body> {
        let value = self.limit.get().map(|limit| HeaderValue::from_str(&limit.to_string()));
        if let Some(Ok(value)) = value {
            res.headers_mut().insert(RATE_LIMIT, value);
        }
        res
    }

    async fn set(&self, req: Request<Incoming>) -> Response<Body> {
        let Ok(body) = read_body(req.into_body(), MAX_BODY, BODY_LIMIT).await else {
            return text_response(StatusCode::BAD_REQUEST, "body not read");
        };
        match serde_json::from_slice(&body) {
            Ok(limit) => {
                self.limit.set(limit);
                text_response(StatusCode::OK, "set")
            }
            Err(err) => text_response(StatusCode::BAD_REQUEST, err.to_string()),
        }
    }

    fn answer_arrivals(&self) -> Response<Body> {
        let arrivals = serde_json::to_string(&*self.arrivals.borrow()).unwrap_or_default();
        text_response(StatusCode::OK, arrivals)
    }
}
