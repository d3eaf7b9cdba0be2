//! What an adapter translates between the wire and the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName};
use compact_str::CompactString;
use lapismoor_core::routing::{PromptPart, ReportedLoad};
use snafu::Snafu;

/// What a caller says about its request, beside method, path and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Envelope {
    /// Id of the request, new with each try of the caller.
    pub id: CompactString,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Key of the caller.
    pub key: Option<CompactString>,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Parts of the prompt, in order. The last is the request's own.
    pub parts: Vec<PromptPart>,
    /// Trace that the caller asked for.
    pub traceparent: Option<CompactString>,
    /// The model, for requests whose headers do not name it yet.
    pub model: Option<ModelCall>,
}

/// What an engine needs to know of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelCall {
    /// Name of the model; empty for plain services.
    pub name: CompactString,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the longest answer.
    pub answer_tokens: u32,
}

/// A request that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("header {header} is {problem}; correct it in the caller"))]
pub struct EnvelopeError {
    /// Name of the header.
    pub header: CompactString,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// What the daemon tells a target about an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHeaders<'a> {
    /// The only target that may run it.
    pub target: &'a str,
    /// Workspace of the caller; none on public routes.
    pub workspace: Option<&'a str>,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Rank, 0 first; none where targets know no ranks.
    pub rank: Option<u8>,
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
    /// Where cached parts of the prompt can be fetched.
    pub fetch_from: Option<SocketAddr>,
}

/// What a target says about its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Request that it answers.
    pub request_id: Option<CompactString>,
    /// Whether it bears the target's signature.
    pub is_signed: bool,
    /// Whether the target says that it did not run the request.
    pub is_not_run: bool,
    /// Load of the target.
    pub load: Option<ReportedLoad>,
    /// How long the connection may stay idle.
    pub idle_limit: Option<Duration>,
}

/// Translates headers.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Path of the balancer's question whether the daemon is ready.
    pub ready_path: &'static str,
    /// Reads a caller's headers.
    pub read_envelope: fn(&HeaderMap) -> Result<Envelope, EnvelopeError>,
    /// Whether a caller's header is for the daemon and not passed on.
    pub is_withheld: fn(&HeaderName) -> bool,
    /// Adds what the target needs to know.
    pub write_attempt: fn(&AttemptHeaders<'_>, &mut HeaderMap),
    /// Adds id and prompt of a request whose caller speaks another dialect.
    pub write_prompt: fn(&Envelope, &ModelCall, &mut HeaderMap),
    /// Reads a target's headers.
    pub read_answer: fn(&HeaderMap) -> AnswerMetadata,
    /// Adds to a refusal when the caller may come back.
    pub write_retry_after: fn(Duration, &mut HeaderMap),
}

impl std::fmt::Debug for Dialect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Dialect({})", self.ready_path)
    }
}
