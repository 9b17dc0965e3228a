//! Follows the tables of control boxes from an entry box.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{BoxClient, Stop};
use twox_hash::XxHash64;

use super::messages::{FollowAnswer, FollowRequest};
use super::roster::Roster;
use crate::ids::{BoxName, ConfigNumber};
use crate::limits::backoff;

/// Path of the held requests.
pub const FOLLOW_PATH: &str = "/box/upstreams";
/// How long a control box may hold a request.
const HOLD: Duration = Duration::from_millis(1_000);
/// Time allowed for an answer beyond the hold.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_000);
/// Time between looks for control boxes that nobody follows yet.
const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// Control boxes that one entry box follows. What an upstream announces is at a majority of up
/// to ten of them when it is acknowledged, so one of six has it; at all of them within a second.
const MAX_FOLLOWED: usize = 6;
/// Rest between two requests to a control box, but for the one that is asked again at once. All
/// tell the same changes; what only one of them has comes within a quarter of the two seconds
/// after which an upstream that leaves gets no new work.
const REST: Duration = Duration::from_millis(500);
/// Failures in a row from which on another control box is followed as well.
const AWAY: u32 = 3;
/// Failures in a row after which a control box that no other names is no longer followed.
const MAX_FAILURES: u32 = 50;

/// What the followers of one entry process share.
pub struct Followed {
    /// The upstreams.
    pub roster: RefCell<Roster>,
    /// Control boxes, from the settings and from what control boxes tell.
    pub control: RefCell<BTreeSet<SocketAddr>>,
    from_settings: RefCell<BTreeSet<SocketAddr>>,
    running: RefCell<BTreeSet<SocketAddr>>,
    /// Those of `running` that do not answer.
    away: RefCell<BTreeSet<SocketAddr>>,
}

impl Followed {
    /// Creates the shared state with the control boxes of the settings.
    pub fn new(control: &[SocketAddr]) -> Rc<Self> {
        let control: BTreeSet<SocketAddr> = control.iter().copied().collect();
        Rc::new(Self {
            roster: RefCell::default(),
            control: RefCell::new(control.clone()),
            from_settings: RefCell::new(control),
            running: RefCell::default(),
            away: RefCell::default(),
        })
    }

    /// Takes in the control boxes of changed settings.
    pub fn set_settings(&self, control: &[SocketAddr]) {
        *self.from_settings.borrow_mut() = control.iter().copied().collect();
        self.control.borrow_mut().extend(control);
    }

    /// Returns the control boxes to begin to follow: each entry box prefers others.
    pub fn candidates(&self, own: &str) -> Vec<SocketAddr> {
        let running = self.running.borrow();
        let answering = running.len() - self.away.borrow().len();
        let mut left = self.control();
        left.retain(|addr| !running.contains(addr));
        left.sort_by_key(|addr| weight(own, *addr));
        left.truncate(MAX_FOLLOWED.saturating_sub(answering));
        left
    }

    /// Returns whether this is the control box that is asked again at once: each entry box prefers
    /// another one of those that answer.
    pub fn is_first(&self, own: &str, source: SocketAddr) -> bool {
        let (running, away) = (self.running.borrow(), self.away.borrow());
        first_of(own, running.difference(&away).copied()) == Some(source)
    }

    /// Forgets a control box that is followed no more; it may be named again.
    fn forget(&self, source: SocketAddr) {
        self.running.borrow_mut().remove(&source);
        self.away.borrow_mut().remove(&source);
        self.control.borrow_mut().remove(&source);
    }

    /// Returns the control boxes that are known.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.control.borrow().iter().copied().collect()
    }
}

/// Returns the control box of some that an entry box asks again at once.
pub fn first_of(own: &str, control: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    control.min_by_key(|addr| weight(own, *addr))
}

fn weight(own: &str, addr: SocketAddr) -> u64 {
    XxHash64::oneshot(0, [own.as_bytes(), addr.to_string().as_bytes()].concat().as_slice())
}

/// What a follower does beside keeping the roster.
#[derive(Clone)]
pub struct ConfigHints {
    /// Returns the highest configuration number that is in force here or being fetched.
    pub number: Rc<dyn Fn() -> ConfigNumber>,
    /// Called when a control box has a newer one, with its address and that number.
    pub newer_at: Rc<dyn Fn(SocketAddr, ConfigNumber)>,
}

/// Follows control boxes, as many as are wanted and answer, until `stop`.
pub async fn run(
    own: BoxName,
    followed: Rc<Followed>,
    client: BoxClient,
    hints: ConfigHints,
    stop: Stop,
) {
    while !stop.is_set() {
        for source in followed.candidates(&own) {
            if followed.running.borrow_mut().insert(source) {
                let (own, followed, client) = (own.clone(), followed.clone(), client.clone());
                let task = follow(own, source, followed, client, hints.clone(), stop.clone());
                compio::runtime::spawn(task).detach();
            }
        }
        compio::time::sleep(LOOK_PERIOD).await;
    }
}

async fn follow(
    own: BoxName,
    source: SocketAddr,
    followed: Rc<Followed>,
    client: BoxClient,
    hints: ConfigHints,
    stop: Stop,
) {
    let mut failures = 0;
    while !stop.is_set() && failures < MAX_FAILURES {
        let (epoch, have) = followed.roster.borrow().position(source);
        let config = (hints.number)();
        let req = FollowRequest { from: own.clone(), epoch, have, config, hold: HOLD };
        let call = client.call::<_, FollowAnswer>(source, FOLLOW_PATH, &req, HOLD + ANSWER_MARGIN);
        match call.await {
            Ok(answer) => {
                failures = 0;
                take(&followed, source, answer, &hints);
                if !followed.is_first(&own, source) {
                    compio::time::sleep(REST).await;
                }
            }
            Err(err) => {
                if failures == 0 {
                    log::info!("control box {source} is out of reach: {err}");
                }
                failures += 1;
                if failures >= AWAY {
                    followed.away.borrow_mut().insert(source);
                }
                compio::time::sleep(backoff::rest(failures)).await;
            }
        }
        if followed.from_settings.borrow().contains(&source) {
            failures = failures.min(MAX_FAILURES - 1);
        }
    }
    followed.forget(source);
}

/// Takes an answer of a control box that is followed.
fn take(followed: &Followed, source: SocketAddr, answer: FollowAnswer, hints: &ConfigHints) {
    followed.away.borrow_mut().remove(&source);
    followed.control.borrow_mut().extend(&answer.control);
    if answer.config > (hints.number)() {
        (hints.newer_at)(source, answer.config);
    }
    let (epoch, version) = (answer.epoch, answer.version);
    let mut roster = followed.roster.borrow_mut();
    if roster.take(source, answer) {
        let (serving, leaving) = (roster.serving().count(), roster.leaving().count());
        log::info!(
            "upstreams changed: {serving} serve, {leaving} leave; roster {}, from {source} at {epoch:x}/{version}",
            roster.version()
        );
    }
}
