//! Detects requests that crash targets, and refuses them at every daemon.
//!
//! Daemons share what they saw: which request was interrupted at which incarnation of a target. The
//! knowledge of a daemon is a set. Its order of arrival does not matter, nor how often a part of it
//! arrives. A request that was interrupted [`CRASHES_ALLOWED`] times runs only in trials of one
//! attempt, which all daemons count together by conditional writes to the store. After
//! [`MAX_TRIALS`] it is refused until the evidence expires.
//!
//! The same holds for prompt parts: one of them may crash every target that begins to answer on it,
//! whatever else the request holds (`prompt_parts`).
//!
//! An interruption counts from the start, since a crash is confirmed only when the store drops the
//! target's entry. It stops to count if the target answers a later request or is still listed after
//! [`CONFIRMATION_WINDOW`]. An answer clears the request, unless its target ends a moment later.

mod answer_history;
mod answered;
mod blame;
mod evidence;
mod prompt_parts;
mod sharing;
mod trial;
mod verdict;

use std::ops::Range;
use std::time::Duration;

use crate::clock::Moment;
use crate::ids::{Fingerprint, Incarnation};
use crate::membership::TargetIncarnation;
use answer_history::AnswerHistory;
use answered::PendingClear;

pub use answered::{AnsweredAttempt, LISTING_TIME, SURVIVAL_TIME, TRIAL_SURVIVAL_TIME};
pub use evidence::{Evidence, EvidenceError, SharedInterruption, Withdrawal};
pub use prompt_parts::followed_parts;
pub use trial::{TrialClaim, TrialClaimStep, TrialRecord};
pub use verdict::{Judgement, Observation, Standing, Verdict};

/// Interruptions of a request after which it runs in trials only. The users' requirement limits what
/// follows the third crash.
pub const CRASHES_ALLOWED: usize = 3;
/// Trials of a request, at all daemons together. The users' requirement permits three attempts; one
/// is left for a daemon that could not be told in time.
pub const MAX_TRIALS: u32 = 2;
/// Longest ban of a request, and the lifetime of the evidence against it.
pub const MAX_BAN: Duration = Duration::from_mins(10);
/// Time after an interruption in which the crash of its target is confirmed: three missed heartbeats
/// and the propagation of the entry's removal.
pub const CONFIRMATION_WINDOW: Duration = Duration::from_secs(7);
/// Least time between two crashes that follow each other. The targets of a failure domain end within
/// less, also those that get a request of one that ended just before.
const MIN_LINK_TIME: Duration = Duration::from_millis(25);
/// Time for which a withdrawal waits for other evidence to be shared with, unless daemons may refuse
/// the request. A request that is not refused does not need it soon, and each record costs a write.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(30);
/// Maximum number of recorded interruptions. Fewer requests are interrupted without being served
/// when a failure domain of the largest fleet crashes.
const MAX_RECORDS: usize = 16_384;

key! {
    /// What requests that crash targets have in common.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum SuspectKind {
        /// Their content: the request comes again.
        #[default]
        Content,
        /// A prompt part that other requests share.
        PromptPart,
    }
}

value! {
    /// An attempt whose connection was lost, or whose end this daemon did not await: its caller left,
    /// its target fell silent, or its time was up.
    pub struct InterruptedAttempt {
        /// What the fingerprint stands for.
        pub kind: SuspectKind,
        /// Fingerprint of the request, or of a part of its prompt.
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
        /// This daemon did not see how the attempt ended; the target counts as crashed only once that
        /// is confirmed.
        Unknown,
        /// The connection was lost; the target is presumed to have crashed.
        Presumed,
        /// The target answered a request that was sent later.
        Alive,
        /// The target crashed.
        Confirmed,
    }

    struct Record {
        /// Invariant: the same in all records of a fingerprint.
        kind: SuspectKind,
        fingerprint: Fingerprint,
        target: TargetIncarnation,
        /// Whether this is the first interruption of the request, or its attempt was sent after the
        /// previous one at this daemon, and no part of an answer had arrived.
        is_consecutive: bool,
        /// Position in the longest chain of crashes up to this one, from 1: each attempt was sent when
        /// the crash before it was known, and interrupted at least [`MIN_LINK_TIME`] after it.
        depth: u32,
        /// When the last interrupted attempt was sent. Meaningful in records of this daemon.
        sent_at: Moment,
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
        /// Whether the request was answered since: this counts again if the answering target ends.
        is_suspended: bool,
    }

    /// The trials of a request or prompt part that daemons have claimed.
    struct KnownTrial {
        /// The one with the greatest number.
        last: TrialRecord,
        /// When it was learned of.
        learned_at: Moment,
        /// Number of the last trial before a prompt part was cleared; only later ones count.
        cleared_number: u32,
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
    /// When they are shared, if no other evidence is shared earlier. Invariant: `None` if and only
    /// if there are none.
    withdrawals_due_at: Option<Moment>,
    /// Whether one of them concerns a request that other daemons may refuse.
    has_urgent_withdrawal: bool,
    /// Claimed trials. Invariant: sorted by fingerprint, one for each.
    trials: Vec<KnownTrial>,
    /// Answered requests whose targets may still end. Invariant: sorted by fingerprint and target, one
    /// for each; at most [`MAX_RECORDS`].
    pending_clears: Vec<PendingClear>,
    /// Prompt parts and suspect contents that targets have answered.
    answer_history: AnswerHistory,
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
            kind: attempt.kind,
            is_consecutive: is_after_previous && !attempt.had_answer,
            depth: self.depth(attempt.fingerprint, attempt.sent_at, now),
            sent_at: attempt.sent_at,
            fingerprint: attempt.fingerprint,
            target: attempt.target,
            belief: attempt.belief,
            witness: self.witness,
            occurrences: 1,
            noted_at: now,
            sharing: Sharing::Held,
            shared_occurrences: 0,
            is_suspended: false,
        };
        let withdrawal = Withdrawal::of(&record);
        if record.counts()
            && let Ok(position) = self.withdrawn_position(&withdrawal)
        {
            self.withdrawn.remove(position);
        }
        let Ok(position) = self.position(&record) else {
            self.insert(record);
            return;
        };
        let known = &mut self.records[position];
        if known.counts() && !record.counts() {
            return;
        }
        // The target survived an attempt with an unknown end if it took another one.
        let is_further = known.counts() && is_after_previous;
        *known = Record {
            is_consecutive: record.is_consecutive || known.is_consecutive,
            depth: record.depth.max(known.depth),
            occurrences: known.occurrences.saturating_add(u32::from(is_further)),
            shared_occurrences: known.shared_occurrences,
            ..record
        };
    }

    /// Records that a target crashed. Returns the requests that it interrupted, those included that it had
    /// answered a moment before.
    pub fn record_crash(&mut self, now: Moment, target: &TargetIncarnation) -> Vec<Fingerprint> {
        self.record_crash_after_answers(now, target);
        let mut interrupted = Vec::new();
        for position in 0..self.records.len() {
            let record = &self.records[position];
            if record.target != *target {
                continue;
            }
            let depth = self.depth(record.fingerprint, record.sent_at, record.noted_at);
            let is_own = record.witness == self.witness;
            let record = &mut self.records[position];
            let is_recent = now.saturating_sub(record.noted_at) <= CONFIRMATION_WINDOW;
            let may_be_cause = match record.belief {
                Belief::Presumed | Belief::Confirmed => true,
                Belief::Unknown | Belief::Alive => is_recent,
            };
            if may_be_cause {
                if is_own && !record.counts() {
                    record.depth = depth;
                }
                record.belief = Belief::Confirmed;
                interrupted.push(record.fingerprint);
            }
        }
        interrupted
    }

    /// Records that a target answered a request that was sent at `sent_at`, or accepted a connection
    /// opened then: it did not crash before, unless it has restarted since. Returns the requests whose
    /// interruption there counted until now.
    pub fn record_answer(
        &mut self,
        target: &TargetIncarnation,
        sent_at: Moment,
    ) -> Vec<Fingerprint> {
        self.record_presence(target, sent_at, None);
        let mut refuted = Vec::new();
        for record in &mut self.records {
            let is_refuted = record.target == *target
                && record.noted_at < sent_at
                && matches!(record.belief, Belief::Presumed | Belief::Unknown);
            if is_refuted {
                if record.counts() {
                    refuted.push(record.fingerprint);
                }
                record.belief = Belief::Alive;
            }
        }
        refuted
    }

    /// Targets that are only presumed to have crashed under a request, after `since`.
    #[must_use]
    pub fn presumed_since(
        &self,
        since: Moment,
        fingerprint: Fingerprint,
    ) -> Vec<TargetIncarnation> {
        let records = self.of(fingerprint).iter();
        let presumed =
            records.filter(|record| record.belief == Belief::Presumed && record.noted_at >= since);
        let mut targets: Vec<TargetIncarnation> =
            presumed.map(|record| record.target.clone()).collect();
        targets.dedup();
        targets
    }

    /// Whether [`Self::record_answer`] may have an effect.
    #[must_use]
    pub fn has_unconfirmed(&self) -> bool {
        let unconfirmed = |record: &Record| record.belief != Belief::Confirmed;
        !self.pending_clears.is_empty() || self.records.iter().any(unconfirmed)
    }

    /// Judges interruptions whose [`CONFIRMATION_WINDOW`] has passed by whether the target is still
    /// listed, and drops expired ones. The copy of the store was last confirmed at
    /// `copy_confirmed_at` and has not been interrupted since `copy_stable_since`: the entry of a
    /// crashed target may not expire while the store is unavailable. Returns the interruptions that
    /// counted until now although their target kept running.
    pub fn settle(
        &mut self,
        now: Moment,
        copy_confirmed_at: Option<Moment>,
        copy_stable_since: Moment,
        is_listed: impl Fn(&TargetIncarnation) -> bool,
    ) -> Vec<Withdrawal> {
        let mut refuted = Vec::new();
        let mut stopped_counting = Vec::new();
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
            if record.counts() {
                stopped_counting.push(Withdrawal::of(record));
            }
            let is_own = record.witness == witness;
            let is_shared = record.shared_occurrences > 0;
            if is_shared || !is_own {
                refuted.push((Withdrawal::of(record), is_own));
            }
            false
        });
        for (withdrawal, is_to_share) in refuted {
            self.withdraw(now, withdrawal, is_to_share);
        }
        self.withdrawn
            .retain(|(_, at)| now.saturating_sub(*at) < MAX_BAN);
        self.trials
            .retain(|trial| now.saturating_sub(trial.learned_at) < MAX_BAN);
        stopped_counting
    }

    /// Records that a daemon claimed a trial.
    pub fn record_trial(&mut self, now: Moment, trial: TrialRecord) {
        match self.trial_position(trial.fingerprint) {
            Ok(position) => {
                let known = &mut self.trials[position];
                if known.last.number < trial.number {
                    known.last = trial;
                    known.learned_at = now;
                }
            }
            Err(position) => {
                let known = KnownTrial {
                    last: trial,
                    learned_at: now,
                    cleared_number: 0,
                };
                self.trials.insert(position, known);
            }
        }
    }

    fn trial_position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.trials
            .binary_search_by_key(&fingerprint, |known| known.last.fingerprint)
    }

    /// Depth of an interruption at `noted_at` of an attempt that was sent at `sent_at`.
    fn depth(&self, fingerprint: Fingerprint, sent_at: Moment, noted_at: Moment) -> u32 {
        let known_by = sent_at.min(noted_at.saturating_sub(MIN_LINK_TIME));
        let known = self.of(fingerprint).iter();
        let before = known.filter(|record| record.counts() && record.noted_at <= known_by);
        let longest = before.map(|record| record.depth).max().unwrap_or_default();
        longest.saturating_add(1)
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
            self.withdrawals_due_at
                .get_or_insert(now + WITHDRAWAL_DELAY);
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
    /// Whether the target is believed to have crashed, and no later answer has cleared the request.
    fn counts(&self) -> bool {
        !self.is_suspended && matches!(self.belief, Belief::Presumed | Belief::Confirmed)
    }
}
