//! Formats answers to callers, as server-sent events or as one JSON body.

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;

use crate::engine::FinishReason;
use crate::ids::TokenIndex;
use crate::outcome::Problem;

/// The fields that all chunks of one answer have in common.
#[derive(Debug, Clone)]
pub struct ChunkFormat {
    /// Id of the answer.
    pub id: String,
    /// Name of the model, as the caller gave it.
    pub model: String,
    /// Start of the answer, in seconds since the Unix epoch.
    pub created: u64,
    /// Whether to use the format of chat completions instead of text completions.
    pub chat: bool,
}

impl ChunkFormat {
    /// Formats the event for one token. The event id is the index of the token, from which a caller
    /// resumes.
    pub fn token(&self, index: TokenIndex, text: &str) -> Bytes {
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
        } else {
            json!({"index": 0, "text": text, "finish_reason": null})
        };
        Bytes::from(format!("id: {index}\ndata: {}\n\n", self.chunk(choice)))
    }

    /// Formats the last events of an answer that is complete.
    pub fn finish(&self, reason: FinishReason) -> Bytes {
        let reason = reason_name(reason);
        let choice = if self.chat {
            json!({"index": 0, "delta": {}, "finish_reason": reason})
        } else {
            json!({"index": 0, "text": "", "finish_reason": reason})
        };
        Bytes::from(format!("data: {}\n\ndata: [DONE]\n\n", self.chunk(choice)))
    }

    /// Formats a complete answer that is not streamed. `prompt_tokens` and `tokens` are the lengths
    /// of the prompt and the output, in tokens.
    pub fn complete(
        &self,
        text: &str,
        prompt_tokens: u64,
        tokens: u64,
        reason: FinishReason,
    ) -> impl Serialize {
        let reason = reason_name(reason);
        let (object, choice) = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            ("chat.completion", json!({"index": 0, "message": message, "finish_reason": reason}))
        } else {
            ("text_completion", json!({"index": 0, "text": text, "finish_reason": reason}))
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": prompt_tokens + tokens,
            },
        })
    }

    /// Wraps a choice in the JSON object of a chunk.
    fn chunk(&self, choice: serde_json::Value) -> serde_json::Value {
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

/// Formats the event that ends an incomplete answer. No `[DONE]` follows it.
pub fn error_event(problem: &Problem) -> Bytes {
    let body = serde_json::to_string(&problem.body()).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}

/// Returns a comment event that shows the caller that the connection is alive.
pub fn heartbeat() -> Bytes {
    Bytes::from_static(b": heartbeat\n\n")
}

/// Returns the value of the field `finish_reason`.
fn reason_name(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}
