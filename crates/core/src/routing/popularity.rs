//! Share of a service's traffic that uses one shared prompt part. Callers are distributed over
//! daemons by a hash of the caller, so that the traffic of each daemon is a representative sample.
//! The counts of several daemons can be merged into a larger one.

use std::time::Duration;

use crate::clock::Moment;

/// Time constant of the exponential decay: a count falls to about a third (1/e) in this time, and a
/// surge becomes visible within it.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Maximum number of parts counted per service. Before a part is added to a full table, parts with
/// a count below [`MIN_COUNT`] are evicted; if there are none, all counts are dropped.
const MAX_PARTS: usize = 2_048;
/// Sample size below which the share of a part is not reliable.
const MIN_SAMPLE_REQUESTS: f64 = 12.0;
/// Time for which the shares that another daemon computed from a larger sample are used.
const FLEET_SHARES_TTL: Duration = Duration::from_secs(3);
/// Number of parts whose requests are kept until they are merged elsewhere; further parts are left
/// out.
const MAX_UNMERGED: usize = 128;
/// Weight of one request in the moving average of the tokens in shared parts.
const TOKENS_WEIGHT: f64 = 0.05;
/// Decayed count below which a part is evicted when the table is full.
const MIN_COUNT: f64 = 0.05;

value! {
    /// Number of requests that use a part.
    pub struct PartRequests {
        /// Identifier of the part.
        pub part: u64,
        /// Number of requests.
        pub requests: u32,
    }

    /// Share of a service's requests that use a part.
    pub struct PartShare {
        /// Identifier of the part.
        pub part: u64,
        /// Share that the part has at least, in millionths.
        pub millionths: u32,
    }
}

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
    /// Moving average of the tokens in the shared parts of this daemon's requests.
    mean_tokens: Option<f64>,
    /// Own requests that were not taken for another daemon yet. Invariant: sorted by part; at most
    /// [`MAX_UNMERGED`] long.
    unmerged: Vec<PartRequests>,
    /// Shares computed by another daemon from a larger sample. Invariant: sorted by part.
    fleet_shares: Vec<PartShare>,
    fleet_shares_at: Option<Moment>,
}

impl Popularity {
    /// Counts a request that uses `part` and has `tokens` tokens in its shared parts. Returns the
    /// share of all requests that the part has at least, from 0 to 1.
    pub fn count_request(&mut self, now: Moment, part: u64, tokens: u32) -> f64 {
        self.keep_unmerged(part);
        let tokens = f64::from(tokens);
        let mean = self.mean_tokens.unwrap_or(tokens);
        self.mean_tokens = Some(mean + TOKENS_WEIGHT * (tokens - mean));
        self.add(now, part, 1.0);
        self.share(now, part)
    }

    /// Share of all requests that a part has at least, from 0 to 1.
    #[must_use]
    pub fn share(&self, now: Moment, part: u64) -> f64 {
        let total = decayed(self.total, self.total_updated_at, now);
        let own_share = if total < MIN_SAMPLE_REQUESTS {
            0.0
        } else {
            proven_requests(self.requests(now, part)) / total
        };
        own_share.max(self.fleet_share(now, part))
    }

    /// Mean number of tokens in the shared parts of a request; zero before the first one.
    #[must_use]
    pub fn mean_tokens(&self) -> f64 {
        self.mean_tokens.unwrap_or_default()
    }

    /// Returns this daemon's requests since the last call, by part.
    pub fn take_unmerged(&mut self) -> Vec<PartRequests> {
        std::mem::take(&mut self.unmerged)
    }

    /// Adds requests that another daemon counted.
    pub fn merge(&mut self, now: Moment, counted: &[PartRequests]) {
        for one in counted {
            self.add(now, one.part, f64::from(one.requests));
        }
    }

    /// Parts whose share of all requests is above `min_share`.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn shares_above(&self, now: Moment, min_share: f64) -> Vec<PartShare> {
        let total = decayed(self.total, self.total_updated_at, now);
        if total < MIN_SAMPLE_REQUESTS {
            return Vec::new();
        }
        let shares = self.parts.iter().map(|entry| {
            let requests = decayed(entry.requests, entry.updated_at, now);
            (entry.part, proven_requests(requests) / total)
        });
        let above = shares.filter(|(_, share)| *share > min_share);
        let to_share = |(part, share): (u64, f64)| PartShare {
            part,
            millionths: (share * 1e6) as u32,
        };
        above.map(to_share).collect()
    }

    /// Uses the shares that another daemon computed from a larger sample.
    pub fn set_fleet_shares(&mut self, now: Moment, mut shares: Vec<PartShare>) {
        shares.sort_by_key(|share| share.part);
        self.fleet_shares = shares;
        self.fleet_shares_at = Some(now);
    }

    /// Decayed number of requests that use a part.
    fn requests(&self, now: Moment, part: u64) -> f64 {
        let found = self.parts.binary_search_by_key(&part, |entry| entry.part);
        found.map_or(0.0, |position| {
            let entry = &self.parts[position];
            decayed(entry.requests, entry.updated_at, now)
        })
    }

    fn fleet_share(&self, now: Moment, part: u64) -> f64 {
        let is_fresh = |at| now.saturating_sub(at) < FLEET_SHARES_TTL;
        if !self.fleet_shares_at.is_some_and(is_fresh) {
            return 0.0;
        }
        let found = self
            .fleet_shares
            .binary_search_by_key(&part, |share| share.part);
        found.map_or(0.0, |position| {
            f64::from(self.fleet_shares[position].millionths) / 1e6
        })
    }

    fn keep_unmerged(&mut self, part: u64) {
        match self.unmerged.binary_search_by_key(&part, |one| one.part) {
            Ok(position) => self.unmerged[position].requests += 1,
            Err(position) if self.unmerged.len() < MAX_UNMERGED => {
                self.unmerged
                    .insert(position, PartRequests { part, requests: 1 });
            }
            Err(_) => {}
        }
    }

    /// Adds requests for a part.
    fn add(&mut self, now: Moment, part: u64, requests: f64) {
        self.total = decayed(self.total, self.total_updated_at, now) + requests;
        self.total_updated_at = now;
        let position = match self.parts.binary_search_by_key(&part, |entry| entry.part) {
            Ok(position) => position,
            Err(_) => self.insert(now, part),
        };
        let entry = &mut self.parts[position];
        entry.requests = decayed(entry.requests, entry.updated_at, now) + requests;
        entry.updated_at = now;
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

/// The count less its standard error. A part that was seen once or twice among a few requests may
/// be rare, and each home that it gets in vain processes it again.
fn proven_requests(count: f64) -> f64 {
    (count - count.sqrt()).max(0.0)
}

fn decayed(count: f64, updated_at: Moment, now: Moment) -> f64 {
    let age = now.saturating_sub(updated_at);
    count * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}
