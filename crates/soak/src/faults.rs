//! Carries out the faults of a schedule on boxes, links and upstreams, and mends them.

use std::rc::Rc;
use std::time::Duration;

use crate::condition::{Condition, Party};
use crate::context::RunCx;
use crate::fleet::{BOTH, Fleet};
use crate::schedule::{Fault, Shape};
use crate::upstreams::{Pool, Trouble};
use crate::wire::Role;

/// Time that processes of all boxes stay down after they were killed: as long as one that ended by
/// itself.
const DOWN: Duration = Duration::from_millis(300);

/// Whatever faults reach.
pub struct Faults {
    /// What the parts of the run share.
    pub cx: Rc<RunCx>,
    /// How many of each there are.
    pub shape: Shape,
    /// The boxes.
    pub fleet: Rc<Fleet>,
    /// The upstreams.
    pub pool: Rc<Pool>,
}

impl Faults {
    /// Lets a fault happen, and ends it after its time.
    pub async fn inject(&self, fault: Fault, lasts: Duration) {
        match fault {
            Fault::KillBox(at) => self.kill(&[at], &BOTH, lasts).await,
            Fault::KillCore => self.kill(&self.shape.all_boxes(), &[Role::Control], DOWN).await,
            Fault::KillAll => self.kill(&self.shape.all_boxes(), &BOTH, DOWN).await,
            Fault::Freeze(at) => self.freeze(at, lasts).await,
            Fault::StopBox(at) => self.fleet.stop_and_start(at).await,
            Fault::HangUp(at) => self.fleet.signal(at, libc::SIGHUP),
            Fault::LoseDisk(at) => self.damage(at, Fleet::lose_disk, lasts).await,
            Fault::TornWrite(at) => self.damage(at, Fleet::tear_log, lasts).await,
            Fault::FullDisk(at) => self.fill_disk(at, lasts).await,
            Fault::CutOneWay(from, to) => {
                self.silence(Party::Box(from), Party::Box(to), lasts).await;
            }
            Fault::CutOff(at) => self.cut_off(at, Condition::Silent, lasts).await,
            Fault::Slow(at, ms) => {
                let delay = Duration::from_millis(ms);
                self.cut_off(at, Condition::Delayed(delay), lasts).await;
            }
            Fault::ResetBox(at) => self.cx.links.reset(Party::Box(at)),
            Fault::CrashUpstream(at) => self.crash_upstream(at, lasts).await,
            Fault::SilenceUpstream(at) => {
                self.silence(Party::Upstream(at), Party::Outside, lasts).await;
            }
            Fault::ResetUpstream(at) => self.cx.links.reset(Party::Upstream(at)),
            Fault::LoseAnswers(at) => self.trouble(at, Trouble::LosesAnswers, lasts).await,
            Fault::SpoilAnswers(at) => self.trouble(at, Trouble::SpoilsAnswers, lasts).await,
            Fault::Reclaim(at) => self.pool.reclaim(at).await,
            Fault::Leave(at) => self.pool.leave(at).await,
        }
    }

    /// Ends everything that may still be wrong.
    pub fn mend(&self) {
        self.cx.links.clear();
        for at in self.shape.all_boxes() {
            self.fleet.freeze(at, false);
            self.fleet.fill_disk(at, false);
            self.fleet.start_again(at);
        }
        for at in 0..self.shape.upstreams {
            self.pool.trouble(at, Trouble::None);
            self.pool.revive(at);
        }
    }

    async fn kill(&self, boxes: &[usize], roles: &[Role], down: Duration) {
        for at in boxes {
            self.fleet.kill(*at, roles);
        }
        compio::time::sleep(down).await;
        for at in boxes {
            self.fleet.start_again(*at);
        }
    }

    async fn freeze(&self, at: usize, lasts: Duration) {
        self.fleet.freeze(at, true);
        compio::time::sleep(lasts).await;
        self.fleet.freeze(at, false);
    }

    /// Kills the control process of a box, and damages its disk before the next start.
    async fn damage(&self, at: usize, damage: fn(&Fleet, usize), lasts: Duration) {
        self.fleet.kill(at, &[Role::Control]);
        damage(&self.fleet, at);
        compio::time::sleep(lasts).await;
        self.fleet.start_again(at);
    }

    async fn fill_disk(&self, at: usize, lasts: Duration) {
        self.fleet.fill_disk(at, true);
        compio::time::sleep(lasts).await;
        self.fleet.fill_disk(at, false);
    }

    /// Holds what one party sends to another.
    async fn silence(&self, from: Party, to: Party, lasts: Duration) {
        self.cx.links.set(from, to, Condition::Silent);
        compio::time::sleep(lasts).await;
        self.cx.links.set(from, to, Condition::Clear);
    }

    /// Sets the links between a box and all others, and makes them clear again.
    async fn cut_off(&self, at: usize, condition: Condition, lasts: Duration) {
        self.set_links(at, condition);
        compio::time::sleep(lasts).await;
        self.set_links(at, Condition::Clear);
    }

    /// Sets the links between a box and all others, both ways.
    fn set_links(&self, at: usize, condition: Condition) {
        for other in self.shape.all_boxes().into_iter().filter(|other| *other != at) {
            self.cx.links.set(Party::Box(at), Party::Box(other), condition);
            self.cx.links.set(Party::Box(other), Party::Box(at), condition);
        }
    }

    async fn crash_upstream(&self, at: usize, lasts: Duration) {
        self.pool.crash(at);
        compio::time::sleep(lasts).await;
        self.pool.revive(at);
    }

    async fn trouble(&self, at: usize, trouble: Trouble, lasts: Duration) {
        self.pool.trouble(at, trouble);
        compio::time::sleep(lasts).await;
        self.pool.trouble(at, Trouble::None);
    }
}
