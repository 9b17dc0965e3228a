//! Request handling of simulated upstreams: running requests, streaming events, copying runs,
//! resuming from copies.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{Body, Reservation, read_body};
use http::{Request, Response};
use hyper::body::Incoming;
use rand::Rng;

use super::delivery::{Delivery, aborted_body};
use super::{ACK_TIMEOUT, AnswerFault, DRAIN_TIMEOUT, Instance, LATE_THRESHOLD, Pool, Slot};
use crate::answers::answer_text;
use crate::record::{LimitedRequest, RejectedRequest, RunStart};
use crate::wire::{Reply, UpstreamRequest};

/// Running time of a plain call.
const CALL_TIME: Duration = Duration::from_millis(8);
/// Time that copying a run takes.
const COPY_TIME: Duration = Duration::from_millis(25);
/// Largest request body that is read, in bytes.
const MAX_REQUEST: usize = 8 << 20;

/// State of a run at an upstream.
pub(super) struct RunState {
    /// Unique number of the generation, contained in each event. A resumed run keeps it.
    pub(super) generation: u64,
    /// Number of events produced so far.
    pub(super) made: Cell<u64>,
    /// Whether the run was stopped in order to continue elsewhere.
    pub(super) stopped: Cell<bool>,
    /// Whether the run produces no more events.
    pub(super) finished: Cell<bool>,
}

impl RunState {
    /// Creates a run that continues after `made` events.
    fn new(generation: u64, made: u64) -> Rc<Self> {
        let (stopped, finished) = (Cell::new(false), Cell::new(false));
        Rc::new(Self { generation, made: Cell::new(made), stopped, finished })
    }
}

impl Pool {
    /// Answers a request that arrived at a slot.
    pub(super) async fn answer(&self, slot: &Slot, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let reply = |reply: Reply| (self.cx.wire.reply)(&reply);
        let Ok(body) = read_body(body, MAX_REQUEST, ACK_TIMEOUT, Reservation::uncounted()).await
        else {
            return reply(Reply::Unknown);
        };
        let Some(instance) = self.current(slot.index) else { return reply(Reply::WrongInstance) };
        match (self.cx.wire.read_upstream_request)(&parts, &body) {
            UpstreamRequest::Run { id, instance: expected, stream, resume } => {
                if expected != instance.id {
                    return reply(Reply::WrongInstance);
                }
                if let Some(rest) = slot.rest.get() {
                    return self.reject(&instance, rest);
                }
                self.record_limited(slot, &instance);
                self.record_late(&instance, &id, resume.is_some());
                match resume {
                    Some((copy, after)) => self.resume(slot, &instance, &id, &copy, after),
                    None => self.run(slot, &instance, &id, stream).await,
                }
            }
            UpstreamRequest::Copy { id, to, stop } => {
                self.record_limited(slot, &instance);
                self.copy(&instance, &id, to, stop).await
            }
            UpstreamRequest::Other => reply(Reply::Unknown),
        }
    }

    /// Rejects a request and asks for a rest.
    fn reject(&self, instance: &Instance, rest: Duration) -> Response<Body> {
        self.cx.record.rejected.borrow_mut().push(RejectedRequest {
            instance: instance.id.clone(),
            rest,
            at: Instant::now(),
            calm: self.cx.record.calm(),
        });
        let mut res = (self.cx.wire.reply)(&Reply::NotRun);
        (self.cx.wire.set_rest)(&mut res, rest);
        res
    }

    /// Records a request that arrived while the upstream announced a rate limit.
    fn record_limited(&self, slot: &Slot, instance: &Instance) {
        let Some(per_second) = slot.limit.get() else { return };
        self.cx.record.limited.borrow_mut().push(LimitedRequest {
            instance: instance.id.clone(),
            per_second,
            at: Instant::now(),
            calm: self.cx.record.calm(),
        });
    }

    /// Records a request that arrived long after the leaving was acknowledged.
    fn record_late(&self, instance: &Instance, id: &str, resumed: bool) {
        let Some((at, calm)) = instance.leaving_acked.get() else { return };
        let late =
            at.elapsed() >= LATE_THRESHOLD && calm.is_some() && calm == self.cx.record.calm();
        if self.plan.records_late_requests && late && !resumed {
            let seen = format!(
                "{id} reached {} {:?} after its leaving was acknowledged",
                instance.id,
                at.elapsed()
            );
            self.cx.record.late_requests.borrow_mut().push(seen);
        }
    }

    /// Runs a request from the beginning.
    async fn run(
        &self,
        slot: &Slot,
        instance: &Rc<Instance>,
        id: &str,
        stream: bool,
    ) -> Response<Body> {
        self.cx.record.runs.borrow_mut().push(RunStart {
            id: id.to_owned(),
            instance: instance.id.clone(),
            resumed: false,
            concurrent: false,
        });
        if stream {
            let run = RunState::new(self.next_number(), 0);
            return self.stream(slot, instance, id, run);
        }
        compio::time::sleep(CALL_TIME).await;
        let delivery = self.delivery(slot, instance, id);
        let body = match delivery.fault {
            AnswerFault::Lost => {
                compio::time::sleep(DRAIN_TIMEOUT).await;
                aborted_body()
            }
            _ => delivery.send_text(answer_text(id, &instance.id)),
        };
        (self.cx.wire.answer)(id, false, body)
    }

    /// Draws how an answer is delivered.
    fn delivery(&self, slot: &Slot, instance: &Rc<Instance>, id: &str) -> Delivery {
        Delivery {
            cx: self.cx.clone(),
            instance: instance.clone(),
            id: id.to_owned(),
            fault: slot.answer_fault.get(),
            framing: self.draw_framing(slot),
            ends_inside_event: self.rng.borrow_mut().random_bool(0.5),
        }
    }

    /// Resumes a run from its copy, after the last event that was delivered.
    fn resume(
        &self,
        slot: &Slot,
        instance: &Rc<Instance>,
        id: &str,
        copy: &str,
        after: u64,
    ) -> Response<Body> {
        let Some((of, run)) = self.copies.borrow_mut().remove(copy) else {
            return (self.cx.wire.reply)(&Reply::NotRun);
        };
        if of != id || after > run.made.get() {
            return (self.cx.wire.reply)(&Reply::NotRun);
        }
        self.cx.record.runs.borrow_mut().push(RunStart {
            id: id.to_owned(),
            instance: instance.id.clone(),
            resumed: true,
            concurrent: !run.stopped.get() && !run.finished.get(),
        });
        let next = RunState::new(run.generation, after);
        self.stream(slot, instance, id, next)
    }

    /// Starts producing the events of a run and returns the streaming answer.
    fn stream(
        &self,
        slot: &Slot,
        instance: &Rc<Instance>,
        id: &str,
        run: Rc<RunState>,
    ) -> Response<Body> {
        instance.runs.borrow_mut().insert(id.to_owned(), run.clone());
        let body = self.delivery(slot, instance, id).send_events(run);
        (self.cx.wire.answer)(id, true, body)
    }

    /// Copies a run to another upstream. The copy is stored in the pool under its handle.
    async fn copy(
        &self,
        instance: &Instance,
        id: &str,
        to: SocketAddr,
        stop: bool,
    ) -> Response<Body> {
        let reply = |reply: Reply| (self.cx.wire.reply)(&reply);
        let run = instance.runs.borrow().get(id).cloned();
        let Some(run) = run.filter(|run| !run.finished.get() && run.made.get() > 0) else {
            return reply(Reply::NoSuchRun);
        };
        let target = self.slots.iter().find(|slot| slot.addr == to);
        let is_running = target.is_some_and(|slot| slot.instance.borrow().is_some());
        if stop {
            run.stopped.set(true);
        }
        compio::time::sleep(COPY_TIME).await;
        if !is_running {
            return reply(Reply::NoCapacity);
        }
        let handle = format!("c{}", self.next_number());
        self.copies.borrow_mut().insert(handle.clone(), (id.to_owned(), run.clone()));
        reply(Reply::Copied { handle, made: run.made.get() })
    }
}
