//! Follows the upstream tables of control boxes from an entry box.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{BoxClient, Stop, clock};
use twox_hash::XxHash64;

use super::messages::{Detail, FollowAnswer, FollowRequest};
use super::roster::Roster;
use crate::essential::spawn_watched;
use crate::evacuation::{Evacuations, Revision};
use crate::ids::{BoxName, ConfigNumber};
use crate::limits::backoff;
use crate::quarantine::{self, QuarantineList};

/// Path of long polls for table changes.
pub const FOLLOW_PATH: &str = "/box/upstreams";
/// Time for which a control box may hold a poll. Together with the margin it bounds how long it
/// takes to notice that a control box is silent and to follow another one in full: 1 s, half of
/// the time that a leaving upstream grants.
const POLL_HOLD: Duration = Duration::from_millis(500);
/// Time allowed for an answer in addition to the hold.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Interval between searches for control boxes to follow.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of control boxes that one entry box follows: one in full, the other one for departures,
/// which therefore still arrive when the first one falls silent. When a departure is acknowledged,
/// a majority of the control boxes holds it. All connected ones hold it within 1 s, even if some
/// are lost in the meantime.
const MAX_FOLLOWED: usize = 2;
/// Pause between two polls for departures: half of the time that a leaving upstream grants.
const DEPARTURES_POLL_PAUSE: Duration = Duration::from_millis(1_000);
/// Minimum interval between two full polls, per upstream. With more upstreams, more changes are
/// combined into one answer, each of which costs about 600 bytes in addition to the changes.
const POLL_INTERVAL_PER_UPSTREAM: Duration = Duration::from_micros(33);
/// Bounds of the interval between two full polls: a delay that callers do not notice, and a
/// twentieth of the time that a leaving upstream grants.
const POLL_INTERVAL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(100));
/// Number of consecutive failures after which a control box that is not in the settings is no
/// longer followed.
const MAX_FAILURES: u32 = 50;

/// State shared by the follower tasks of one entry process.
pub struct FollowState {
    /// The known upstreams.
    pub roster: RefCell<Roster>,
    /// Addresses of control boxes, from the settings and from answers of control boxes.
    pub control: RefCell<BTreeSet<SocketAddr>>,
    from_settings: RefCell<BTreeSet<SocketAddr>>,
    /// Control boxes for which a follower task runs.
    running: RefCell<BTreeSet<SocketAddr>>,
    /// Members of `running` that do not answer or are disconnected from the control core.
    unhealthy: RefCell<BTreeSet<SocketAddr>>,
}

impl FollowState {
    /// Creates the state with the control boxes from the settings.
    pub fn new(control: &[SocketAddr]) -> Rc<Self> {
        let control: BTreeSet<SocketAddr> = control.iter().copied().collect();
        Rc::new(Self {
            roster: RefCell::default(),
            control: RefCell::new(control.clone()),
            from_settings: RefCell::new(control),
            running: RefCell::default(),
            unhealthy: RefCell::default(),
        })
    }

    /// Updates the control boxes after a change of the settings.
    pub fn set_settings(&self, control: &[SocketAddr]) {
        *self.from_settings.borrow_mut() = control.iter().copied().collect();
        self.control.borrow_mut().extend(control);
    }

    /// Returns the control boxes to start following. The order of preference differs between entry
    /// boxes.
    pub fn candidates(&self, own: &str) -> Vec<SocketAddr> {
        let running = self.running.borrow();
        let healthy = running.difference(&self.unhealthy.borrow()).count();
        let mut candidates = self.control();
        candidates.retain(|addr| !running.contains(addr));
        candidates.sort_by_key(|addr| weight(own, *addr));
        candidates.truncate(MAX_FOLLOWED.saturating_sub(healthy));
        candidates
    }

    /// Returns whether `source` is the control box that is followed in full. It is the preferred
    /// one of the healthy control boxes, or of all followed ones if none is healthy.
    pub fn is_primary(&self, own: &str, source: SocketAddr) -> bool {
        let (running, unhealthy) = (self.running.borrow(), self.unhealthy.borrow());
        let healthy = preferred_source(own, running.difference(&unhealthy).copied());
        healthy.or_else(|| preferred_source(own, running.iter().copied())) == Some(source)
    }

    /// Returns the level of detail to request from a control box.
    fn detail(&self, own: &str, source: SocketAddr) -> Detail {
        if self.is_primary(own, source) { Detail::Whole } else { Detail::Departures }
    }

    fn set_unhealthy(&self, source: SocketAddr, is_unhealthy: bool) {
        let mut unhealthy = self.unhealthy.borrow_mut();
        if is_unhealthy {
            unhealthy.insert(source);
        } else {
            unhealthy.remove(&source);
        }
    }

    /// Removes a control box that is no longer followed. It may be reported again later.
    fn forget(&self, source: SocketAddr) {
        self.running.borrow_mut().remove(&source);
        self.set_unhealthy(source, false);
        self.control.borrow_mut().remove(&source);
    }

    /// Returns the addresses of the known control boxes.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.control.borrow().iter().copied().collect()
    }
}

/// Returns the control box that the entry box `own` prefers to follow in full.
pub fn preferred_source(
    own: &str,
    control: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    control.min_by_key(|addr| weight(own, *addr))
}

/// Returns the rendezvous hash of an entry box and a control box; the smallest one is preferred.
fn weight(own: &str, addr: SocketAddr) -> u64 {
    XxHash64::oneshot(0, [own.as_bytes(), addr.to_string().as_bytes()].concat().as_slice())
}

/// Callbacks for the orders that follow answers carry in addition to upstreams.
#[derive(Clone)]
pub struct FollowCallbacks {
    /// Returns the greatest configuration number that is in force or being fetched.
    pub number: Rc<dyn Fn() -> ConfigNumber>,
    /// Called with the address of a control box that has a newer configuration, and its number.
    pub newer_at: Rc<dyn Fn(SocketAddr, ConfigNumber)>,
    /// Returns the revision of the evacuations in force.
    pub evacuations: Rc<dyn Fn() -> Revision>,
    /// Called with newer evacuations.
    pub evacuated: Rc<dyn Fn(&Evacuations)>,
    /// Returns the revision of the quarantine list in force.
    pub quarantine: Rc<dyn Fn() -> quarantine::Revision>,
    /// Called with a newer quarantine list.
    pub quarantined: Rc<dyn Fn(&QuarantineList)>,
}

/// Keeps up to two healthy control boxes followed until `stop` is set.
pub async fn run(
    own: BoxName,
    followed: Rc<FollowState>,
    client: BoxClient,
    callbacks: FollowCallbacks,
    stop: Stop,
) {
    while !stop.is_set() {
        for source in followed.candidates(&own) {
            if followed.running.borrow_mut().insert(source) {
                let restarted = followed.clone();
                let (own, followed, client) = (own.clone(), followed.clone(), client.clone());
                let task = follow(own, source, followed, client, callbacks.clone(), stop.clone());
                spawn_watched(task, move || {
                    log::error!(
                        source:% = source;
                        "the task that follows a control box panicked; it is followed anew"
                    );
                    restarted.running.borrow_mut().remove(&source);
                });
            }
        }
        compio::time::sleep(DISCOVERY_INTERVAL).await;
    }
}

/// Polls one control box until `stop` is set or it has failed too often.
async fn follow(
    own: BoxName,
    source: SocketAddr,
    followed: Rc<FollowState>,
    client: BoxClient,
    callbacks: FollowCallbacks,
    stop: Stop,
) {
    let mut failures = 0;
    while !stop.is_set() && failures < MAX_FAILURES {
        let asked_at = clock::now();
        let detail = followed.detail(&own, source);
        let (epoch, have) = followed.roster.borrow().position(source, detail);
        let req = FollowRequest {
            from: own.clone(),
            epoch,
            have,
            config: (callbacks.number)(),
            hold: POLL_HOLD,
            detail,
            evacuations: (callbacks.evacuations)(),
            quarantine: (callbacks.quarantine)(),
        };
        let call =
            client.call::<_, FollowAnswer>(source, FOLLOW_PATH, &req, POLL_HOLD + ANSWER_MARGIN);
        match call.await {
            Ok(answer) => {
                failures = 0;
                let more = answer.more;
                apply_answer(&followed, source, detail, answer, &callbacks);
                let pause = match followed.detail(&own, source) {
                    _ if more => Duration::ZERO,
                    Detail::Departures => DEPARTURES_POLL_PAUSE,
                    Detail::Named | Detail::Whole => {
                        let known = followed.roster.borrow().len();
                        poll_interval(known).saturating_sub(clock::since(asked_at))
                    }
                };
                compio::time::sleep(pause).await;
            }
            Err(err) => {
                if failures == 0 {
                    log::info!("control box {source} is out of reach: {err}");
                }
                failures += 1;
                followed.set_unhealthy(source, true);
                compio::time::sleep(backoff::delay(failures)).await;
            }
        }
        if followed.from_settings.borrow().contains(&source) {
            failures = failures.min(MAX_FAILURES - 1);
        }
    }
    followed.forget(source);
}

/// Returns the minimum interval between two full polls for a number of upstreams.
pub fn poll_interval(upstreams: usize) -> Duration {
    let count = u32::try_from(upstreams).unwrap_or(u32::MAX);
    POLL_INTERVAL_PER_UPSTREAM
        .saturating_mul(count)
        .clamp(POLL_INTERVAL_BOUNDS.0, POLL_INTERVAL_BOUNDS.1)
}

/// Applies the answer of a followed control box.
fn apply_answer(
    followed: &FollowState,
    source: SocketAddr,
    requested: Detail,
    answer: FollowAnswer,
    callbacks: &FollowCallbacks,
) {
    followed.set_unhealthy(source, answer.out_of_touch);
    followed.control.borrow_mut().extend(&answer.control);
    if answer.config > (callbacks.number)() {
        (callbacks.newer_at)(source, answer.config);
    }
    if let Some(evacuations) = &answer.evacuations {
        (callbacks.evacuated)(evacuations);
    }
    if let Some(list) = &answer.quarantine {
        (callbacks.quarantined)(list);
    }
    let (epoch, version) = (answer.epoch, answer.version);
    let mut roster = followed.roster.borrow_mut();
    match roster.apply_answer(source, requested, answer, clock::now()) {
        Ok(true) => {
            let (serving, leaving) = (roster.serving().count(), roster.leaving().count());
            log::info!(
                "upstreams changed: {serving} serve, {leaving} leave; roster {}, from {source} at {epoch:x}/{version}",
                roster.version()
            );
        }
        Ok(false) => {}
        Err(err) => log::warn!("control box {source}: failed to decode upstream records: {err}"),
    }
}
