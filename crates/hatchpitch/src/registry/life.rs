//! Names of upstreams' lives.
//!
//! An upstream may start again under the id that it had. What belongs to a life before, such as
//! slots, streams, copies and late announcements, must not touch the new one, so everything
//! inside the product goes by the name of a life: the announced id and the time of birth. Only
//! messages to the upstream itself name the id alone.

use crate::ids::RunnerName;

/// When a life began, in milliseconds since 1970 by the upstream's clock.
pub type Birth = u64;
/// Name of one life of an upstream, never used again.
pub type LifeName = RunnerName;

/// Stands between the announced id and the time of birth.
const SEPARATOR: char = '@';

/// Returns the name of a life: the id itself where the time of birth is not told.
pub fn life_name(id: &str, born: Option<Birth>) -> LifeName {
    match born {
        Some(born) => format!("{id}{SEPARATOR}{born}"),
        // An empty time of birth keeps ids that hold the separator apart from names of lives.
        None if id.contains(SEPARATOR) => format!("{id}{SEPARATOR}"),
        None => id.to_owned(),
    }
}

/// Returns the id under which a life announces itself.
pub fn announced_id(life: &str) -> &str {
    life.rsplit_once(SEPARATOR).map_or(life, |(id, _)| id)
}

/// Returns when a life began, if its name tells.
pub fn birth_of(life: &str) -> Option<Birth> {
    life.rsplit_once(SEPARATOR)?.1.parse().ok()
}
