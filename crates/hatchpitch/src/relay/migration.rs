//! Starts migrations of a stream whose engine is about to shut down.

use std::time::Duration;

use hatchpitch_net::clock;

use super::stream::EventStream;
use crate::moves::{self, MoveNeeds, SourceRunner};
use crate::quarantine::observer;
use crate::registry::Phase;
use crate::upstream_signals::task as upstream_signals;

/// Fewest remaining tokens for which a generation is migrated: what a runner produces in about the
/// shortest notice that it gives before it shuts down.
const MIN_REMAINING_TOKENS: u64 = 160;
/// Largest number of migrations of one generation, whose runners may leave one after another.
const MAX_MOVES: u32 = 12;
/// Delay after a migration, successful or not, before the next one may start.
pub(super) const MOVE_DELAY: Duration = Duration::from_millis(100);
impl EventStream {
    /// Returns whether the generation can be migrated at all.
    pub(super) fn may_migrate(&self) -> bool {
        let moves = self.relay.cx.settings.policy.moves;
        moves && self.req.generation.is_some() && self.engine().is_some_and(|e| e.moves)
    }

    /// Starts a migration once the runner is about to shut down, and clears one that was abandoned.
    pub(super) fn poll_move(&mut self) {
        if let Some(moving) = &mut self.moving {
            if moving.has_failed() {
                self.moving = None;
                self.next_move = clock::now() + MOVE_DELAY;
            }
            return;
        }
        self.refresh_leaving();
        let Some(leaving_since) = self.leaving_since else { return };
        // The next runner would send the event again of which a piece was passed on.
        let is_blocked = self.splitter.is_in_pieces();
        if self.moves >= MAX_MOVES || clock::now() < self.next_move || is_blocked {
            return;
        }
        if let Some(left) = upstream_signals::backoff_remaining(&self.relay.cx, &self.slot.runner) {
            self.next_move = clock::now() + left;
            return;
        }
        let Some(needs) = self.req.generation else { return };
        let produced = self.tokens_produced();
        let at_stake = needs.max_output.saturating_sub(produced);
        if produced == 0 || at_stake < MIN_REMAINING_TOKENS || !self.may_migrate() {
            return;
        }
        if observer::is_held(&self.relay.cx, &self.causes) {
            // It may crash the runner that it is migrated to.
            return;
        }
        self.moves += 1;
        let source = SourceRunner {
            service: self.service.clone(),
            runner: self.slot.runner.clone(),
            addr: self.slot.addr,
            failure_domain: self.slot.failure_domain.clone(),
            leaving_since,
        };
        let needs = MoveNeeds {
            at_stake,
            in_memory: needs.prompt.saturating_add(produced),
            max_gap: self.max_gap(),
            event_tokens: self.relay.cx.event_tokens(&self.service),
        };
        self.moving = Some(moves::start(&self.relay, &self.req, source, needs));
    }

    fn refresh_leaving(&mut self) {
        let roster = self.relay.cx.upstreams.roster.borrow();
        if self.roster_version != roster.version() {
            self.roster_version = roster.version();
            let record = roster.get(&self.slot.runner);
            // Some runners deregister at once, and keep serving for as long as those that announce
            // their shutdown.
            let leaves = record.is_none_or(|record| record.phase == Phase::Leaving);
            self.leaving_since = leaves.then(|| self.leaving_since.unwrap_or_else(clock::now));
        }
    }

    /// Returns the longest pause that the stream may have, unless it is late already.
    pub(super) fn max_gap(&self) -> Option<Duration> {
        let is_on_time = |first: Duration| first <= self.req.route.answer_aim;
        let kept = |limit: &Duration| self.longest_gap <= *limit;
        self.req.max_gap().filter(|limit| kept(limit) && self.first_event.is_none_or(is_on_time))
    }
}
