//! Derives the chat key and the token count of a chat from its messages.

use lapismoor_core::ids::{self, ChatKey};
use lapismoor_core::request::TokenCount;
use serde_json::Value;

/// Average size of a token in the users' languages.
const BYTES_PER_TOKEN: usize = 4;
/// Assumed answer length if the caller sets no `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// Derives the key of a chat from the caller's chat id, or else from the messages up to and
/// including the first user message, which all turns of a chat share.
pub(crate) fn chat_key(workspace: &str, chat_id: Option<&str>, document: &Value) -> ChatKey {
    if let Some(id) = chat_id {
        return ids::chat_key(workspace, id);
    }
    let messages = messages(document);
    let first_user = messages
        .iter()
        .position(|message| message["role"] == "user");
    let opening = &messages[..first_user.map_or(messages.len(), |first_user| first_user + 1)];
    let opening = Value::Array(opening.to_vec()).to_string();
    ids::chat_key(workspace, &opening)
}

/// Estimates the tokens of a chat from the size of its messages in bytes.
pub(crate) fn estimate_tokens(document: &Value) -> TokenCount {
    let (last, earlier) = match messages(document) {
        [] => (0, 0),
        [earlier @ .., last] => (
            message_tokens(last),
            earlier.iter().map(message_tokens).sum(),
        ),
    };
    let limit = document["max_tokens"].as_u64();
    let limit = limit.and_then(|limit| u32::try_from(limit).ok());
    TokenCount {
        earlier,
        last,
        answer: limit.unwrap_or(DEFAULT_ANSWER_TOKENS),
    }
}

fn messages(document: &Value) -> &[Value] {
    document["messages"].as_array().map_or(&[], Vec::as_slice)
}

fn message_tokens(message: &Value) -> u32 {
    let content = &message["content"];
    let bytes = content
        .as_str()
        .map_or_else(|| content.to_string().len(), str::len);
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
