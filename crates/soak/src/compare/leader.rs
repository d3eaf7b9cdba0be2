//! Baseline policies with one leader that knows the exact load of every engine; in earlier
//! versions, each pool had such a leader. It sends requests to engines below a load bound, prefers
//! those that hold the chat's context, and queues the rest by urgency.

use std::cell::RefCell;
use std::rc::Rc;

use lapismoor_core::config::{PoolKind, Profile};
use lapismoor_core::ids::ChatKey;

use super::policy::Policy;
use super::pool::{EnginePool, SLOTS_PER_ENGINE};
use super::{Placement, Request};
use crate::deployment::Deployment;

/// Reuse score of the engine that ran a chat last, or is known to cache it.
const LAST_ENGINE_REUSE: f64 = 1.0;
/// Reuse score of the engine that ran a chat before the last one; less likely to still cache it.
const FORMER_ENGINE_REUSE: f64 = 0.6;

/// What the leader knows about the caches of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CacheKnowledge {
    /// Only which engines ran each chat last.
    LastEngines,
    /// The exact contents of every cache.
    Exact,
}

struct Leader {
    knowledge: CacheKnowledge,
    load_multiple: f64,
    profiles: Vec<Profile>,
    /// The last two engines of each chat, the latest first. Invariant: sorted by chat.
    last_engines: Vec<(ChatKey, Vec<usize>)>,
    waiting: Vec<Request>,
}

/// Creates a policy that is driven by one leader.
pub(super) fn policy(
    name: &'static str,
    deployment: &Deployment,
    knowledge: CacheKnowledge,
) -> Policy {
    let pool = deployment.pool(&PoolKind::Engines);
    let leader = Rc::new(RefCell::new(Leader {
        knowledge,
        load_multiple: pool.load_multiple,
        profiles: deployment.config.profiles.clone(),
        last_engines: Vec::new(),
        waiting: Vec::new(),
    }));
    let placing_leader = Rc::clone(&leader);
    Policy {
        name,
        passes_ranks: true,
        place: Box::new(move |_, pool, request| placing_leader.borrow_mut().place(pool, request)),
        on_run_end: Box::new(move |_, pool, _, _, _| leader.borrow_mut().send_next(pool)),
        on_report: Box::new(|_, _| Vec::new()),
        refused_count: Box::new(|| 0),
    }
}

impl Leader {
    fn place(&mut self, pool: &EnginePool, request: &Request) -> Placement {
        if self.waiting.is_empty()
            && let Some(engine) = self.best_engine(pool, request)
        {
            self.record_run(request.spec.chat, engine);
            return Placement::Engine(engine);
        }
        self.waiting.push(request.clone());
        Placement::Deferred
    }

    fn send_next(&mut self, pool: &EnginePool) -> Vec<(u64, usize)> {
        self.waiting
            .sort_by_key(|request| (request.spec.class, request.arrived_at));
        let Some(first) = self.waiting.first().cloned() else {
            return Vec::new();
        };
        let Some(engine) = self.best_engine(pool, &first) else {
            return Vec::new();
        };
        self.waiting.remove(0);
        self.record_run(first.spec.chat, engine);
        vec![(first.id, engine)]
    }

    fn best_engine(&self, pool: &EnginePool, request: &Request) -> Option<usize> {
        let live = pool.live_engines();
        let total_load: usize = live.iter().map(|index| pool.engines[*index].load()).sum();
        let mean_load = to_f64(total_load) / to_f64(live.len().max(1));
        let bound = (self.load_multiple * mean_load)
            .ceil()
            .max(1.0)
            .min(to_f64(SLOTS_PER_ENGINE));
        let profile = self
            .profiles
            .iter()
            .find(|profile| profile.name == request.spec.profile);
        let reuse_weight = profile.map_or(0.5, |profile| profile.reuse_weight);
        let score = |index: &usize| {
            let load_ratio = to_f64(pool.engines[*index].load() + 1) / bound;
            reuse_weight * self.reuse_score(pool, request.spec.chat, *index)
                - (1.0 - reuse_weight) * load_ratio
        };
        let below_bound = live
            .into_iter()
            .filter(|index| to_f64(pool.engines[*index].load()) < bound);
        below_bound.max_by(|left, right| score(left).total_cmp(&score(right)))
    }

    fn reuse_score(&self, pool: &EnginePool, chat: ChatKey, engine: usize) -> f64 {
        if self.knowledge == CacheKnowledge::Exact {
            return if pool.engines[engine].holds(chat) {
                LAST_ENGINE_REUSE
            } else {
                0.0
            };
        }
        let found = self
            .last_engines
            .binary_search_by_key(&chat, |known| known.0);
        let Ok(position) = found else {
            return 0.0;
        };
        let engines = &self.last_engines[position].1;
        match engines.iter().position(|known| *known == engine) {
            Some(0) => LAST_ENGINE_REUSE,
            Some(_) => FORMER_ENGINE_REUSE,
            None => 0.0,
        }
    }

    fn record_run(&mut self, chat: ChatKey, engine: usize) {
        let found = self
            .last_engines
            .binary_search_by_key(&chat, |known| known.0);
        let position = found.unwrap_or_else(|position| {
            self.last_engines.insert(position, (chat, Vec::new()));
            position
        });
        let engines = &mut self.last_engines[position].1;
        engines.retain(|known| *known != engine);
        engines.insert(0, engine);
        engines.truncate(2);
    }
}

#[expect(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
