//! The software versions that began streams, for callers that come back.
//!
//! A caller that takes a stream up at another daemon names the attempt that brought its first
//! event. While targets of several versions serve, the daemon that begins a stream tells its
//! origin to a few others, which every daemon can name from the list of daemons. Any daemon asks
//! these. The number of messages per stream does not grow with the fleet.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::{FailureDomain, StreamKey, VersionHash, hash_parts};
use crate::membership::{DaemonRecord, is_small_fleet};

/// Failure domains whose daemons hold the origin of a stream in a large fleet.
const HOLDING_DOMAINS: usize = 3;
/// Daemons of a failure domain for each one that holds origins. Each daemon has a connection to
/// all that do.
const DAEMONS_PER_HOLDER: usize = 16;
/// Fewest daemons of a failure domain that hold origins.
const MIN_HOLDERS: usize = 2;
/// Hash key for the selection of the holders of a domain.
const HOLDER_KEY: &[u8] = b"stream origins";
/// Time after which the last try of a caller has ended that waited until its deadline.
const LIFETIME_MARGIN: Duration = Duration::from_secs(5);
/// Shortest time for which an origin is kept.
const MIN_LIFETIME: Duration = Duration::from_secs(15);
/// Longest time for which an origin is kept.
const MAX_LIFETIME: Duration = Duration::from_mins(10);
/// Maximum number of origins that are kept; beyond it, none is added.
const MAX_ORIGINS: usize = 200_000;

value! {
    /// The software version that began a stream.
    #[derive(Copy)]
    pub struct StreamOrigin {
        /// The attempt of the caller that brought the first event.
        pub stream: StreamKey,
        /// Version of the target.
        pub version: VersionHash,
        /// Time left in which the caller may come back.
        pub lifetime: Duration,
    }
}

#[derive(Debug, Clone, Copy)]
struct KnownOrigin {
    stream: StreamKey,
    version: VersionHash,
    expires_at: Moment,
    /// Whether the stream began at this daemon.
    is_own: bool,
}

/// Origins that this daemon knows.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    /// Invariant: sorted by stream; at most [`MAX_ORIGINS`] long.
    known: Vec<KnownOrigin>,
}

impl StreamOrigins {
    /// Records where a stream began. The origin of a stream does not change.
    pub fn record(&mut self, now: Moment, origin: &StreamOrigin, is_own: bool) {
        let lifetime = origin.lifetime.clamp(MIN_LIFETIME, MAX_LIFETIME);
        let expires_at = now + lifetime;
        match self.position(origin.stream) {
            Ok(position) => {
                let known = &mut self.known[position];
                known.expires_at = known.expires_at.max(expires_at);
                known.is_own |= is_own;
            }
            Err(_) if self.known.len() >= MAX_ORIGINS => {}
            Err(position) => self.known.insert(
                position,
                KnownOrigin {
                    stream: origin.stream,
                    version: origin.version,
                    expires_at,
                    is_own,
                },
            ),
        }
    }

    /// The version that began a stream; none if it is not known here.
    #[must_use]
    pub fn find(&self, now: Moment, stream: StreamKey) -> Option<VersionHash> {
        let position = self.position(stream).ok()?;
        let known = self.known[position];
        (now < known.expires_at).then_some(known.version)
    }

    /// The origins of the streams that began at this daemon.
    #[must_use]
    pub fn own(&self, now: Moment) -> Vec<StreamOrigin> {
        let own = self.known.iter().filter(|known| known.is_own);
        let origins = own.map(|known| StreamOrigin {
            stream: known.stream,
            version: known.version,
            lifetime: known.expires_at.saturating_sub(now),
        });
        origins.collect()
    }

    /// Forgets streams that no caller can take up any more.
    pub fn sweep(&mut self, now: Moment) {
        self.known.retain(|known| now < known.expires_at);
    }

    fn position(&self, stream: StreamKey) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| known.stream.cmp(&stream))
    }
}

/// Time for which a stream may be taken up, and for which a version that served counts, if callers
/// wait at most for `timeout`.
#[must_use]
pub fn stream_lifetime(timeout: Duration) -> Duration {
    timeout
        .saturating_add(LIFETIME_MARGIN)
        .clamp(MIN_LIFETIME, MAX_LIFETIME)
}

/// The daemons that hold the origin of a stream, besides the one that began it: all of a small
/// fleet, and one in each of a few failure domains of a large one.
#[must_use]
pub fn origin_holders(stream: StreamKey, daemons: &[DaemonRecord]) -> Vec<&DaemonRecord> {
    if is_small_fleet(daemons) {
        return daemons.iter().collect();
    }
    let mut domains: Vec<&FailureDomain> = daemons.iter().map(|one| &one.domain).collect();
    domains.sort();
    domains.dedup();
    domains.sort_by_cached_key(|domain| hash_parts(&[&stream.to_le_bytes(), domain.as_bytes()]));
    let per_domain = HOLDING_DOMAINS.div_ceil(domains.len());
    let holders = domains
        .into_iter()
        .take(HOLDING_DOMAINS)
        .flat_map(|domain| {
            let mut holders = domain_holders(domain, daemons);
            holders
                .sort_by_cached_key(|one| hash_parts(&[&stream.to_le_bytes(), one.id.as_bytes()]));
            holders.truncate(per_domain);
            holders
        });
    holders.collect()
}

/// The daemons of a failure domain that hold origins.
fn domain_holders<'a>(
    domain: &FailureDomain,
    daemons: &'a [DaemonRecord],
) -> Vec<&'a DaemonRecord> {
    let members = daemons.iter().filter(|one| one.domain == *domain);
    let mut members: Vec<&DaemonRecord> = members.collect();
    let count = members.len().div_ceil(DAEMONS_PER_HOLDER).max(MIN_HOLDERS);
    members.sort_by_cached_key(|one| hash_parts(&[HOLDER_KEY, one.id.as_bytes()]));
    members.truncate(count);
    members
}
