//! A request that was admitted: what to send, where, and what is allowed.

use std::rc::Rc;

use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{Method, Uri};
use bytes::Bytes;
use lapismoor_core::Moment;
use lapismoor_core::admission::Priority;
use lapismoor_core::ids::{ConfigVersion, ServiceId, WorkspaceId};
use lapismoor_core::routing::{AffinityPreference, Route};

use crate::context::Edge;
use crate::dialect::Envelope;

/// A request that was admitted.
pub(crate) struct AdmittedRequest {
    pub config_version: ConfigVersion,
    pub route: Rc<Route>,
    pub service: ServiceId,
    /// Workspace of the caller; none on public routes.
    pub workspace: Option<WorkspaceId>,
    /// What decides its turn.
    pub claim: Priority,
    pub preference: AffinityPreference,
    pub envelope: Envelope,
    pub method: Method,
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub received: Moment,
}

/// Headers of a caller that targets get, too.
pub(crate) fn passed_on(edge: &Edge, headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end_headers(headers);
    let withheld: Vec<HeaderName> = kept
        .keys()
        .filter(|name| (edge.dialect.is_withheld)(name))
        .cloned()
        .collect();
    for name in withheld {
        kept.remove(name);
    }
    kept
}

/// Headers that do not concern one connection only.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_dropped = is_hop_by_hop(name)
            || *name == header::CONTENT_LENGTH
            || named.iter().any(|other| other == name.as_str());
        if !is_dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Names of further headers that concern one connection only.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Whether a header concerns one connection only.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "expect"
    )
}
