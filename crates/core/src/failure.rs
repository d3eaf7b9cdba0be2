//! How a request ends without a whole answer.

use std::time::Duration;

use compact_str::CompactString;

key! {
    /// What a caller may conclude about a request that failed.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// Proved: no target ran any part of it.
        NotRun,
        /// A target may have run it.
        Unknown,
    }

    /// Why no target ran a request. [`Failure::not_run`] takes one, so every path names its proof.
    pub enum NotRunProof {
        /// This daemon owns the request and dispatched no attempt of it.
        NeverDispatched,
        /// Each dispatched attempt was refused by its target before it began.
        RefusedByTargets,
        /// The request was refused before it got an id.
        NeverAccepted,
    }

    /// Kind of a failure.
    #[serde(rename_all = "snake_case")]
    pub enum FailureKind {
        /// The request is malformed or names something that does not exist.
        Invalid,
        /// The workspace reached its limit.
        WorkspaceLimit,
        /// The queue is full of requests at least as urgent.
        QueueFull,
        /// The deadline cannot be met.
        DeadlineUnmeetable,
        /// The deadline passed.
        DeadlinePassed,
        /// No target could be assigned.
        NoTarget,
        /// The daemon is stopping.
        Stopping,
        /// The daemon has no configuration yet.
        NotReady,
        /// The request crashed targets and is refused for a while.
        CrashesTargets,
        /// The target or the way to it failed while the request ran.
        TargetFailed,
        /// The answer outgrew what is kept or resumed.
        AnswerCut,
        /// The key-value service did not answer.
        StoreUnavailable,
        /// The daemon that owns the ticket is gone.
        OwnerGone,
        /// The ticket is unknown, or belongs to another workspace.
        UnknownTicket,
    }
}

value! {
    /// Final answer to a request that was given up.
    pub struct Failure {
        /// Kind.
        pub kind: FailureKind,
        /// What the caller may conclude.
        pub outcome: Outcome,
        /// What happened and what to do about it.
        pub message: CompactString,
        /// When coming back makes sense; none when it does not.
        pub retry_after: Option<Duration>,
    }
}

impl Failure {
    /// A failure of a request that no target ran.
    #[must_use]
    pub fn not_run(proof: NotRunProof, kind: FailureKind, retry_after: Option<Duration>) -> Self {
        let _ = proof;
        Self {
            kind,
            outcome: Outcome::NotRun,
            message: kind.remedy().into(),
            retry_after,
        }
    }

    /// A failure of a request that a target may have run.
    #[must_use]
    pub fn unknown(kind: FailureKind, retry_after: Option<Duration>) -> Self {
        Self {
            kind,
            outcome: Outcome::Unknown,
            message: kind.remedy().into(),
            retry_after,
        }
    }
}

impl FailureKind {
    /// What happened, and the remedy.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Invalid => "the request is not valid; correct it before sending it again",
            Self::WorkspaceLimit => {
                "the workspace reached its limit; slow down, or ask the operator to raise it"
            }
            Self::QueueFull => "the pool's queue is full; come back after the stated time",
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
