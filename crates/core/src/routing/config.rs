//! Routing configuration, indexed for lookups.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;

use crate::admission::RequestRate;
use crate::ids::{ConfigVersion, Region, ServiceId, WorkspaceId};
use crate::routing::route::Route;
use crate::routing::{LoadBound, parse_host};

value! {
    /// How many requests a target takes while it is cold.
    #[derive(Copy)]
    pub struct ColdLimit {
        /// Time for which a target is cold after its start. Invariant: not zero.
        pub start: Duration,
        /// Requests that a cold target takes from all daemons together.
        pub rate: RequestRate,
    }

    /// A service that routes send requests to.
    pub struct Service {
        /// Unique in the configuration.
        pub name: ServiceId,
        /// Connections that one target accepts from all clients together.
        pub max_connections: u32,
        /// Whether its targets are engines.
        pub has_engines: bool,
        /// Requests that one target may have in flight, if configured.
        pub requests_per_target: Option<u32>,
        /// Requests that may wait at one daemon, if configured.
        pub queue_limit: Option<usize>,
        /// Load bound that overrides the fleet's, if configured.
        pub load_bound: Option<LoadBound>,
        /// Limit of its cold targets, if configured.
        pub cold: Option<ColdLimit>,
    }

    /// A workspace whose callers authenticate by key.
    pub struct Workspace {
        /// Unique in the configuration.
        pub name: WorkspaceId,
        /// Rank that overrides the route's, if configured.
        pub rank: Option<u8>,
        /// Regions in which requests are served; empty if they are served everywhere. Invariant:
        /// sorted.
        pub home_regions: Vec<Region>,
    }

    /// Limits on the requests of callers.
    pub struct CallerLimits {
        /// Longest request body.
        pub max_body_bytes: usize,
        /// Time for the head of a request to arrive.
        pub header_timeout: Duration,
        /// Time without a request, or without a byte of one that arrives; `None` if only the daemon limits it.
        pub idle_timeout: Option<Duration>,
    }

    /// The key of a caller and its workspace.
    struct Key {
        key: CompactString,
        /// Position in the list of workspaces.
        workspace: usize,
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 2 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: None,
        }
    }
}

/// The routes, services and workspaces of one configuration version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingConfig {
    version: ConfigVersion,
    /// Invariant: hosts are as [`parse_host`] returns them; sorted by host, then by prefix with the
    /// longest first.
    routes: Vec<Rc<Route>>,
    /// Invariant: sorted by name.
    services: Vec<Service>,
    workspaces: Vec<Workspace>,
    /// Invariant: sorted by key.
    keys: Vec<Key>,
    limits: CallerLimits,
}

/// A workspace and the keys of its callers.
pub type KeyedWorkspace = (Workspace, Vec<CompactString>);

impl RoutingConfig {
    /// Builds the indexes of a configuration.
    #[must_use]
    pub fn new(
        version: ConfigVersion,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        workspaces: Vec<KeyedWorkspace>,
        limits: CallerLimits,
    ) -> Self {
        for route in &mut routes {
            // Requests never name a malformed host, so that its routes match none.
            if let Some(host) = parse_host(&route.host) {
                route.host = host;
            }
        }
        routes.sort_by(|left, right| {
            let by_length = right.prefix.len().cmp(&left.prefix.len());
            left.host.cmp(&right.host).then(by_length)
        });
        services.sort_by(|left, right| left.name.cmp(&right.name));
        let mut keys = Vec::new();
        for (workspace, (_, workspace_keys)) in workspaces.iter().enumerate() {
            keys.extend(workspace_keys.iter().map(|key| Key {
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

    /// Version of this configuration.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Finds the route of `host`, as [`parse_host`] returns it, with the longest prefix that matches
    /// `path`.
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

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        found.ok().map(|position| &self.services[position])
    }

    /// Limits of cold targets, by service.
    #[must_use]
    pub fn cold_limits(&self) -> Vec<(ServiceId, ColdLimit)> {
        let services = self.services.iter();
        let limits = services.filter_map(|service| Some((service.name.clone(), service.cold?)));
        limits.collect()
    }

    /// Longest timeout of the routes to a service whose streams may be resumed; none if there is no
    /// such route.
    #[must_use]
    pub fn resumable_timeout(&self, service: &str) -> Option<Duration> {
        let routes = self.routes.iter().filter(|route| route.is_resumable());
        let to_service = routes.filter(|route| route.goes_to(service));
        to_service.map(|route| route.timeout).max()
    }

    /// Longest timeout of the routes whose streams may be resumed; none if there is no such route.
    #[must_use]
    pub fn longest_resumable_timeout(&self) -> Option<Duration> {
        let routes = self.routes.iter().filter(|route| route.is_resumable());
        routes.map(|route| route.timeout).max()
    }

    /// Whether routes that are not public require a key.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Finds the workspace that a key belongs to.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let found = self
            .keys
            .binary_search_by(|entry| entry.key.as_str().cmp(key));
        found
            .ok()
            .map(|position| &self.workspaces[self.keys[position].workspace])
    }

    /// Finds a workspace by name.
    #[must_use]
    pub fn workspace_named(&self, name: &str) -> Option<&Workspace> {
        let mut workspaces = self.workspaces.iter();
        workspaces.find(|workspace| workspace.name == name)
    }

    /// Limits that apply to all callers.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Numbers of routes, services and keys, in this order.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.routes.len(), self.services.len(), self.keys.len())
    }
}
