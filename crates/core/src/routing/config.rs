//! The configuration in force, indexed for lookups.

use std::rc::Rc;

use compact_str::CompactString;

use crate::ids::{ConfigVersion, ServiceId, WorkspaceId};
use crate::routing::LoadBound;
use crate::routing::route::Route;

value! {
    /// A service behind routes.
    pub struct Service {
        /// Name.
        pub name: ServiceId,
        /// Connections that one target takes from all callers together.
        pub max_connections: u32,
        /// Whether its targets are model engines.
        pub has_engines: bool,
        /// Requests that one target may have in flight, where the operators say so.
        pub requests_per_target: Option<u32>,
        /// Requests that may wait at one daemon, where the operators say so.
        pub queue_limit: Option<usize>,
        /// Load of a target against the mean, where the operators say so.
        pub load_bound: Option<LoadBound>,
    }

    /// A workspace.
    pub struct Workspace {
        /// Name.
        pub name: WorkspaceId,
        /// Rank that goes before the route's.
        pub rank: Option<u8>,
    }

    /// What a caller may send.
    pub struct CallerLimits {
        /// Bytes of a body.
        pub max_body_bytes: usize,
    }

    /// A key and its workspace.
    struct Key {
        key: CompactString,
        /// Position in the list of workspaces.
        workspace: usize,
    }
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingConfig {
    version: ConfigVersion,
    /// Invariant: sorted by host, then by prefix with the longest first.
    routes: Vec<Rc<Route>>,
    /// Invariant: sorted by name.
    services: Vec<Service>,
    workspaces: Vec<Workspace>,
    /// Invariant: sorted by key.
    keys: Vec<Key>,
    limits: CallerLimits,
}

/// A workspace with the keys of its callers.
pub type KeyedWorkspace = (Workspace, Vec<CompactString>);

impl RoutingConfig {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(
        version: ConfigVersion,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        workspaces: Vec<KeyedWorkspace>,
        limits: CallerLimits,
    ) -> Self {
        routes.sort_by(|left, right| {
            let by_length = right.prefix.len().cmp(&left.prefix.len());
            left.host.cmp(&right.host).then(by_length)
        });
        services.sort_by(|left, right| left.name.cmp(&right.name));
        let mut keys = Vec::new();
        for (workspace, (_, owned)) in workspaces.iter().enumerate() {
            keys.extend(owned.iter().map(|key| Key {
                key: key.clone(),
                workspace,
            }));
        }
        keys.sort_by(|left, right| left.key.cmp(&right.key));
        Self {
            version,
            routes: routes.into_iter().map(Rc::new).collect(),
            services,
            workspaces: workspaces
                .into_iter()
                .map(|(workspace, _)| workspace)
                .collect(),
            keys,
            limits,
        }
    }

    /// Its version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The route of a host with the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        found.ok().map(|position| &self.services[position])
    }

    /// Whether routes that are not public ask for a key.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let found = self
            .keys
            .binary_search_by(|known| known.key.as_str().cmp(key));
        found
            .ok()
            .map(|position| &self.workspaces[self.keys[position].workspace])
    }

    /// What callers may send.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Number of routes, services and keys.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.routes.len(), self.services.len(), self.keys.len())
    }
}
