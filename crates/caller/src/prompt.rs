//! What a chat's messages say about its prompt.

use lapismoor_core::ids::{self, ChatKey};
use lapismoor_core::request::TokenCount;
use serde_json::Value;

/// Bytes of a token, on average, in the languages of the users.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of an answer that the caller sets no limit for.
const USUAL_ANSWER_TOKENS: u32 = 256;

/// Key of a chat: by the caller's id, or by the messages up to the first of the user, which all
/// turns of a chat begin with.
pub(crate) fn chat_key(workspace: &str, chat_id: Option<&str>, document: &Value) -> ChatKey {
    if let Some(id) = chat_id {
        return ids::chat_key(workspace, id);
    }
    let messages = messages(document);
    let first = messages
        .iter()
        .position(|message| message["role"] == "user");
    let opening = &messages[..first.map_or(messages.len(), |first| first + 1)];
    let opening = Value::Array(opening.to_vec()).to_string();
    ids::chat_key(workspace, &opening)
}

/// Tokens of a chat, from the length of its messages.
pub(crate) fn tokens(document: &Value) -> TokenCount {
    let (last, earlier) = match messages(document) {
        [] => (0, 0),
        [earlier @ .., last] => (length(last), earlier.iter().map(length).sum()),
    };
    let limit = document["max_tokens"].as_u64();
    let limit = limit.and_then(|limit| u32::try_from(limit).ok());
    TokenCount {
        earlier,
        last,
        answer: limit.unwrap_or(USUAL_ANSWER_TOKENS),
    }
}

fn messages(document: &Value) -> &[Value] {
    document["messages"].as_array().map_or(&[], Vec::as_slice)
}

fn length(message: &Value) -> u32 {
    let content = &message["content"];
    let bytes = content
        .as_str()
        .map_or_else(|| content.to_string().len(), str::len);
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
