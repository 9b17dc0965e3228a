//! Checks the invariants of a [`RunnerTable`].

use super::state::RunnerTable;

/// Checks a table.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify(table: &RunnerTable) -> Result<(), String> {
    for (name, runner) in &table.runners {
        if runner.spec.name != *name {
            return Err(format!("{name} holds another runner"));
        }
        if !runner.configured && runner.running == 0 {
            return Err(format!("{name} is gone but kept"));
        }
        if runner.ejected_until.is_some() && runner.failures == 0 {
            return Err(format!("{name} is ejected without a failure"));
        }
    }
    Ok(())
}
