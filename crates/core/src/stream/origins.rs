//! The software versions that began streams, for callers that come back.
//!
//! A caller that takes a stream up at another daemon names the attempt that brought its first
//! event. While targets of several versions serve, the daemon that begins a stream tells its
//! origin to a few others, which every daemon can name from the list of daemons. Any daemon asks
//! these. The number of messages per stream does not grow with the fleet.

use std::cmp::Reverse;
use std::time::Duration;

use compact_str::{CompactString, format_compact};

use crate::clock::Moment;
use crate::ids::{DaemonId, FailureDomain, Incarnation, StreamKey, VersionHash, hash_parts};
use crate::membership::{DaemonRecord, is_small_fleet, store_readers};

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
/// Daemons that may write unfinished streams to the store.
const RECORD_WRITERS: usize = 2;
/// Hash key for the selection of these daemons.
const WRITER_KEY: &[u8] = b"stream records";
/// Shortest time for which an origin is kept.
const MIN_LIFETIME: Duration = Duration::from_secs(15);
/// Longest time for which an origin is kept.
const MAX_LIFETIME: Duration = Duration::from_mins(10);
/// Maximum number of origins that are kept; beyond it, none is added.
const MAX_ORIGINS: usize = 200_000;

/// Maximum number of streams that a daemon writes to the store.
const MAX_UNFINISHED: usize = 4_096;
/// Time for which a relayed stream is written to the store after it was last relayed: longer than
/// the intervals at which daemons relay.
const RELAYED_RETENTION: Duration = Duration::from_secs(1);
/// Key prefix of the records of streams in the store.
const RECORD_PREFIX: &str = "lapismoor/streams/";

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
    /// Whether all of its events were forwarded.
    is_finished: bool,
    /// When another daemon last sent it to be written to the store.
    relayed_at: Option<Moment>,
}

value! {
    /// What a daemon knows of a stream.
    #[derive(Copy, Default)]
    pub struct StreamLookup {
        /// Version that began it, if the daemon knows it.
        pub version: Option<VersionHash>,
        /// Whether several versions of its service may have begun it.
        pub are_several: bool,
    }

    /// How a daemon learned of an origin.
    #[derive(Copy)]
    pub enum OriginSource {
        /// The stream began there.
        Own,
        /// Another daemon or the store told it.
        Told,
        /// Another daemon, which does not write to the store itself, has the stream in progress.
        Relayed,
    }
}

/// Origins that this daemon knows.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    /// Invariant: sorted by stream; at most [`MAX_ORIGINS`] long.
    known: Vec<KnownOrigin>,
}

impl StreamOrigins {
    /// Records where a stream began. The origin of a stream does not change.
    pub fn record(&mut self, now: Moment, origin: &StreamOrigin, source: OriginSource) {
        let lifetime = origin.lifetime.clamp(MIN_LIFETIME, MAX_LIFETIME);
        let expires_at = now + lifetime;
        let position = match self.position(origin.stream) {
            Ok(position) => position,
            Err(_) if self.known.len() >= MAX_ORIGINS => return,
            Err(position) => {
                let known = KnownOrigin {
                    stream: origin.stream,
                    version: origin.version,
                    expires_at,
                    is_own: false,
                    is_finished: false,
                    relayed_at: None,
                };
                self.known.insert(position, known);
                position
            }
        };
        let known = &mut self.known[position];
        known.expires_at = known.expires_at.max(expires_at);
        match source {
            OriginSource::Own => known.is_own = true,
            OriginSource::Told => {}
            OriginSource::Relayed => known.relayed_at = Some(now),
        }
    }

    /// Records that all events of a stream were forwarded.
    pub fn finish(&mut self, stream: StreamKey) {
        if let Ok(position) = self.position(stream) {
            self.known[position].is_finished = true;
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
        self.select(now, |known| known.is_own)
    }

    /// The origins of the streams at this daemon that are in progress or broke off, and of those
    /// that were relayed to it a moment ago; the ones that end last, if there are many.
    #[must_use]
    pub fn unfinished(&self, now: Moment) -> Vec<StreamOrigin> {
        let mut unfinished = self.select(now, |known| {
            let is_relayed = |at| now.saturating_sub(at) < RELAYED_RETENTION;
            (known.is_own && !known.is_finished) || known.relayed_at.is_some_and(is_relayed)
        });
        if unfinished.len() > MAX_UNFINISHED {
            unfinished.sort_by_key(|origin| Reverse(origin.lifetime));
            unfinished.truncate(MAX_UNFINISHED);
        }
        unfinished
    }

    fn select(&self, now: Moment, is_wanted: impl Fn(&KnownOrigin) -> bool) -> Vec<StreamOrigin> {
        let wanted = self.known.iter().filter(|known| is_wanted(known));
        let origins = wanted.map(|known| StreamOrigin {
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

/// The daemons that write the fleet's unfinished streams to the store, in order of preference. The
/// others that read the store send them theirs, and those that a daemon sent to them.
#[must_use]
pub fn record_writers(daemons: &[DaemonRecord]) -> Vec<&DaemonRecord> {
    let mut readers = store_readers(daemons);
    readers.sort_by_cached_key(|one| hash_parts(&[WRITER_KEY, one.id.as_bytes()]));
    readers.truncate(RECORD_WRITERS);
    readers
}

/// Key of the record of a daemon's unfinished streams. A daemon that starts again does not
/// overwrite the record of its predecessor.
#[must_use]
pub fn streams_record_key(daemon: &DaemonId, incarnation: Incarnation) -> CompactString {
    format_compact!("{RECORD_PREFIX}{daemon}/{incarnation:016x}")
}

/// Whether a key of the store is that of a record of streams.
#[must_use]
pub fn is_streams_record_key(key: &str) -> bool {
    key.starts_with(RECORD_PREFIX)
}

/// Bytes of one stream in a record: its key, and its lifetime in tenths of a second.
const ROW_BYTES: usize = 10;

/// Encodes the value of a record of streams: for each version its hash, the number of its streams,
/// and these.
#[must_use]
pub fn encode_streams(streams: &[StreamOrigin]) -> Vec<u8> {
    let mut sorted = streams.to_vec();
    sorted.sort_by_key(|origin| (origin.version, origin.stream));
    let mut value = Vec::with_capacity(streams.len() * ROW_BYTES);
    for of_version in sorted.chunk_by(|left, right| left.version == right.version) {
        let count = u32::try_from(of_version.len()).unwrap_or(u32::MAX);
        value.extend_from_slice(&of_version[0].version.to_le_bytes());
        value.extend_from_slice(&count.to_le_bytes());
        for origin in of_version {
            let tenths = origin.lifetime.as_millis().div_ceil(100);
            let tenths = u16::try_from(tenths).unwrap_or(u16::MAX);
            value.extend_from_slice(&origin.stream.to_le_bytes());
            value.extend_from_slice(&tenths.to_le_bytes());
        }
    }
    value
}

/// Decodes the value of a record of streams; none if it is cut off.
#[must_use]
pub fn decode_streams(mut value: &[u8]) -> Option<Vec<StreamOrigin>> {
    let mut origins = Vec::new();
    while !value.is_empty() {
        let version = u64::from_le_bytes(take(&mut value)?);
        let count = u32::from_le_bytes(take(&mut value)?);
        for _ in 0..count {
            let stream = u64::from_le_bytes(take(&mut value)?);
            let tenths = u16::from_le_bytes(take(&mut value)?);
            origins.push(StreamOrigin {
                stream,
                version,
                lifetime: Duration::from_millis(u64::from(tenths) * 100),
            });
        }
    }
    Some(origins)
}

/// Takes the first bytes of a value.
fn take<const BYTES: usize>(value: &mut &[u8]) -> Option<[u8; BYTES]> {
    let (first, rest) = value.split_first_chunk()?;
    *value = rest;
    Some(*first)
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
