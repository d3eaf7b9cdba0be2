//! Interface through which an adapter defines the headers of callers and targets.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName};
use compact_str::CompactString;
use lapismoor_core::admission::RequestRate;
use lapismoor_core::routing::{PacePercent, PromptPart, ReportedLoad};
use snafu::Snafu;

/// Metadata from a caller's request headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Envelope {
    /// Request id; each attempt of the caller has a new one.
    pub id: CompactString,
    /// Time for which the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// API key of the caller.
    pub key: Option<CompactString>,
    /// Number of the last event that the caller received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the request that brought the first event of the stream, when the caller takes it up;
    /// empty if it cannot be read.
    pub resumes: Option<CompactString>,
    /// Prompt parts in order. The last is specific to this request; earlier ones may be shared.
    pub parts: Vec<PromptPart>,
    /// Trace context sent by the caller.
    pub traceparent: Option<CompactString>,
    /// Model data of profile requests, whose headers do not carry it yet.
    pub model: Option<ModelCall>,
}

/// Model and token counts that an engine needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelCall {
    /// Model name; empty for plain services.
    pub name: CompactString,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub answer_tokens: u32,
}

/// A request header that is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("header {header} is {problem}; correct it in the caller"))]
pub struct EnvelopeError {
    /// Header name as sent by the caller.
    pub header: CompactString,
    /// What is wrong with the header.
    pub problem: &'static str,
}

/// Metadata of an attempt, sent to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHeaders<'a> {
    /// The only target that may run the attempt.
    pub target: &'a str,
    /// Workspace of the caller; `None` on public routes.
    pub workspace: Option<&'a str>,
    /// Time left for the answer, until the caller's deadline or the route's timeout.
    pub time_left: Duration,
    /// Priority rank, 0 is the highest; `None` if the target does not support ranks.
    pub rank: Option<u8>,
    /// Number of the event after which the stream resumes.
    pub last_event: Option<u64>,
    /// Target from which cached prompt parts can be fetched.
    pub fetch_from: Option<SocketAddr>,
}

/// Metadata from a target's response headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Id of the request that is answered.
    pub request_id: Option<CompactString>,
    /// Whether the answer carries the target's signature.
    pub is_signed: bool,
    /// Whether the target states that it did not run the request.
    pub is_not_run: bool,
    /// Load that the target reports.
    pub load: Option<ReportedLoad>,
    /// Time that work takes at the target now, in percent of the usual, if it states that.
    pub pace_percent: Option<PacePercent>,
    /// How long the target keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the target states that it leaves.
    pub is_leaving: bool,
    /// Pause that the target asks for, if it rejects the request.
    pub pause: Option<PauseRequest>,
    /// Requests that the target takes from all daemons together, if it names a limit.
    pub limit: Option<NamedLimit>,
    /// Time for which the target stays cold, if it says so; zero if it is warm.
    pub cold_left: Option<Duration>,
}

/// Limit that a target names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NamedLimit {
    /// It takes this many requests.
    Rate(RequestRate),
    /// The value is not a rate.
    Unreadable(CompactString),
}

/// Pause that a target asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PauseRequest {
    /// It wants no request for this time.
    For(Duration),
    /// The value is not a time.
    Unreadable(CompactString),
}

/// Reads and writes the headers of callers and targets.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Path of the readiness check of the load balancer.
    pub ready_path: &'static str,
    /// Reads a caller's request headers.
    pub read_envelope: fn(&HeaderMap) -> Result<Envelope, EnvelopeError>,
    /// Whether a caller's header is meant for the daemon and not forwarded to targets.
    pub is_withheld: fn(&HeaderName) -> bool,
    /// Adds the metadata of an attempt to the request headers.
    pub write_attempt: fn(&AttemptHeaders<'_>, &mut HeaderMap),
    /// Adds the id and prompt of a profile request, whose caller does not send these headers.
    pub write_prompt: fn(&Envelope, &ModelCall, &mut HeaderMap),
    /// Reads a target's response headers.
    pub read_answer: fn(&HeaderMap) -> AnswerMetadata,
    /// Adds the time after which a refused caller may retry.
    pub write_retry_after: fn(Duration, &mut HeaderMap),
}

impl std::fmt::Debug for Dialect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Dialect({})", self.ready_path)
    }
}
