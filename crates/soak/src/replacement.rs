//! Replaces a box that holds the log for good, and loses the disk of another one soon afterwards.

use std::time::Duration;

use crate::faults::FaultInjector;
use crate::fleet::{ALL_ROLES, Fleet};
use crate::wire::Role;

/// Time that the new box gets before the old one goes, and the one that lost its disk before anything
/// else fails; platforms allow several seconds.
const CATCH_UP: Duration = Duration::from_secs(5);
/// Time for which the box that loses its disk is down.
const DOWNTIME: Duration = Duration::from_secs(1);

/// A replacement of a box that holds the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replacement {
    /// The box that is stopped for good.
    pub old: usize,
    /// The box without a disk that gets an empty one and takes its place.
    pub new: usize,
    /// The box that loses its disk.
    pub lost: usize,
    /// Whether the old box is asked to stop; it is killed otherwise.
    pub planned: bool,
}

impl FaultInjector {
    /// Replaces a box, and loses the disk of another one `gap` after the old box was told to stop or
    /// was killed. The old box then returns without a disk.
    pub async fn replace(&self, replacement: Replacement, gap: Duration) {
        let Replacement { old, new, lost, planned } = replacement;
        self.fleet.kill(new, &ALL_ROLES);
        self.fleet.give_disk(new);
        self.fleet.start_again(new);
        compio::time::sleep(CATCH_UP).await;
        let stop_old = async {
            match planned {
                true => self.fleet.stop(old).await,
                false => self.fleet.kill(old, &ALL_ROLES),
            }
        };
        let lose_disk = async {
            compio::time::sleep(gap).await;
            self.fleet.kill(lost, &[Role::Control]);
            Fleet::lose_disk(&self.fleet, lost);
            compio::time::sleep(DOWNTIME).await;
            self.fleet.start_again(lost);
        };
        futures_util::future::join(stop_old, lose_disk).await;
        self.fleet.take_disk(old);
        self.fleet.start_again(old);
        compio::time::sleep(CATCH_UP).await;
    }
}
