//! Follows the tables of control boxes from an entry box.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{BoxClient, Stop, clock};
use twox_hash::XxHash64;

use super::messages::{Detail, FollowAnswer, FollowRequest};
use super::roster::Roster;
use crate::evacuation::{Evacuations, Revision};
use crate::ids::{BoxName, ConfigNumber};
use crate::limits::backoff;
use crate::quarantine::{self, QuarantineList};

/// Path of the held requests.
pub const FOLLOW_PATH: &str = "/box/upstreams";
/// How long a control box may hold a request. With the margin it is the time after which a box
/// that fell silent is noticed and another one is followed for everything: a second, half of what
/// an upstream that leaves has.
const HOLD: Duration = Duration::from_millis(500);
/// Time allowed for an answer beyond the hold.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Time between looks for control boxes that nobody follows yet.
const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// Control boxes that one entry box follows: one for everything, the other for what leaves or
/// ended, so that it hears of that while the first one falls silent. What an upstream announces is
/// at a majority of the control boxes when it is acknowledged, and at all of them that are in
/// touch within a second, whoever is lost meanwhile.
const MAX_FOLLOWED: usize = 2;
/// Rest between two questions for departures, half of the time that an upstream that leaves has.
const DEPARTURES_REST: Duration = Duration::from_millis(1_000);
/// Shortest time between two questions for everything, for each upstream: of more of them more
/// changes are to be told together, and each answer costs some 600 bytes beside what it tells.
const REST_AN_UPSTREAM: Duration = Duration::from_micros(33);
/// Bounds of that time: what a caller does not notice, and a twentieth of the time that an
/// upstream that leaves has.
const REST_BOUNDS: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));
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
    /// Those of `running` that do not answer, or are out of touch with the core.
    doubtful: RefCell<BTreeSet<SocketAddr>>,
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
            doubtful: RefCell::default(),
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
        let sound = running.difference(&self.doubtful.borrow()).count();
        let mut left = self.control();
        left.retain(|addr| !running.contains(addr));
        left.sort_by_key(|addr| weight(own, *addr));
        left.truncate(MAX_FOLLOWED.saturating_sub(sound));
        left
    }

    /// Returns whether this is the control box that is followed for everything: each entry box
    /// prefers another one of those that answer and are in touch with the core.
    pub fn is_first(&self, own: &str, source: SocketAddr) -> bool {
        let (running, doubtful) = (self.running.borrow(), self.doubtful.borrow());
        let sound = first_of(own, running.difference(&doubtful).copied());
        sound.or_else(|| first_of(own, running.iter().copied())) == Some(source)
    }

    /// Returns how much to ask a control box for.
    fn detail(&self, own: &str, source: SocketAddr) -> Detail {
        if self.is_first(own, source) { Detail::Whole } else { Detail::Departures }
    }

    fn set_doubtful(&self, source: SocketAddr, is_doubtful: bool) {
        let mut doubtful = self.doubtful.borrow_mut();
        if is_doubtful {
            doubtful.insert(source);
        } else {
            doubtful.remove(&source);
        }
    }

    /// Forgets a control box that is followed no more; it may be named again.
    fn forget(&self, source: SocketAddr) {
        self.running.borrow_mut().remove(&source);
        self.set_doubtful(source, false);
        self.control.borrow_mut().remove(&source);
    }

    /// Returns the control boxes that are known.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.control.borrow().iter().copied().collect()
    }
}

/// Returns the control box of some that an entry box follows for everything.
pub fn first_of(own: &str, control: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    control.min_by_key(|addr| weight(own, *addr))
}

fn weight(own: &str, addr: SocketAddr) -> u64 {
    XxHash64::oneshot(0, [own.as_bytes(), addr.to_string().as_bytes()].concat().as_slice())
}

/// What a follower does beside keeping the roster.
#[derive(Clone)]
pub struct OrderHints {
    /// Returns the highest configuration number that is in force here or being fetched.
    pub number: Rc<dyn Fn() -> ConfigNumber>,
    /// Called when a control box has a newer one, with its address and that number.
    pub newer_at: Rc<dyn Fn(SocketAddr, ConfigNumber)>,
    /// Returns the revision of the evacuations in force here.
    pub evacuations: Rc<dyn Fn() -> Revision>,
    /// Called with newer evacuations.
    pub evacuated: Rc<dyn Fn(&Evacuations)>,
    /// Returns the revision of the list of held requests in force here.
    pub quarantine: Rc<dyn Fn() -> quarantine::Revision>,
    /// Called with a newer list of held requests.
    pub quarantined: Rc<dyn Fn(&QuarantineList)>,
}

/// Follows control boxes, as many as are wanted and answer, until `stop`.
pub async fn run(
    own: BoxName,
    followed: Rc<Followed>,
    client: BoxClient,
    hints: OrderHints,
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
    hints: OrderHints,
    stop: Stop,
) {
    let mut failures = 0;
    while !stop.is_set() && failures < MAX_FAILURES {
        let asked = clock::now();
        let detail = followed.detail(&own, source);
        let (epoch, have) = followed.roster.borrow().position(source, detail);
        let req = FollowRequest {
            from: own.clone(),
            epoch,
            have,
            config: (hints.number)(),
            hold: HOLD,
            detail,
            evacuations: (hints.evacuations)(),
            quarantine: (hints.quarantine)(),
        };
        let call = client.call::<_, FollowAnswer>(source, FOLLOW_PATH, &req, HOLD + ANSWER_MARGIN);
        match call.await {
            Ok(answer) => {
                failures = 0;
                let more = answer.more;
                take(&followed, source, detail, answer, &hints);
                let rest = match followed.detail(&own, source) {
                    _ if more => Duration::ZERO,
                    Detail::Departures => DEPARTURES_REST,
                    Detail::Named | Detail::Whole => {
                        let known = followed.roster.borrow().len();
                        question_period(known).saturating_sub(clock::since(asked))
                    }
                };
                compio::time::sleep(rest).await;
            }
            Err(err) => {
                if failures == 0 {
                    log::info!("control box {source} is out of reach: {err}");
                }
                failures += 1;
                followed.set_doubtful(source, true);
                compio::time::sleep(backoff::delay(failures)).await;
            }
        }
        if followed.from_settings.borrow().contains(&source) {
            failures = failures.min(MAX_FAILURES - 1);
        }
    }
    followed.forget(source);
}

/// Returns the shortest time between two questions for everything, with so many upstreams.
pub fn question_period(upstreams: usize) -> Duration {
    let count = u32::try_from(upstreams).unwrap_or(u32::MAX);
    REST_AN_UPSTREAM.saturating_mul(count).clamp(REST_BOUNDS.0, REST_BOUNDS.1)
}

/// Takes an answer of a control box that is followed.
fn take(
    followed: &Followed,
    source: SocketAddr,
    asked: Detail,
    answer: FollowAnswer,
    hints: &OrderHints,
) {
    followed.set_doubtful(source, answer.out_of_touch);
    followed.control.borrow_mut().extend(&answer.control);
    if answer.config > (hints.number)() {
        (hints.newer_at)(source, answer.config);
    }
    if let Some(evacuations) = &answer.evacuations {
        (hints.evacuated)(evacuations);
    }
    if let Some(list) = &answer.quarantine {
        (hints.quarantined)(list);
    }
    let (epoch, version) = (answer.epoch, answer.version);
    let mut roster = followed.roster.borrow_mut();
    match roster.take(source, asked, answer, clock::now()) {
        Ok(true) => {
            let (serving, leaving) = (roster.serving().count(), roster.leaving().count());
            log::info!(
                "upstreams changed: {serving} serve, {leaving} leave; roster {}, from {source} at {epoch:x}/{version}",
                roster.version()
            );
        }
        Ok(false) => {}
        Err(err) => log::warn!("control box {source}: records do not decode: {err}"),
    }
}
