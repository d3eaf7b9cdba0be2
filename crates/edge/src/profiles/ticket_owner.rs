//! Forwards a request to the daemon that owns its ticket.

use std::time::Duration;

use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
use lapismoor_caller::{CallerAnswer, OriginalRequest, RelayedAnswer};
use lapismoor_core::admission::{BufferOwner, Growth};
use lapismoor_core::failure::{Failure, FailureKind};
use lapismoor_core::ids::RequestId;
use lapismoor_core::membership::DaemonRecord;
use lapismoor_core::request::Request;
use lapismoor_core::routing::{Homes, profile_route};

use crate::buffers::{BufferLease, OutOfMemory, ReceivedBytes};
use crate::context::Edge;
use crate::http::{AnswerBody, Connection, ExchangeError};
use crate::in_flight::CallerGuard;
use crate::serve::end_to_end_headers;

/// Retry delay sent to a caller when the owner cannot be reached; it may have just started, or the
/// network path to it may be down.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest answer body that is forwarded.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Group of the buffers of forwarded answers.
const RELAYED: &str = "ticket_owner";

/// Returns the answer of the daemon that owns a ticket.
pub(super) async fn forward_to_owner(
    edge: &Edge,
    guard: &CallerGuard,
    id: RequestId,
    request: &Request,
    original: &OriginalRequest,
) -> CallerAnswer {
    let Some(owner) = find_owner(edge, id) else {
        log::warn!(ticket:% = id; "ticket_owner_unknown");
        return owner_gone();
    };
    if !may_get_body(edge, &owner, request) {
        log::warn!(ticket:% = id, peer:% = owner.id, domain:% = owner.domain; "ticket_owner_outside_homes");
        return CallerAnswer::Fail(Failure::unknown(FailureKind::OwnerGone, None));
    }
    let exchange = exchange_with_owner(edge, guard, &owner, original);
    match edge.in_time(request.deadline, exchange).await {
        Some(Ok(answer)) => CallerAnswer::Relayed(answer),
        Some(Err(error)) => {
            log::warn!(ticket:% = id, peer:% = owner.id, error:%; "ticket_owner_lost");
            owner_gone()
        }
        None => {
            log::warn!(ticket:% = id, peer:% = owner.id; "ticket_owner_silent");
            CallerAnswer::Fail(Failure::unknown(FailureKind::DeadlinePassed, None))
        }
    }
}

/// Finds the daemon that owns an id. A record under this daemon's own id is skipped because it
/// belongs to an earlier run.
fn find_owner(edge: &Edge, id: RequestId) -> Option<DaemonRecord> {
    let state = edge.state.borrow();
    let is_owner = |daemon: &&DaemonRecord| {
        daemon.incarnation == id.incarnation && daemon.id != edge.settings.daemon
    };
    state.daemons.iter().find(is_owner).cloned()
}

/// Whether the body of a request may be sent to a daemon: within its home regions, and the region of
/// the daemon to which the caller connected.
fn may_get_body(edge: &Edge, owner: &DaemonRecord, request: &Request) -> bool {
    let Some(accepted) = edge.profiles() else {
        return false;
    };
    let config = &accepted.config;
    let route = config.profile(&request.profile);
    let workspace = config.workspace(&request.workspace);
    let route = route.map(|profile| profile_route::sorted(&profile.home_regions));
    let workspace = workspace.map(|workspace| profile_route::sorted(&workspace.home_regions));
    let (route, workspace) = (route.unwrap_or_default(), workspace.unwrap_or_default());
    let homes = Homes {
        route: &route,
        workspace: &workspace,
    };
    let settings = &edge.settings;
    homes.allow_body(&settings.regions, &settings.domain, &owner.domain)
}

async fn exchange_with_owner(
    edge: &Edge,
    guard: &CallerGuard,
    owner: &DaemonRecord,
    original: &OriginalRequest,
) -> Result<RelayedAnswer, ExchangeError> {
    let address = owner.caller_address.ok_or(ExchangeError::ConnectTimeout)?;
    let connection = Connection::open(address, edge.settings.tuning.connect_timeout).await?;
    let mut head = RequestHead::default();
    head.method = original.method.clone();
    head.uri = original.uri.clone();
    head.headers = end_to_end_headers(&original.headers);
    let exchange = connection.exchange(head, original.body.clone(), |_| true);
    let (head, body) = exchange.await?;
    let (body, lease) = read_body(edge, body).await?;
    guard.keep_buffer(lease);
    Ok(relayed_answer(&head, body))
}

async fn read_body(
    edge: &Edge,
    mut body: AnswerBody,
) -> Result<(Bytes, BufferLease), ExchangeError> {
    let owner = BufferOwner {
        group: RELAYED.into(),
        member: 0,
    };
    let mut received = ReceivedBytes::new(edge.answer_buffers.open(owner, Growth::Open));
    loop {
        let read = received.guard(body.next()).await;
        let Some(bytes) = read.map_err(|OutOfMemory| ExchangeError::OutOfMemory)?? else {
            return Ok(received.into_held());
        };
        if received.len() + bytes.len() > MAX_ANSWER_BYTES {
            return Err(ExchangeError::Malformed {
                reason: "the body exceeds the size limit of forwarded answers".into(),
            });
        }
        let pushed = received.push(&bytes).await;
        pushed.map_err(|OutOfMemory| ExchangeError::OutOfMemory)?;
    }
}

fn relayed_answer(head: &ResponseHead, body: Bytes) -> RelayedAnswer {
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
