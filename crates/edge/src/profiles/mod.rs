//! Serves the profile API: chats, service calls and tickets. Its requests are executed by the same
//! code as those matched by routes.

mod admitted_request;
mod gateway;
mod idempotency;
mod keys;
mod outcome;
mod ticket_owner;

use actix_http::RequestHead;

use crate::context::Edge;
use crate::serve::RouteKey;
pub(crate) use gateway::gateway;
pub use keys::KeyLease;
pub(crate) use keys::rewrite_records;

/// Whether the profile API handles a request: profiles are configured and no route matches. Before
/// the first list of the store is read, it handles its own paths, and refuses them as not ready.
pub(crate) fn handles(edge: &Edge, head: &RequestHead) -> bool {
    let state = edge.state.borrow();
    if !state.has_loaded_targets {
        return lapismoor_caller::is_api_path(head.uri.path());
    }
    if state.profiles.get().is_none() {
        return false;
    }
    let Some(config) = state.config.get() else {
        return true;
    };
    // The requests that name no host are refused with those of routes.
    RouteKey::of(head).is_ok_and(|key| key.route(config).is_none())
}
