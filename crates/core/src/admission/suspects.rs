//! Detects requests that crash targets, and bans them for a time.
//!
//! A request is suspected of a crash if one of its attempts was interrupted and its target turned
//! out to have crashed. A crash interrupts every other request at the target as well, so a single
//! crash proves little. Only consecutive crashes count: each attempt must have been sent after the
//! previous one was interrupted. A request that is answered once is cleared. After
//! [`CRASHES_ALLOWED`] crashes it is refused, first for seconds, because the whole pool may have
//! crashed for another reason, then for minutes.
//!
//! Daemons share the requests that crashed more than one target.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use crate::clock::Moment;
use crate::ids::{Fingerprint, TargetKey};
use crate::store::SUSPECTS_PREFIX;

/// Crashes after which a request is refused. The users' requirement is at most 3.
pub const CRASHES_ALLOWED: u32 = 3;
/// Number of crashes at which other daemons are notified. A single crash is mostly caused by
/// another request at the target.
const CRASHES_SHARED: u32 = 2;
/// How long a request is refused after its third, fourth and any later crash. The two short bans
/// permit two further attempts; the users' requirement permits three.
const BAN_DURATIONS: [Duration; 3] = [Duration::from_secs(10), Duration::from_mins(1), MAX_BAN];
/// Longest ban of a request, and the lifetime of a shared record.
pub const MAX_BAN: Duration = Duration::from_mins(10);
/// Longest time between an interrupted attempt and the detection of the crash. A crashed target's
/// store entry expires within it.
const CRASH_DETECTION_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of recorded requests and interrupted attempts. Fewer attempts are interrupted
/// within [`CRASH_DETECTION_WINDOW`] when half of the largest pool crashes.
const MAX_RECORDS: usize = 4_096;

value! {
    /// A request and the number of crashes that it is suspected of.
    pub struct Suspicion {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Number of consecutive crashes.
        pub crashes: u32,
    }

    /// A crash that was not counted for a request whose attempt it interrupted.
    pub struct UncountedCrash {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Target that crashed.
        pub target: TargetKey,
        /// Time from the interruption to the detection of the crash.
        pub detected_after: Duration,
    }

    struct SuspectRecord {
        suspicion: Suspicion,
        /// When the last counted attempt was interrupted.
        last_interrupted_at: Moment,
        /// When the last counted crash was detected.
        last_crash_at: Moment,
    }

    /// An attempt whose answer was interrupted.
    struct InterruptedAttempt {
        fingerprint: Fingerprint,
        target: TargetKey,
        sent_at: Moment,
        interrupted_at: Moment,
    }
}

/// Requests that are suspected of crashing targets.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    /// Invariant: sorted by fingerprint; at most [`MAX_RECORDS`].
    counted: Vec<SuspectRecord>,
    /// Invariant: in order of time; at most [`MAX_RECORDS`].
    interrupted: Vec<InterruptedAttempt>,
    /// Invariant: at most [`MAX_RECORDS`].
    uncounted: Vec<UncountedCrash>,
}

impl Suspects {
    /// Records that an attempt sent at `sent_at` was interrupted at `now`.
    pub fn record_interrupted_attempt(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        target: TargetKey,
        sent_at: Moment,
    ) {
        self.interrupted
            .retain(|attempt| now.saturating_sub(attempt.interrupted_at) <= CRASH_DETECTION_WINDOW);
        if self.interrupted.len() >= MAX_RECORDS {
            self.interrupted.remove(0);
        }
        self.interrupted.push(InterruptedAttempt {
            fingerprint,
            target,
            sent_at,
            interrupted_at: now,
        });
    }

    /// Records that a target crashed. Returns the requests whose number of crashes increased.
    pub fn record_crash(&mut self, now: Moment, target: TargetKey) -> Vec<Suspicion> {
        let matches_target = |attempt: &mut InterruptedAttempt| {
            attempt.target == target
                && now.saturating_sub(attempt.interrupted_at) <= CRASH_DETECTION_WINDOW
        };
        let attempts: Vec<InterruptedAttempt> =
            self.interrupted.extract_if(.., matches_target).collect();
        let mut increased = Vec::new();
        for attempt in attempts {
            let counted = self.count_crash(now, &attempt);
            if counted.is_none() && self.uncounted.len() < MAX_RECORDS {
                self.uncounted.push(UncountedCrash {
                    fingerprint: attempt.fingerprint,
                    target,
                    detected_after: now.saturating_sub(attempt.interrupted_at),
                });
            }
            increased.extend(counted);
        }
        increased
    }

    /// Returns the crashes since the last call that were not counted, because the attempt was sent
    /// before the last counted one was interrupted.
    pub fn take_uncounted(&mut self) -> Vec<UncountedCrash> {
        std::mem::take(&mut self.uncounted)
    }

    /// Merges a suspicion of another daemon: the greater number of crashes counts.
    pub fn merge(&mut self, now: Moment, remote: &Suspicion) {
        let suspect = self.suspect_mut(remote.fingerprint);
        if suspect.suspicion.crashes < remote.crashes {
            suspect.suspicion.crashes = remote.crashes;
            suspect.last_crash_at = now;
        }
    }

    /// Clears a request that was answered.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Ok(position) = self.position(fingerprint) {
            self.counted.remove(position);
        }
        self.interrupted
            .retain(|attempt| attempt.fingerprint != fingerprint);
    }

    /// Time for which a request is still refused; none if it may run.
    #[must_use]
    pub fn ban(&self, now: Moment, fingerprint: Fingerprint) -> Option<Duration> {
        let position = self.position(fingerprint).ok()?;
        let suspect = &self.counted[position];
        let excess = suspect.suspicion.crashes.checked_sub(CRASHES_ALLOWED)?;
        let excess = usize::try_from(excess).unwrap_or(usize::MAX);
        let ban = BAN_DURATIONS[excess.min(BAN_DURATIONS.len() - 1)];
        let remaining = (suspect.last_crash_at + ban).saturating_sub(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    fn count_crash(&mut self, now: Moment, attempt: &InterruptedAttempt) -> Option<Suspicion> {
        let suspect = self.suspect_mut(attempt.fingerprint);
        let is_first = suspect.suspicion.crashes == 0;
        if !is_first && attempt.sent_at < suspect.last_interrupted_at {
            return None;
        }
        suspect.suspicion.crashes += 1;
        suspect.last_interrupted_at = attempt.interrupted_at;
        suspect.last_crash_at = now;
        Some(suspect.suspicion.clone())
    }

    fn suspect_mut(&mut self, fingerprint: Fingerprint) -> &mut SuspectRecord {
        if self.counted.len() >= MAX_RECORDS {
            self.drop_oldest();
        }
        let position = self.position(fingerprint).unwrap_or_else(|position| {
            let suspect = SuspectRecord {
                suspicion: Suspicion {
                    fingerprint,
                    crashes: 0,
                },
                last_interrupted_at: Moment::ZERO,
                last_crash_at: Moment::ZERO,
            };
            self.counted.insert(position, suspect);
            position
        });
        &mut self.counted[position]
    }

    fn drop_oldest(&mut self) {
        let last_crash_at = |position: &usize| self.counted[*position].last_crash_at;
        if let Some(position) = (0..self.counted.len()).min_by_key(last_crash_at) {
            self.counted.remove(position);
        }
    }

    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.counted
            .binary_search_by_key(&fingerprint, |suspect| suspect.suspicion.fingerprint)
    }
}

impl Suspicion {
    /// Whether other daemons are notified.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.crashes >= CRASHES_SHARED
    }

    /// Key of the store record that notifies other daemons. Each number of crashes has its own
    /// record.
    #[must_use]
    pub fn record_key(&self) -> CompactString {
        format_compact!(
            "{SUSPECTS_PREFIX}{:016x}/{}",
            self.fingerprint,
            self.crashes
        )
    }

    /// Parses the key of a record; none if it is not a suspicion's.
    #[must_use]
    pub fn from_key(key: &str) -> Option<Self> {
        let (fingerprint, crashes) = key.strip_prefix(SUSPECTS_PREFIX)?.split_once('/')?;
        Some(Self {
            fingerprint: u64::from_str_radix(fingerprint, 16).ok()?,
            crashes: crashes.parse().ok()?,
        })
    }
}
