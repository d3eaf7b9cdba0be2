//! Remembers the prompt parts on which targets have answered.
//!
//! Load pattern: of the parts of the requests at a crashed target, those in frequent use were answered many
//! times before, and the crashing one never. With few requests, a part in frequent use is at more crashes
//! than each of several crashing parts.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::Fingerprint;

/// Maximum number of parts; those that were answered last are kept.
const MAX_PARTS: usize = 4_096;
/// Time within which another answer is not recorded again.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The prompt parts on which targets have answered.
#[derive(Debug, Clone, Default)]
pub(super) struct AnsweredParts {
    /// Fingerprints, and when the last answer was recorded. Invariant: sorted by fingerprint, one for
    /// each; at most [`MAX_PARTS`].
    parts: Vec<(Fingerprint, Moment)>,
}

impl AnsweredParts {
    pub(super) fn record(&mut self, now: Moment, part: Fingerprint) {
        if let Ok(position) = self.position(part) {
            let answered_at = &mut self.parts[position].1;
            if now.saturating_sub(*answered_at) >= RECORD_INTERVAL {
                *answered_at = now;
            }
            return;
        }
        if self.parts.len() >= MAX_PARTS {
            self.forget_oldest();
        }
        if let Err(position) = self.position(part) {
            self.parts.insert(position, (part, now));
        }
    }

    pub(super) fn contains(&self, part: Fingerprint) -> bool {
        self.position(part).is_ok()
    }

    /// Forgets the half that was answered least recently, so that this is rarely needed.
    fn forget_oldest(&mut self) {
        let mut times: Vec<Moment> = self.parts.iter().map(|(_, at)| *at).collect();
        times.sort_unstable();
        let kept_from = times[times.len() / 2];
        self.parts.retain(|(_, at)| *at > kept_from);
    }

    fn position(&self, part: Fingerprint) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&part, |(known, _)| *known)
    }
}
