//! What the HTTP handlers need of the daemon behind them.

use std::rc::Rc;
use std::sync::Arc;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, Uri};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::LocalBoxStream;
use lapismoor_core::answer::AnswerPart;
use lapismoor_core::config::Accepted;
use lapismoor_core::failure::Failure;
use lapismoor_core::ids::{RequestId, WorkspaceId};
use lapismoor_core::request::{Identity, Request};

use crate::settings::CallerSettings;

/// A request as its caller sent it, for the daemon that owns its ticket.
#[derive(Debug, Clone)]
pub struct OriginalRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
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

/// What a caller wants.
#[derive(Debug)]
pub enum CallerRequest {
    /// An answer to a request.
    Request {
        /// The request.
        request: Rc<Request>,
        /// How it is identified.
        identity: Identity,
        /// The request as it was sent.
        original: Box<OriginalRequest>,
    },
    /// A ticket.
    Ticket {
        /// Workspace it is for.
        workspace: WorkspaceId,
    },
}

/// A final answer of the daemon that owns a ticket, passed on as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub body: Bytes,
}

/// What a caller gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// Part of an answer.
    Part(AnswerPart),
    /// The final answer for a request that was given up.
    Fail(Failure),
    /// A ticket.
    Ticket(RequestId),
    /// The whole answer of another daemon.
    Relayed(RelayedAnswer),
}

/// Answers as they come. Dropped before the end, they tell the daemon that the caller is gone.
pub type AnswerStream = LocalBoxStream<'static, CallerAnswer>;

/// The daemon, as the HTTP handlers see it. Closures stand behind it.
#[derive(Clone)]
pub struct Gateway {
    /// Settings.
    pub settings: CallerSettings,
    /// The configuration in force.
    pub config: Rc<dyn Fn() -> Option<Arc<Accepted>>>,
    /// Whether new requests are taken.
    pub is_ready: Rc<dyn Fn() -> bool>,
    /// Hands a demand to the daemon.
    pub submit: Rc<dyn Fn(CallerRequest) -> AnswerStream>,
}

/// An answer on its way.
pub(crate) struct Incoming {
    answers: AnswerStream,
    is_over: bool,
}

impl Gateway {
    /// Hands a demand to the daemon.
    pub(crate) fn demand(&self, demand: CallerRequest) -> Incoming {
        Incoming {
            answers: (self.submit)(demand),
            is_over: false,
        }
    }
}

impl Incoming {
    /// The next part; none after the end.
    pub(crate) async fn next(&mut self) -> Option<CallerAnswer> {
        if self.is_over {
            return None;
        }
        let answer = self.answers.next().await;
        let goes_on = matches!(
            answer,
            Some(CallerAnswer::Part(
                AnswerPart::Data(_) | AnswerPart::Head { .. }
            ))
        );
        self.is_over = !goes_on;
        answer
    }
}

/// Answers the balancer's health check.
pub(crate) async fn health(gateway: web::Data<Gateway>) -> HttpResponse {
    if (gateway.is_ready)() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}
