//! Names of upstream incarnations, called lives.
//!
//! An upstream may restart under the same id. State of an earlier incarnation, such as slots,
//! streams, copies and delayed announcements, must not affect the new one. All internal state is
//! therefore keyed by the name of an incarnation, which joins the announced id and the birth time.
//! Only messages to the upstream itself use the id alone.

use crate::ids::RunnerName;

/// Start time of an incarnation, in milliseconds since the Unix epoch by the upstream's clock.
pub type Birth = u64;
/// Name of one incarnation of an upstream. It is never reused.
pub type LifeName = RunnerName;

/// Separates the announced id from the birth time.
const SEPARATOR: char = '@';

/// Returns the name of an incarnation, which is the id itself if the birth time is unknown.
pub fn life_name(id: &str, born: Option<Birth>) -> LifeName {
    match born {
        Some(born) => format!("{id}{SEPARATOR}{born}"),
        // An empty birth time distinguishes ids that contain the separator from incarnation names.
        None if id.contains(SEPARATOR) => format!("{id}{SEPARATOR}"),
        None => id.to_owned(),
    }
}

/// Returns the id under which an incarnation announces itself.
pub fn announced_id(life: &str) -> &str {
    life.rsplit_once(SEPARATOR).map_or(life, |(id, _)| id)
}

/// Returns the birth time of an incarnation, if its name contains one.
pub fn birth_of(life: &str) -> Option<Birth> {
    life.rsplit_once(SEPARATOR)?.1.parse().ok()
}
