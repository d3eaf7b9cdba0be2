//! Assembles a streamed completion into one object, for callers that did not ask for a stream.

use serde_json::{Value, json};

/// Assembles the chunks of an event stream into one completion; `None` if the stream is malformed
/// or lacks its final `[DONE]`.
#[must_use]
pub fn assemble_completion(events: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(events).ok()?;
    let mut content = String::new();
    let mut last = Value::Null;
    let mut finish_reason = Value::Null;
    let mut usage = Value::Null;
    for data in text.lines().filter_map(|line| line.strip_prefix("data:")) {
        let data = data.trim();
        if data == "[DONE]" {
            return Some(completion_object(&last, &content, &finish_reason, &usage));
        }
        let chunk: Value = serde_json::from_str(data).ok()?;
        let choice = &chunk["choices"][0];
        if let Some(piece) = choice["delta"]["content"].as_str() {
            content.push_str(piece);
        }
        if !choice["finish_reason"].is_null() {
            finish_reason = choice["finish_reason"].clone();
        }
        if !chunk["usage"].is_null() {
            usage = chunk["usage"].clone();
        }
        last = chunk;
    }
    None
}

fn completion_object(last: &Value, content: &str, finish_reason: &Value, usage: &Value) -> Value {
    json!({
        "id": last["id"],
        "object": "chat.completion",
        "created": last["created"],
        "model": last["model"],
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": finish_reason,
        }],
        "usage": usage,
    })
}
