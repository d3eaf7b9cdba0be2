//! Interface between the HTTP handlers and the daemon.

use std::rc::Rc;
use std::sync::Arc;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, Uri};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::LocalBoxStream;
use lapismoor_core::answer::AnswerPart;
use lapismoor_core::config::Accepted;
use lapismoor_core::failure::Failure;
use lapismoor_core::ids::{RequestId, WorkspaceId};
use lapismoor_core::request::{Identity, Request};

use crate::settings::CallerSettings;

/// Request as the caller sent it, to be relayed to the daemon that owns its ticket.
#[derive(Debug, Clone)]
pub struct OriginalRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Includes hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body, unparsed.
    pub body: Bytes,
}

impl OriginalRequest {
    pub(crate) fn new(request: &HttpRequest, body: Bytes) -> Self {
        Self {
            method: request.method().clone(),
            uri: request.uri().clone(),
            headers: request.headers().clone(),
            body,
        }
    }
}

/// Authenticated request that the handlers pass to the daemon.
#[derive(Debug)]
pub enum CallerRequest {
    /// Runs a request on a target.
    Request {
        /// The request to run.
        request: Rc<Request>,
        /// Ticket or idempotency key, if the caller sent one.
        identity: Identity,
        /// Relayed if another daemon owns the ticket.
        original: Box<OriginalRequest>,
    },
    /// Issues a ticket.
    Ticket {
        /// Only this workspace may use the ticket.
        workspace: WorkspaceId,
    },
}

/// Complete answer from the daemon that owns a ticket, sent to the caller unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to copy, without hop-by-hop headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
}

/// Item of an answer from the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// Part of a target's answer.
    Part(AnswerPart),
    /// Last item of a request that failed.
    Fail(Failure),
    /// Ticket that was issued; the only item.
    Ticket(RequestId),
    /// Answer of another daemon; the only item.
    Relayed(RelayedAnswer),
}

/// Answer in parts as they arrive. Dropping it before the end tells the daemon that the caller
/// disconnected.
pub type AnswerStream = LocalBoxStream<'static, CallerAnswer>;

/// Why the body of a request was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyProblem {
    /// It exceeds the limit.
    TooLarge,
    /// The connection failed before its end.
    CutOff,
    /// The memory for the bodies of requests is used up.
    NoMemory,
    /// The caller stopped to send before its end.
    Late,
}

/// Reads the body of a request into memory that the daemon counts while the request is in flight.
pub type ReadBody =
    dyn Fn(&HttpRequest, web::Payload) -> LocalBoxFuture<'static, Result<Bytes, BodyProblem>>;

/// Memory for an answer that is collected before it is sent; counted by the daemon until dropped.
pub struct AnswerMemory {
    /// Reserves more bytes; false if there is no room, so that the answer has to be given up.
    pub reserve: Box<dyn Fn(usize) -> LocalBoxFuture<'static, bool>>,
    /// Completes when the answer has to be given up in favour of others.
    pub revoked: LocalBoxFuture<'static, ()>,
}

/// Passes a request to the daemon.
pub type Submit = dyn Fn(&HttpRequest, CallerRequest) -> AnswerStream;

/// Access to the daemon for the HTTP handlers. Closures keep this crate independent of the
/// daemon's.
#[derive(Clone)]
pub struct Gateway {
    /// Size limits of requests.
    pub settings: CallerSettings,
    /// Returns the configuration in force; `None` rejects requests as not ready.
    pub config: Rc<dyn Fn() -> Option<Arc<Accepted>>>,
    /// Whether the daemon accepts new requests, as reported by the health check.
    pub is_ready: Rc<dyn Fn() -> bool>,
    /// Reads bodies of requests.
    pub read_body: Rc<ReadBody>,
    /// Opens the memory for an answer.
    pub open_memory: Rc<dyn Fn() -> AnswerMemory>,
    /// Passes a request to the daemon, with the HTTP request that carries the server's data about it.
    pub submit: Rc<Submit>,
}

/// Answer stream that is not polled again after its last item.
pub(crate) struct AnswerParts {
    stream: AnswerStream,
    is_finished: bool,
}

impl Gateway {
    /// Passes a request to the daemon and returns its answer.
    pub(crate) fn send(&self, http_request: &HttpRequest, request: CallerRequest) -> AnswerParts {
        AnswerParts {
            stream: (self.submit)(http_request, request),
            is_finished: false,
        }
    }
}

impl AnswerParts {
    /// Returns the next item; `None` after the last one.
    pub(crate) async fn next(&mut self) -> Option<CallerAnswer> {
        if self.is_finished {
            return None;
        }
        let answer = self.stream.next().await;
        let has_more = matches!(
            answer,
            Some(CallerAnswer::Part(
                AnswerPart::Data(_) | AnswerPart::Head { .. }
            ))
        );
        self.is_finished = !has_more;
        answer
    }
}

/// Serves the load balancer's health check.
pub(crate) async fn health(gateway: web::Data<Gateway>) -> HttpResponse {
    if (gateway.is_ready)() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}
