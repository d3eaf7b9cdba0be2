//! Requests that may crash targets.
//!
//! A request is suspected of a crash if its attempt broke off and its target turned out to have
//! crashed. What else was in flight there breaks off as well, so that one crash says little: only
//! crashes that follow each other count, each of an attempt that began after the one before broke off,
//! and a request that is served once is cleared. After [`CRASHES_ALLOWED`] it is refused, first for
//! seconds, as a whole pool may have crashed under it, then for long.
//!
//! Daemons tell each other of requests that crashed more than one target.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use crate::clock::Moment;
use crate::ids::{Fingerprint, TargetKey};
use crate::store::SUSPECTS;

/// Crashes after which a request is refused; the users' rule allows no more.
pub const CRASHES_ALLOWED: u32 = 3;
/// Crashes from which on other daemons are told; a single one is mostly a neighbour's.
const CRASHES_TOLD: u32 = 2;
/// How long a request is refused after its third, fourth and any later crash: two more tries, of the
/// three that the users' rule allows.
const BANS: [Duration; 3] = [Duration::from_secs(10), Duration::from_mins(1), MAX_BAN];
/// How long a request is remembered and refused at the most.
pub const MAX_BAN: Duration = Duration::from_mins(10);
/// Time between the end of an attempt and the sign of the crash: a target's entry lapses within it.
const SIGHT: Duration = Duration::from_secs(5);
/// Requests remembered; more than break off within [`SIGHT`] when half of the largest pool crashes.
const MAX_REMEMBERED: usize = 4_096;

value! {
    /// A request and the crashes that it is suspected of.
    pub struct Suspicion {
        /// The request.
        pub fingerprint: Fingerprint,
        /// Crashes that followed each other.
        pub crashes: u32,
    }

    struct Known {
        suspicion: Suspicion,
        /// When its last attempt broke off that counted.
        last_break: Moment,
        /// When that crash was known.
        last_crash: Moment,
    }

    /// An attempt that broke off.
    struct Broken {
        fingerprint: Fingerprint,
        target: TargetKey,
        sent_at: Moment,
        at: Moment,
    }
}

/// Requests that may crash targets.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    /// Invariant: sorted by fingerprint; at most [`MAX_REMEMBERED`].
    known: Vec<Known>,
    /// Invariant: in order of time; at most [`MAX_REMEMBERED`].
    broken: Vec<Broken>,
}

impl Suspects {
    /// Notes that an attempt sent at `sent_at` broke off.
    pub fn record_interrupted_attempt(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        target: TargetKey,
        sent_at: Moment,
    ) {
        self.broken
            .retain(|broken| now.saturating_sub(broken.at) <= SIGHT);
        if self.broken.len() >= MAX_REMEMBERED {
            self.broken.remove(0);
        }
        self.broken.push(Broken {
            fingerprint,
            target,
            sent_at,
            at: now,
        });
    }

    /// Takes the sign that a target crashed. Returns the requests that are now suspected of more.
    pub fn record_crash(&mut self, now: Moment, target: TargetKey) -> Vec<Suspicion> {
        let is_its =
            |broken: &mut Broken| broken.target == target && now.saturating_sub(broken.at) <= SIGHT;
        let ended: Vec<Broken> = self.broken.extract_if(.., is_its).collect();
        let mut risen = Vec::new();
        for broken in ended {
            risen.extend(self.count(now, &broken));
        }
        risen
    }

    /// Takes what another daemon found out.
    pub fn merge(&mut self, now: Moment, told: &Suspicion) {
        let known = self.known_mut(told.fingerprint);
        if known.suspicion.crashes < told.crashes {
            known.suspicion.crashes = told.crashes;
            known.last_crash = now;
        }
    }

    /// Clears a request that was served.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Ok(position) = self.position(fingerprint) {
            self.known.remove(position);
        }
        self.broken
            .retain(|broken| broken.fingerprint != fingerprint);
    }

    /// How long a request is refused; none if it may run.
    #[must_use]
    pub fn ban(&self, now: Moment, fingerprint: Fingerprint) -> Option<Duration> {
        let position = self.position(fingerprint).ok()?;
        let known = &self.known[position];
        let beyond = known.suspicion.crashes.checked_sub(CRASHES_ALLOWED)?;
        let beyond = usize::try_from(beyond).unwrap_or(usize::MAX);
        let ban = BANS[beyond.min(BANS.len() - 1)];
        let rest = (known.last_crash + ban).saturating_sub(now);
        (!rest.is_zero()).then_some(rest)
    }

    fn count(&mut self, now: Moment, broken: &Broken) -> Option<Suspicion> {
        let known = self.known_mut(broken.fingerprint);
        let is_first = known.suspicion.crashes == 0;
        if !is_first && broken.sent_at < known.last_break {
            return None;
        }
        known.suspicion.crashes += 1;
        known.last_break = broken.at;
        known.last_crash = now;
        Some(known.suspicion.clone())
    }

    fn known_mut(&mut self, fingerprint: Fingerprint) -> &mut Known {
        if self.known.len() >= MAX_REMEMBERED {
            self.drop_oldest();
        }
        let position = self.position(fingerprint).unwrap_or_else(|position| {
            let known = Known {
                suspicion: Suspicion {
                    fingerprint,
                    crashes: 0,
                },
                last_break: Moment::ZERO,
                last_crash: Moment::ZERO,
            };
            self.known.insert(position, known);
            position
        });
        &mut self.known[position]
    }

    fn drop_oldest(&mut self) {
        let age = |position: &usize| self.known[*position].last_crash;
        if let Some(position) = (0..self.known.len()).min_by_key(age) {
            self.known.remove(position);
        }
    }

    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&fingerprint, |known| known.suspicion.fingerprint)
    }
}

impl Suspicion {
    /// Whether other daemons are told.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.crashes >= CRASHES_TOLD
    }

    /// Key of the record by which they are told; each number of crashes has its own.
    #[must_use]
    pub fn record_key(&self) -> CompactString {
        format_compact!("{SUSPECTS}{:016x}/{}", self.fingerprint, self.crashes)
    }

    /// Reads the key of a record.
    #[must_use]
    pub fn from_key(key: &str) -> Option<Self> {
        let (fingerprint, crashes) = key.strip_prefix(SUSPECTS)?.split_once('/')?;
        Some(Self {
            fingerprint: u64::from_str_radix(fingerprint, 16).ok()?,
            crashes: crashes.parse().ok()?,
        })
    }
}
