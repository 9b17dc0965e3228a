//! Contents that upstreams answered recently, without I/O.
//!
//! A popular request runs on many upstreams at the time that a failure domain is lost, so it is
//! involved in three crashes at once and would be held; once it is refused, no answer could clear
//! it any more. A content that was answered just before is therefore not suspected.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use super::causes::Causes;
use super::content::ContentId;
use super::messages::SuspectedParts;

/// Time for which an answer clears its content. A popular content is answered many times in it; a
/// content that starts to crash upstreams is detected later by this time.
pub const ANSWER_VALIDITY: Duration = Duration::from_secs(30);
/// Time for which an answer clears the parts of its prompt. Other boxes report the answers that they
/// saw in it, and one that starts to crash upstreams is to be found sooner than a whole content, as
/// more requests hold it.
pub const PART_ANSWER_VALIDITY: Duration = Duration::from_secs(5);
/// Time within which the runs that one crash interrupts are interrupted, also where a failure domain is
/// lost.
const INTERRUPTION_WINDOW: Duration = Duration::from_millis(300);
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
    /// When a run with a part was first interrupted since the last answer to the part.
    interrupted: BTreeMap<ContentId, Instant>,
    /// Answers by time; an entry is stale if its time differs from the one in `last`.
    order: VecDeque<(ContentId, Instant)>,
}

impl RecentAnswers {
    /// Records an answer and drops expired and excess entries.
    pub fn record(&mut self, content: ContentId, now: Instant) {
        self.last.insert(content, now);
        self.interrupted.remove(&content);
        self.order.push_back((content, now));
        while let Some((first, at)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) >= ANSWER_VALIDITY;
            if !is_old && self.order.len() <= MAX_RECENT_ANSWERS {
                return;
            }
            self.order.pop_front();
            if self.last.get(&first) == Some(&at) {
                self.last.remove(&first);
                self.interrupted.remove(&first);
            }
        }
    }

    /// Returns whether a content was answered within [`ANSWER_VALIDITY`].
    pub fn contains(&self, content: &ContentId, now: Instant) -> bool {
        let at = self.last.get(content);
        at.is_some_and(|at| now.saturating_duration_since(*at) < ANSWER_VALIDITY)
    }

    /// Records that a run with a part was interrupted. An answer that came before clears the part of
    /// this interruption, and not of later ones.
    pub fn record_interruption(&mut self, part: ContentId, now: Instant) {
        if self.last.contains_key(&part) {
            self.interrupted.entry(part).or_insert(now);
        }
    }

    /// Returns whether a part of prompts was answered within [`PART_ANSWER_VALIDITY`] and no run with it
    /// was interrupted in the meantime.
    pub fn contains_part(&self, part: &ContentId, now: Instant) -> bool {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let interrupted = self.interrupted.get(part);
        self.last.get(part).is_some_and(|at| age(at) < PART_ANSWER_VALIDITY)
            && interrupted.is_none_or(|at| age(at) < INTERRUPTION_WINDOW)
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

/// The causes of a recent request.
#[derive(Debug)]
struct RecentRequest {
    causes: Causes,
    /// Parts of its prompt that were not answered shortly before.
    suspected: BTreeSet<ContentId>,
}

/// Causes of recent requests, by whole content.
#[derive(Debug, Default)]
pub struct RecentCauses {
    requests: BTreeMap<ContentId, RecentRequest>,
    order: VecDeque<ContentId>,
}

impl RecentCauses {
    /// Stores the causes of a request that has a prompt, and drops the oldest ones in excess. Parts
    /// that are among the recent answers are not suspected.
    pub fn record(&mut self, causes: &Causes, answers: &RecentAnswers, now: Instant) {
        if causes.parts().next().is_none() {
            return;
        }
        let suspected = causes.parts().filter(|part| !answers.contains_part(part, now)).collect();
        let request = RecentRequest { causes: causes.clone(), suspected };
        if self.requests.insert(causes.content(), request).is_none() {
            self.order.push_back(causes.content());
        }
        while self.order.len() > MAX_RECENT_CAUSES {
            let first = self.order.pop_front();
            first.and_then(|first| self.requests.remove(&first));
        }
    }

    /// Returns the causes of the request with this content.
    pub fn get(&self, content: &ContentId) -> Option<&Causes> {
        self.requests.get(content).map(|request| &request.causes)
    }

    /// Returns the suspected parts of the prompt of the request with this content, if it has any.
    pub fn suspected_parts(&self, content: &ContentId) -> Option<SuspectedParts> {
        let request = self.requests.get(content)?;
        let (workspace, parts) = (request.causes.workspace().clone(), request.suspected.clone());
        (!parts.is_empty()).then_some(SuspectedParts { workspace, parts })
    }
}
