//! Merges the observations of other daemons, and collects those that they must be told of.

use std::time::Duration;

use super::{
    Belief, Evidence, Record, SharedInterruption, Sharing, SuspectKind, Suspects, Withdrawal,
};
use crate::clock::Moment;
use crate::ids::Fingerprint;

/// Time for which the first interruption of a request is not shared, as most requests are answered
/// by their next target within it.
const SHARE_DELAY: Duration = Duration::from_millis(500);
/// The same for a prompt part. Other requests with a part that is in frequent use are answered sooner.
const PART_SHARE_DELAY: Duration = Duration::from_millis(200);

impl Suspects {
    /// Merges what another daemon saw. Returns the requests with new evidence.
    pub fn merge(&mut self, now: Moment, evidence: &Evidence) -> Vec<Fingerprint> {
        for withdrawal in &evidence.withdrawn {
            let is_withdrawn = |record: &mut Record| Withdrawal::of(record) == *withdrawal;
            let removed: Vec<Record> = self.records.extract_if(.., is_withdrawn).collect();
            if let Some(record) = removed.last() {
                self.reset_trials_if_cleared(record);
            }
            self.withdraw(now, withdrawal.clone(), false);
        }
        let mut changed = Vec::new();
        for shared in &evidence.interrupted {
            if shared.is_answered {
                self.answer_history.record(now, shared.fingerprint);
            }
            let record = Record {
                kind: shared.kind,
                fingerprint: shared.fingerprint,
                target: shared.target.clone(),
                is_consecutive: shared.is_consecutive,
                depth: shared.depth.max(1),
                sent_at: now,
                belief: Belief::Presumed,
                witness: evidence.witness,
                occurrences: shared.occurrences,
                noted_at: now,
                sharing: Sharing::Acknowledged,
                shared_occurrences: shared.occurrences,
                is_suspended: false,
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

    /// The interruptions that count here and that this evidence withdraws.
    #[must_use]
    pub fn refuted_by(&self, evidence: &Evidence) -> Vec<Withdrawal> {
        let counts = |withdrawal: &&Withdrawal| {
            let mut records = self.of(withdrawal.fingerprint).iter();
            records.any(|record| record.counts() && record.target == withdrawal.target)
        };
        evidence.withdrawn.iter().filter(counts).cloned().collect()
    }

    /// Returns the evidence of this daemon that other daemons must be told of now, and whether it
    /// is urgent: it concerns a request that was interrupted at several targets, or that other daemons
    /// may refuse although it was answered. `None` if there is nothing to share.
    pub fn take_unshared(&mut self, now: Moment) -> Option<(Evidence, bool)> {
        let is_sharable =
            |record: &Record| record.occurrences > record.shared_occurrences && record.counts();
        let has_due_withdrawals = self.withdrawals_due_at.is_some_and(|at| at <= now);
        let mut is_urgent = std::mem::take(&mut self.has_urgent_withdrawal);
        let mut interrupted = Vec::new();
        for position in 0..self.records.len() {
            let record = &self.records[position];
            if !is_sharable(record) {
                continue;
            }
            let is_repeated = self.standing(now, record.fingerprint).crashes > 1;
            let delay = match record.kind {
                SuspectKind::Content => SHARE_DELAY,
                SuspectKind::PromptPart => PART_SHARE_DELAY,
            };
            let is_due =
                record.sharing == Sharing::Due || now.saturating_sub(record.noted_at) >= delay;
            if !is_repeated && !is_due {
                continue;
            }
            is_urgent |= is_repeated;
            let is_answered = self.answer_history.contains(record.fingerprint);
            interrupted.push(SharedInterruption::of(record, is_answered));
            let record = &mut self.records[position];
            record.sharing = Sharing::Sent;
            record.shared_occurrences = record.occurrences;
        }
        if interrupted.is_empty() && !has_due_withdrawals {
            return None;
        }
        self.withdrawals_due_at = None;
        let withdrawn = std::mem::take(&mut self.unshared_withdrawals);
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
}
