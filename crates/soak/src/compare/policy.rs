//! Placement policies, as structs of closures.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use lapismoor_core::Moment;
use lapismoor_core::routing::rendezvous::rendezvous_first;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::pool::EnginePool;
use super::{Placement, Request, distributed, leader};
use crate::deployment::Deployment;

/// Places a new request, given the time and the engines.
type PlaceFn = Box<dyn FnMut(Moment, &EnginePool, &Request) -> Placement>;
/// Handles the end of a run, given the engine, the request and the time the run took on the engine.
/// Returns queued requests to send now, each with its engine.
type RunEndFn = Box<dyn FnMut(Moment, &EnginePool, usize, u64, Duration) -> Vec<(u64, usize)>>;
/// Handles reports and changes of the engines. Returns the same as [`RunEndFn`].
type ReportFn = Box<dyn FnMut(Moment, &mut EnginePool) -> Vec<(u64, usize)>>;

/// A placement policy.
pub struct Policy {
    /// Name in the table.
    pub name: &'static str,
    /// Whether engines are told the priority of a request.
    pub passes_ranks: bool,
    /// Called for each new request.
    pub place: PlaceFn,
    /// Called at the end of each run.
    pub on_run_end: RunEndFn,
    /// Called after each report and each change of the live engines.
    pub on_report: ReportFn,
    /// Returns the number of requests refused so far.
    pub refused_count: Box<dyn Fn() -> u64>,
}

/// All policies, in the order of the table.
#[must_use]
pub fn all_policies(deployment: &Deployment, seed: u64) -> Vec<Policy> {
    vec![
        random(seed),
        least_reported_load(),
        rendezvous(),
        two_choices(seed),
        leader::policy(
            "one leader (earlier)",
            deployment,
            leader::CacheKnowledge::LastEngines,
        ),
        distributed::policy("ours", deployment, distributed::QueueOrder::ByUrgency),
        distributed::policy(
            "ours, first come",
            deployment,
            distributed::QueueOrder::Fifo,
        ),
        leader::policy("all-knowing", deployment, leader::CacheKnowledge::Exact),
    ]
}

/// A policy that places every request on arrival and ignores ends of runs and reports.
fn immediate(
    name: &'static str,
    mut choose: impl FnMut(&EnginePool, &Request) -> usize + 'static,
) -> Policy {
    Policy {
        name,
        passes_ranks: true,
        place: Box::new(move |_, pool, request| Placement::Engine(choose(pool, request))),
        on_run_end: Box::new(|_, _, _, _, _| Vec::new()),
        on_report: Box::new(|_, _| Vec::new()),
        refused_count: Box::new(|| 0),
    }
}

fn random(seed: u64) -> Policy {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    immediate("random", move |pool, _| {
        let live = pool.live_engines();
        live[rng.random_range(0..live.len())]
    })
}

fn least_reported_load() -> Policy {
    immediate("least reported load", |pool, _| {
        let live = pool.live_engines().into_iter();
        live.min_by_key(|index| pool.engines[*index].reported_load)
            .unwrap_or(0)
    })
}

fn rendezvous() -> Policy {
    immediate("plain rendezvous", |pool, request| {
        let live = pool.live_engines();
        let names: Vec<CompactString> = live.iter().map(|index| engine_name(*index)).collect();
        let first = rendezvous_first(request.spec.chat, names.iter().map(CompactString::as_str));
        first.map_or(0, |position| live[position])
    })
}

fn two_choices(seed: u64) -> Policy {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    immediate("two choices", move |pool, _| {
        let live = pool.live_engines();
        let first = live[rng.random_range(0..live.len())];
        let second = live[rng.random_range(0..live.len())];
        if pool.engines[second].reported_load < pool.engines[first].reported_load {
            second
        } else {
            first
        }
    })
}

/// Target id of the engine at an index.
pub(super) fn engine_name(engine: usize) -> CompactString {
    format_compact!("engine-{engine:03}")
}
