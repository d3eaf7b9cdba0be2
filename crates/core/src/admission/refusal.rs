//! Why a request was not taken, and when its caller may come back.

use std::time::Duration;

/// Wait after which another daemon or a later moment may serve the caller.
const SOON: Duration = Duration::from_millis(250);
/// Wait for a store or targets that are away; they return within seconds.
const LATER: Duration = Duration::from_secs(1);

value! {
    /// Why a request was not taken. It has not run in any case.
    pub enum Refusal {
        /// No configuration is known yet.
        NoConfiguration,
        /// The configuration may have changed since this daemon last heard of it.
        StaleConfiguration,
        /// No route takes the path.
        NoRoute,
        /// The key is missing or unknown.
        UnknownKey,
        /// The service has no target in use.
        NoTarget,
        /// No target could be reached.
        Unreachable,
        /// All targets rejected it, or the retries of the service are used up.
        Busy,
        /// It would wait here for longer than is of use.
        Full {
            /// When to come back.
            retry_after: Duration,
        },
        /// The queue is full of requests at least as urgent.
        QueueFull {
            /// When to come back.
            retry_after: Duration,
        },
        /// The workspace is at its limit.
        WorkspaceLimit {
            /// When to come back.
            retry_after: Duration,
        },
        /// The request crashed targets.
        CrashesTargets {
            /// How long it is refused.
            banned_for: Duration,
        },
        /// This daemon is about to stop.
        Stopping,
    }
}

impl Refusal {
    /// A short name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoTarget => "no_target",
            Self::Unreachable => "unreachable",
            Self::Busy => "busy",
            Self::Full { .. } => "full",
            Self::QueueFull { .. } => "queue_full",
            Self::WorkspaceLimit { .. } => "workspace_limit",
            Self::CrashesTargets { .. } => "crashes_targets",
            Self::Stopping => "stopping",
        }
    }

    /// HTTP status of the refusal.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::WorkspaceLimit { .. } => 429,
            _ => 503,
        }
    }

    /// When to come back; none if that would not help.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoRoute | Self::UnknownKey => None,
            Self::Full { retry_after }
            | Self::QueueFull { retry_after }
            | Self::WorkspaceLimit { retry_after } => Some(*retry_after),
            Self::CrashesTargets { banned_for } => Some(*banned_for),
            Self::Stopping => Some(Duration::ZERO),
            Self::Busy | Self::Unreachable | Self::StaleConfiguration => Some(SOON),
            Self::NoConfiguration | Self::NoTarget => Some(LATER),
        }
    }
}
