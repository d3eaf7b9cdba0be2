//! Clears requests that were answered. A target may send the whole answer and end a moment later, so
//! the interruptions of a request that is not refused stop to count at once, but are withdrawn only when
//! the target has survived; those of a request that is refused count until then.

use std::time::Duration;

use super::{
    Belief, CONFIRMATION_WINDOW, CRASHES_ALLOWED, InterruptedAttempt, MAX_BAN, MAX_RECORDS, Record,
    SuspectKind, Suspects, Withdrawal,
};
use crate::clock::Moment;
use crate::ids::Fingerprint;
use crate::membership::TargetIncarnation;

/// Time from an answer to the sign of life that shows that the request did not end its target.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// The same for a request that is refused until then: its callers wait.
pub const TRIAL_SURVIVAL_TIME: Duration = Duration::from_millis(250);
/// Time in which the copy of the store lists a successor, which may have given the sign of life.
pub const LISTING_TIME: Duration = Duration::from_secs(1);
/// Maximum number of targets that are followed after answers to requests with the same prompt part. One
/// that survives is enough.
const MAX_FOLLOWED_TARGETS: usize = 4;

value! {
    /// An attempt that was answered to its end.
    pub struct AnsweredAttempt {
        /// What the fingerprint stands for.
        pub kind: SuspectKind,
        /// Fingerprint of the request, or of a part of its prompt.
        pub fingerprint: Fingerprint,
        /// Target that the attempt was sent to.
        pub target: TargetIncarnation,
        /// When it was sent.
        pub sent_at: Moment,
    }

    /// Answers of a target to a request that was interrupted before.
    pub(super) struct PendingClear {
        /// The last one.
        attempt: AnsweredAttempt,
        /// When the first one ended; it clears what came before it.
        answered_at: Moment,
        /// When the last one ended; the target may end a moment later.
        last_answered_at: Moment,
        /// Whether the request was refused when it was answered.
        is_refused: bool,
        /// Whether a connection from before the answer has stayed open for long enough.
        has_survived: bool,
        /// First sign of life from [`SURVIVAL_TIME`] after the answer on, perhaps of a successor.
        alive_at: Option<Moment>,
    }
}

impl PendingClear {
    /// Time of the last answer to requests with a prompt part that the target has survived, if it is
    /// still known to run, or ends, at `now`. A crashing part ends its targets before or with the answer,
    /// so that this takes less than the survival of a resumed stream.
    fn survived_at(&self, now: Moment) -> Option<Moment> {
        if self.attempt.kind == SuspectKind::Content {
            return None;
        }
        let answers = [self.last_answered_at, self.answered_at];
        let mut survived = answers
            .into_iter()
            .filter(|at| now >= *at + TRIAL_SURVIVAL_TIME);
        survived.next()
    }
}

impl Suspects {
    /// Records that an attempt was answered. Returns the number of targets that stopped to count against
    /// the request, or `None` if it was never interrupted; otherwise the target must be watched.
    pub fn record_answered_attempt(
        &mut self,
        now: Moment,
        attempt: AnsweredAttempt,
    ) -> Option<usize> {
        let range = self.range(attempt.fingerprint);
        if attempt.kind == SuspectKind::PromptPart || !range.is_empty() {
            self.answer_history.record(now, attempt.fingerprint);
        }
        if range.is_empty() || self.pending_clears.len() >= MAX_RECORDS {
            return None;
        }
        let fingerprint = attempt.fingerprint;
        let counted = self.standing(now, fingerprint).crashes;
        let is_refused = counted >= CRASHES_ALLOWED;
        if !is_refused {
            for record in &mut self.records[range] {
                record.is_suspended |= record.counts();
            }
        }
        let order = |known: &PendingClear| {
            let by_fingerprint = known.attempt.fingerprint.cmp(&attempt.fingerprint);
            by_fingerprint.then_with(|| known.attempt.target.cmp(&attempt.target))
        };
        match self.pending_clears.binary_search_by(order) {
            Ok(position) => {
                let pending = &mut self.pending_clears[position];
                pending.last_answered_at = now;
                pending.attempt = attempt;
                if let Some(survived_at) = pending.survived_at(now) {
                    pending.answered_at = now;
                    self.clear_until(now, fingerprint, survived_at);
                }
            }
            Err(_) if attempt.kind == SuspectKind::PromptPart && self.is_followed(fingerprint) => {
                return None;
            }
            Err(position) => {
                let pending = PendingClear {
                    attempt,
                    answered_at: now,
                    last_answered_at: now,
                    is_refused,
                    has_survived: false,
                    alive_at: None,
                };
                self.pending_clears.insert(position, pending);
            }
        }
        Some(if is_refused { 0 } else { counted })
    }

    /// Whether enough targets are followed that answered requests with a prompt part.
    fn is_followed(&self, fingerprint: Fingerprint) -> bool {
        let known = self.pending_clears.iter();
        let followed = known.filter(|pending| pending.attempt.fingerprint == fingerprint);
        followed.count() >= MAX_FOLLOWED_TARGETS
    }

    /// Records that the address of a target is in use at `at`, by the target itself or a successor. A
    /// connection to it that has been open since `connected_since` shows that it is the same.
    pub fn record_presence(
        &mut self,
        target: &TargetIncarnation,
        at: Moment,
        connected_since: Option<Moment>,
    ) {
        for pending in &mut self.pending_clears {
            if pending.attempt.target != *target {
                continue;
            }
            let time = match pending.attempt.kind {
                SuspectKind::Content if !pending.is_refused => SURVIVAL_TIME,
                _ => TRIAL_SURVIVAL_TIME,
            };
            let is_same = connected_since.is_some_and(|since| since <= pending.answered_at);
            pending.has_survived |= is_same && at >= pending.answered_at + time;
            if at >= pending.answered_at + SURVIVAL_TIME {
                pending.alive_at.get_or_insert(at);
            }
        }
    }

    /// Clears the requests that were answered by targets that are known to have survived it, or that
    /// are still listed: in a copy of the store that was current [`LISTING_TIME`] after a sign of life,
    /// or [`CONFIRMATION_WINDOW`] after the answer. The copy was last confirmed at `copy_confirmed_at` and has not been interrupted since
    /// `copy_stable_since`. Returns the requests with the number of targets that counted against them.
    pub fn clear_answered(
        &mut self,
        now: Moment,
        copy_confirmed_at: Option<Moment>,
        copy_stable_since: Moment,
        is_listed: impl Fn(&TargetIncarnation) -> bool,
    ) -> Vec<(Fingerprint, usize)> {
        let is_copied = |since: Moment, time: Duration| {
            let due_at = since.max(copy_stable_since) + time;
            copy_confirmed_at.is_some_and(|at| at >= due_at)
        };
        let is_expired = |since: Moment| now.saturating_sub(since) >= MAX_BAN;
        let mut survived = Vec::new();
        self.pending_clears.retain(|pending| {
            let is_survivor = pending
                .alive_at
                .is_some_and(|alive_at| is_copied(alive_at, LISTING_TIME));
            let is_over = is_copied(pending.answered_at, CONFIRMATION_WINDOW);
            let is_still_listed = (is_survivor || is_over) && is_listed(&pending.attempt.target);
            let has_survived = pending.has_survived || is_still_listed;
            if has_survived {
                survived.push((pending.attempt.fingerprint, pending.answered_at));
            }
            !has_survived && !is_over && !is_expired(pending.answered_at)
        });
        let cleared = survived.into_iter().map(|(fingerprint, answered_at)| {
            let crashes = self.clear_until(now, fingerprint, answered_at);
            (fingerprint, crashes)
        });
        cleared.filter(|(_, crashes)| *crashes > 0).collect()
    }

    /// Clears a request that was answered by a target that survived it. Returns the number of targets
    /// that counted against it.
    pub fn clear(&mut self, now: Moment, fingerprint: Fingerprint) -> usize {
        self.clear_until(now, fingerprint, now)
    }

    /// Withdraws the interruptions of a request up to `until`.
    fn clear_until(&mut self, now: Moment, fingerprint: Fingerprint, until: Moment) -> usize {
        let counted = self.standing(now, fingerprint).crashes;
        let may_be_refused = counted >= CRASHES_ALLOWED;
        let is_cleared =
            |record: &mut Record| record.fingerprint == fingerprint && record.noted_at <= until;
        let removed: Vec<Record> = self.records.extract_if(.., is_cleared).collect();
        if removed.is_empty() {
            return 0;
        }
        for record in &removed {
            // Every daemon has answers for a part in frequent use; the witness tells the others.
            let is_teller = record.kind == SuspectKind::Content
                || record.witness == self.witness
                || may_be_refused;
            let is_shared = record.shared_occurrences > 0;
            self.withdraw(now, Withdrawal::of(record), is_shared && is_teller);
        }
        if let Some(record) = removed.last() {
            self.reset_trials_if_cleared(record);
        }
        if may_be_refused && !self.unshared_withdrawals.is_empty() {
            self.withdrawals_due_at = Some(now);
            self.has_urgent_withdrawal = true;
        }
        counted - self.standing(now, fingerprint).crashes
    }

    /// Records that a target crashed. The requests that it had answered a moment before were interrupted
    /// there, and their suspended interruptions count again.
    pub(super) fn record_crash_after_answers(&mut self, now: Moment, target: &TargetIncarnation) {
        let crashed: Vec<PendingClear> = self
            .pending_clears
            .extract_if(.., |pending| pending.attempt.target == *target)
            .collect();
        for pending in crashed {
            if now.saturating_sub(pending.last_answered_at) > CONFIRMATION_WINDOW {
                continue;
            }
            let fingerprint = pending.attempt.fingerprint;
            if let Some(survived_at) = pending.survived_at(now) {
                self.clear_until(now, fingerprint, survived_at);
                if survived_at == pending.last_answered_at {
                    continue;
                }
            }
            let attempt = pending.attempt;
            let range = self.range(attempt.fingerprint);
            for record in &mut self.records[range] {
                record.is_suspended = false;
            }
            let interrupted = InterruptedAttempt {
                kind: attempt.kind,
                fingerprint: attempt.fingerprint,
                target: attempt.target,
                sent_at: attempt.sent_at,
                had_answer: true,
                belief: Belief::Confirmed,
            };
            self.record_interrupted_attempt(now, interrupted);
        }
    }
}
