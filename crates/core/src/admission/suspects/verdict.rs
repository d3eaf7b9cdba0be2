//! Decides from the known interruptions whether a request may run.

use std::time::Duration;

use super::blame::count_occurrences;
use super::{
    Belief, CRASHES_ALLOWED, KnownTrial, MAX_BAN, MAX_TRIALS, Record, SuspectKind, Suspects,
};
use crate::clock::Moment;
use crate::ids::{Fingerprint, Incarnation, TargetId};

/// Time before a trial, after the last interruption: none if the request may only have been present
/// when its targets crashed, then longer before each further one.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(10),
    Duration::from_mins(1),
];
/// Time before a trial of a prompt part, after the last interruption. Many requests may share a part that
/// was present only, so that the first trial is not delayed.
const PART_TRIAL_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(3)];
/// The same for a request with several suspected parts.
const AMBIGUOUS_TRIAL_DELAY: Duration = Duration::from_secs(10);
/// Delay before a retry while a trial runs, perhaps at another daemon.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

value! {
    /// What a daemon decides about a request or prompt part, from the interruptions that it knows.
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

    /// Whether an interruption counts against its request, and if not, why.
    #[derive(Copy)]
    pub enum Judgement {
        /// The target is believed to have crashed.
        Counted,
        /// The end of the attempt was not awaited, and no crash is confirmed.
        Unconfirmed,
        /// This daemon had a sign of life of the target.
        Refuted,
        /// An answer cleared the request, unless its target ends a moment later.
        Suspended,
    }

    /// An interruption that a daemon knows of, for logs.
    pub struct Observation {
        /// Target of the attempt.
        pub target: TargetId,
        /// Daemon whose attempt it was; the keys of its records contain it.
        pub witness: Incarnation,
        /// Whether it counts.
        pub judgement: Judgement,
    }

    /// The evidence against a request or prompt part, for logs.
    pub struct Standing {
        /// Interruptions, without those at targets that kept running. Of a prompt part: the crashes that
        /// followed each other, as one failure domain may take many targets with the same part along.
        pub crashes: usize,
        /// Crashes of targets before they answered, in attempts that followed each other.
        pub consecutive: usize,
        /// Trials claimed by any daemon, those excepted that cleared a prompt part.
        pub trials: u32,
        /// Age of the newest interruption; `None` if there is none.
        pub age: Option<Duration>,
    }
}

impl Suspects {
    /// The fingerprints of a request, of its content and of the parts of its prompt, for which it must
    /// not simply run, with the verdicts.
    #[must_use]
    pub fn verdicts(
        &self,
        now: Moment,
        fingerprints: &[Fingerprint],
    ) -> Vec<(Fingerprint, Verdict)> {
        let suspected = fingerprints
            .iter()
            .filter(|fingerprint| self.is_suspected_part(**fingerprint));
        let is_ambiguous = suspected.count() > 1;
        let verdicts = fingerprints.iter().map(|fingerprint| {
            let verdict = self.verdict(now, *fingerprint);
            let is_part = self.kind(*fingerprint) == SuspectKind::PromptPart;
            let verdict = match verdict {
                // A trial of several parts does not tell which of them is sound.
                Verdict::Trial { .. } if is_part && is_ambiguous => {
                    self.ambiguous_verdict(now, *fingerprint, verdict)
                }
                other => other,
            };
            (*fingerprint, verdict)
        });
        let suspected = verdicts.filter(|(_, verdict)| *verdict != Verdict::Run);
        suspected.collect()
    }

    /// Puts a trial off, so that a request with fewer suspected parts may claim it.
    fn ambiguous_verdict(&self, now: Moment, fingerprint: Fingerprint, trial: Verdict) -> Verdict {
        let age = self.standing(now, fingerprint).age.unwrap_or_default();
        if age >= AMBIGUOUS_TRIAL_DELAY {
            return trial;
        }
        Verdict::Refuse {
            retry_after: TRIAL_RETRY_AFTER,
        }
    }

    /// Decides whether a request may run, as far as its content or one part of its prompt is
    /// concerned.
    #[must_use]
    pub fn verdict(&self, now: Moment, fingerprint: Fingerprint) -> Verdict {
        let standing = self.standing(now, fingerprint);
        let (Some(age), true) = (standing.age, standing.crashes >= CRASHES_ALLOWED) else {
            return Verdict::Run;
        };
        if !self.is_blamed(fingerprint) {
            return Verdict::Run;
        }
        if standing.trials >= MAX_TRIALS {
            let retry_after = MAX_BAN.saturating_sub(age);
            return Verdict::Refuse { retry_after };
        }
        let delay = match self.kind(fingerprint) {
            SuspectKind::Content => content_trial_delay(&standing),
            SuspectKind::PromptPart => part_trial_delay(&standing),
        };
        let last_trial = self.trial(fingerprint);
        let claimed_before = last_trial.map(|known| now.saturating_sub(known.learned_at));
        if claimed_before.is_some_and(|since| since < age && since < TRIAL_DELAYS[1]) {
            return Verdict::Refuse {
                retry_after: TRIAL_RETRY_AFTER,
            };
        }
        let retry_after = delay.saturating_sub(age);
        if retry_after.is_zero() {
            return Verdict::Trial {
                number: last_trial.map_or(1, |known| known.last.number.saturating_add(1)),
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

    /// The evidence against a request or prompt part.
    #[must_use]
    pub fn standing(&self, now: Moment, fingerprint: Fingerprint) -> Standing {
        match self.kind(fingerprint) {
            SuspectKind::Content => self.content_standing(now, fingerprint),
            SuspectKind::PromptPart => self.part_standing(now, fingerprint),
        }
    }

    fn content_standing(&self, now: Moment, fingerprint: Fingerprint) -> Standing {
        let counted = self.of(fingerprint).iter();
        let counted = counted.filter(|record| record.counts());
        let last_noted_at = counted.clone().map(|record| record.noted_at).max();
        let consecutive = counted.clone().filter(|record| record.is_consecutive);
        let consecutive: Vec<&Record> = consecutive.collect();
        // Several daemons may have seen the same crash.
        let at_targets = consecutive.chunk_by(|left, right| left.target == right.target);
        let most_seen = at_targets.map(|records| {
            let occurrences = records.iter().map(|record| record.occurrences as usize);
            occurrences.max().unwrap_or_default()
        });
        Standing {
            crashes: count_occurrences(self.of(fingerprint)),
            consecutive: most_seen.sum(),
            trials: self.trials_that_count(fingerprint),
            age: last_noted_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// The interruptions of a request that are not withdrawn.
    #[must_use]
    pub fn observations(&self, fingerprint: Fingerprint) -> Vec<Observation> {
        let records = self.of(fingerprint).iter();
        let observations = records.map(|record| Observation {
            target: record.target.id.clone(),
            witness: record.witness,
            judgement: match record.belief {
                Belief::Alive => Judgement::Refuted,
                Belief::Unknown => Judgement::Unconfirmed,
                Belief::Presumed | Belief::Confirmed if record.is_suspended => Judgement::Suspended,
                Belief::Presumed | Belief::Confirmed => Judgement::Counted,
            },
        });
        observations.collect()
    }

    /// What a fingerprint stands for. One without records may run in any case.
    fn kind(&self, fingerprint: Fingerprint) -> SuspectKind {
        let first = self.of(fingerprint).first();
        first.map(|record| record.kind).unwrap_or_default()
    }

    pub(super) fn trials_that_count(&self, fingerprint: Fingerprint) -> u32 {
        let known = self.trial(fingerprint);
        known.map_or(0, |known| known.last.number - known.cleared_number)
    }

    fn trial(&self, fingerprint: Fingerprint) -> Option<&KnownTrial> {
        let found = self.trial_position(fingerprint);
        Some(&self.trials[found.ok()?])
    }
}

fn content_trial_delay(standing: &Standing) -> Duration {
    let is_probable_cause = standing.consecutive >= CRASHES_ALLOWED;
    let step = standing.trials as usize + usize::from(is_probable_cause);
    TRIAL_DELAYS[step.min(TRIAL_DELAYS.len() - 1)]
}

/// A crash beyond those allowed is as good as a trial.
fn part_trial_delay(standing: &Standing) -> Duration {
    let step = (standing.trials as usize).max(standing.crashes - CRASHES_ALLOWED);
    PART_TRIAL_DELAYS[step.min(PART_TRIAL_DELAYS.len() - 1)]
}
