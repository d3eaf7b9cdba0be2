//! Detects requests that crash targets, and refuses them at every daemon.
//!
//! Daemons share what they saw: which request was interrupted at which incarnation of a target. The
//! knowledge of a daemon is a set. Its order of arrival does not matter, nor how often a part of it
//! arrives. A request that was interrupted [`CRASHES_ALLOWED`] times runs only in trials of one
//! attempt, which all daemons count together by conditional writes to the store. After
//! [`MAX_TRIALS`] it is refused until the evidence expires.
//!
//! An interruption counts from the start, since a crash is confirmed only when the store drops the
//! target's entry. It stops to count if the target answers a later request or is still listed after
//! [`CONFIRMATION_WINDOW`]. An answer clears the request.

mod evidence;
mod trial;

use std::ops::Range;
use std::time::Duration;

use crate::clock::Moment;
use crate::ids::{Fingerprint, Incarnation};
use crate::membership::TargetIncarnation;

pub use evidence::{Evidence, EvidenceError, SharedInterruption, Withdrawal};
pub use trial::{TrialClaim, TrialClaimStep, TrialRecord};

/// Interruptions of a request after which it runs in trials only. The users'
/// requirement limits what follows the third crash.
pub const CRASHES_ALLOWED: usize = 3;
/// Trials of a request, at all daemons together. The users' requirement permits three attempts; one
/// is left for a daemon that could not be told in time.
pub const MAX_TRIALS: u32 = 2;
/// Longest ban of a request, and the lifetime of the evidence against it.
pub const MAX_BAN: Duration = Duration::from_mins(10);
/// Time before a trial, after the last interruption: none if the request may only have been present
/// when its targets crashed, then longer before each further one.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(10),
    Duration::from_mins(1),
];
/// Delay before a retry while a trial runs, perhaps at another daemon.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after an interruption in which the crash of its target is confirmed: three missed heartbeats
/// and the propagation of the entry's removal.
pub const CONFIRMATION_WINDOW: Duration = Duration::from_secs(7);
/// Time for which the first interruption of a request is not shared, as most requests are answered
/// by their next target within it.
const SHARE_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of recorded interruptions. Fewer requests are interrupted without being served
/// when a failure domain of the largest fleet crashes.
const MAX_RECORDS: usize = 16_384;

value! {
    /// What a daemon decides about a request, from the interruptions that it knows.
    pub enum Verdict {
        /// The request may run.
        Run,
        /// The request may run in the trial with this number, if this daemon is the first to claim
        /// it.
        Trial {
            /// Number of the trial, from 1.
            number: u32,
        },
        /// The request must not run.
        Refuse {
            /// Time until a trial may be possible.
            retry_after: Duration,
        },
    }

    /// The evidence against a request, for logs.
    pub struct Standing {
        /// Interruptions, without those at targets that kept running.
        pub crashes: usize,
        /// Targets that crashed before they answered, in attempts that followed each other.
        pub consecutive: usize,
        /// Trials claimed by any daemon.
        pub trials: u32,
        /// Age of the newest interruption; `None` if there is none.
        pub age: Option<Duration>,
    }

    /// An attempt whose connection was lost, or whose target fell silent.
    pub struct InterruptedAttempt {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Target that the attempt was sent to.
        pub target: TargetIncarnation,
        /// When it was sent.
        pub sent_at: Moment,
        /// Whether part of the answer had arrived, so that the target ran the request for a while.
        pub had_answer: bool,
        /// What is known about the target.
        pub belief: Belief,
    }

    /// What is known about the target of an interrupted attempt.
    #[derive(Copy)]
    pub enum Belief {
        /// The target fell silent; it counts as crashed only once that is confirmed.
        Silent,
        /// The connection was lost; the target is presumed to have crashed.
        Presumed,
        /// The target answered a request that was sent later.
        Alive,
        /// The target crashed.
        Confirmed,
    }

    struct Record {
        fingerprint: Fingerprint,
        target: TargetIncarnation,
        /// Whether this is the first interruption of the request, or its attempt was sent after the
        /// previous one at this daemon, and no part of an answer had arrived.
        is_consecutive: bool,
        belief: Belief,
        /// Daemon whose attempts were interrupted.
        witness: Incarnation,
        /// Number of its attempts that were interrupted one after the other. A target may have
        /// restarted in between, and its new entry not have arrived.
        occurrences: u32,
        /// When this daemon learned of the last one.
        noted_at: Moment,
        sharing: Sharing,
        /// Number of occurrences that other daemons may know of.
        shared_occurrences: u32,
    }

    /// How far other daemons were told of an interruption.
    #[derive(Copy)]
    enum Sharing {
        /// It is shared once it is old enough.
        Held,
        /// It is shared with the next record.
        Due,
        /// A record with it is being written.
        Sent,
        /// The store or another daemon has it.
        Acknowledged,
    }
}

/// Interrupted requests, as far as this daemon knows.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    /// This daemon, as it signs its evidence.
    witness: Incarnation,
    /// Invariant: sorted by fingerprint, target and witness, one for each; at most [`MAX_RECORDS`].
    records: Vec<Record>,
    /// Interruptions that do not count, by any daemon's judgement, with the time of the withdrawal;
    /// evidence that arrives later is ignored. Invariant: sorted, one for each; at most
    /// [`MAX_RECORDS`].
    withdrawn: Vec<(Withdrawal, Moment)>,
    /// Withdrawals that other daemons must be told of.
    unshared_withdrawals: Vec<Withdrawal>,
    /// Whether one of them concerns a request that other daemons may refuse.
    has_urgent_withdrawal: bool,
    /// Greatest known number of a request's claimed trials, and when it was learned. Invariant:
    /// sorted by fingerprint, one for each.
    trials: Vec<(TrialRecord, Moment)>,
}

impl Suspects {
    /// Creates the table of the daemon `witness`.
    #[must_use]
    pub fn new(witness: Incarnation) -> Self {
        Self {
            witness,
            ..Self::default()
        }
    }

    /// Records an interrupted attempt of this daemon.
    pub fn record_interrupted_attempt(&mut self, now: Moment, attempt: InterruptedAttempt) {
        let previous = self
            .of(attempt.fingerprint)
            .iter()
            .filter(|record| record.witness == self.witness)
            .map(|record| record.noted_at)
            .max();
        let is_after_previous = previous.is_none_or(|at| attempt.sent_at >= at);
        let record = Record {
            is_consecutive: is_after_previous && !attempt.had_answer,
            fingerprint: attempt.fingerprint,
            target: attempt.target,
            belief: attempt.belief,
            witness: self.witness,
            occurrences: 1,
            noted_at: now,
            sharing: Sharing::Held,
            shared_occurrences: 0,
        };
        let withdrawal = Withdrawal::of(&record);
        if let Ok(position) = self.withdrawn_position(&withdrawal) {
            self.withdrawn.remove(position);
        }
        let Ok(position) = self.position(&record) else {
            self.insert(record);
            return;
        };
        let known = &mut self.records[position];
        let is_further = known.belief != Belief::Alive && is_after_previous;
        *known = Record {
            is_consecutive: record.is_consecutive || known.is_consecutive,
            occurrences: known.occurrences + u32::from(is_further),
            shared_occurrences: known.shared_occurrences,
            ..record
        };
    }

    /// Records that a target crashed. Returns the requests that it interrupted.
    pub fn record_crash(&mut self, now: Moment, target: &TargetIncarnation) -> Vec<Fingerprint> {
        let mut interrupted = Vec::new();
        for record in &mut self.records {
            let is_recent = now.saturating_sub(record.noted_at) <= CONFIRMATION_WINDOW;
            let may_be_cause = match record.belief {
                Belief::Presumed | Belief::Confirmed => true,
                Belief::Silent | Belief::Alive => is_recent,
            };
            if record.target == *target && may_be_cause {
                record.belief = Belief::Confirmed;
                interrupted.push(record.fingerprint);
            }
        }
        interrupted
    }

    /// Records that a target answered a request that was sent at `sent_at`: it did not crash before.
    pub fn record_answer(&mut self, target: &TargetIncarnation, sent_at: Moment) {
        for record in &mut self.records {
            let is_refuted = record.target == *target
                && record.noted_at < sent_at
                && matches!(record.belief, Belief::Presumed | Belief::Silent);
            if is_refuted {
                record.belief = Belief::Alive;
            }
        }
    }

    /// Whether [`Self::record_answer`] may have an effect.
    #[must_use]
    pub fn has_unconfirmed(&self) -> bool {
        let unconfirmed = |record: &Record| record.belief != Belief::Confirmed;
        self.records.iter().any(unconfirmed)
    }

    /// Judges interruptions whose [`CONFIRMATION_WINDOW`] has passed by whether the target is still
    /// listed, and drops expired ones. The copy of the store was last confirmed at
    /// `copy_confirmed_at` and has not been interrupted since `copy_stable_since`: the entry of a
    /// crashed target may not expire while the store is unavailable.
    pub fn settle(
        &mut self,
        now: Moment,
        copy_confirmed_at: Option<Moment>,
        copy_stable_since: Moment,
        is_listed: impl Fn(&TargetIncarnation) -> bool,
    ) {
        let mut refuted = Vec::new();
        let witness = self.witness;
        self.records.retain_mut(|record| {
            let due_at = record.noted_at.max(copy_stable_since) + CONFIRMATION_WINDOW;
            if now >= record.noted_at + MAX_BAN {
                return false;
            }
            let is_due = now >= due_at && copy_confirmed_at.is_some_and(|at| at >= due_at);
            if record.belief == Belief::Confirmed || !is_due {
                return true;
            }
            if record.belief == Belief::Presumed && !is_listed(&record.target) {
                record.belief = Belief::Confirmed;
                return true;
            }
            let is_to_share = record.witness == witness && record.shared_occurrences > 0;
            refuted.push((Withdrawal::of(record), is_to_share));
            false
        });
        for (withdrawal, is_to_share) in refuted {
            self.withdraw(now, withdrawal, is_to_share);
        }
        self.withdrawn
            .retain(|(_, at)| now.saturating_sub(*at) < MAX_BAN);
        self.trials
            .retain(|(_, at)| now.saturating_sub(*at) < MAX_BAN);
    }

    /// Clears a request that was answered. Returns the number of targets that counted against it.
    pub fn clear(&mut self, now: Moment, fingerprint: Fingerprint) -> usize {
        if self.of(fingerprint).is_empty() {
            return 0;
        }
        let counted = self.standing(now, fingerprint).crashes;
        let removed: Vec<Record> = self
            .records
            .extract_if(.., |record| record.fingerprint == fingerprint)
            .collect();
        for record in removed {
            self.withdraw(now, Withdrawal::of(&record), record.shared_occurrences > 0);
        }
        self.has_urgent_withdrawal |= counted >= CRASHES_ALLOWED;
        counted
    }

    /// Merges what another daemon saw. Returns the requests with new evidence.
    pub fn merge(&mut self, now: Moment, evidence: &Evidence) -> Vec<Fingerprint> {
        for withdrawal in &evidence.withdrawn {
            let is_withdrawn = |record: &Record| Withdrawal::of(record) == *withdrawal;
            self.records.retain(|record| !is_withdrawn(record));
            self.withdraw(now, withdrawal.clone(), false);
        }
        let mut changed = Vec::new();
        for shared in &evidence.interrupted {
            let record = Record {
                fingerprint: shared.fingerprint,
                target: shared.target.clone(),
                is_consecutive: shared.is_consecutive,
                belief: Belief::Presumed,
                witness: evidence.witness,
                occurrences: shared.occurrences,
                noted_at: now,
                sharing: Sharing::Acknowledged,
                shared_occurrences: shared.occurrences,
            };
            let is_withdrawn = self.withdrawn_position(&Withdrawal::of(&record)).is_ok();
            if is_withdrawn || evidence.witness == self.witness {
                continue;
            }
            let known = self
                .position(&record)
                .map(|position| &mut self.records[position]);
            match known {
                Ok(known) if known.occurrences >= record.occurrences => continue,
                Ok(known) => *known = record,
                Err(_) => self.insert(record),
            }
            changed.push(shared.fingerprint);
        }
        changed
    }

    /// Returns the evidence of this daemon that other daemons must be told of now, and whether it
    /// is urgent: it concerns a request that was interrupted at several targets, or that other daemons
    /// may refuse although it was answered. `None` if there is nothing to share.
    pub fn take_unshared(&mut self, now: Moment) -> Option<(Evidence, bool)> {
        let is_sharable =
            |record: &Record| record.occurrences > record.shared_occurrences && record.counts();
        let mut is_urgent = std::mem::take(&mut self.has_urgent_withdrawal);
        let mut interrupted = Vec::new();
        for position in 0..self.records.len() {
            let record = &self.records[position];
            if !is_sharable(record) {
                continue;
            }
            let is_repeated = self.standing(now, record.fingerprint).crashes > 1;
            let is_due = record.sharing == Sharing::Due
                || now.saturating_sub(record.noted_at) >= SHARE_DELAY;
            if !is_repeated && !is_due {
                continue;
            }
            is_urgent |= is_repeated;
            interrupted.push(SharedInterruption::of(record));
            let record = &mut self.records[position];
            record.sharing = Sharing::Sent;
            record.shared_occurrences = record.occurrences;
        }
        let withdrawn = std::mem::take(&mut self.unshared_withdrawals);
        if interrupted.is_empty() && withdrawn.is_empty() {
            return None;
        }
        let evidence = Evidence {
            witness: self.witness,
            interrupted,
            withdrawn,
        };
        Some((evidence, is_urgent))
    }

    /// Shares the interruptions of a request without waiting for them to become old: its caller may
    /// repeat it at another daemon. Returns whether there are any of which no other daemon is known
    /// to have learned.
    pub fn expedite(&mut self, fingerprint: Fingerprint) -> bool {
        let mut is_unacknowledged = false;
        let range = self.range(fingerprint);
        for record in &mut self.records[range] {
            if !record.counts() {
                continue;
            }
            is_unacknowledged |= record.sharing != Sharing::Acknowledged;
            if record.sharing == Sharing::Held {
                record.sharing = Sharing::Due;
            }
        }
        is_unacknowledged
    }

    /// Records that the store or another daemon has this evidence.
    pub fn acknowledge(&mut self, evidence: &Evidence) {
        for shared in &evidence.interrupted {
            let range = self.range(shared.fingerprint);
            for record in &mut self.records[range] {
                let is_same = record.target == shared.target && record.witness == evidence.witness;
                if is_same && record.occurrences <= shared.occurrences {
                    record.sharing = Sharing::Acknowledged;
                }
            }
        }
    }

    /// Records that a daemon claimed a trial.
    pub fn record_trial(&mut self, now: Moment, trial: TrialRecord) {
        let found = self
            .trials
            .binary_search_by_key(&trial.fingerprint, |(known, _)| known.fingerprint);
        match found {
            Ok(position) if self.trials[position].0.number < trial.number => {
                self.trials[position] = (trial, now);
            }
            Ok(_) => {}
            Err(position) => self.trials.insert(position, (trial, now)),
        }
    }

    /// Decides whether a request may run.
    #[must_use]
    pub fn verdict(&self, now: Moment, fingerprint: Fingerprint) -> Verdict {
        let standing = self.standing(now, fingerprint);
        let (Some(age), true) = (standing.age, standing.crashes >= CRASHES_ALLOWED) else {
            return Verdict::Run;
        };
        if standing.trials >= MAX_TRIALS {
            let retry_after = MAX_BAN.saturating_sub(age);
            return Verdict::Refuse { retry_after };
        }
        let is_probable_cause = standing.consecutive >= CRASHES_ALLOWED;
        let step = standing.trials as usize + usize::from(is_probable_cause);
        let delay = TRIAL_DELAYS[step.min(TRIAL_DELAYS.len() - 1)];
        let claimed_before = self
            .trial(fingerprint)
            .map(|(_, at)| now.saturating_sub(*at));
        if claimed_before.is_some_and(|since| since < age && since < TRIAL_DELAYS[1]) {
            return Verdict::Refuse {
                retry_after: TRIAL_RETRY_AFTER,
            };
        }
        let retry_after = delay.saturating_sub(age);
        if retry_after.is_zero() {
            return Verdict::Trial {
                number: standing.trials + 1,
            };
        }
        Verdict::Refuse { retry_after }
    }

    /// Time for which a request is still refused; none if it may run, if only in a trial.
    #[must_use]
    pub fn ban(&self, now: Moment, fingerprint: Fingerprint) -> Option<Duration> {
        match self.verdict(now, fingerprint) {
            Verdict::Run | Verdict::Trial { .. } => None,
            Verdict::Refuse { retry_after } => Some(retry_after),
        }
    }

    /// The evidence against a request.
    #[must_use]
    pub fn standing(&self, now: Moment, fingerprint: Fingerprint) -> Standing {
        let counted = self.of(fingerprint).iter();
        let counted = counted.filter(|record| record.counts());
        let last_noted_at = counted.clone().map(|record| record.noted_at).max();
        let consecutive = counted.clone().filter(|record| record.is_consecutive);
        let mut consecutive: Vec<&TargetIncarnation> =
            consecutive.map(|record| &record.target).collect();
        consecutive.dedup();
        Standing {
            crashes: counted.map(|record| record.occurrences as usize).sum(),
            consecutive: consecutive.len(),
            trials: self.trial(fingerprint).map_or(0, |(trial, _)| trial.number),
            age: last_noted_at.map(|at| now.saturating_sub(at)),
        }
    }

    fn trial(&self, fingerprint: Fingerprint) -> Option<&(TrialRecord, Moment)> {
        let found = self
            .trials
            .binary_search_by_key(&fingerprint, |(trial, _)| trial.fingerprint);
        Some(&self.trials[found.ok()?])
    }

    /// Records of one request.
    fn of(&self, fingerprint: Fingerprint) -> &[Record] {
        &self.records[self.range(fingerprint)]
    }

    fn range(&self, fingerprint: Fingerprint) -> Range<usize> {
        let is_before = |record: &Record| record.fingerprint < fingerprint;
        let start = self.records.partition_point(is_before);
        let is_same = |record: &Record| record.fingerprint == fingerprint;
        start..start + self.records[start..].partition_point(is_same)
    }

    fn insert(&mut self, record: Record) {
        if self.records.len() >= MAX_RECORDS {
            self.evict();
        }
        if let Err(position) = self.position(&record) {
            self.records.insert(position, record);
        }
    }

    /// Drops the oldest record, of a request with one record if there is such a request.
    fn evict(&mut self) {
        let is_single = |record: &Record| self.of(record.fingerprint).len() == 1;
        let age_order = |position: &usize| {
            let record = &self.records[*position];
            (!is_single(record), record.noted_at)
        };
        if let Some(position) = (0..self.records.len()).min_by_key(age_order) {
            self.records.remove(position);
        }
    }

    fn withdraw(&mut self, now: Moment, withdrawal: Withdrawal, is_to_share: bool) {
        if is_to_share {
            self.unshared_withdrawals.push(withdrawal.clone());
        }
        if self.withdrawn.len() >= MAX_RECORDS
            && let Some(oldest) = (0..MAX_RECORDS).min_by_key(|at| self.withdrawn[*at].1)
        {
            self.withdrawn.remove(oldest);
        }
        match self.withdrawn_position(&withdrawal) {
            Ok(position) => self.withdrawn[position].1 = now,
            Err(position) => self.withdrawn.insert(position, (withdrawal, now)),
        }
    }

    fn withdrawn_position(&self, withdrawal: &Withdrawal) -> Result<usize, usize> {
        self.withdrawn
            .binary_search_by(|(known, _)| known.cmp(withdrawal))
    }

    /// Position of the record about the same request, target and witness, or where to insert it.
    fn position(&self, wanted: &Record) -> Result<usize, usize> {
        self.records.binary_search_by(|record| {
            let by_fingerprint = record.fingerprint.cmp(&wanted.fingerprint);
            by_fingerprint
                .then_with(|| record.target.cmp(&wanted.target))
                .then(record.witness.cmp(&wanted.witness))
        })
    }
}

impl Record {
    /// Whether the target is believed to have crashed.
    fn counts(&self) -> bool {
        matches!(self.belief, Belief::Presumed | Belief::Confirmed)
    }
}
