//! The software versions at which streams of a service may have begun.
//!
//! A daemon that knows of no other version may assume that a stream began at the one that serves.
//! It must not forget a version whose targets left a moment ago, and must learn of one if it
//! starts after that. So each version is marked in the store while its targets are listed, and for
//! the lifetime of a stream after that.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use crate::clock::Moment;
use crate::ids::{VersionHash, hash_parts};
use crate::membership::{Directory, Standing};

/// Key prefix of the marks.
const MARK_PREFIX: &str = "lapismoor/versions/";
/// Maximum number of versions that are remembered for all services; the one that was seen first
/// is forgotten.
const MAX_VERSIONS: usize = 1_024;

/// Hash of a service's name.
pub type ServiceHash = u64;

document! {
    /// Value of a mark.
    pub struct VersionMark {
        /// Name of the service.
        pub service: CompactString,
        /// The version, shortened.
        pub version: CompactString,
        /// Whether its targets have left. The mark is then attached to a lease.
        pub is_ending: bool,
    }
}

key! {
    /// A software version of a service.
    pub struct ServiceVersion {
        /// The service.
        pub service: ServiceHash,
        /// The version.
        pub version: VersionHash,
    }
}

value! {
    /// The software versions at which a stream of a service may have begun.
    #[derive(Copy)]
    pub enum PossibleVersions {
        /// None is known.
        None,
        /// Only this one.
        One(VersionHash),
        /// More than one.
        Several,
    }
}

value! {
    /// State of the mark of a version.
    #[derive(Copy)]
    pub enum Mark {
        /// The store has none.
        Missing,
        /// Its targets are listed.
        Serving,
        /// Its targets have left, and the mark ends with its lease.
        Ending,
    }
}

#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    key: ServiceVersion,
    /// When a target with it was last listed.
    seen_at: Moment,
    mark: Mark,
}

/// Versions that have served lately, by this daemon's list of targets and by the marks.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    /// Invariant: sorted by key; at most [`MAX_VERSIONS`] long.
    seen: Vec<SeenVersion>,
}

impl ServiceVersion {
    /// Names a version of a service.
    #[must_use]
    pub fn new(service: &str, version: VersionHash) -> Self {
        Self {
            service: service_hash(service),
            version,
        }
    }

    /// Key of the mark in the store.
    #[must_use]
    pub fn mark_key(&self) -> CompactString {
        format_compact!("{MARK_PREFIX}{:016x}/{:016x}", self.service, self.version)
    }

    /// Parses the value of a mark; none if it was removed. One that cannot be read counts as that of
    /// a version that serves.
    #[must_use]
    pub fn read_mark(value: Option<&[u8]>) -> Mark {
        let Some(value) = value else {
            return Mark::Missing;
        };
        let mark = serde_json::from_slice::<VersionMark>(value);
        if mark.is_ok_and(|mark| mark.is_ending) {
            Mark::Ending
        } else {
            Mark::Serving
        }
    }

    /// Parses the key of a mark; none if it is not one.
    #[must_use]
    pub fn from_mark_key(key: &str) -> Option<Self> {
        let (service, version) = key.strip_prefix(MARK_PREFIX)?.split_once('/')?;
        Some(Self {
            service: u64::from_str_radix(service, 16).ok()?,
            version: u64::from_str_radix(version, 16).ok()?,
        })
    }
}

impl VersionHistory {
    /// Records the versions of all targets that get new requests.
    pub fn record_listed(&mut self, now: Moment, directory: &Directory) {
        let targets = directory.targets().iter();
        for target in targets.filter(|target| target.standing != Standing::Leaving) {
            let key = ServiceVersion::new(&target.entry.service, target.version);
            self.record(now, key);
        }
    }

    /// Records that a target with a version is listed. Returns whether the version is new.
    pub fn record(&mut self, now: Moment, key: ServiceVersion) -> bool {
        self.update(now, key, |seen| seen.seen_at = now)
    }

    /// Records the mark of a version in the store. Returns whether the version is new.
    pub fn set_mark(&mut self, now: Moment, key: ServiceVersion, mark: Mark) -> bool {
        if mark == Mark::Missing && self.position(key).is_err() {
            return false;
        }
        self.update(now, key, |seen| seen.mark = mark)
    }

    /// The mark of a version in the store.
    #[must_use]
    pub fn mark(&self, key: ServiceVersion) -> Mark {
        let position = self.position(key);
        position.map_or(Mark::Missing, |position| self.seen[position].mark)
    }

    /// Versions of which no target was listed since `since`, and whose marks have no lease.
    #[must_use]
    pub fn left_since(&self, since: Moment) -> Vec<ServiceVersion> {
        let left = self.seen.iter();
        let left = left.filter(|seen| seen.mark == Mark::Serving && seen.seen_at < since);
        left.map(|seen| seen.key).collect()
    }

    /// The versions at which a stream of a service may have begun that a caller can still take up,
    /// if streams last at most for `lifetime`.
    #[must_use]
    pub fn possible(
        &self,
        now: Moment,
        service: ServiceHash,
        lifetime: Duration,
    ) -> PossibleVersions {
        let first = self.seen.partition_point(|seen| seen.key.service < service);
        let of_service = self.seen[first..].iter();
        let of_service = of_service.take_while(|seen| seen.key.service == service);
        let mut possible = of_service.filter(|seen| seen.is_possible(now, lifetime));
        match (possible.next(), possible.next()) {
            (None, _) => PossibleVersions::None,
            (Some(only), None) => PossibleVersions::One(only.key.version),
            _ => PossibleVersions::Several,
        }
    }

    /// Whether several versions of any service are possible.
    #[must_use]
    pub fn has_several(&self, now: Moment, lifetime: Duration) -> bool {
        let is_possible = |seen: &&SeenVersion| seen.is_possible(now, lifetime);
        let mut previous = None;
        let mut possible = self.seen.iter().filter(is_possible);
        possible.any(|seen| previous.replace(seen.key.service) == Some(seen.key.service))
    }

    /// Forgets versions without a mark of which no target was listed for `lifetime`.
    pub fn sweep(&mut self, now: Moment, lifetime: Duration) {
        self.seen.retain(|seen| seen.is_possible(now, lifetime));
    }

    fn update(
        &mut self,
        now: Moment,
        key: ServiceVersion,
        change: impl FnOnce(&mut SeenVersion),
    ) -> bool {
        let (position, is_new) = match self.position(key) {
            Ok(position) => (position, false),
            Err(_) => (self.insert(now, key), true),
        };
        change(&mut self.seen[position]);
        is_new
    }

    fn insert(&mut self, now: Moment, key: ServiceVersion) -> usize {
        if self.seen.len() >= MAX_VERSIONS {
            let oldest = (0..self.seen.len()).min_by_key(|one| self.seen[*one].seen_at);
            oldest.map(|position| self.seen.remove(position));
        }
        let position = self.position(key).unwrap_or_else(|position| position);
        self.seen.insert(
            position,
            SeenVersion {
                key,
                seen_at: now,
                mark: Mark::Missing,
            },
        );
        position
    }

    fn position(&self, key: ServiceVersion) -> Result<usize, usize> {
        self.seen.binary_search_by(|seen| seen.key.cmp(&key))
    }
}

impl SeenVersion {
    /// Whether a caller may take up a stream that began at the version.
    fn is_possible(&self, now: Moment, lifetime: Duration) -> bool {
        self.mark != Mark::Missing || now.saturating_sub(self.seen_at) < lifetime
    }
}

/// Names a service in messages between daemons.
#[must_use]
pub fn service_hash(service: &str) -> ServiceHash {
    hash_parts(&[service.as_bytes()])
}
