//! Share of a service's traffic that uses one shared prompt part, as seen by one daemon. Callers
//! are distributed over daemons by a hash of the caller, so that the traffic of each daemon is a
//! representative sample.

use std::time::Duration;

use crate::clock::Moment;

/// Time constant of the exponential decay: a count falls to about a third (1/e) in this time, and a
/// surge becomes visible within it.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Maximum number of parts counted per service. Before a part is added to a full table, parts with
/// a count below [`MIN_COUNT`] are evicted; if there are none, all counts are dropped.
const MAX_PARTS: usize = 512;
/// Decayed count below which a part is evicted when the table is full.
const MIN_COUNT: f64 = 0.05;

#[derive(Debug, Clone)]
struct PartCount {
    part: u64,
    requests: f64,
    updated_at: Moment,
}

/// Exponentially decaying request counts by shared part.
#[derive(Debug, Clone, Default)]
pub struct Popularity {
    /// Invariant: sorted by part; at most [`MAX_PARTS`] long.
    parts: Vec<PartCount>,
    total: f64,
    total_updated_at: Moment,
}

impl Popularity {
    /// Counts a request that uses `part`. Returns the part's share of all requests, from 0 to 1.
    pub fn count_request(&mut self, now: Moment, part: u64) -> f64 {
        self.total = decayed(self.total, self.total_updated_at, now) + 1.0;
        self.total_updated_at = now;
        let position = match self.parts.binary_search_by_key(&part, |entry| entry.part) {
            Ok(position) => position,
            Err(_) => self.insert(now, part),
        };
        let entry = &mut self.parts[position];
        entry.requests = decayed(entry.requests, entry.updated_at, now) + 1.0;
        entry.updated_at = now;
        entry.requests / self.total
    }

    /// Decayed number of all requests, which the shares refer to.
    #[must_use]
    pub fn sample_size(&self, now: Moment) -> f64 {
        decayed(self.total, self.total_updated_at, now)
    }

    fn insert(&mut self, now: Moment, part: u64) -> usize {
        if self.parts.len() >= MAX_PARTS {
            self.parts
                .retain(|entry| decayed(entry.requests, entry.updated_at, now) >= MIN_COUNT);
        }
        if self.parts.len() >= MAX_PARTS {
            // `total` stays, so the shares of all parts are too low until their counts recover.
            self.parts.clear();
        }
        let found = self.parts.binary_search_by_key(&part, |entry| entry.part);
        let position = found.unwrap_or_else(|position| position);
        let entry = PartCount {
            part,
            requests: 0.0,
            updated_at: now,
        };
        self.parts.insert(position, entry);
        position
    }
}

fn decayed(count: f64, updated_at: Moment, now: Moment) -> f64 {
    let age = now.saturating_sub(updated_at);
    count * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}
