//! Reasons for refusing a request, and when its caller may retry.

use std::time::Duration;

/// Delay before a retry that another daemon may serve, or this one a moment later.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Delay before a retry while the store or all targets are unavailable; they return within seconds.
const LONG_RETRY_AFTER: Duration = Duration::from_secs(1);

value! {
    /// Why a request was refused. A refused request has not run.
    pub enum Refusal {
        /// The daemon has no configuration yet.
        NoConfiguration,
        /// The daemon's copy of the configuration may be outdated.
        StaleConfiguration,
        /// No route matches the path.
        NoRoute,
        /// The API key is missing or unknown.
        UnknownKey,
        /// The service has no target in use.
        NoTarget,
        /// No target is in a home region of the request.
        NoHomeTarget,
        /// The failure domains of all targets that could get the request are evacuated.
        Evacuated,
        /// No target has the software version at which the stream began.
        StreamVersionGone,
        /// Targets have different software versions, and at which one the stream began is not known.
        StreamOriginUnknown {
            /// Delay before a retry, if a daemon that was not reached may know.
            retry_after: Option<Duration>,
        },
        /// No target could be reached.
        Unreachable,
        /// All targets have asked for a pause.
        TargetsPaused {
            /// Time until the first pause ends.
            retry_after: Duration,
        },
        /// All targets have reached the limits that they name.
        TargetsLimited {
            /// Time until there may be room for the caller.
            retry_after: Duration,
        },
        /// All targets rejected the request, or the service's retry budget is used up.
        Busy,
        /// The request would wait for too long to be answered on time.
        Full {
            /// Delay before a retry.
            retry_after: Duration,
        },
        /// The queue is full of requests at least as urgent.
        QueueFull {
            /// Delay before a retry.
            retry_after: Duration,
        },
        /// The workspace has reached a limit.
        WorkspaceLimit {
            /// Delay before a retry.
            retry_after: Duration,
        },
        /// The request crashed targets.
        CrashesTargets {
            /// Time left until the ban ends.
            banned_for: Duration,
        },
        /// The memory for the bodies of requests is used up.
        MemoryFull,
        /// The daemon is shutting down.
        Stopping,
    }
}

impl Refusal {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoTarget => "no_target",
            Self::NoHomeTarget => "no_home_target",
            Self::Evacuated => "evacuated",
            Self::StreamVersionGone => "stream_version_gone",
            Self::StreamOriginUnknown { .. } => "stream_origin_unknown",
            Self::Unreachable => "unreachable",
            Self::TargetsPaused { .. } => "targets_paused",
            Self::TargetsLimited { .. } => "targets_limited",
            Self::Busy => "busy",
            Self::Full { .. } => "full",
            Self::QueueFull { .. } => "queue_full",
            Self::WorkspaceLimit { .. } => "workspace_limit",
            Self::CrashesTargets { .. } => "crashes_targets",
            Self::MemoryFull => "memory_full",
            Self::Stopping => "stopping",
        }
    }

    /// HTTP status code of the response.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::WorkspaceLimit { .. } => 429,
            _ => 503,
        }
    }

    /// Delay before a retry; none if a retry cannot succeed.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoRoute | Self::UnknownKey | Self::StreamVersionGone => None,
            Self::StreamOriginUnknown { retry_after } => *retry_after,
            Self::TargetsPaused { retry_after }
            | Self::TargetsLimited { retry_after }
            | Self::Full { retry_after }
            | Self::QueueFull { retry_after }
            | Self::WorkspaceLimit { retry_after } => Some(*retry_after),
            Self::CrashesTargets { banned_for } => Some(*banned_for),
            Self::Stopping => Some(Duration::ZERO),
            Self::Busy | Self::Unreachable | Self::StaleConfiguration | Self::MemoryFull => {
                Some(SHORT_RETRY_AFTER)
            }
            Self::NoConfiguration | Self::NoTarget | Self::NoHomeTarget | Self::Evacuated => {
                Some(LONG_RETRY_AFTER)
            }
        }
    }
}
