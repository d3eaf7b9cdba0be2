//! An admitted request: what to send, to which service, and under which rules.

use std::rc::Rc;

use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{Method, Uri};
use bytes::Bytes;
use compact_str::CompactString;
use lapismoor_core::Moment;
use lapismoor_core::admission::Priority;
use lapismoor_core::ids::{ConfigVersion, Region, ServiceId, WorkspaceId};
use lapismoor_core::routing::{AffinityPreference, Homes, Route};

use super::RouteKey;
use crate::context::Edge;
use crate::dialect::Envelope;

/// A request that was matched to a route or profile and may be sent.
pub(crate) struct AdmittedRequest {
    pub config_version: ConfigVersion,
    /// Host that selected the route, for logs; empty if a profile did.
    pub host: CompactString,
    pub route: Rc<Route>,
    pub service: ServiceId,
    /// Workspace of the caller; none on public routes.
    pub workspace: Option<WorkspaceId>,
    /// Home regions of the workspace. Invariant: sorted.
    pub workspace_homes: Vec<Region>,
    /// Decides the order in the admission queue.
    pub priority: Priority,
    pub preference: AffinityPreference,
    pub envelope: Envelope,
    pub method: Method,
    pub uri: Uri,
    /// Headers to forward to the target.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When its head was received.
    pub received: Moment,
    /// When its body was complete. The timeout of the route begins then.
    pub arrived: Moment,
}

impl AdmittedRequest {
    /// What selected the route.
    pub(crate) fn route_key(&self) -> RouteKey<'_> {
        RouteKey::new(&self.host, self.uri.path())
    }

    /// Regions in which the request may be served.
    pub(crate) fn homes(&self) -> Homes<'_> {
        Homes {
            route: &self.route.home_regions,
            workspace: &self.workspace_homes,
        }
    }
}

/// Headers of the caller to forward to targets: end-to-end ones that the dialect doesn't withhold.
pub(crate) fn forwarded_headers(edge: &Edge, headers: &HeaderMap) -> HeaderMap {
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

/// Copies the end-to-end headers, without `Content-Length`.
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

/// Names of hop-by-hop headers that `Connection` lists, in lower case.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Whether a header is hop-by-hop, or `Expect`, which the daemon itself answers.
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
