//! Cost of the permits for targets with limits, as the fleet grows with its traffic.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::target_limits::{asks_per_permit, permit_sources};
use lapismoor_core::admission::{
    Allocators, LimitNotice, LimitView, Overloads, PermitDecision, Priority, Rates, RequestRate,
};
use lapismoor_core::membership::DaemonRecord;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{count, daemon_record};

/// Simulated time.
const LENGTH: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(10);
/// Requests per second of one daemon; there are as many targets as daemons.
const REQUESTS_PER_S: f64 = 9.0;
/// Limit of each target, half of what is meant for it, in requests per million seconds.
const LIMIT_PER_MILLION_S: u64 = 4_500_000;
/// Targets that a request asks permits for before it is refused.
const TARGETS_TRIED: usize = 4;
/// Workspaces with equal traffic.
const WORKSPACES: u32 = 10;
const RANKS: u8 = 3;

/// What one daemon does per second.
pub(super) struct PermitCost {
    /// Calls to other daemons, mean of all daemons.
    pub(super) calls_per_s: f64,
    /// Calls that the busiest daemon answers.
    pub(super) most_answered_per_s: f64,
    /// Other daemons that a daemon asked, mean of all daemons.
    pub(super) peers: f64,
    /// Part of the limits that was used, from 0 to 1.
    pub(super) used: f64,
}

/// Plays a fleet whose targets all have limits, with twice as many requests as they take.
pub(super) fn measure(daemons: u16) -> PermitCost {
    let targets = u32::from(daemons);
    let mut records: Vec<DaemonRecord> = (0..daemons).map(daemon_record).collect();
    records.sort_by(|left, right| left.id.cmp(&right.id));
    let mut fleet = Simulation {
        allocators: vec![Allocators::default(); records.len()],
        views: vec![vec![limited_view(); targets as usize]; records.len()],
        asked: vec![vec![false; records.len()]; records.len()],
        answered: vec![0_u32; records.len()],
        overloads: vec![Overloads::default(); records.len()],
        permits: 0,
        records,
        rng: ChaCha8Rng::seed_from_u64(1),
    };
    let mut now = STEP;
    while now < LENGTH {
        for daemon in 0..fleet.records.len() {
            if fleet.rng.random_bool(REQUESTS_PER_S * STEP.as_secs_f64()) {
                fleet.send(now, daemon, targets);
            }
        }
        now += STEP;
    }
    fleet.cost()
}

fn limit() -> RequestRate {
    RequestRate::from_per_million_s(LIMIT_PER_MILLION_S)
}

fn limited_view() -> LimitView {
    let mut view = LimitView::default();
    let notice = LimitNotice {
        rate: Some(limit()),
        sent_at: Moment::ZERO,
        received_at: Duration::from_millis(1),
    };
    view.record(Moment::ZERO, notice);
    view
}

struct Simulation {
    /// Invariant: sorted by id.
    records: Vec<DaemonRecord>,
    allocators: Vec<Allocators>,
    /// Views of the targets at each daemon.
    views: Vec<Vec<LimitView>>,
    /// Which daemon has asked which other one.
    asked: Vec<Vec<bool>>,
    /// Calls that each daemon has answered.
    answered: Vec<u32>,
    overloads: Vec<Overloads>,
    /// Permits that all daemons got.
    permits: u32,
    rng: ChaCha8Rng,
}

impl Simulation {
    /// Asks for permits for one request, as a daemon does.
    fn send(&mut self, now: Moment, daemon: usize, targets: u32) {
        let priority = Priority {
            rank: self.rng.random_range(0..RANKS),
            workspace: format!("w{}", self.rng.random_range(0..WORKSPACES)).into(),
            weight: 1,
        };
        let service = "pool".into();
        if !self.overloads[daemon].admit(now, &service, &priority) {
            return;
        }
        let mut is_permitted = false;
        for _ in 0..TARGETS_TRIED {
            let target = self.rng.random_range(0..targets);
            let view = &self.views[daemon][target as usize];
            let is_open = view.room_in(now, &priority).is_zero();
            is_permitted = is_open && self.take(now, daemon, target, &priority);
            if is_permitted {
                break;
            }
        }
        self.permits += u32::from(is_permitted);
        self.overloads[daemon].record(now, &service, is_permitted);
    }

    fn take(&mut self, now: Moment, daemon: usize, target: u32, priority: &Priority) -> bool {
        let own = self.records[daemon].id.clone();
        let sources = permit_sources(target, &self.records, &own);
        let sources: Vec<usize> = sources
            .into_iter()
            .filter_map(|source| self.records.iter().position(|record| record == source))
            .collect();
        let mut least_wait = Duration::MAX;
        for source in sources.into_iter().take(asks_per_permit(&self.records)) {
            if source != daemon {
                self.asked[daemon][source] = true;
                self.answered[source] += 1;
            }
            let rates = Rates::part_of(limit(), &self.records);
            match self.allocators[source].take(now, target, rates, priority) {
                PermitDecision::Granted => return true,
                PermitDecision::Denied { wait } => least_wait = least_wait.min(wait),
            }
        }
        self.views[daemon][target as usize].close(now, priority, least_wait);
        false
    }

    fn cost(&self) -> PermitCost {
        let daemons = count(self.records.len());
        let seconds = LENGTH.as_secs_f64();
        let calls = self.answered.iter().sum::<u32>();
        let most = self.answered.iter().max().copied().unwrap_or_default();
        let peers = self.asked.iter().flatten().filter(|asked| **asked).count();
        PermitCost {
            calls_per_s: f64::from(calls) / daemons / seconds,
            most_answered_per_s: f64::from(most) / seconds,
            peers: count(peers) / daemons,
            used: f64::from(self.permits) / (daemons * seconds * limit().per_s()),
        }
    }
}
