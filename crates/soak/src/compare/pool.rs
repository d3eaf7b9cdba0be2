//! Simulated engines with batching, a bounded prefix cache and periodic reports.

use std::collections::VecDeque;
use std::time::Duration;

use lapismoor_core::ids::ChatKey;
use rand::{Rng, RngExt};

use super::Request;

/// Requests that an engine runs at the same time.
pub const SLOTS_PER_ENGINE: usize = 16;
/// Capacity of an engine's prefix cache, in chats.
const CACHED_CHATS_PER_ENGINE: usize = 140;
/// Time to process a prompt whose context is not cached.
const PREFILL_TIME: Duration = Duration::from_millis(600);
/// Time between tokens of a request that runs alone.
const TIME_PER_TOKEN: Duration = Duration::from_millis(25);
/// Number of requests by which an engine's load may exceed the multiple of the mean load, from the
/// users' load requirement.
const LOAD_BOUND_EXTRA: f64 = 3.0;
/// Number of running requests that doubles the time between tokens.
const REQUESTS_DOUBLING_TOKEN_TIME: u32 = 24;

/// A simulated engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Ids of the running requests.
    pub running: Vec<u64>,
    /// Requests waiting for a slot, in order of arrival.
    pub queue: VecDeque<Request>,
    /// Chats in the prefix cache, the most recently used last.
    pub cache: VecDeque<ChatKey>,
    /// Whether it accepts new requests.
    pub is_live: bool,
    /// Load in its last report.
    pub reported_load: usize,
    /// Chats evicted since the last report.
    pub evicted_chats: Vec<ChatKey>,
    /// Evicted chats in the last report; empty if the report lost its cache events.
    pub reported_evicted_chats: Vec<ChatKey>,
    /// Increases by one with each start.
    pub incarnation: u64,
}

impl Engine {
    /// Number of running and queued requests.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Whether the prefix cache has the context of a chat.
    #[must_use]
    pub fn holds(&self, chat: ChatKey) -> bool {
        self.cache.contains(&chat)
    }
}

/// All engines of a simulation.
#[derive(Debug)]
pub struct EnginePool {
    /// Live and draining engines; policies address them by index.
    pub engines: Vec<Engine>,
    /// The engine that churn took out and brings back next.
    draining_engine: Option<usize>,
}

impl EnginePool {
    /// Creates `count` live engines with empty caches.
    #[must_use]
    pub fn new(count: usize) -> Self {
        let engine = |_| Engine {
            is_live: true,
            incarnation: 1,
            ..Engine::default()
        };
        Self {
            engines: (0..count).map(engine).collect(),
            draining_engine: None,
        }
    }

    /// Indices of the live engines.
    #[must_use]
    pub fn live_engines(&self) -> Vec<usize> {
        let indices = 0..self.engines.len();
        indices
            .filter(|index| self.engines[*index].is_live)
            .collect()
    }

    /// Moves the next request of an engine's queue to a free slot. Returns `None` if there is no
    /// request or no slot.
    pub fn start_next(&mut self, engine: usize) -> Option<Request> {
        let engine = &mut self.engines[engine];
        if engine.running.len() >= SLOTS_PER_ENGINE {
            return None;
        }
        // Engines serve requests by rank, and those of the same rank in order of arrival.
        let most_urgent = engine.queue.iter().map(|request| request.rank).min()?;
        let next = engine
            .queue
            .iter()
            .position(|request| request.rank == most_urgent)?;
        let request = engine.queue.remove(next)?;
        engine.running.push(request.id);
        Some(request)
    }

    /// Frees the slot of a request; returns false if the engine does not run it.
    pub fn end_run(&mut self, engine: usize, request_id: u64) -> bool {
        let running = &mut self.engines[engine].running;
        let before = running.len();
        running.retain(|known| *known != request_id);
        running.len() < before
    }

    /// Makes a chat the most recently used of the cache and evicts the least recently used one if
    /// the cache is full. Returns whether the chat was cached before.
    pub fn touch_cache(&mut self, engine: usize, chat: ChatKey) -> bool {
        let engine = &mut self.engines[engine];
        let position = engine.cache.iter().position(|known| *known == chat);
        if let Some(position) = position {
            engine.cache.remove(position);
        }
        engine.cache.push_back(chat);
        if engine.cache.len() > CACHED_CHATS_PER_ENGINE {
            engine.evicted_chats.extend(engine.cache.pop_front());
        }
        position.is_some()
    }

    /// Time that a run takes at the engine's present number of running requests.
    #[must_use]
    pub fn run_duration(&self, engine: usize, cached: bool, tokens: u32) -> Duration {
        let running = u32::try_from(self.engines[engine].running.len()).unwrap_or(0);
        let time_per_token =
            TIME_PER_TOKEN + TIME_PER_TOKEN * running / REQUESTS_DOUBLING_TOKEN_TIME;
        let prefill_time = if cached { Duration::ZERO } else { PREFILL_TIME };
        prefill_time + time_per_token * tokens
    }

    /// Updates the reports of all engines; with `events_lost`, the cache events since the last
    /// report are dropped.
    pub fn report(&mut self, events_lost: bool) {
        for engine in &mut self.engines {
            engine.reported_load = engine.load();
            let evicted_chats = std::mem::take(&mut engine.evicted_chats);
            engine.reported_evicted_chats = if events_lost {
                Vec::new()
            } else {
                evicted_chats
            };
        }
    }

    /// Takes a random engine out, or brings back the one taken out before, restarted with an empty
    /// cache.
    pub fn churn(&mut self, rng: &mut impl Rng) {
        if let Some(index) = self.draining_engine.take() {
            let engine = &mut self.engines[index];
            engine.is_live = true;
            engine.cache.clear();
            engine.evicted_chats.clear();
            engine.incarnation += 1;
            return;
        }
        let index = rng.random_range(0..self.engines.len());
        self.engines[index].is_live = false;
        self.draining_engine = Some(index);
    }

    /// Whether an engine's load exceeds `load_multiple × mean + 3`, the users' load requirement.
    #[must_use]
    pub fn is_over_bound(&self, engine: usize, load_multiple: f64) -> bool {
        let live = self.live_engines();
        let total_load: usize = live.iter().map(|index| self.engines[*index].load()).sum();
        let mean_load = to_f64(total_load) / to_f64(live.len().max(1));
        to_f64(self.engines[engine].load()) > load_multiple * mean_load + LOAD_BOUND_EXTRA
    }

    /// Ratio of the greatest to the mean load of the live engines; `None` if the mean is below 1.
    #[must_use]
    pub fn load_skew(&self) -> Option<f64> {
        let loads: Vec<usize> = self
            .live_engines()
            .iter()
            .map(|index| self.engines[*index].load())
            .collect();
        let total_load: usize = loads.iter().sum();
        let max_load = loads.iter().max().copied()?;
        if total_load < loads.len() {
            return None;
        }
        Some(to_f64(max_load * loads.len()) / to_f64(total_load))
    }
}

#[expect(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
