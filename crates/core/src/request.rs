//! Requests of callers that use the operators' profiles.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::ids::{self, ChatKey, Fingerprint, PoolId, ProfileId, RequestId, WorkspaceId};

key! {
    /// Urgency of a request; variants are ordered from most to least urgent.
    #[serde(rename_all = "snake_case")]
    pub enum Class {
        /// A person is waiting for the answer.
        Urgent,
        /// Requests without special urgency.
        Normal,
        /// May be deferred until it reaches the aging threshold of the queue.
        Background,
    }
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Background];

    /// Position in [`Class::ALL`]; also sent to engines as the priority.
    #[must_use]
    pub fn rank(self) -> usize {
        self as usize
    }
}

value! {
    /// How a caller identifies a request, so that it runs at most once even if sent repeatedly.
    pub enum Identity {
        /// Not identified; each send is a request of its own.
        None,
        /// A ticket that a daemon issued to the caller.
        Ticket(RequestId),
        /// An idempotency key that the caller generated.
        Key(CompactString),
    }

    /// Operation that a target performs.
    pub enum Work {
        /// A chat completion by a model.
        Chat {
            /// Model to run.
            model: CompactString,
            /// Estimated tokens of the prompt and of the longest answer.
            tokens: TokenCount,
        },
        /// A call of a plain service.
        Call {
            /// HTTP method of the call.
            method: CompactString,
            /// Path below the service, without a leading slash; may include a query.
            path: CompactString,
        },
    }

    /// Estimated number of tokens of a chat request.
    pub struct TokenCount {
        /// Messages before the last one, which earlier turns of the chat contained as well.
        pub earlier: u32,
        /// The last message.
        pub last: u32,
        /// The longest answer that the request allows.
        pub answer: u32,
    }

    /// A request accepted from a caller.
    pub struct Request {
        /// Workspace that the request is accounted to.
        pub workspace: WorkspaceId,
        /// Profile that the request uses.
        pub profile: ProfileId,
        /// Pool that the profile refers to.
        pub pool: PoolId,
        /// Chat that the request continues, if any.
        pub chat: Option<ChatKey>,
        /// Operation to perform.
        pub work: Work,
        /// Urgency in the queue and at engines.
        pub class: Class,
        /// How long the caller waits for the answer, counted from acceptance.
        pub deadline: Duration,
        /// Whether the request may safely run more than once.
        pub idempotent: bool,
        /// Whether all targets produce the same bytes, so that another one may resume a partial
        /// answer.
        pub replayable: bool,
        /// Media type of the body.
        pub content_type: CompactString,
        /// Body, forwarded without parsing.
        pub body: Bytes,
        /// W3C trace context of the hop that received the request.
        pub traceparent: Option<CompactString>,
    }
}

impl Request {
    /// Hash of workspace, operation and body, by which repeats of a request are told from others.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let (method, path) = match &self.work {
            Work::Chat { .. } => ("", ""),
            Work::Call { method, path } => (method.as_str(), path.as_str()),
        };
        ids::hash_parts(&[
            self.workspace.as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            &self.body,
        ])
    }
}
