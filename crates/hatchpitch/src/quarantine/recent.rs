//! Contents that upstreams answered recently, without I/O.
//!
//! A popular request runs on many upstreams at the time that a failure domain is lost, so it is
//! involved in three crashes at once and would be held; once it is refused, no answer could clear
//! it any more. A content that was answered just before is therefore not suspected.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::causes::Causes;
use super::content::ContentId;

/// Time for which an answer clears its content. A popular content is answered many times in it; a
/// content that starts to crash upstreams is detected later by this time.
pub const ANSWER_VALIDITY: Duration = Duration::from_secs(30);
/// Maximum number of stored answers, 48 bytes each: 30 s at 50 answers per second to prompts of four
/// parts.
pub const MAX_RECENT_ANSWERS: usize = 8_192;
/// Maximum number of requests whose causes are stored, about 300 bytes each. They are looked up within
/// seconds, and only requests that were interrupted or left their end open are stored.
const MAX_RECENT_CAUSES: usize = 1_024;

/// Causes that one box answered recently.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    last: BTreeMap<ContentId, Instant>,
    /// Answers by time; an entry is stale if its time differs from the one in `last`.
    order: VecDeque<(ContentId, Instant)>,
}

impl RecentAnswers {
    /// Records an answer and drops expired and excess entries.
    pub fn record(&mut self, content: ContentId, now: Instant) {
        self.last.insert(content, now);
        self.order.push_back((content, now));
        while let Some((first, at)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) >= ANSWER_VALIDITY;
            if !is_old && self.order.len() <= MAX_RECENT_ANSWERS {
                return;
            }
            self.order.pop_front();
            if self.last.get(&first) == Some(&at) {
                self.last.remove(&first);
            }
        }
    }

    /// Returns whether a content was answered within [`ANSWER_VALIDITY`].
    pub fn contains(&self, content: &ContentId, now: Instant) -> bool {
        let at = self.last.get(content);
        at.is_some_and(|at| now.saturating_duration_since(*at) < ANSWER_VALIDITY)
    }

    /// Returns the number of stored contents.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// Returns whether no content is stored.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }
}

/// Causes of recent requests, by whole content.
#[derive(Debug, Default)]
pub struct RecentCauses {
    causes: BTreeMap<ContentId, Causes>,
    order: VecDeque<ContentId>,
}

impl RecentCauses {
    /// Stores the causes of a request that has a prompt, and drops the oldest ones in excess.
    pub fn record(&mut self, causes: &Causes) {
        if causes.parts().next().is_none() {
            return;
        }
        if self.causes.insert(causes.content(), causes.clone()).is_none() {
            self.order.push_back(causes.content());
        }
        while self.order.len() > MAX_RECENT_CAUSES {
            let first = self.order.pop_front();
            first.and_then(|first| self.causes.remove(&first));
        }
    }

    /// Returns the causes of the request with this content.
    pub fn get(&self, content: &ContentId) -> Option<&Causes> {
        self.causes.get(content)
    }
}
