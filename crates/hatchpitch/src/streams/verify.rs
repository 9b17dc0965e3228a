//! Checks the invariants of the steps of one answer.

use super::state::StreamStep;
use crate::ids::GenerationId;

/// Records the steps of one answer and checks each against the invariants.
#[derive(Debug, Default)]
pub struct StreamVerifier {
    delivered: Vec<(GenerationId, String)>,
    ended: bool,
}

impl StreamVerifier {
    /// Records the next step, which belongs to `generation`.
    ///
    /// # Errors
    ///
    /// Returns a description of the invariant that is violated.
    pub fn observe(&mut self, generation: &str, step: &StreamStep) -> Result<(), String> {
        match step {
            StreamStep::Deliver { index, text } => self.deliver(generation, *index, text),
            StreamStep::Rerun if !self.delivered.is_empty() => {
                Err("a new generation after a delivered token".to_owned())
            }
            StreamStep::Finish { tokens, .. } if *tokens != self.delivered.len() as u64 => {
                Err(format!("finished with {} of {tokens} tokens", self.delivered.len()))
            }
            StreamStep::Finish { .. } | StreamStep::Fail { .. } if self.ended => {
                Err("answer ended twice".to_owned())
            }
            StreamStep::Finish { .. } | StreamStep::Fail { .. } => {
                self.ended = true;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Returns the texts of the tokens delivered so far.
    pub fn texts(&self) -> impl Iterator<Item = &str> {
        self.delivered.iter().map(|(_, text)| text.as_str())
    }

    fn deliver(&mut self, generation: &str, index: u64, text: &str) -> Result<(), String> {
        if self.ended {
            return Err("token delivered after the end of the answer".to_owned());
        }
        if index != self.delivered.len() as u64 {
            return Err(format!(
                "token {index} delivered, expected token {}",
                self.delivered.len()
            ));
        }
        if self.delivered.last().is_some_and(|(last, _)| last != generation) {
            return Err("answer contains tokens of two generations".to_owned());
        }
        self.delivered.push((generation.to_owned(), text.to_owned()));
        Ok(())
    }
}
