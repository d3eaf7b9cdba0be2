//! Failures that are returned to callers instead of a complete answer.

use std::time::Duration;

use compact_str::CompactString;

key! {
    /// What is known about the execution of a failed request.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// Certain: no target ran any part of the request.
        NotRun,
        /// A target may have run the request.
        Unknown,
    }

    /// Why it is certain that no target ran a request. [`Failure::not_run`] requires one, so that
    /// each code path states its evidence.
    pub enum NotRunProof {
        /// This daemon owns the request and dispatched no attempt.
        NeverDispatched,
        /// The target of each dispatched attempt refused it before execution started.
        RefusedByTargets,
        /// The request was refused before it was assigned an id.
        NeverAccepted,
    }

    /// Cause of a failure.
    #[serde(rename_all = "snake_case")]
    pub enum FailureKind {
        /// The request is malformed or names something that does not exist.
        Invalid,
        /// The workspace has reached one of its limits.
        WorkspaceLimit,
        /// The queue is full, and no queued request is less urgent.
        QueueFull,
        /// The memory for requests is used up.
        MemoryFull,
        /// The deadline cannot be met.
        DeadlineUnmeetable,
        /// The deadline passed.
        DeadlinePassed,
        /// No target can take the request.
        NoTarget,
        /// The daemon is stopping.
        Stopping,
        /// The daemon has not loaded a configuration yet.
        NotReady,
        /// The same request crashed targets before and is temporarily refused.
        CrashesTargets,
        /// The target or the connection to it failed while the request ran.
        TargetFailed,
        /// The answer is larger than what can be stored or resumed.
        AnswerCut,
        /// The store did not answer.
        StoreUnavailable,
        /// The daemon that owns the ticket is gone.
        OwnerGone,
        /// The ticket is unknown, or belongs to another workspace.
        UnknownTicket,
    }
}

value! {
    /// Final answer to a request that failed.
    pub struct Failure {
        /// What caused the failure.
        pub kind: FailureKind,
        /// Whether the request may have run.
        pub outcome: Outcome,
        /// What happened and how to proceed, for the caller.
        pub message: CompactString,
        /// Time after which a retry makes sense; `None` if a retry is of no use.
        pub retry_after: Option<Duration>,
    }
}

impl Failure {
    /// Creates the failure of a request that no target ran.
    #[must_use]
    pub fn not_run(proof: NotRunProof, kind: FailureKind, retry_after: Option<Duration>) -> Self {
        let _ = proof;
        Self {
            kind,
            outcome: Outcome::NotRun,
            message: kind.message().into(),
            retry_after,
        }
    }

    /// Creates the failure of a request that a target may have run.
    #[must_use]
    pub fn unknown(kind: FailureKind, retry_after: Option<Duration>) -> Self {
        Self {
            kind,
            outcome: Outcome::Unknown,
            message: kind.message().into(),
            retry_after,
        }
    }
}

impl FailureKind {
    /// What happened and how to proceed, in words for the caller.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            Self::Invalid => "the request is not valid; correct it before sending it again",
            Self::WorkspaceLimit => {
                "the workspace reached its limit; slow down, or ask the operator to raise it"
            }
            Self::QueueFull => "the pool's queue is full; come back after the stated time",
            Self::MemoryFull => "the daemon has no room for the body; come back later",
            Self::DeadlineUnmeetable => {
                "the deadline cannot be met; come back later or allow more time"
            }
            Self::DeadlinePassed => "the deadline passed; allow more time or come back later",
            Self::NoTarget => "no target can take the request now; come back after the stated time",
            Self::Stopping => "this daemon is stopping; send the request again to the fleet",
            Self::NotReady => "this daemon has no configuration yet; send the request again",
            Self::CrashesTargets => {
                "this request crashed targets and is refused for a while; change its body"
            }
            Self::TargetFailed => "the target failed while it ran the request; check its effect",
            Self::AnswerCut => "the answer was cut and cannot be continued; check its effect",
            Self::StoreUnavailable => {
                "the key cannot be recorded now; use a ticket or come back after the stated time"
            }
            Self::OwnerGone => "the daemon that owned the ticket is gone; check the call's effect",
            Self::UnknownTicket => "the ticket is unknown or expired; get a new one",
        }
    }
}
