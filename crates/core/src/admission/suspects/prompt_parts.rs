//! Finds the prompt part that crashes targets.
//!
//! Load pattern: requests that share one part come at any daemon, no two alike, and each target that
//! begins to answer one crashes. With it end dozens of other requests, whose parts were present only. Sound
//! requests share all other parts.
//!
//! A part is suspected after [`CRASHES_ALLOWED`] crashes without an answer in between, each under
//! an attempt that was sent when the crash before was known: a failure domain that crashes at once
//! counts as one. It is blamed if no other part explains the crashes (`blame`).

use super::verdict::Standing;
use super::{CRASHES_ALLOWED, Record, SuspectKind, Suspects};
use crate::clock::Moment;
use crate::ids::{Fingerprint, ServiceId, hash_parts};
use crate::membership::TargetIncarnation;
use crate::routing::{PromptPart, shared_prompt_parts};

/// Maximum number of parts of a prompt that are followed. A caller may send any number.
const MAX_FOLLOWED_PARTS: usize = 32;
/// Crashes after which the users' requirement counts the requests with a part that still reach targets.
const MANY_CRASHES: usize = 5;

/// The parts of a prompt that are followed, with their fingerprints. The last part is the request's
/// own. Targets of other services may serve the part.
#[must_use]
pub fn followed_parts(service: &ServiceId, parts: &[PromptPart]) -> Vec<(u64, Fingerprint)> {
    let shared = shared_prompt_parts(parts).iter().take(MAX_FOLLOWED_PARTS);
    let mut followed: Vec<(u64, Fingerprint)> = shared
        .map(|part| {
            let id = part.id.to_le_bytes();
            (part.id, hash_parts(&[b"part", service.as_bytes(), &id]))
        })
        .collect();
    followed.sort_unstable();
    followed.dedup();
    followed
}

impl Suspects {
    pub(super) fn part_standing(&self, now: Moment, fingerprint: Fingerprint) -> Standing {
        let records = self.of(fingerprint);
        let chain = following_crashes(records);
        let counted = records.iter().filter(|record| record.counts());
        let last_noted_at = counted.map(|record| record.noted_at).max();
        Standing {
            crashes: chain,
            consecutive: chain,
            trials: self.trials_that_count(fingerprint),
            age: last_noted_at.map(|at| now.saturating_sub(at)),
        }
    }

    pub(super) fn is_suspected_part(&self, fingerprint: Fingerprint) -> bool {
        let records = self.of(fingerprint);
        let is_part = records
            .first()
            .is_some_and(|record| record.kind == SuspectKind::PromptPart);
        is_part && following_crashes(records) >= CRASHES_ALLOWED
    }

    /// Allows a prompt part all its trials again if the interruption that was withdrawn was the last.
    pub(super) fn reset_trials_if_cleared(&mut self, withdrawn: &Record) {
        let fingerprint = withdrawn.fingerprint;
        if withdrawn.kind == SuspectKind::PromptPart
            && self.of(fingerprint).is_empty()
            && let Ok(position) = self.trial_position(fingerprint)
        {
            let known = &mut self.trials[position];
            known.cleared_number = known.last.number;
        }
    }
}

/// Number of crashes under a part that followed each other. Some that the depths of the records
/// presuppose may have been withdrawn. Many crashes in quick succession make a short chain, as the
/// requests are sent before the crashes of others are known: [`MANY_CRASHES`] that are not all of the
/// same moment suffice as well.
pub(super) fn following_crashes(records: &[Record]) -> usize {
    let counted = records.iter().filter(|record| record.counts());
    let depth = counted.map(|record| record.depth).max().unwrap_or_default();
    let crashes = crashes_by_target(records);
    let crashes: usize = crashes.iter().map(|(_, count)| count).sum();
    let chain = crashes.min(depth as usize);
    if crashes >= MANY_CRASHES && chain > 1 {
        chain.max(CRASHES_ALLOWED)
    } else {
        chain
    }
}

/// The crashes that count; several daemons may have seen the same one. The records are of one
/// fingerprint, and so sorted by target.
pub(super) fn crashes_by_target(records: &[Record]) -> Vec<(&TargetIncarnation, usize)> {
    let at_targets = records.chunk_by(|left, right| left.target == right.target);
    let crashes = at_targets.filter_map(|records| {
        let counted = records.iter().filter(|record| record.counts());
        let count = counted.map(|record| record.occurrences as usize).max()?;
        Some((&records[0].target, count))
    });
    crashes.collect()
}
