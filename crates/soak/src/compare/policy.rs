//! Ways of placing requests, as plain structs of closures.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use lapismoor_core::Moment;
use lapismoor_core::routing::rendezvous::rendezvous_first;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::pool::Pool;
use super::{Placed, Request, distributed, leader};
use crate::deployment::Deployment;

/// Decides on a request.
type Place = Box<dyn FnMut(Moment, &Pool, &Request) -> Placed>;
/// Is told of an end, and how long the request was in flight; returns waiting requests that may go
/// on, with their engines.
type Ended = Box<dyn FnMut(Moment, &Pool, usize, u64, Duration) -> Vec<(u64, usize)>>;
/// Is told of reports and changes of the engines; returns as [`Ended`].
type Reported = Box<dyn FnMut(Moment, &mut Pool) -> Vec<(u64, usize)>>;

/// A way of placing requests.
pub struct Policy {
    /// Name.
    pub name: &'static str,
    /// Whether engines are told how urgent a request is.
    pub passes_ranks: bool,
    /// Decides on a request.
    pub place: Place,
    /// Is told of an end.
    pub ended: Ended,
    /// Is told of reports.
    pub reported: Reported,
    /// Requests refused so far.
    pub refused: Box<dyn Fn() -> u64>,
}

/// All ways, in the order of the table.
#[must_use]
pub fn all(deployment: &Deployment, seed: u64) -> Vec<Policy> {
    vec![
        random(seed),
        least_reported(),
        rendezvous(),
        two_choices(seed),
        leader::policy(
            "one leader (earlier)",
            deployment,
            leader::Knowledge::LastRuns,
        ),
        distributed::policy("ours", deployment, distributed::Order::ByUrgency),
        distributed::policy(
            "ours, first come",
            deployment,
            distributed::Order::FirstCome,
        ),
        leader::policy("all-knowing", deployment, leader::Knowledge::Caches),
    ]
}

/// A policy that decides at once and is told nothing.
fn immediate(
    name: &'static str,
    mut choose: impl FnMut(&Pool, &Request) -> usize + 'static,
) -> Policy {
    Policy {
        name,
        passes_ranks: true,
        place: Box::new(move |_, pool, request| Placed::On(choose(pool, request))),
        ended: Box::new(|_, _, _, _, _| Vec::new()),
        reported: Box::new(|_, _| Vec::new()),
        refused: Box::new(|| 0),
    }
}

fn random(seed: u64) -> Policy {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    immediate("random", move |pool, _| {
        let live = pool.live();
        live[random.random_range(0..live.len())]
    })
}

fn least_reported() -> Policy {
    immediate("least reported load", |pool, _| {
        let live = pool.live().into_iter();
        live.min_by_key(|index| pool.engines[*index].reported_load)
            .unwrap_or(0)
    })
}

fn rendezvous() -> Policy {
    immediate("plain rendezvous", |pool, request| {
        let live = pool.live();
        let names: Vec<CompactString> = live.iter().map(|index| name(*index)).collect();
        let first = rendezvous_first(request.wanted.chat, names.iter().map(CompactString::as_str));
        first.map_or(0, |position| live[position])
    })
}

fn two_choices(seed: u64) -> Policy {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    immediate("two choices", move |pool, _| {
        let live = pool.live();
        let first = live[random.random_range(0..live.len())];
        let second = live[random.random_range(0..live.len())];
        if pool.engines[second].reported_load < pool.engines[first].reported_load {
            second
        } else {
            first
        }
    })
}

/// Name of an engine.
pub(super) fn name(engine: usize) -> CompactString {
    format_compact!("engine-{engine:03}")
}
