//! How much of a service's traffic goes to one shared part, as one daemon sees it. Callers reach
//! daemons by a hash of the caller, so that each daemon's share is a fair sample.

use std::time::Duration;

use crate::clock::Moment;

/// Time within which a count falls to a third; a surge shows within it.
const FADE: Duration = Duration::from_secs(3);
/// Parts that are counted at most, by service.
const MAX_PARTS: usize = 512;
/// Count below which a part is forgotten.
const FORGET_BELOW: f64 = 0.05;

#[derive(Debug, Clone)]
struct Entry {
    part: u64,
    requests: f64,
    at: Moment,
}

/// Fading counts of requests by shared part.
#[derive(Debug, Clone, Default)]
pub struct Popularity {
    /// Invariant: sorted by part; at most [`MAX_PARTS`] long.
    parts: Vec<Entry>,
    total: f64,
    total_at: Moment,
}

impl Popularity {
    /// Counts a request for a part. Returns the part's share of all requests, from 0 to 1.
    pub fn count(&mut self, now: Moment, part: u64) -> f64 {
        self.total = faded(self.total, self.total_at, now) + 1.0;
        self.total_at = now;
        let position = match self.parts.binary_search_by_key(&part, |entry| entry.part) {
            Ok(position) => position,
            Err(_) => self.insert(now, part),
        };
        let entry = &mut self.parts[position];
        entry.requests = faded(entry.requests, entry.at, now) + 1.0;
        entry.at = now;
        entry.requests / self.total
    }

    /// Requests that the shares are taken of.
    #[must_use]
    pub fn sample_size(&self, now: Moment) -> f64 {
        faded(self.total, self.total_at, now)
    }

    fn insert(&mut self, now: Moment, part: u64) -> usize {
        if self.parts.len() >= MAX_PARTS {
            self.parts
                .retain(|entry| faded(entry.requests, entry.at, now) >= FORGET_BELOW);
        }
        if self.parts.len() >= MAX_PARTS {
            self.parts.clear();
        }
        let found = self.parts.binary_search_by_key(&part, |entry| entry.part);
        let position = found.unwrap_or_else(|position| position);
        let entry = Entry {
            part,
            requests: 0.0,
            at: now,
        };
        self.parts.insert(position, entry);
        position
    }
}

fn faded(count: f64, at: Moment, now: Moment) -> f64 {
    let age = now.saturating_sub(at);
    count * (-age.as_secs_f64() / FADE.as_secs_f64()).exp()
}
