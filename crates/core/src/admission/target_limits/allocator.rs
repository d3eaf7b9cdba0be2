//! Hands out this daemon's half of the permits for targets with a limit.

use std::time::Duration;

use super::notice::RequestRate;
use super::share::ShareBook;
use crate::admission::Priority;
use crate::clock::Moment;
use crate::ids::hash_parts;
use crate::membership::{DaemonRecord, is_small_fleet};
use crate::routing::fleet_sample::TargetHash;
use crate::routing::rendezvous::rendezvous_order;

/// Window in which the users count the requests that a target gets.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Daemons that hand out the permits for one target.
const ALLOCATORS_PER_TARGET: usize = 2;
/// Part of a limit that is handed out. With it and the burst of [`Rates`], three daemons that take
/// themselves for one of the two together keep one and a half times the limit.
const USED_FRACTION: f64 = 0.9;
/// Groups of targets with the same allocators, which bounds the connections between daemons.
const TARGET_GROUPS: u32 = 128;
/// Rendezvous hash key for the selection of allocators.
const ALLOCATOR_KEY: u64 = 0x5065_726d;
/// Permits that may be saved up, whatever the rate.
const BASE_BURST: f64 = 1.5;
/// Requests that a target gets from time to time whatever it names: only an answer tells whether
/// the limit has ended.
const MIN_PER_S: f64 = 0.2;
/// Longest wait that is promised.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Time without a request after which a target's allocator is forgotten.
const IDLE_TIME: Duration = Duration::from_mins(1);

value! {
    /// Answer to a request for a permit.
    #[derive(Copy)]
    pub enum PermitDecision {
        /// One request may be sent now.
        Granted,
        /// There is none.
        Denied {
            /// Time until there may be one for such a request.
            wait: Duration,
        },
    }
}

/// The rates by which a permit is decided, in requests per second.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// What this daemon may hand out.
    part_per_s: f64,
    /// Permits that may be saved up.
    burst: f64,
}

impl Rates {
    /// This daemon's part of the limit `rate` of a target.
    #[must_use]
    pub fn part_of(rate: RequestRate, daemons: &[DaemonRecord]) -> Self {
        let parts = if daemons.len() == 1 { 1.0 } else { 2.0 };
        let part_per_s = (USED_FRACTION * rate.per_s()).max(MIN_PER_S) / parts;
        Self {
            part_per_s,
            burst: BASE_BURST + 0.4 * part_per_s,
        }
    }

    /// This daemon's part of what a cold target takes. Three daemons that take themselves for one of
    /// the two together keep one and a half times the rate and five requests in any second.
    #[must_use]
    pub fn part_of_cold(rate: RequestRate, daemons: &[DaemonRecord]) -> Self {
        Self {
            burst: BASE_BURST,
            ..Self::part_of(rate, daemons)
        }
    }
}

/// Whether `own` hands out permits for a target, by its list of daemons. A daemon that knows of no
/// other one does.
#[must_use]
pub fn is_allocator(target: TargetHash, daemons: &[DaemonRecord], own: &str) -> bool {
    daemons.is_empty() || ranked(target, daemons).any(|daemon| daemon.id == own)
}

/// Whether `own` hands out permits for a cold target, by its list of daemons. One that does not list
/// itself was cut off, or has just started: others may do so. A window of a second forgives less
/// than that of named limits.
#[must_use]
pub fn is_cold_allocator(target: TargetHash, daemons: &[DaemonRecord], own: &str) -> bool {
    !daemons.is_empty() && is_allocator(target, daemons, own)
}

/// Number of daemons to ask for one permit, apart from those that don't answer. In a large fleet
/// half of the daemons ask each one, so that a second call would find no more on average.
#[must_use]
pub fn asks_per_permit(daemons: &[DaemonRecord]) -> usize {
    if is_small_fleet(daemons) {
        ALLOCATORS_PER_TARGET
    } else {
        1
    }
}

/// Daemons to ask for a permit, in this order: `own` if it is one of them. The others are asked
/// first by half of the daemons each.
#[must_use]
pub fn permit_sources<'a>(
    target: TargetHash,
    daemons: &'a [DaemonRecord],
    own: &str,
) -> Vec<&'a DaemonRecord> {
    let mut sources: Vec<&DaemonRecord> = ranked(target, daemons).collect();
    let hash = hash_parts(&[own.as_bytes(), &target.to_le_bytes()]);
    if hash % 2 == 1 {
        sources.reverse();
    }
    sources.sort_by_key(|daemon| daemon.id != own);
    sources
}

fn ranked(target: TargetHash, daemons: &[DaemonRecord]) -> impl Iterator<Item = &DaemonRecord> {
    let group = u64::from(target % TARGET_GROUPS);
    let names = daemons.iter().map(|daemon| daemon.id.as_str());
    let order = rendezvous_order(ALLOCATOR_KEY + group, names);
    order
        .into_iter()
        .take(ALLOCATORS_PER_TARGET)
        .map(|position| &daemons[position])
}

/// The allocators of all targets for which this daemon hands out permits.
#[derive(Debug, Clone, Default)]
pub struct Allocators {
    /// Invariant: sorted by target.
    targets: Vec<(TargetHash, Allocator)>,
}

impl Allocators {
    /// Decides on a permit for one request to a target with a limit.
    pub fn take(
        &mut self,
        now: Moment,
        target: TargetHash,
        rates: Rates,
        priority: &Priority,
    ) -> PermitDecision {
        let found = self
            .targets
            .binary_search_by_key(&target, |(known, _)| *known);
        let position = found.unwrap_or_else(|position| {
            self.targets.insert(position, (target, Allocator::new(now)));
            position
        });
        self.targets[position].1.take(now, rates, priority)
    }

    /// Forgets targets for which this daemon no longer hands out permits, so that it begins without
    /// any when it does again: others may have handed them out meanwhile.
    pub fn retain(&mut self, now: Moment, is_allocator: impl Fn(TargetHash) -> bool) {
        self.targets.retain(|(target, allocator)| {
            let is_idle = now.saturating_sub(allocator.updated_at) > IDLE_TIME;
            !is_idle && is_allocator(*target)
        });
    }
}

/// Token bucket of one target.
#[derive(Debug, Clone)]
struct Allocator {
    /// Permits that may be handed out. Begins at zero: a predecessor may just have used its own.
    tokens: f64,
    updated_at: Moment,
    shares: ShareBook,
}

impl Allocator {
    fn new(now: Moment) -> Self {
        Self {
            tokens: 0.0,
            updated_at: now,
            shares: ShareBook::default(),
        }
    }

    fn take(&mut self, now: Moment, rates: Rates, priority: &Priority) -> PermitDecision {
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + elapsed_s * rates.part_per_s).min(rates.burst);
        let turn = self.shares.ask(now, rates.part_per_s, priority);
        let is_unused = self.tokens >= rates.burst;
        if self.tokens >= 1.0 && (turn.is_due || is_unused) {
            self.tokens -= 1.0;
            self.shares.take(priority);
            return PermitDecision::Granted;
        }
        let until_token_s = (1.0 - self.tokens).max(0.0) / rates.part_per_s;
        let wait_s = until_token_s.max(turn.due_in_s);
        PermitDecision::Denied {
            wait: Duration::from_secs_f64(wait_s.min(MAX_WAIT.as_secs_f64())),
        }
    }
}
