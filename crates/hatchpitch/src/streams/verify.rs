//! Checks what a caller saw of one answer.

use super::state::StreamStep;
use crate::ids::GenerationId;

/// Follows the steps of one answer and checks them against its invariants.
#[derive(Debug, Default)]
pub struct StreamVerifier {
    delivered: Vec<(GenerationId, String)>,
    ended: bool,
}

impl StreamVerifier {
    /// Takes in the next step and the generation it belongs to.
    ///
    /// # Errors
    ///
    /// Returns the invariant that does not hold.
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
                Err("ended twice".to_owned())
            }
            StreamStep::Finish { .. } | StreamStep::Fail { .. } => {
                self.ended = true;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Returns the texts delivered so far.
    pub fn texts(&self) -> impl Iterator<Item = &str> {
        self.delivered.iter().map(|(_, text)| text.as_str())
    }

    fn deliver(&mut self, generation: &str, index: u64, text: &str) -> Result<(), String> {
        if self.ended {
            return Err("a token after the end".to_owned());
        }
        if index != self.delivered.len() as u64 {
            return Err(format!("token {index} delivered as number {}", self.delivered.len()));
        }
        if self.delivered.last().is_some_and(|(last, _)| last != generation) {
            return Err("tokens of two generations were joined".to_owned());
        }
        self.delivered.push((generation.to_owned(), text.to_owned()));
        Ok(())
    }
}
