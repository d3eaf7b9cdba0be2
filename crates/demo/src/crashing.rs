//! A caller whose request ends every engine that runs it, and the check of how many it ends.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use awc::ClientRequest;
use futures::StreamExt;
use lapismoor_adapter_standin::RunRecord;
use serde_json::{Value, json};

use crate::checker::TargetRecords;
use crate::fleet::Fleet;

/// Time after the third end within which all daemons must know of it, by the users' rule.
const DETECTION_TIME_MS: u64 = 3_000;
/// Engines that the request may still reach after that, by the same rule.
pub const MAX_LATE_RUNS: usize = 3;
/// Ends after which the users' rule counts the runs of one request.
pub const ENDS_OF_A_REQUEST: usize = 3;
/// Ends after which the users' rule counts the runs of requests that share a prompt part.
pub const ENDS_OF_A_PART: usize = 5;
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// API key of the workspace `north-mobile` in `examples/midshire.json`.
const API_KEY: &str = "north-mobile-key";

/// What identifies the request at its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity {
    /// Nothing; the daemon may send it to several engines.
    None,
    /// A new idempotency key each time, so that one engine at most runs it.
    NewKey,
}

/// Answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashingAnswer {
    /// Status of the response; 0 if the connection failed.
    pub status: u16,
    /// Kind and outcome of the error, or the start of the body.
    pub error: (String, String),
    /// Whether the answer is a stream that ended as complete.
    pub is_complete: bool,
    /// Id of the request, which starts the ids of its attempts.
    pub request_id: String,
}

/// Text of a chat that ends its engine as soon as it runs.
pub const CRASH_AT_ONCE: &str = "crash this engine";
/// Text of a chat that ends its engine after some tokens.
pub const CRASH_WHILE_ANSWERING: &str = "crash while answering";
/// Text of a chat that ends its engine a moment after it has begun to run, even if it is cancelled.
pub const CRASH_ALTHOUGH_CANCELLED: &str = "crash although cancelled";

/// Sends the request with `marker` that ends engines to the daemon at `address`.
pub async fn send(address: SocketAddr, marker: &str, identity: Identity) -> CrashingAnswer {
    send_text(address, marker, CRASH_AT_ONCE, identity).await
}

/// Sends a chat with `marker` and `text` to the daemon at `address`.
pub async fn send_text(
    address: SocketAddr,
    marker: &str,
    text: &str,
    identity: Identity,
) -> CrashingAnswer {
    let request_id = format!("{:032x}", rand::random::<u128>());
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let mut request = chat(&client, address, marker, &request_id);
    if identity == Identity::NewKey {
        let key = format!("{:016x}", rand::random::<u64>());
        request = request.insert_header(("idempotency-key", key));
    }
    read_answer(request, &chat_body(marker, text), request_id).await
}

/// Sends a request of its own content in `chat`, whose context is the prompt part that ends engines after some
/// tokens.
pub async fn send_in_chat(address: SocketAddr, chat_id: &str, marker: &str) -> CrashingAnswer {
    let request_id = format!("{:032x}", rand::random::<u128>());
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let request = chat(&client, address, chat_id, &request_id);
    let body = chat_body(marker, CRASH_WHILE_ANSWERING);
    read_answer(request, &body, request_id).await
}

async fn read_answer(request: ClientRequest, body: &Value, request_id: String) -> CrashingAnswer {
    let Ok(mut response) = request.send_json(body).await else {
        return unanswered(request_id);
    };
    let bytes = response.body().await.unwrap_or_default();
    CrashingAnswer {
        status: response.status().as_u16(),
        error: error_of(&bytes),
        is_complete: bytes.trim_ascii_end().ends_with(b"data: [DONE]"),
        request_id,
    }
}

fn unanswered(request_id: String) -> CrashingAnswer {
    CrashingAnswer {
        status: 0,
        error: ("no answer".into(), "unknown".into()),
        is_complete: false,
        request_id,
    }
}

/// Kind and outcome of the error in a body.
fn error_of(body: &[u8]) -> (String, String) {
    let parsed: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |name: &str| {
        let text = parsed["error"][name].as_str();
        text.unwrap_or_default().to_owned()
    };
    (text("kind"), text("outcome"))
}

fn chat(
    client: &awc::Client,
    address: SocketAddr,
    chat_id: &str,
    request_id: &str,
) -> ClientRequest {
    client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header(("authorization", format!("Bearer {API_KEY}")))
        .insert_header(("x-profile", "shop-counter"))
        .insert_header(("x-chat-id", chat_id))
        .insert_header(("traceparent", format!("00-{request_id}-{:016x}-01", 1)))
}

fn chat_body(marker: &str, text: &str) -> Value {
    let content = format!("marker:{marker} {text}");
    json!({"stream": true, "messages": [{"role": "user", "content": content}]})
}

/// Sends a chat with `marker` and `text` to the daemon at `address`, and closes the connection when
/// the first part of the answer has arrived.
pub async fn send_and_leave(address: SocketAddr, marker: &str, text: &str) -> CrashingAnswer {
    let request_id = format!("{:032x}", rand::random::<u128>());
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let request = chat(&client, address, marker, &request_id);
    let Ok(mut response) = request.send_json(&chat_body(marker, text)).await else {
        return unanswered(request_id);
    };
    let first = response.next().await;
    let first = first.and_then(Result::ok).unwrap_or_default();
    CrashingAnswer {
        status: response.status().as_u16(),
        error: error_of(&first),
        is_complete: false,
        request_id,
    }
}

/// Starts every engine again that has ended, under the same id.
///
/// # Errors
/// If a process cannot be started.
pub fn restart_ended_engines(fleet: &mut Fleet) -> io::Result<()> {
    for index in 0..fleet.engines.len() {
        if fleet.engines[index].process.has_ended() {
            fleet.restart_engine(index)?;
        }
    }
    Ok(())
}

/// Runs of requests with `marker`, in order of their start.
///
/// # Errors
/// If the records of an engine cannot be read.
pub fn runs(fleet: &Fleet, marker: &str) -> io::Result<Vec<RunRecord>> {
    runs_where(fleet, |known| known == marker)
}

/// Runs of requests whose markers start with `prefix`, in order of their start.
///
/// # Errors
/// If the records of an engine cannot be read.
pub fn runs_with_prefix(fleet: &Fleet, prefix: &str) -> io::Result<Vec<RunRecord>> {
    runs_where(fleet, |known| known.starts_with(prefix))
}

fn runs_where(fleet: &Fleet, is_wanted: impl Fn(&str) -> bool) -> io::Result<Vec<RunRecord>> {
    let mut found = Vec::new();
    for engine in &fleet.engines {
        let records = TargetRecords::read(&engine.name, &engine.records_path, None)?.records;
        let is_run = |record: &RunRecord| record.what == "begin" && is_wanted(&record.marker);
        found.extend(records.into_iter().filter(is_run));
    }
    found.sort_by_key(|record| record.time_ms);
    Ok(found)
}

/// Number of runs of a request that started when all daemons had to know of the third.
#[must_use]
pub fn late_runs(runs: &[RunRecord]) -> usize {
    runs_after(runs, ENDS_OF_A_REQUEST)
}

/// Number of runs that started when all daemons had to know of the run with the number `ends`.
#[must_use]
pub fn runs_after(runs: &[RunRecord], ends: usize) -> usize {
    let Some(last) = runs.get(ends - 1) else {
        return 0;
    };
    let known_from_ms = last.time_ms + DETECTION_TIME_MS;
    let late = runs.iter().filter(|run| run.time_ms > known_from_ms);
    late.count()
}

/// Answers that promise that the request did not run although an engine began to.
#[must_use]
pub fn false_refusals<'a>(
    answers: &'a [CrashingAnswer],
    runs: &[RunRecord],
) -> Vec<&'a CrashingAnswer> {
    let has_run = |answer: &CrashingAnswer| {
        let is_own = |run: &RunRecord| run.attempt.starts_with(&answer.request_id);
        runs.iter().any(is_own)
    };
    let refused = answers.iter().filter(|answer| answer.error.1 == "not_run");
    refused.filter(|answer| has_run(answer)).collect()
}
