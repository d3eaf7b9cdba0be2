//! What a caller asks for.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::ids::{self, ChatKey, Fingerprint, PoolId, ProfileId, RequestId, WorkspaceId};

key! {
    /// Urgency of a request; an earlier variant is served first.
    #[serde(rename_all = "snake_case")]
    pub enum Class {
        /// Somebody waits for the answer.
        Urgent,
        /// The usual class.
        Normal,
        /// Work that may wait, within the age bound.
        Background,
    }
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Background];

    /// Position in [`Class::ALL`]; also the priority number sent to engines.
    #[must_use]
    pub fn rank(self) -> usize {
        self as usize
    }
}

value! {
    /// How a caller identifies a request that must not run twice.
    pub enum Identity {
        /// It does not.
        None,
        /// By a ticket issued before.
        Ticket(RequestId),
        /// By a key of its own.
        Key(CompactString),
    }

    /// What a target is to do.
    pub enum Work {
        /// A chat completion by a model.
        Chat {
            /// Name of the model.
            model: CompactString,
            /// Tokens of the prompt and of the longest answer, as far as is known.
            tokens: TokenCount,
        },
        /// A call of a plain service.
        Call {
            /// HTTP method.
            method: CompactString,
            /// Path below the service, without a leading slash; may carry a query.
            path: CompactString,
        },
    }

    /// Tokens of a chat.
    pub struct TokenCount {
        /// Tokens of the messages before the last one, which earlier turns had as well.
        pub earlier: u32,
        /// Tokens of the last message.
        pub last: u32,
        /// Tokens of the longest answer.
        pub answer: u32,
    }

    /// A request as the entry daemon accepted it.
    pub struct Request {
        /// Workspace that pays for it.
        pub workspace: WorkspaceId,
        /// Profile it runs under.
        pub profile: ProfileId,
        /// Pool that the profile names.
        pub pool: PoolId,
        /// Returning chat it belongs to, if any.
        pub chat: Option<ChatKey>,
        /// What to do.
        pub work: Work,
        /// Urgency.
        pub class: Class,
        /// How long the caller waits, from acceptance.
        pub deadline: Duration,
        /// Whether running it twice does no harm.
        pub idempotent: bool,
        /// Whether another target gives the same bytes, so that a cut answer may be continued.
        pub replayable: bool,
        /// Media type of the body.
        pub content_type: CompactString,
        /// Body, passed on unread.
        pub body: Bytes,
        /// W3C trace context of the hop that received it.
        pub traceparent: Option<CompactString>,
    }
}

impl Request {
    /// Fingerprint of workspace and body.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        ids::fingerprint(&self.workspace, &self.body)
    }
}
