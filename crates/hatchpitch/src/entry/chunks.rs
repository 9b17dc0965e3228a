//! The shape of answers to callers: server-sent events and whole bodies.

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;

use crate::engine::FinishReason;
use crate::ids::TokenIndex;
use crate::outcome::Problem;

/// What is the same in every chunk of one answer.
#[derive(Debug, Clone)]
pub struct ChunkShape {
    /// Id of the answer.
    pub id: String,
    /// The model.
    pub model: String,
    /// Seconds since 1970 when the answer began.
    pub created: u64,
    /// Whether chunks have the chat shape.
    pub chat: bool,
}

impl ChunkShape {
    /// Formats one token; the event id is its index.
    pub fn token(&self, index: TokenIndex, text: &str) -> Bytes {
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
        } else {
            json!({"index": 0, "text": text, "finish_reason": null})
        };
        Bytes::from(format!("id: {index}\ndata: {}\n\n", self.object(choice)))
    }

    /// Formats the end of a whole answer.
    pub fn finish(&self, reason: FinishReason) -> Bytes {
        let reason = reason_name(reason);
        let choice = if self.chat {
            json!({"index": 0, "delta": {}, "finish_reason": reason})
        } else {
            json!({"index": 0, "text": "", "finish_reason": reason})
        };
        Bytes::from(format!("data: {}\n\ndata: [DONE]\n\n", self.object(choice)))
    }

    /// Formats a whole answer that was not streamed.
    pub fn whole(
        &self,
        text: &str,
        prompt: u64,
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
                "prompt_tokens": prompt,
                "completion_tokens": tokens,
                "total_tokens": prompt + tokens,
            },
        })
    }

    fn object(&self, choice: serde_json::Value) -> serde_json::Value {
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

/// Formats the end of an answer that is not whole; no `[DONE]` follows it.
pub fn error_event(problem: &Problem) -> Bytes {
    let body = serde_json::to_string(&problem.body()).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}

/// A comment that shows the caller that the link lives.
pub fn heartbeat() -> Bytes {
    Bytes::from_static(b": heartbeat\n\n")
}

fn reason_name(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}
