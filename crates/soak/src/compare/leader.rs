//! Baselines that know the load of every engine exactly, as the one leader a pool of earlier versions
//! did: requests go below a bound to where the chat's context is, and wait in order of urgency.

use std::cell::RefCell;
use std::rc::Rc;

use lapismoor_core::config::{PoolKind, Profile};
use lapismoor_core::ids::ChatKey;

use super::policy::Policy;
use super::pool::{Pool, SLOTS};
use super::{Placed, Request};
use crate::deployment::Deployment;

/// Worth of an engine that holds a chat's context, by how sure that is.
const LAST_WORTH: f64 = 1.0;
const FORMER_WORTH: f64 = 0.6;

/// What is known of caches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Knowledge {
    /// The engines that ran a chat last.
    LastRuns,
    /// What each engine really holds.
    Caches,
}

struct Leader {
    knowledge: Knowledge,
    multiple: f64,
    profiles: Vec<Profile>,
    /// The engines that ran a chat last, the latest first. Invariant: sorted by chat.
    last_runs: Vec<(ChatKey, Vec<usize>)>,
    waiting: Vec<Request>,
}

/// A leader as a policy.
pub(super) fn policy(name: &'static str, deployment: &Deployment, knowledge: Knowledge) -> Policy {
    let pool = deployment.pool(&PoolKind::Engines);
    let leader = Rc::new(RefCell::new(Leader {
        knowledge,
        multiple: pool.load_multiple,
        profiles: deployment.config.profiles.clone(),
        last_runs: Vec::new(),
        waiting: Vec::new(),
    }));
    let for_place = Rc::clone(&leader);
    Policy {
        name,
        passes_ranks: true,
        place: Box::new(move |_, pool, request| for_place.borrow_mut().place(pool, request)),
        ended: Box::new(move |_, pool, _, _, _| leader.borrow_mut().go_on(pool)),
        reported: Box::new(|_, _| Vec::new()),
        refused: Box::new(|| 0),
    }
}

impl Leader {
    fn place(&mut self, pool: &Pool, request: &Request) -> Placed {
        if self.waiting.is_empty()
            && let Some(engine) = self.best(pool, request)
        {
            self.note(request.wanted.chat, engine);
            return Placed::On(engine);
        }
        self.waiting.push(request.clone());
        Placed::Waits
    }

    fn go_on(&mut self, pool: &Pool) -> Vec<(u64, usize)> {
        self.waiting
            .sort_by_key(|request| (request.wanted.class, request.came_at));
        let Some(first) = self.waiting.first().cloned() else {
            return Vec::new();
        };
        let Some(engine) = self.best(pool, &first) else {
            return Vec::new();
        };
        self.waiting.remove(0);
        self.note(first.wanted.chat, engine);
        vec![(first.number, engine)]
    }

    fn best(&self, pool: &Pool, request: &Request) -> Option<usize> {
        let live = pool.live();
        let total: usize = live.iter().map(|index| pool.engines[*index].load()).sum();
        let mean = to_f64(total) / to_f64(live.len().max(1));
        let bound = (self.multiple * mean).ceil().max(1.0).min(to_f64(SLOTS));
        let profile = self
            .profiles
            .iter()
            .find(|profile| profile.name == request.wanted.profile);
        let weight = profile.map_or(0.5, |profile| profile.reuse_weight);
        let score = |index: &usize| {
            let crowding = to_f64(pool.engines[*index].load() + 1) / bound;
            weight * self.reuse(pool, request.wanted.chat, *index) - (1.0 - weight) * crowding
        };
        let free = live
            .into_iter()
            .filter(|index| to_f64(pool.engines[*index].load()) < bound);
        free.max_by(|left, right| score(left).total_cmp(&score(right)))
    }

    fn reuse(&self, pool: &Pool, chat: ChatKey, engine: usize) -> f64 {
        if self.knowledge == Knowledge::Caches {
            return if pool.engines[engine].holds(chat) {
                LAST_WORTH
            } else {
                0.0
            };
        }
        let found = self.last_runs.binary_search_by_key(&chat, |known| known.0);
        let Ok(position) = found else {
            return 0.0;
        };
        let runs = &self.last_runs[position].1;
        match runs.iter().position(|known| *known == engine) {
            Some(0) => LAST_WORTH,
            Some(_) => FORMER_WORTH,
            None => 0.0,
        }
    }

    fn note(&mut self, chat: ChatKey, engine: usize) {
        let found = self.last_runs.binary_search_by_key(&chat, |known| known.0);
        let position = found.unwrap_or_else(|position| {
            self.last_runs.insert(position, (chat, Vec::new()));
            position
        });
        let runs = &mut self.last_runs[position].1;
        runs.retain(|known| *known != engine);
        runs.insert(0, engine);
        runs.truncate(2);
    }
}

#[expect(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
