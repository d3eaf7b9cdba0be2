//! The host and path of a request, which select its route.

use std::rc::Rc;

use actix_http::{RequestHead, header};
use compact_str::CompactString;
use lapismoor_caller::single_value;
use lapismoor_core::routing::{Route, RoutingConfig, parse_host};

use crate::dialect::EnvelopeError;

/// What selects the route of a request: the value of `Host`, and the path as the caller sent it. The
/// authority of an absolute request target, and fields in which proxies name the original host, have no
/// part in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteKey<'a> {
    /// Value of the `Host` field, or of the question of an operator.
    host: &'a str,
    path: &'a str,
}

impl<'a> RouteKey<'a> {
    pub(crate) fn new(host: &'a str, path: &'a str) -> Self {
        Self { host, path }
    }

    /// Reads the host and path of a request.
    ///
    /// # Errors
    /// [`EnvelopeError`] if `Host` is missing, repeated or malformed.
    pub(crate) fn of(head: &'a RequestHead) -> Result<Self, EnvelopeError> {
        let host = single_value(head.headers(), header::HOST);
        let host = host.map_err(|error| problem(error.problem()))?;
        let host = host.ok_or_else(|| problem("missing"))?;
        if parse_host(host).is_none() {
            return Err(problem("no host"));
        }
        Ok(Self::new(host, head.uri.path()))
    }

    /// The host in lower case and without the port; empty if it is malformed.
    pub(crate) fn host(&self) -> CompactString {
        parse_host(self.host).unwrap_or_default()
    }

    pub(crate) fn path(&self) -> &'a str {
        self.path
    }

    /// The route with the longest prefix; none of a malformed host.
    pub(crate) fn route<'c>(&self, config: &'c RoutingConfig) -> Option<&'c Rc<Route>> {
        config.route(&parse_host(self.host)?, self.path)
    }
}

fn problem(problem: &'static str) -> EnvelopeError {
    EnvelopeError {
        header: "host".into(),
        problem,
    }
}
