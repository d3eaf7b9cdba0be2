//! Requests that are sent once, without retries, so that no later attempt hides how the first ended.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::ClientRequest;
use awc::http::Method;
use serde_json::{Value, json};

/// Timeout of a request; longer than the longest deadline of the profiles in use, 20 s, and the time
/// in which a daemon still delivers late events.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// API key of the workspace `north-mobile` in `examples/midshire.json`.
const API_KEY: &str = "north-mobile-key";
/// Length of the end of a body that is kept as detail.
const DETAIL_BYTES: usize = 200;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// The complete response to this request.
    Whole,
    /// A response with status 200 that ended before its end, or is not the one to this request.
    CutOff,
    /// The connection failed or timed out without a response.
    Unanswered,
    /// A complete error response.
    Refused {
        /// Its status.
        status: u16,
        /// Whether it states that the request did not run.
        is_not_run: bool,
    },
}

/// A request that was sent once.
#[derive(Debug, Clone)]
pub struct SentOnce {
    /// Identifier in the request body, which targets write to their records.
    pub marker: String,
    /// How it ended.
    pub end: RequestEnd,
    /// Time from its start to its end.
    pub elapsed: Duration,
    /// The error of the connection, or the end of the body.
    pub detail: String,
}

/// Streams a chat turn from the daemon at `address`, through a profile.
pub async fn stream(address: SocketAddr, profile: &str, chat: &str, marker: &str) -> SentOnce {
    let client = client();
    let request = client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header(("x-profile", profile))
        .insert_header(("x-chat-id", chat))
        .content_type("application/json");
    let content = format!("marker:{marker} a short note");
    let body = json!({"stream": true, "messages": [{"role": "user", "content": content}]});
    let is_whole = |body: &str| {
        body.contains(&format!("{marker} ")) && body.trim_end().ends_with("data: [DONE]")
    };
    send(request, body.to_string(), marker, is_whole).await
}

/// Calls the plain service at `path` (the name of the service, then the path within it) through the
/// daemon at `address`.
pub async fn call(address: SocketAddr, method: Method, path: &str, marker: &str) -> SentOnce {
    call_with(address, method, path, marker, &[]).await
}

/// Calls a plain service as [`call`] does, with further headers.
pub async fn call_with(
    address: SocketAddr,
    method: Method,
    path: &str,
    marker: &str,
    headers: &[(&'static str, String)],
) -> SentOnce {
    let mut request = client().request(method, format!("http://{address}/v1/services/{path}"));
    for (name, value) in headers {
        request = request.insert_header((*name, value.as_str()));
    }
    let is_whole = |body: &str| {
        let body = serde_json::from_str::<Value>(body);
        body.is_ok_and(|body| body["done"].as_str() == Some(marker))
    };
    send(request, format!("marker:{marker} ok"), marker, is_whole).await
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(REQUEST_TIMEOUT).finish()
}

async fn send(
    request: ClientRequest,
    body: String,
    marker: &str,
    is_whole: impl Fn(&str) -> bool,
) -> SentOnce {
    let start = Instant::now();
    let request = request.insert_header(("authorization", format!("Bearer {API_KEY}")));
    let (end, detail) = match request.send_body(body).await {
        Err(error) => (RequestEnd::Unanswered, error.to_string()),
        Ok(mut response) => {
            let status = response.status();
            match response.body().await {
                Err(error) if status.is_success() => (RequestEnd::CutOff, error.to_string()),
                Err(error) => (RequestEnd::Unanswered, error.to_string()),
                Ok(bytes) => {
                    let text = String::from_utf8_lossy(&bytes);
                    let end = if !status.is_success() {
                        RequestEnd::Refused {
                            status: status.as_u16(),
                            is_not_run: says_not_run(&bytes),
                        }
                    } else if is_whole(&text) {
                        RequestEnd::Whole
                    } else {
                        RequestEnd::CutOff
                    };
                    (end, last_part(&text).to_owned())
                }
            }
        }
    };
    SentOnce {
        marker: marker.to_owned(),
        end,
        elapsed: start.elapsed(),
        detail,
    }
}

fn says_not_run(body: &[u8]) -> bool {
    let parsed: Value = serde_json::from_slice(body).unwrap_or_default();
    parsed["error"]["outcome"] == "not_run"
}

fn last_part(text: &str) -> &str {
    let start = text.ceil_char_boundary(text.len().saturating_sub(DETAIL_BYTES));
    text[start..].trim()
}
