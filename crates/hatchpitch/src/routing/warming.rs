//! How many requests a cold runner gets.
//!
//! Load patterns answered: a failure domain whose runners return together, or whose evacuation
//! ends, so that they are cold and the least busy of all; runners that become cold at any moment.
//! A cold runner falls over at well above a rate that operators know, whoever sends. Where one
//! box decides for it, that box keeps the rate; where every box decides for itself, each has a
//! turn of its own in a period that is as long as all turns together take, and a turn that is not
//! used is lost: turns that could be saved up would come together when callers do.

use std::time::Instant;

/// Longest turn. With turns this long, what all boxes together may send within any second is a
/// quarter more than the rate, while callers that come at a few requests a second to each box
/// still find the turn of one that has it.
const LONGEST_TURN: f64 = 0.25;

/// What a box may send to a cold runner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests a second that the runner bears while it is cold, from all boxes together.
    pub rate: f64,
    /// Boxes that send to it, each by its own decision; 1 where one box decides.
    pub senders: usize,
    /// Where in the period this box's turn begins, from 0 to 1.
    pub phase: f64,
}

impl ColdLimit {
    /// Returns the seconds in which this box has one turn.
    fn period(&self) -> f64 {
        self.senders.max(1) as f64 / self.rate
    }
}

/// One cold spell of a runner.
#[derive(Debug, Clone, Copy)]
struct Spell {
    began: Instant,
    until: Instant,
    /// The turn that was used last.
    used: Option<u64>,
}

/// Whether a runner is cold, and what it got since it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct Warming {
    spell: Option<Spell>,
}

impl Warming {
    /// Notes when the runner is warm; a time that has passed means that it is.
    pub fn set_until(&mut self, until: Instant, now: Instant) {
        if until <= now {
            self.spell = None;
            return;
        }
        match &mut self.spell {
            Some(spell) if now < spell.until => spell.until = until,
            _ => self.spell = Some(Spell { began: now, until, used: None }),
        }
    }

    /// Returns whether the runner is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.spell.is_some_and(|spell| now < spell.until)
    }

    /// Returns whether the runner may get a request of this box now.
    pub fn admits(&self, limit: Option<ColdLimit>, now: Instant) -> bool {
        match (self.spell, limit) {
            (Some(spell), Some(limit)) if now < spell.until => turn(&spell, &limit, now)
                .is_some_and(|turn| spell.used.is_none_or(|used| used < turn)),
            _ => true,
        }
    }

    /// Notes that the runner gets a request.
    pub fn take(&mut self, limit: Option<ColdLimit>, now: Instant) {
        if let (Some(spell), Some(limit)) = (&mut self.spell, limit) {
            spell.used = turn(spell, &limit, now).or(spell.used);
        }
    }
}

/// Returns the number of this box's turn, if it has one now.
fn turn(spell: &Spell, limit: &ColdLimit, now: Instant) -> Option<u64> {
    let period = limit.period();
    let at = now.duration_since(spell.began).as_secs_f64() / period + 1.0 - limit.phase;
    let is_open = at.fract() * period < LONGEST_TURN.min(period);
    // The whole part of a number of periods since the spell began, which is far below 2^64.
    is_open.then_some(at as u64)
}
