//! Contents that upstreams answered of late, without I/O.
//!
//! The load that it answers: a popular request runs on many upstreams when a failure domain is
//! lost, so that crashes of three lives speak against it at once, and once it is refused nobody can
//! answer it any more. What was answered just before crashes nothing by itself.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::content::ContentId;

/// Time for which an answer speaks for a content: a popular one is answered many times in it, and
/// what has come to crash upstreams since is noticed that much later.
pub const SPEAKS_FOR: Duration = Duration::from_secs(30);
/// Answers that are remembered, 48 bytes each: those of 30 s at 130 a second.
pub const MAX_REMEMBERED: usize = 4_096;

/// What one box answered of late.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    last: BTreeMap<ContentId, Instant>,
    /// In order of time; an entry whose time is not the last one of its content is void.
    order: VecDeque<(ContentId, Instant)>,
}

impl RecentAnswers {
    /// Notes an answer.
    pub fn note(&mut self, content: ContentId, now: Instant) {
        self.last.insert(content, now);
        self.order.push_back((content, now));
        while let Some((first, at)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) >= SPEAKS_FOR;
            if !is_old && self.order.len() <= MAX_REMEMBERED {
                return;
            }
            self.order.pop_front();
            if self.last.get(&first) == Some(&at) {
                self.last.remove(&first);
            }
        }
    }

    /// Returns whether a content was answered of late.
    pub fn has(&self, content: &ContentId, now: Instant) -> bool {
        let at = self.last.get(content);
        at.is_some_and(|at| now.saturating_duration_since(*at) < SPEAKS_FOR)
    }

    /// Returns how many contents are remembered.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// Returns whether none is.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }
}
