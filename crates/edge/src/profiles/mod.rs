//! Serves callers that pick a profile: chats, calls of services, tickets. Their requests run on the
//! same path as those that go by routes.

mod gateway;
mod keys;
mod once;
mod order;
mod outcome;
mod relay;

use actix_http::RequestHead;
use actix_http::header;

use crate::context::Edge;
use crate::serve::host_name;
pub(crate) use gateway::gateway;
pub use keys::KeyLease;

/// Whether a request is for the interface of profiles: there are profiles, and no route takes it.
pub(crate) fn takes(edge: &Edge, head: &RequestHead) -> bool {
    let state = edge.state.borrow();
    if state.profiles.get().is_none() {
        return false;
    }
    let Some(config) = state.config.get() else {
        return true;
    };
    let host = head.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    config.route(host_name(host), head.uri.path()).is_none()
}
