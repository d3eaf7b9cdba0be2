//! Passes a request under a ticket on to the daemon that owns it.

use std::time::Duration;

use actix_http::{RequestHead, ResponseHead};
use bytes::{Bytes, BytesMut};
use lapismoor_caller::{CallerAnswer, RelayedAnswer, SentRequest};
use lapismoor_core::failure::{Failure, FailureKind};
use lapismoor_core::ids::RequestId;
use lapismoor_core::membership::DaemonRecord;
use lapismoor_core::request::Request;

use crate::context::Edge;
use crate::http::{AnswerBody, Connection, ExchangeError};
use crate::serve::end_to_end_headers;

/// When to come back after an owner could not be asked: it may have just started, or a path to it
/// may be away.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest answer that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The answer of the daemon that owns a ticket.
pub(super) async fn to_owner(
    edge: &Edge,
    id: RequestId,
    request: &Request,
    sent: &SentRequest,
) -> CallerAnswer {
    let Some(owner) = owner(edge, id) else {
        log::warn!(ticket:% = id; "ticket_owner_unknown");
        return owner_gone();
    };
    let asking = tokio::time::timeout(request.deadline, ask(edge, &owner, sent));
    match asking.await {
        Ok(Ok(answer)) => CallerAnswer::Relayed(answer),
        Ok(Err(error)) => {
            log::warn!(ticket:% = id, peer:% = owner.id, error:%; "ticket_owner_lost");
            owner_gone()
        }
        Err(_) => {
            log::warn!(ticket:% = id, peer:% = owner.id; "ticket_owner_silent");
            CallerAnswer::Fail(Failure::unknown(FailureKind::DeadlinePassed, None))
        }
    }
}

/// The daemon that owns an id. A record of this daemon itself is of an earlier run.
fn owner(edge: &Edge, id: RequestId) -> Option<DaemonRecord> {
    let state = edge.state.borrow();
    let is_owner = |daemon: &&DaemonRecord| {
        daemon.incarnation == id.incarnation && daemon.id != edge.settings.daemon
    };
    state.daemons.iter().find(is_owner).cloned()
}

async fn ask(
    edge: &Edge,
    owner: &DaemonRecord,
    sent: &SentRequest,
) -> Result<RelayedAnswer, ExchangeError> {
    let address = owner.caller_address.ok_or(ExchangeError::ConnectTimeout)?;
    let connection = Connection::open(address, edge.settings.tuning.connect_timeout).await?;
    let mut head = RequestHead::default();
    head.method = sent.method.clone();
    head.uri = sent.uri.clone();
    head.headers = end_to_end_headers(&sent.headers);
    let exchange = connection.exchange(head, sent.body.clone(), |_| true);
    let (head, body) = exchange.await?;
    let body = collect(body).await?;
    Ok(answer(&head, body))
}

async fn collect(mut body: AnswerBody) -> Result<Bytes, ExchangeError> {
    let mut whole = BytesMut::new();
    while let Some(bytes) = body.next().await? {
        if whole.len() + bytes.len() > MAX_ANSWER_BYTES {
            return Err(ExchangeError::Malformed {
                reason: "the body is too long".into(),
            });
        }
        whole.extend_from_slice(&bytes);
    }
    Ok(whole.freeze())
}

fn answer(head: &ResponseHead, body: Bytes) -> RelayedAnswer {
    let headers = end_to_end_headers(head.headers());
    RelayedAnswer {
        status: head.status.as_u16(),
        headers: headers
            .iter()
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect(),
        body,
    }
}

fn owner_gone() -> CallerAnswer {
    CallerAnswer::Fail(Failure::unknown(FailureKind::OwnerGone, Some(RETRY_AFTER)))
}
