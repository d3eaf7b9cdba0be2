//! Divides the descriptors of the process, so that callers can't use those with which the daemon reaches the
//! store, its targets and the other daemons.

/// Descriptors that are left to files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the descriptors that is left to files where there are few.
const FILE_PART: usize = 2;
/// Part of the sockets that is the daemon's own.
const OWN_PART: usize = 3;
/// Part of the daemon's own that idle connections to targets may use, and as many for the connections that other
/// daemons open, each of which may need another one to a target.
const POOL_PART: usize = 4;
/// Part of the daemon's own for each listener of the platform and of operators.
const OPERATOR_PART: usize = 12;

value! {
    /// Descriptors by their use.
    #[derive(Copy)]
    pub struct DescriptorPlan {
        /// Connections of callers, and those to targets that serve their requests.
        pub callers: usize,
        /// Idle connections to targets.
        pub idle_targets: usize,
        /// Connections that other daemons open, and those that are forwarded for them.
        pub peers: usize,
        /// Connections for readiness checks, and as many for metrics and status.
        pub operators: usize,
    }
}

impl DescriptorPlan {
    /// Divides `max_descriptors` of the process.
    #[must_use]
    pub fn new(max_descriptors: usize) -> Self {
        let sockets = max_descriptors - FILE_DESCRIPTORS.min(max_descriptors.div_ceil(FILE_PART));
        let own = sockets / OWN_PART;
        Self {
            callers: (sockets - own).max(1),
            idle_targets: own / POOL_PART,
            peers: (own / POOL_PART * 2).max(2),
            operators: (own / OPERATOR_PART).max(1),
        }
    }
}
