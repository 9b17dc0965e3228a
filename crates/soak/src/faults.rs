//! Injects the scheduled faults into boxes, links and upstreams, and repairs them.

use std::rc::Rc;
use std::time::Duration;

use crate::callers::CallerCx;
use crate::condition::{Condition, Party};
use crate::context::RunCx;
use crate::fleet::{ALL_ROLES, Fleet};
use crate::load;
use crate::schedule::{Fault, FleetSize};
use crate::upstreams::{AnswerFault, Pool};
use crate::wire::Role;

/// Time between killing the processes of all boxes and restarting them, equal to the delay after an
/// unexpected exit.
const DOWNTIME: Duration = Duration::from_millis(300);

/// Time in which a process has opened its disk and its ports, also on a busy machine. Bad conditions
/// at a start last longer.
const START_TIME: Duration = Duration::from_millis(1_000);

/// Injects faults into the boxes, links and upstreams of a run.
pub struct FaultInjector {
    /// State shared by all parts of the run.
    pub cx: Rc<RunCx>,
    /// Number of boxes and upstreams.
    pub size: FleetSize,
    /// The boxes.
    pub fleet: Rc<Fleet>,
    /// The upstreams.
    pub pool: Rc<Pool>,
    /// State shared by all callers.
    pub callers: Rc<CallerCx>,
}

impl FaultInjector {
    /// Injects a fault and ends it after `duration`.
    pub async fn inject(&self, fault: Fault, duration: Duration) {
        match fault {
            Fault::KillBox(index) => self.kill(&[index], &ALL_ROLES, duration).await,
            Fault::KillCore => self.kill(&self.size.all_boxes(), &[Role::Control], DOWNTIME).await,
            Fault::KillAll => self.kill(&self.size.all_boxes(), &ALL_ROLES, DOWNTIME).await,
            Fault::Freeze(index) => self.freeze(index, duration).await,
            Fault::StopBox(index) => self.fleet.stop_and_start(index).await,
            Fault::HangUp(index) => self.fleet.signal(index, libc::SIGHUP),
            Fault::LoseDisk(index) => self.kill_and_damage(index, Fleet::lose_disk, duration).await,
            Fault::TornWrite(index) => self.kill_and_damage(index, Fleet::tear_log, duration).await,
            Fault::FullDisk(index) => self.fill_disk(index, duration).await,
            Fault::CutOneWay(from, to) => {
                self.block(Party::Box(from), Party::Box(to), duration).await;
            }
            Fault::CutOff(index) => self.degrade_links(index, Condition::Blocked, duration).await,
            Fault::Slow(index, ms) => {
                let delay = Duration::from_millis(ms);
                self.degrade_links(index, Condition::Delayed(delay), duration).await;
            }
            Fault::ResetBox(index) => self.cx.links.reset(Party::Box(index)),
            Fault::EndAnswers(index) => {
                self.fault_answers(index, AnswerFault::Ended, duration).await
            }
            Fault::KillUpstream(index) => {
                self.pool.kill(index);
                compio::time::sleep(duration).await;
                self.pool.restart(index);
            }
            Fault::CrashUpstream(index) => self.crash_upstream(index, duration).await,
            Fault::SilenceUpstream(index) => {
                self.block(Party::Upstream(index), Party::Outside, duration).await;
            }
            Fault::ResetUpstream(index) => self.cx.links.reset(Party::Upstream(index)),
            Fault::LoseAnswers(index) => {
                self.fault_answers(index, AnswerFault::Lost, duration).await
            }
            Fault::SpoilAnswers(index) => {
                self.fault_answers(index, AnswerFault::Truncated, duration).await
            }
            Fault::SpoilHeads(index, spoil) => {
                self.cx.links.spoil(Party::Upstream(index), Some(spoil));
                compio::time::sleep(duration).await;
                self.cx.links.spoil(Party::Upstream(index), None);
            }
            Fault::Reclaim(index) => self.pool.reclaim(index).await,
            Fault::Leave(index) => self.pool.leave(index).await,
            Fault::EndlessEvents(index) => {
                self.fault_answers(index, AnswerFault::Endless, duration).await
            }
            Fault::LargeEvents(index) => {
                self.fault_answers(index, AnswerFault::Large, duration).await
            }
            Fault::StalledCallers(index) => {
                self.callers.stalled.set(true);
                self.fault_answers(index, AnswerFault::Large, duration).await;
                self.callers.stalled.set(false);
            }
            Fault::LargeBodies(index) => load::call_at_once(&self.callers, index).await,
            Fault::UnsignedMessages(index) => {
                let message = self.cx.wire.unsigned_message;
                for position in 0..2 {
                    let addr = self.fleet.addr(index, |ports| ports.boxes[position]);
                    load::send_at_once(&self.cx, addr, message).await;
                }
            }
            Fault::OperatorBodies(index) => {
                let addr = self.fleet.addr(index, |ports| ports.control);
                let message = || (self.cx.wire.put_config)(String::new());
                load::send_at_once(&self.cx, addr, message).await;
            }
            Fault::HeldPort(index, position) => self.hold_port(index, position, duration).await,
            Fault::FullDiskAtStart(index) => {
                self.start_on_full_disk(index, |_, _| {}, duration).await
            }
            Fault::Replace(replacement) => self.replace(replacement, duration).await,
            Fault::FullNewDisk(index) => {
                self.start_on_full_disk(index, Fleet::lose_disk, duration).await;
            }
        }
    }

    /// Ends all faults: clears the links, and restarts boxes and upstreams that are down.
    pub fn repair(&self) {
        self.cx.links.clear();
        self.callers.stalled.set(false);
        for index in self.size.all_boxes() {
            self.fleet.freeze(index, false);
            self.fleet.fill_disk_at_start(index, false);
            self.fleet.start_again(index);
        }
        for index in 0..self.size.upstreams {
            self.pool.set_answer_fault(index, AnswerFault::None);
            self.pool.restart(index);
        }
    }

    async fn kill(&self, boxes: &[usize], roles: &[Role], downtime: Duration) {
        for index in boxes {
            self.fleet.kill(*index, roles);
        }
        compio::time::sleep(downtime).await;
        for index in boxes {
            self.fleet.start_again(*index);
        }
    }

    /// Kills the control process of a box, damages its disk and restarts it with a disk that takes no
    /// bytes for a while.
    async fn start_on_full_disk(
        &self,
        index: usize,
        damage_disk: fn(&Fleet, usize),
        duration: Duration,
    ) {
        self.fleet.fill_disk_at_start(index, true);
        self.kill_and_damage(index, damage_disk, DOWNTIME).await;
        compio::time::sleep(START_TIME + duration).await;
        self.fleet.fill_disk_at_start(index, false);
    }

    /// Kills a box and restarts it while one of its ports is held.
    async fn hold_port(&self, index: usize, position: usize, duration: Duration) {
        self.fleet.kill(index, &ALL_ROLES);
        let held = self.fleet.hold_port(index, position);
        if let Err(err) = &held {
            log::warn!("can't hold a port of box {index}: {err}");
        }
        self.fleet.start_again(index);
        compio::time::sleep(START_TIME + duration).await;
        drop(held);
    }

    async fn freeze(&self, index: usize, duration: Duration) {
        self.fleet.freeze(index, true);
        compio::time::sleep(duration).await;
        self.fleet.freeze(index, false);
    }

    /// Kills the control process of a box and damages its disk before the restart.
    async fn kill_and_damage(
        &self,
        index: usize,
        damage_disk: fn(&Fleet, usize),
        duration: Duration,
    ) {
        self.fleet.kill(index, &[Role::Control]);
        damage_disk(&self.fleet, index);
        compio::time::sleep(duration).await;
        self.fleet.start_again(index);
    }

    async fn fill_disk(&self, index: usize, duration: Duration) {
        self.fleet.fill_disk(index, true);
        compio::time::sleep(duration).await;
        self.fleet.fill_disk(index, false);
    }

    /// Blocks bytes from one party to another for `duration`.
    async fn block(&self, from: Party, to: Party, duration: Duration) {
        self.cx.links.set(from, to, Condition::Blocked);
        compio::time::sleep(duration).await;
        self.cx.links.set(from, to, Condition::Clear);
    }

    /// Sets the links between a box and all others for `duration`, then clears them.
    async fn degrade_links(&self, index: usize, condition: Condition, duration: Duration) {
        self.set_links(index, condition);
        compio::time::sleep(duration).await;
        self.set_links(index, Condition::Clear);
    }

    /// Sets the links between a box and all others in both directions.
    fn set_links(&self, index: usize, condition: Condition) {
        for other in self.size.all_boxes().into_iter().filter(|other| *other != index) {
            self.cx.links.set(Party::Box(index), Party::Box(other), condition);
            self.cx.links.set(Party::Box(other), Party::Box(index), condition);
        }
    }

    async fn crash_upstream(&self, index: usize, duration: Duration) {
        self.pool.crash(index);
        compio::time::sleep(duration).await;
        self.pool.restart(index);
    }

    async fn fault_answers(&self, index: usize, answer_fault: AnswerFault, duration: Duration) {
        self.pool.set_answer_fault(index, answer_fault);
        compio::time::sleep(duration).await;
        self.pool.set_answer_fault(index, AnswerFault::None);
    }
}
