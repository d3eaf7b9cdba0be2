//! Identifiers: names, version numbers and hashes.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

/// Name of a daemon; unique in the fleet and stable across restarts.
pub type DaemonId = CompactString;
/// Version of the software that a target runs; empty if it announces none.
pub type SoftwareVersion = CompactString;
/// Hash of a software version, by which daemons name it to each other.
pub type VersionHash = u64;
/// Hash of workspace and request id of the attempt that brought the first event of a stream.
pub type StreamKey = u64;
/// Name of a target: one engine or one instance of a plain service.
pub type TargetId = CompactString;
/// Name of a pool of targets.
pub type PoolId = CompactString;
/// Name of a service that routes refer to.
pub type ServiceId = CompactString;
/// Number that a daemon assigns to an incarnation of a target when it first learns of it; never
/// reused.
pub type TargetKey = u64;
/// Number of times that the platform's store was restored from a copy.
pub type StoreEra = u64;
/// Version of the routing configuration; increases with each change, but not always by one.
pub type ConfigVersion = u64;
/// Name of a workspace.
pub type WorkspaceId = CompactString;
/// Name of a profile.
pub type ProfileId = CompactString;
/// Name of a failure domain.
pub type FailureDomain = CompactString;
/// Name of a region, which has one or more failure domains.
pub type Region = CompactString;
/// Random number that a daemon generates at start; distinguishes it from earlier incarnations under
/// the same name.
pub type Incarnation = u64;
/// Hash of workspace and chat id.
pub type ChatKey = u64;
/// Hash of workspace and request body.
pub type Fingerprint = u64;
/// Revision of the profile configuration; increases by one with each accepted change.
pub type ConfigRevision = u64;

key! {
    /// State of the platform's store. After the store was restored from a copy, it gives out
    /// numbers again, so that only those of the same era can be compared; a later era is newer.
    #[derive(Default)]
    pub struct StoreRevision {
        /// Era of the store; zero if it announces none.
        pub era: StoreEra,
        /// Number that increases with each change.
        pub number: u64,
    }

    /// Identifies a request within the fleet. An id that is issued to a caller before its request
    /// is called a ticket.
    ///
    /// Invariant: only the daemon incarnation in the id dispatches the request.
    pub struct RequestId {
        /// Daemon incarnation that owns the request.
        pub incarnation: Incarnation,
        /// Sequence number among the requests of that incarnation.
        pub sequence: u64,
    }
}

/// The text is not a valid request id.
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

/// Hashes a workspace and a chat id, so that equal chat ids of two workspaces differ.
#[must_use]
pub fn chat_key(workspace: &str, chat: &str) -> ChatKey {
    hash_parts(&[workspace.as_bytes(), chat.as_bytes()])
}

/// Hashes a software version. Targets that announce none have the same one.
#[must_use]
pub fn version_hash(version: &str) -> VersionHash {
    hash_parts(&[version.as_bytes()])
}

/// Hashes a workspace and a request id, so that a caller can't name the stream of another workspace.
#[must_use]
pub fn stream_key(workspace: &str, request: &str) -> StreamKey {
    hash_parts(&[workspace.as_bytes(), request.as_bytes()])
}

/// Hashes a list of parts; the boundaries between the parts affect the result.
#[must_use]
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut part_hashes = Vec::with_capacity(parts.len() * size_of::<u64>());
    for part in parts {
        part_hashes.extend_from_slice(&xxh3_64(part).to_le_bytes());
    }
    xxh3_64(&part_hashes)
}
