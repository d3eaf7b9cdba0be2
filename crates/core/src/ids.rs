//! Names and numbers that identify things.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

/// Name of a daemon, unique in the fleet and stable across restarts.
pub type DaemonId = CompactString;
/// Name of a target: one engine or one instance of a plain service.
pub type TargetId = CompactString;
/// Name of a pool of targets.
pub type PoolId = CompactString;
/// Name of a service that routes lead to.
pub type ServiceId = CompactString;
/// Number that a daemon gives to one run of a target when it first hears of it; never reused.
pub type TargetKey = u64;
/// Position in the history of the platform's store.
pub type StoreRevision = u64;
/// Version of the routing configuration; grows by uneven steps.
pub type ConfigVersion = u64;
/// Name of a workspace.
pub type WorkspaceId = CompactString;
/// Name of a profile.
pub type ProfileId = CompactString;
/// Name of a failure domain.
pub type FailureDomain = CompactString;
/// Random number drawn by a process at start; tells two runs of one daemon or target apart.
pub type Incarnation = u64;
/// Hash of workspace and chat id.
pub type ChatKey = u64;
/// Hash of workspace and request body.
pub type Fingerprint = u64;
/// Number of a configuration; grows by one with each accepted change.
pub type ConfigRevision = u64;

key! {
    /// Identifies a request in the fleet. Given to a caller ahead of the call it is a ticket.
    ///
    /// Invariant: only the daemon incarnation named here ever dispatches the request.
    pub struct RequestId {
        /// The incarnation that owns the request.
        pub incarnation: Incarnation,
        /// Counts the requests of that incarnation.
        pub sequence: u64,
    }
}

/// A text that is not an id.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("'{text}' is no request id; pass the ticket exactly as it was issued"))]
pub struct IdError {
    text: CompactString,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || IdError {
            text: text.chars().take(80).collect(),
        };
        let (incarnation, sequence) = text.split_once('-').ok_or_else(error)?;
        if incarnation.len() != 16 {
            return Err(error());
        }
        Ok(Self {
            incarnation: u64::from_str_radix(incarnation, 16).map_err(|_| error())?,
            sequence: u64::from_str_radix(sequence, 16).map_err(|_| error())?,
        })
    }
}

/// Hashes a workspace and its chat id.
#[must_use]
pub fn chat_key(workspace: &str, chat: &str) -> ChatKey {
    hash_parts(&[workspace.as_bytes(), chat.as_bytes()])
}

/// Hashes a workspace and a request body.
#[must_use]
pub fn fingerprint(workspace: &str, body: &[u8]) -> Fingerprint {
    hash_parts(&[workspace.as_bytes(), body])
}

/// Hashes parts such that moving a byte from one part to the next changes the result.
#[must_use]
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hashes = Vec::with_capacity(parts.len() * size_of::<u64>());
    for part in parts {
        hashes.extend_from_slice(&xxh3_64(part).to_le_bytes());
    }
    xxh3_64(&hashes)
}
