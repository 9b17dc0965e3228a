//! Checks the invariants of a [`RunnerTable`].

use super::state::RunnerTable;
use crate::pace;

/// Checks the invariants of a table.
///
/// # Errors
///
/// Returns a description of the first violated invariant.
pub fn verify(table: &RunnerTable) -> Result<(), String> {
    for (name, runner) in &table.runners {
        if runner.spec.name != *name {
            return Err(format!("the entry {name} holds another runner"));
        }
        if !runner.configured && runner.running == 0 {
            return Err(format!(
                "runner {name} is kept although it is not configured and runs nothing"
            ));
        }
        if runner.ejected_until.is_some() && runner.failures == 0 {
            return Err(format!("runner {name} is ejected without a failure"));
        }
    }
    for name in table.pauses.streams.keys() {
        if !table.runners.contains_key(name) {
            return Err(format!("streams are kept for runner {name}, which is gone"));
        }
    }
    pace::verify::verify(&table.pauses.pace, |name| table.runners.contains_key(name))
}
