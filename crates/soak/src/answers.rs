//! Contents of answers, and how callers judge what they received of them.

use hatchpitch_net::Framing;

use crate::record::Outcome;

/// Number of events in a complete stream.
pub const EVENTS: u64 = 60;

/// Length of the comment in a large event.
const LARGE_COMMENT: usize = 256 * 1024;

/// How the body of an answer ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Without an error, where the framing tells whether that marks the end of the answer.
    InOrder(Framing),
    /// With an error.
    Broken(String),
}

/// Returns the text with which an upstream instance answers a plain request.
pub fn answer_text(id: &str, instance: &str) -> String {
    format!("{id} was answered by {instance}, and this is the end.")
}

/// Returns an event of a stream that begins with a long comment.
pub fn large_event_text(id: &str, generation: u64, n: u64) -> String {
    format!(":{}\n{}", "x".repeat(LARGE_COMMENT), event_text(id, generation, n))
}

/// Returns an event of a stream.
pub fn event_text(id: &str, generation: u64, n: u64) -> String {
    format!("id: {n}\ndata: {id} {generation} {n}\n\n")
}

/// Judges the text of a plain answer that ended without an error.
pub fn judge_plain(id: &str, text: &str, framing: Framing) -> Outcome {
    let instance = text.split_whitespace().nth(4).map(|name| name.trim_end_matches(','));
    let whole = answer_text(id, instance.unwrap_or(""));
    if text == whole {
        return Outcome::Answered;
    }
    if framing.is_until_close() && whole.starts_with(text) {
        return Outcome::Partial(format!("the answer ended after {text:?}"));
    }
    Outcome::Wrong(format!("unexpected answer {text:?}"))
}

/// Judges the text of a stream: its events arrived once each, in order and from one generation, and
/// none is missing if the stream ended as complete.
pub fn judge_stream(id: &str, text: &str, ending: Ending) -> Outcome {
    let count = match check_events(id, text) {
        Ok(count) => count,
        Err(what) => return Outcome::Wrong(what),
    };
    match ending {
        Ending::Broken(cause) => Outcome::Broken(cause),
        Ending::InOrder(_) if count == EVENTS => Outcome::Answered,
        Ending::InOrder(Framing::UntilClose) if count < EVENTS => {
            Outcome::Partial(format!("the connection ended after {count} of {EVENTS} events"))
        }
        Ending::InOrder(_) => {
            Outcome::Wrong(format!("the stream ended normally after {count} of {EVENTS} events"))
        }
    }
}

/// Checks the events of a stream, and returns their number or a violation.
fn check_events(id: &str, text: &str) -> Result<u64, String> {
    let mut generation = None;
    let mut count = 0;
    for event in text.split_inclusive("\n\n") {
        if !event.ends_with("\n\n") {
            return Err(format!("incomplete event {:?}", event.get(..100).unwrap_or(event)));
        }
        let comment = event.lines().find_map(|line| line.strip_prefix(':'));
        if comment.is_some_and(|comment| comment.len() != LARGE_COMMENT) {
            return Err(format!("event {} lacks a part of its comment", count + 1));
        }
        let data = event.lines().find_map(|line| line.strip_prefix("data: ")).unwrap_or("");
        let fields: Vec<&str> = data.split(' ').collect();
        let &[event_id, event_generation, n] = fields.as_slice() else {
            return Err(format!("malformed event {event:?}"));
        };
        count += 1;
        if event_id != id || n != count.to_string() {
            return Err(format!("event {count} has data {data:?}"));
        }
        if *generation.get_or_insert(event_generation) != event_generation {
            return Err(format!("event {count} belongs to another generation"));
        }
    }
    Ok(count)
}
