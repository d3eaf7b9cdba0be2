//! Who calls: a workspace is known by its bearer key.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use lapismoor_core::config::{Accepted, Workspace};
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof};
use sha2::{Digest, Sha256};

use crate::errors::{self, Refusal};
use crate::gateway::Gateway;
use crate::headers;
use crate::trace::TraceContext;

/// When to come back to a daemon that has no configuration.
const NOT_READY_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// A caller that was let in.
pub(crate) struct Admitted {
    pub(crate) accepted: Arc<Accepted>,
    pub(crate) workspace: Workspace,
    pub(crate) trace: TraceContext,
}

/// Lets a caller in by its key.
pub(crate) fn admit(gateway: &Gateway, request: &HttpRequest) -> Result<Admitted, Refusal> {
    let trace = TraceContext::of(request);
    headers::check_size(request, gateway.settings.max_header_bytes, &trace)?;
    let Some(accepted) = (gateway.config)() else {
        let failure = Failure::not_run(
            NotRunProof::NeverAccepted,
            FailureKind::NotReady,
            Some(NOT_READY_RETRY_AFTER),
        );
        return Err(errors::response(&failure, &trace.trace_id).into());
    };
    let key = request.headers().get("authorization");
    let key = key.and_then(|value| value.to_str().ok());
    let key = key.and_then(|value| value.strip_prefix("Bearer "));
    let workspace = key.and_then(|key| accepted.config.workspace_of_key(&key_hash(key)));
    let Some(workspace) = workspace.cloned() else {
        let message =
            "the key is unknown; send 'Authorization: Bearer KEY' with the workspace's key";
        return Err(errors::refused(
            StatusCode::UNAUTHORIZED,
            message,
            &trace.trace_id,
        ));
    };
    Ok(Admitted {
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
