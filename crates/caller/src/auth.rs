//! Authenticates callers: a bearer key identifies a workspace.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use lapismoor_core::config::{Accepted, Workspace};
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof};
use sha2::{Digest, Sha256};

use crate::errors::{self, Rejection};
use crate::gateway::Gateway;
use crate::headers;
use crate::trace::TraceContext;

/// `Retry-After` of a daemon that has no configuration yet.
pub(crate) const NOT_READY_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Workspace of an authenticated caller, and the configuration it was found in.
pub(crate) struct Authenticated {
    pub(crate) accepted: Arc<Accepted>,
    pub(crate) workspace: Workspace,
    pub(crate) trace: TraceContext,
}

/// Authenticates a caller by its bearer key and checks the size of its headers.
pub(crate) fn authenticate(
    gateway: &Gateway,
    request: &HttpRequest,
) -> Result<Authenticated, Rejection> {
    let trace = TraceContext::from_request(request);
    headers::check_size(request, gateway.settings.max_header_bytes, &trace)?;
    let Some(accepted) = (gateway.config)() else {
        let failure = Failure::not_run(
            NotRunProof::NeverAccepted,
            FailureKind::NotReady,
            Some(NOT_READY_RETRY_AFTER),
        );
        return Err(errors::response(&failure, &trace.trace_id).into());
    };
    let key = headers::text(request, "authorization", &trace)?;
    let key = key.and_then(|value| value.strip_prefix("Bearer "));
    let workspace = key.and_then(|key| accepted.config.workspace_of_key(&key_hash(key)));
    let Some(workspace) = workspace.cloned() else {
        let message =
            "the key is unknown; send 'Authorization: Bearer KEY' with the workspace's key";
        return Err(errors::reject(
            StatusCode::UNAUTHORIZED,
            message,
            &trace.trace_id,
        ));
    };
    Ok(Authenticated {
        accepted,
        workspace,
        trace,
    })
}

fn key_hash(key: &str) -> String {
    use std::fmt::Write;
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        write!(hex, "{byte:02x}").expect("writing to a string does not fail");
    }
    hex
}
