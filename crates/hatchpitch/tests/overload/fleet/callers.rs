//! Callers that return once after a refusal, at the time that the refusal names.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hatchpitch::admission::ReturnSchedule;
use hatchpitch::dispatch::scheduler::{NO_RUNNER, UNTIMELY};
use hatchpitch::dispatch::{Refusal, SlotRequest};

use super::{CALL_MS, Fleet, Request, RequestResult, Searching};

/// Multiple of the target time to the first token after which callers disconnect.
const DEADLINE_FACTOR: u64 = 4;
/// Multiple of the target time for which a request may wait in a queue.
const LIMIT_FACTOR: u64 = 2;
/// Callers follow a time up to this part of what is left for them.
const FOLLOWED_PART: u64 = 3;

/// A refusal of a request.
#[derive(Debug, Clone, Copy)]
pub struct CallerRefusal {
    /// Time from the start of the attempt to the refusal.
    pub held_ms: u64,
    /// Whether the request was refused in a queue because it could no longer start in time.
    pub is_untimely: bool,
    /// Whether the request had waited until its limit.
    pub is_waited: bool,
}

/// State of the callers of a load.
#[derive(Debug, Default)]
pub struct Callers {
    /// Time at which each request was sent last.
    sent_ms: Vec<u64>,
    /// Time that each attempt has waited in queues that lost their engines.
    charged_ms: Vec<u64>,
    /// Refusals of each request.
    pub refusals: Vec<Vec<CallerRefusal>>,
    /// Time at which each attempt was found to be unable to start in time, if queues only observe.
    pub found_ms: BTreeMap<(usize, u64), u64>,
    /// Times of return that each box has named, if it spreads them.
    returns: Vec<ReturnSchedule>,
}

impl Callers {
    /// Returns for how long a request may wait from `ms` on.
    fn limit_ms(&self, req: &Request, ms: u64) -> u64 {
        let end = req.at_ms + req.target_ms * DEADLINE_FACTOR;
        (req.target_ms * LIMIT_FACTOR).min(end.saturating_sub(ms))
    }
}

impl Fleet {
    /// Makes callers return after refusals. With `rechecks`, queues refuse requests that can no
    /// longer start in time, and `boxes` boxes spread the times of return.
    pub fn with_callers(mut self, rechecks: bool, boxes: usize) -> Self {
        let returns = vec![ReturnSchedule::default(); if rechecks { boxes } else { 0 }];
        self.callers = Some(Callers { returns, ..Callers::default() });
        self.rechecks = rechecks;
        self.open_lines(self.lines.len());
        self
    }

    /// Returns the refusals of each request.
    pub fn refusals(&self) -> &[Vec<CallerRefusal>] {
        self.callers.as_ref().map_or(&[], |callers| &callers.refusals)
    }

    /// Returns whether the caller of a request has returned after a refusal.
    pub fn returned(&self, request: usize, req: &Request) -> bool {
        self.callers.as_ref().is_some_and(|callers| callers.sent_ms[request] != req.at_ms)
    }

    /// Returns whether the last attempt of a request was found to be unable to start in time, by
    /// queues that only observe.
    pub fn was_found(&self, request: usize) -> bool {
        let callers = self.callers.as_ref();
        callers.is_some_and(|c| c.found_ms.contains_key(&(request, c.sent_ms[request])))
    }

    /// Returns the number of attempts that queues found to be unable to start in time.
    pub fn found(&self) -> usize {
        self.callers.as_ref().map_or(0, |callers| callers.found_ms.len())
    }

    /// Records the requests that queues which only observe find to be unable to start in time.
    pub(super) fn observe_untimely(&mut self, ms: u64) {
        let now = self.at(ms);
        let Some(callers) = self.callers.as_mut().filter(|_| !self.rechecks) else { return };
        for (id, _) in self.lines.iter_mut().flat_map(|line| line.find_untimely(now)) {
            let request: usize = id.parse().unwrap();
            callers.found_ms.entry((request, callers.sent_ms[request])).or_insert(ms);
        }
    }

    /// Returns the time from the last attempt of a request to `at_ms` after its arrival.
    pub fn since_last_attempt(&self, request: usize, req: &Request, at_ms: u64) -> u64 {
        let sent = self.callers.as_ref().map_or(req.at_ms, |callers| callers.sent_ms[request]);
        (req.at_ms + at_ms).saturating_sub(sent)
    }

    pub(super) fn start_callers(&mut self, load: &[Request]) {
        if let Some(callers) = &mut self.callers {
            callers.sent_ms = load.iter().map(|req| req.at_ms).collect();
            callers.charged_ms = vec![0; load.len()];
            callers.refusals = vec![Vec::new(); load.len()];
        }
    }

    /// Returns for how long a request may still wait in a queue.
    pub(super) fn limit_ms(&self, request: usize, req: &Request, ms: u64) -> u64 {
        let Some(callers) = &self.callers else { return req.target_ms * LIMIT_FACTOR };
        let sent_ms = callers.sent_ms[request];
        (sent_ms + callers.limit_ms(req, sent_ms)).saturating_sub(ms)
    }

    pub(super) fn want(&self, request: usize, req: &Request, ms: u64) -> SlotRequest {
        let mut want = super::want(request, req);
        if let Some(callers) = &self.callers {
            want.charge_wait(Duration::from_millis(callers.charged_ms[request]));
        }
        want.max_wait = Some(Duration::from_millis(self.limit_ms(request, req, ms)));
        want
    }

    /// Ends an attempt of a request that was refused, by an owner or by its own box. Its caller
    /// returns if the time named is within the part that it follows.
    pub(super) fn end(
        &mut self,
        request: usize,
        req: &Request,
        ms: u64,
        (refusal, by_owner): (Refusal, bool),
        results: &mut [RequestResult],
        searching: &mut VecDeque<Searching>,
    ) {
        if self.rechecks && by_owner && refusal.cause == NO_RUNNER {
            if let Some(callers) = &mut self.callers {
                callers.charged_ms[request] = ms - callers.sent_ms[request];
            }
            return self.send(request, req, ms + CALL_MS, searching);
        }
        results[request].refused_after_ms = Some(ms - req.at_ms);
        let Some(callers) = &mut self.callers else { return };
        let sent_ms = callers.sent_ms[request];
        let limit_ms = callers.limit_ms(req, sent_ms);
        let refusals = &mut callers.refusals[request];
        refusals.push(CallerRefusal {
            held_ms: ms - sent_ms,
            is_untimely: refusal.cause == UNTIMELY,
            is_waited: ms - sent_ms >= limit_ms,
        });
        let returned = refusals.len() > 1;
        let named = match callers.returns.len() {
            boxes if boxes > 0 && !by_owner => {
                let now = self.start + Duration::from_millis(ms);
                let returns = &mut callers.returns[request % boxes];
                returns.assign(req.priority, refusal.retry_after, None, now)
            }
            _ => refusal.retry_after,
        };
        let after_ms = u64::try_from(named.as_millis()).unwrap_or(u64::MAX);
        let left_ms = (req.at_ms + req.target_ms * DEADLINE_FACTOR).saturating_sub(ms);
        if returned || after_ms > left_ms / FOLLOWED_PART {
            return;
        }
        let at_ms = ms + after_ms;
        callers.sent_ms[request] = at_ms;
        callers.charged_ms[request] = 0;
        results[request].refused_after_ms = None;
        self.send(request, req, at_ms, searching);
    }

    /// Starts the search of a request for a slot at `at_ms`.
    fn send(
        &mut self,
        request: usize,
        req: &Request,
        at_ms: u64,
        searching: &mut VecDeque<Searching>,
    ) {
        let mut search = self.search(req);
        let step = search.step();
        searching.push_back(Searching { request, search, at_ms, step });
    }
}

/// Returns the refusal of a request for which no owner answers.
pub(super) fn no_owner() -> Refusal {
    Refusal::new("no owner answers", Duration::from_secs(1))
}
