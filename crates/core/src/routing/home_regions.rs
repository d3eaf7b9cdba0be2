//! Regions in which requests may be served.

use crate::ids::{FailureDomain, Region};

value! {
    /// The regions of the fleet's failure domains.
    #[derive(Default)]
    pub struct Regions {
        /// Region of each failure domain. Invariant: sorted by domain.
        domains: Vec<(FailureDomain, Region)>,
    }

    /// The home regions that bind one request. An empty list binds nothing.
    #[derive(Copy, Default)]
    pub struct Homes<'a> {
        /// Home regions of its route. Invariant: sorted.
        pub route: &'a [Region],
        /// Home regions of its caller's workspace. Invariant: sorted.
        pub workspace: &'a [Region],
    }
}

impl Regions {
    /// The regions of these failure domains.
    #[must_use]
    pub fn new(mut domains: Vec<(FailureDomain, Region)>) -> Self {
        domains.sort();
        Self { domains }
    }

    /// Region of a failure domain, if it is known.
    #[must_use]
    pub fn of(&self, domain: &str) -> Option<&Region> {
        let found = self
            .domains
            .binary_search_by(|(known, _)| known.as_str().cmp(domain));
        found.ok().map(|position| &self.domains[position].1)
    }
}

impl Homes<'_> {
    /// Whether the request may be served in a region. Where the route and the workspace both have
    /// home regions, both bind. An unknown region is none of them.
    #[must_use]
    pub fn allow(&self, region: Option<&Region>) -> bool {
        let is_home = |homes: &[Region]| {
            homes.is_empty() || region.is_some_and(|region| homes.binary_search(region).is_ok())
        };
        is_home(self.route) && is_home(self.workspace)
    }

    /// Whether a daemon in the domain `own`, to which the caller connected, may send the body of the
    /// request to a daemon in the domain `other`.
    #[must_use]
    pub fn allow_body(&self, regions: &Regions, own: &str, other: &str) -> bool {
        let region = regions.of(other);
        let is_own = own == other || (region.is_some() && region == regions.of(own));
        is_own || self.allow(region)
    }

    /// Whether the request may be served anywhere.
    #[must_use]
    pub fn are_everywhere(&self) -> bool {
        self.route.is_empty() && self.workspace.is_empty()
    }
}
