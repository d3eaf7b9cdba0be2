//! Remembers the prompt parts on which targets have answered, and the contents that were answered after
//! an interruption.
//!
//! Load pattern: of the parts of the requests at a crashed target, those in frequent use were answered many
//! times before, and the crashing one never. With few requests, a part in frequent use is at more crashes
//! than each of several crashing parts.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::Fingerprint;

/// Maximum number of entries; those that were answered last are kept.
const MAX_ENTRIES: usize = 4_096;
/// Time within which another answer is not recorded again.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// What targets have answered.
#[derive(Debug, Clone, Default)]
pub(super) struct AnswerHistory {
    /// Fingerprints, and when the last answer was recorded. Invariant: sorted by fingerprint, one for
    /// each; at most [`MAX_ENTRIES`].
    answered: Vec<(Fingerprint, Moment)>,
}

impl AnswerHistory {
    pub(super) fn record(&mut self, now: Moment, fingerprint: Fingerprint) {
        if let Ok(position) = self.position(fingerprint) {
            let answered_at = &mut self.answered[position].1;
            if now.saturating_sub(*answered_at) >= RECORD_INTERVAL {
                *answered_at = now;
            }
            return;
        }
        if self.answered.len() >= MAX_ENTRIES {
            self.forget_oldest();
        }
        if let Err(position) = self.position(fingerprint) {
            self.answered.insert(position, (fingerprint, now));
        }
    }

    pub(super) fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.position(fingerprint).is_ok()
    }

    /// Forgets the half that was answered least recently, so that this is rarely needed.
    fn forget_oldest(&mut self) {
        let mut times: Vec<Moment> = self.answered.iter().map(|(_, at)| *at).collect();
        times.sort_unstable();
        let kept_from = times[times.len() / 2];
        self.answered.retain(|(_, at)| *at > kept_from);
    }

    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.answered
            .binary_search_by_key(&fingerprint, |(known, _)| *known)
    }
}
