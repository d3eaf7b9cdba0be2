//! Failure domains that the operator has evacuated: nothing is sent to their targets.
//!
//! The requests of a domain move to the others over a short time, in the same order at each daemon,
//! so that caches are fetched from the old homes one after another. That time ends well before the
//! evacuation must be complete, counted from when the store may have taken it.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::{FailureDomain, hash_parts};

/// Time for which a domain stays evacuated if the operator's word and a restored store differ.
const DISPUTE_TIME: Duration = Duration::from_secs(30);
/// Maximum number of ended evacuations that are remembered; the oldest one is forgotten.
const MAX_ENDED: usize = 64;

value! {
    /// How a daemon learned that a domain is, or is not, evacuated.
    #[derive(Copy)]
    pub enum LearnedFrom {
        /// The first list after the daemon's start.
        FirstList,
        /// The first list after the store was restored from a copy.
        RestoredList,
        /// Another list.
        List,
        /// A change.
        Change,
    }

    /// An evacuated failure domain.
    pub struct Evacuation {
        /// The domain.
        pub domain: FailureDomain,
        /// When this daemon learned of it.
        pub since: Moment,
        /// When the last requests have moved to other domains.
        left_at: Moment,
        /// Whether the store lists it.
        is_listed: bool,
        /// When it ends, if the store was restored and lists what the operator had ended, or does
        /// not list what had begun.
        until: Option<Moment>,
    }

    /// An evacuation that has ended.
    struct Ended {
        domain: FailureDomain,
        at: Moment,
        /// Whether the restored store lists it all the same.
        is_listed: bool,
    }

    /// The evacuated failure domains, as one daemon knows them.
    #[derive(Default)]
    pub struct Evacuations {
        /// Time from the store's acknowledgement within which an evacuation is complete.
        within: Duration,
        /// Invariant: sorted by domain.
        domains: Vec<Evacuation>,
        /// Invariant: at most [`MAX_ENDED`] long.
        ended: Vec<Ended>,
    }
}

impl Evacuations {
    /// No evacuated domain; an evacuation must be complete `within` this time.
    #[must_use]
    pub fn new(within: Duration) -> Self {
        Self {
            within,
            ..Self::default()
        }
    }

    /// The evacuated domains, sorted.
    #[must_use]
    pub fn domains(&self) -> &[Evacuation] {
        &self.domains
    }

    /// Whether a domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.position(domain).is_ok()
    }

    /// Whether no request may be sent to a domain any more.
    #[must_use]
    pub fn has_left(&self, now: Moment, domain: &str) -> bool {
        let found = self.position(domain);
        found.is_ok_and(|position| now >= self.domains[position].left_at)
    }

    /// Whether the requests of a prompt part have moved away from a domain; `order` is the hash of
    /// the part, or of a request that shares none.
    #[must_use]
    pub fn has_moved(&self, now: Moment, domain: &str, order: u64) -> bool {
        let found = self.position(domain);
        found.is_ok_and(|position| {
            let evacuation = &self.domains[position];
            let time = evacuation.left_at.saturating_sub(evacuation.since);
            now >= evacuation.since + time.mul_f64(fraction(order))
        })
    }

    /// Records that a domain is evacuated, which was not the case in the store as of
    /// `not_before`. Returns whether that is new.
    pub fn begin(
        &mut self,
        now: Moment,
        domain: &FailureDomain,
        learned_from: LearnedFrom,
        not_before: Moment,
    ) -> bool {
        let position = match self.position(domain) {
            Ok(position) => {
                let known = &mut self.domains[position];
                if learned_from == LearnedFrom::Change || !known.is_listed {
                    known.until = None;
                }
                known.is_listed = true;
                return false;
            }
            Err(position) => position,
        };
        let ended = self.ended.iter().position(|ended| ended.domain == *domain);
        let ended = ended.map(|position| self.ended.remove(position));
        let mut until = None;
        if let Some(mut ended) = ended {
            if learned_from == LearnedFrom::List && ended.is_listed {
                self.ended.push(ended);
                return false;
            }
            if learned_from == LearnedFrom::RestoredList {
                if ended.is_listed {
                    self.ended.push(ended);
                    return false;
                }
                until = Some(now + DISPUTE_TIME);
                ended.is_listed = true;
            }
        }
        let move_end = (now + self.within / 5).min(not_before + self.within / 2);
        let left_at = match learned_from {
            LearnedFrom::FirstList => now,
            _ => move_end.max(now),
        };
        let evacuation = Evacuation {
            domain: domain.clone(),
            since: now,
            left_at,
            is_listed: true,
            until,
        };
        self.domains.insert(position, evacuation);
        true
    }

    /// Records that the store does not list a domain any more. A store that was restored may have
    /// lost the evacuation, which then holds for a while. Returns how long it lasted if it ended.
    pub fn end(
        &mut self,
        now: Moment,
        domain: &str,
        learned_from: LearnedFrom,
    ) -> Option<Duration> {
        let Ok(position) = self.position(domain) else {
            let mut ended = self.ended.iter_mut();
            if let Some(ended) = ended.find(|ended| ended.domain == domain) {
                ended.is_listed = false;
            }
            return None;
        };
        let known = &mut self.domains[position];
        if learned_from == LearnedFrom::RestoredList && known.until.is_none() {
            known.is_listed = false;
            known.until = Some(now + DISPUTE_TIME);
            return None;
        }
        known.is_listed = false;
        Some(self.remove(now, position).1)
    }

    /// Ends what the operator and a restored store differed on for long enough. Returns the domains
    /// and how long each was evacuated.
    pub fn sweep(&mut self, now: Moment) -> Vec<(FailureDomain, Duration)> {
        let is_over = |one: &Evacuation| one.until.is_some_and(|until| now >= until);
        let over = (0..self.domains.len()).rev();
        let over: Vec<usize> = over
            .filter(|position| is_over(&self.domains[*position]))
            .collect();
        over.into_iter()
            .map(|position| self.remove(now, position))
            .collect()
    }

    fn remove(&mut self, now: Moment, position: usize) -> (FailureDomain, Duration) {
        let evacuation = self.domains.remove(position);
        if self.ended.len() >= MAX_ENDED {
            let oldest = (0..self.ended.len()).min_by_key(|one| self.ended[*one].at);
            oldest.map(|oldest| self.ended.remove(oldest));
        }
        self.ended.push(Ended {
            domain: evacuation.domain.clone(),
            at: now,
            is_listed: evacuation.is_listed,
        });
        let lasted = now.saturating_sub(evacuation.since);
        (evacuation.domain, lasted)
    }

    fn position(&self, domain: &str) -> Result<usize, usize> {
        self.domains
            .binary_search_by(|one| one.domain.as_str().cmp(domain))
    }
}

/// Place of a part in the order in which parts move, from 0 to 1.
fn fraction(order: u64) -> f64 {
    let hash = hash_parts(&[&order.to_le_bytes(), b"evacuation"]);
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}
