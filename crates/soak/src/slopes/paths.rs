//! What it costs to reach targets through other daemons, while two thirds of a fleet have lost all
//! their paths.

use std::hint::black_box;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::ids::{FailureDomain, TargetKey};
use lapismoor_core::membership::{DaemonRecord, HelperQuery, Reach};

use lapismoor_core::routing::{Homes, Regions};

use super::{as_micros, count, daemon_record, mean_time};

/// Targets of the fleet, by daemon, at most.
const MAX_TARGETS: usize = 600;
/// Requests of each daemon that has lost its paths.
const REQUESTS: usize = 60;
/// Time between two of them.
const REQUEST_INTERVAL: Duration = Duration::from_millis(125);
/// Requests after which the daemons know what others reach.
const SETTLED_AFTER: usize = 24;
/// Daemons that are asked for one connection.
const MAX_ASKED: usize = 8;

/// Costs in a fleet of a given size.
pub(super) struct PathCost {
    /// Calls to other daemons for each connection that one of them forwards.
    pub calls_per_connection: f64,
    /// Connections that the daemon forwards that forwards most, in parts of the mean.
    pub most_forwarded: f64,
    /// Probes of lost paths by each daemon that lost some.
    pub probes_per_s: f64,
    /// Time to rank the daemons to ask, in microseconds.
    pub rank_us: f64,
    /// Time to look a path up, in microseconds.
    pub look_up_us: f64,
}

/// Whether a daemon has lost all its paths.
fn is_cut(daemon: usize) -> bool {
    !daemon.is_multiple_of(3)
}

/// Plays the requests of a fleet of `daemons`, and measures the decisions.
pub(super) fn measure(daemons: u16) -> PathCost {
    let records: Vec<DaemonRecord> = (0..daemons).map(daemon_record).collect();
    let targets = (usize::from(daemons) * 3 / 2).clamp(9, MAX_TARGETS);
    let domains = ["domain-0", "domain-1", "domain-2", "domain-3", "domain-4"];
    let domains = domains.map(FailureDomain::from);
    let regions = Regions::default();
    let mut reach = vec![Reach::default(); records.len()];
    let mut forwarded = vec![0_usize; records.len()];
    let (mut calls, mut connections, mut probes) = (0, 0, 0);
    for round in 0..REQUESTS {
        let now =
            Duration::from_secs(1) + REQUEST_INTERVAL * u32::try_from(round).unwrap_or(u32::MAX);
        let is_settled = round >= SETTLED_AFTER;
        for daemon in (0..records.len()).filter(|daemon| is_cut(*daemon)) {
            let due = reach[daemon].take_probes(now);
            probes += if is_settled { due.len() } else { 0 };
            for target in due {
                reach[daemon].record_not_connected(now, target);
            }
            let target = (round * 31 + daemon * 17) % targets;
            let key = target as TargetKey;
            if !reach[daemon].is_lost(now, key) {
                reach[daemon].record_not_connected(now, key);
            }
            let domain = &domains[target % domains.len()];
            let query = query(&records[daemon], key, domain, &regions, round);
            for _ in 0..MAX_ASKED {
                let helpers = reach[daemon].helpers(now, &query, &records);
                let Some(helper) = helpers.first().copied() else {
                    break;
                };
                calls += usize::from(is_settled);
                let position = records.iter().position(|one| one.id == helper.id);
                let position = position.unwrap_or_default();
                if is_cut(position) {
                    reach[daemon].record_without_path(now, &helper.id, key);
                } else {
                    reach[daemon].record_relayed(now, &helper.id, key);
                    connections += usize::from(is_settled);
                    forwarded[position] += usize::from(is_settled);
                    break;
                }
            }
        }
    }
    let cut = (0..records.len()).filter(|daemon| is_cut(*daemon)).count();
    let played_s = REQUEST_INTERVAL.as_secs_f64() * count(REQUESTS - SETTLED_AFTER);
    let mean = count(connections) / count(records.len() - cut);
    let most = forwarded.iter().max().copied().unwrap_or_default();
    let (rank_us, look_up_us) = measure_decisions(&records, &mut reach[1], &domains);
    PathCost {
        calls_per_connection: count(calls) / count(connections.max(1)),
        most_forwarded: count(most) / mean.max(1.0),
        probes_per_s: count(probes) / count(cut.max(1)) / played_s,
        rank_us,
        look_up_us,
    }
}

fn query<'a>(
    own: &'a DaemonRecord,
    target: TargetKey,
    target_domain: &'a FailureDomain,
    regions: &'a Regions,
    round: usize,
) -> HelperQuery<'a> {
    HelperQuery {
        target,
        target_domain,
        own: &own.id,
        own_domain: &own.domain,
        request: lapismoor_core::ids::hash_parts(&[own.id.as_bytes(), &round.to_le_bytes()]),
        homes: Homes::default(),
        regions,
    }
}

/// Times of the two decisions at a daemon that has lost its paths.
fn measure_decisions(
    records: &[DaemonRecord],
    reach: &mut Reach,
    domains: &[FailureDomain],
) -> (f64, f64) {
    let now: Moment = Duration::from_secs(20);
    let regions = Regions::default();
    let rank = mean_time(|round| {
        let query = query(&records[1], 1, &domains[0], &regions, round as usize);
        black_box(reach.helpers(now, &query, records));
    });
    let look_up = mean_time(|round| {
        black_box(reach.is_lost(now, u64::from(round % 600)));
    });
    (as_micros(rank), as_micros(look_up))
}
