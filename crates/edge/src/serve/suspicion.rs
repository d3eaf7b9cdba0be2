//! Keeps a request from being sent that crashes targets, by its content or by a part of its prompt, and
//! records the attempts of each request that were interrupted.

use std::time::Duration;

use lapismoor_core::admission::{
    AnsweredAttempt, Belief, InterruptedAttempt, TrialRecord, Verdict,
};
use lapismoor_core::ids::Fingerprint;
use lapismoor_core::membership::TargetIncarnation;

use super::job::{InFlight, Job, Subject};
use super::report;
use crate::store::{ClaimResult, share_now, trials};

/// Crashes from which on a request is sent to the least loaded target instead of its homes, and only
/// after the evidence is shared.
const SUSPICIOUS_CRASHES: usize = 2;
/// Time in which a target that runs accepts a connection.
const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for which a request waits for the claim of its trial: two calls of a slow store.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a retry of a request whose trial runs at another daemon or could not be claimed.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Job {
    /// How much longer the request is refused because it crashed targets; `None` if it is not.
    pub(super) async fn crash_ban(&self) -> Option<Duration> {
        let suspected = self.verified_verdicts().await;
        self.longest_refusal(&suspected)
    }

    /// The longest time for which one of the subjects is refused.
    fn longest_refusal(&self, suspected: &[(Subject, Verdict)]) -> Option<Duration> {
        let refused = suspected.iter().filter_map(|(subject, verdict)| {
            let Verdict::Refuse { retry_after } = verdict else {
                return None;
            };
            Some((*retry_after, *subject))
        });
        let (retry_after, subject) = refused.max_by_key(|(retry_after, _)| *retry_after)?;
        self.suspect.set(Some(subject));
        Some(retry_after)
    }

    /// The subjects for which the request must not simply be sent, with their verdicts. Before that, the
    /// targets that are presumed to have crashed a moment ago are asked for a connection: they may only have
    /// lost the ones before. Later, a successor at the same address may accept it.
    async fn verified_verdicts(&self) -> Vec<(Subject, Verdict)> {
        let suspected = self.verdicts();
        if suspected.is_empty() {
            return suspected;
        }
        let edge = &self.edge;
        let since = edge.now().saturating_sub(edge.settings.limits.reuse_after);
        let mut presumed: Vec<TargetIncarnation> = {
            let state = edge.state.borrow();
            let of_subjects = suspected.iter().flat_map(|(subject, _)| {
                let suspects = &state.suspects;
                suspects.presumed_since(since, subject.fingerprint)
            });
            of_subjects.collect()
        };
        presumed.sort_unstable();
        presumed.dedup();
        let checks = presumed.iter().map(|target| async move {
            let asked_at = edge.now();
            let key = edge.key_if_listed(target)?;
            let connected = edge.connect_lastingly(key, VERIFICATION_TIMEOUT).await;
            connected.ok().map(|_| (target, asked_at))
        });
        let answers = futures::future::join_all(checks).await;
        for (target, asked_at) in answers.into_iter().flatten() {
            edge.sign_of_life(target, asked_at, "connection");
        }
        self.verdicts()
    }

    fn verdicts(&self) -> Vec<(Subject, Verdict)> {
        let now = self.edge.now();
        let state = self.edge.state.borrow();
        let subjects = self.subjects.iter();
        let fingerprints: Vec<Fingerprint> = subjects.map(|subject| subject.fingerprint).collect();
        let verdicts = state.suspects.verdicts(now, &fingerprints).into_iter();
        let suspected = verdicts.filter_map(|(fingerprint, verdict)| {
            let mut subjects = self.subjects.iter();
            let subject = subjects.find(|subject| subject.fingerprint == fingerprint)?;
            Some((*subject, verdict))
        });
        suspected.collect()
    }

    /// Checks before each attempt whether the request may be sent, and claims a trial if it may be
    /// sent in one only.
    ///
    /// # Errors
    /// The time after which the caller may retry, if the request must not be sent.
    pub(super) async fn clear_to_send(&mut self) -> Result<(), Duration> {
        if self.trial_after_runs == Some(self.progress.get().runs) {
            return Ok(());
        }
        let suspected = self.verified_verdicts().await;
        if let Some(retry_after) = self.longest_refusal(&suspected) {
            return Err(retry_after);
        }
        if suspected.is_empty() {
            report::suspect_sent(self);
            if self.has_crashed_targets() {
                share_now(&self.edge, self.fingerprint).await;
            }
        }
        for (subject, verdict) in suspected {
            if let Verdict::Trial { number } = verdict {
                self.claim_trial(subject, number).await?;
            }
        }
        Ok(())
    }

    async fn claim_trial(&mut self, subject: Subject, number: u32) -> Result<(), Duration> {
        self.suspect.set(Some(subject));
        let trial = TrialRecord {
            fingerprint: subject.fingerprint,
            number,
        };
        let claim = trials::claim(&self.edge, trial);
        let limit = self.time_left().min(CLAIM_TIMEOUT);
        let claimed = tokio::time::timeout(limit, claim).await;
        let mut result = claimed.unwrap_or(ClaimResult::Unanswered);
        if result == ClaimResult::Unanswered
            && subject.part.is_some()
            && trials::take_without_store(&self.edge, trial)
        {
            result = ClaimResult::WithoutStore;
        }
        report::trial_claimed(self, subject, number, result);
        if matches!(result, ClaimResult::Claimed | ClaimResult::WithoutStore) {
            self.trial_after_runs = Some(self.progress.get().runs);
            return Ok(());
        }
        Err(CLAIM_RETRY_AFTER)
    }

    /// Whether the request was interrupted at several targets.
    pub(super) fn has_crashed_targets(&self) -> bool {
        let state = self.edge.state.borrow();
        let standing = state.suspects.standing(self.edge.now(), self.fingerprint);
        standing.crashes >= SUSPICIOUS_CRASHES
    }

    /// Records that an attempt was answered. If the request was interrupted before, its target is
    /// watched: it may end a moment later. Returns the number of targets that stopped to count against
    /// its content.
    pub(super) fn record_answered_attempt(&self, attempt: InFlight) -> usize {
        let now = self.edge.now();
        let Some(incarnation) = attempt.incarnation else {
            return 0;
        };
        let mut content_crashes = 0;
        let mut is_followed = false;
        for subject in &self.subjects {
            let answered = AnsweredAttempt {
                kind: subject.kind(),
                fingerprint: subject.fingerprint,
                target: incarnation.clone(),
                sent_at: attempt.sent_at,
            };
            let mut state = self.edge.state.borrow_mut();
            let cleared = state.suspects.record_answered_attempt(now, answered);
            is_followed |= cleared.is_some();
            if subject.part.is_none() {
                content_crashes = cleared.unwrap_or_default();
            }
        }
        if is_followed {
            self.edge.watch_after_answer(attempt.target);
        }
        content_crashes
    }

    /// Records that the target of an attempt may have crashed, unless it was about to exit.
    pub(super) fn record_interruption(&self, attempt: &InFlight, belief: Belief, had_answer: bool) {
        let now = self.edge.now();
        let target = attempt.target;
        let Some(incarnation) = attempt.incarnation.clone() else {
            return;
        };
        // The end of a connection shows nothing of the target if the path to it was lost.
        let is_path_lost = !attempt.is_relayed && self.edge.is_path_known_lost(target);
        let belief = if is_path_lost {
            Belief::Unknown
        } else {
            belief
        };
        {
            let mut state = self.edge.state.borrow_mut();
            if state.directory.is_exit_planned(now, target) {
                return;
            }
            let is_listed = state.directory.is_listed(&incarnation);
            for subject in &self.subjects {
                let interrupted = InterruptedAttempt {
                    kind: subject.kind(),
                    fingerprint: subject.fingerprint,
                    sent_at: attempt.sent_at,
                    had_answer,
                    belief: if is_listed { belief } else { Belief::Confirmed },
                    target: incarnation.clone(),
                };
                state.suspects.record_interrupted_attempt(now, interrupted);
            }
        }
        if belief == Belief::Unknown {
            self.edge.watch_for_crash(target);
            return;
        }
        for subject in &self.subjects {
            self.edge.log_suspect(
                subject.fingerprint,
                &incarnation.id,
                "interrupted",
                SUSPICIOUS_CRASHES,
            );
        }
        self.edge.attempt_interrupted.notify_one();
    }
}
