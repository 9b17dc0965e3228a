//! Checks the estimates of run times.

use super::estimates::RunEstimates;

impl RunEstimates {
    /// Checks that no more runs are in progress than `running`, the number of timers that are held.
    ///
    /// # Errors
    ///
    /// Returns a description of the difference.
    pub fn verify(&self, running: usize) -> Result<(), String> {
        let counted: usize = self.kinds.values().map(|runs| runs.running.len()).sum();
        if counted > running {
            return Err(format!("{counted} runs are counted, {running} are in progress"));
        }
        Ok(())
    }
}
