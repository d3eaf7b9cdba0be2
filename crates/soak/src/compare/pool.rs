//! The engines of a comparison: batching, a bounded prefix cache, lagging reports.

use std::collections::VecDeque;
use std::time::Duration;

use lapismoor_core::ids::ChatKey;
use rand::{Rng, RngExt};

use super::Request;

/// Requests that an engine runs at once.
pub const SLOTS: usize = 16;
/// Chats whose context an engine holds.
const CACHED_CHATS: usize = 140;
/// Time to read a prompt whose context is not cached.
const PREFILL: Duration = Duration::from_millis(600);
/// Time between tokens of a lone request.
const TOKEN: Duration = Duration::from_millis(25);
/// Requests beside the multiple of the mean, by the users' rule on load.
const LOAD_EXTRA: f64 = 3.0;
/// Requests that double the time between tokens.
const DOUBLING_LOAD: u32 = 24;

/// An engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Requests that it runs.
    pub running: Vec<u64>,
    /// Requests that wait there, in order of arrival.
    pub queue: VecDeque<Request>,
    /// Chats in the cache, the latest last.
    pub cache: VecDeque<ChatKey>,
    /// Whether it takes new requests.
    pub is_live: bool,
    /// Load that it reported last.
    pub reported_load: usize,
    /// Chats dropped since the last report.
    pub evicted: Vec<ChatKey>,
    /// Chats dropped, as the last report told.
    pub reported_evicted: Vec<ChatKey>,
    /// Grows with each start.
    pub incarnation: u64,
}

impl Engine {
    /// Requests that it runs or that wait there.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Whether the context of a chat is cached.
    #[must_use]
    pub fn holds(&self, chat: ChatKey) -> bool {
        self.cache.contains(&chat)
    }
}

/// The engines.
#[derive(Debug)]
pub struct Pool {
    /// Engines, live or not.
    pub engines: Vec<Engine>,
    leaving: Option<usize>,
}

impl Pool {
    /// Live engines with empty caches.
    #[must_use]
    pub fn new(count: usize) -> Self {
        let engine = |_| Engine {
            is_live: true,
            incarnation: 1,
            ..Engine::default()
        };
        Self {
            engines: (0..count).map(engine).collect(),
            leaving: None,
        }
    }

    /// Positions of the live engines.
    #[must_use]
    pub fn live(&self) -> Vec<usize> {
        let all = 0..self.engines.len();
        all.filter(|index| self.engines[*index].is_live).collect()
    }

    /// Takes the next request of an engine's queue, if a slot is free.
    pub fn next_to_run(&mut self, engine: usize) -> Option<Request> {
        let engine = &mut self.engines[engine];
        if engine.running.len() >= SLOTS {
            return None;
        }
        // Engines honour priorities; those of one class run in order of arrival.
        let most_urgent = engine.queue.iter().map(|request| request.rank).min()?;
        let next = engine
            .queue
            .iter()
            .position(|request| request.rank == most_urgent)?;
        let request = engine.queue.remove(next)?;
        engine.running.push(request.number);
        Some(request)
    }

    /// Ends a run; false when it was not there.
    pub fn end(&mut self, engine: usize, number: u64) -> bool {
        let running = &mut self.engines[engine].running;
        let before = running.len();
        running.retain(|known| *known != number);
        running.len() < before
    }

    /// Uses a chat's context; returns whether it was cached.
    pub fn use_cache(&mut self, engine: usize, chat: ChatKey) -> bool {
        let engine = &mut self.engines[engine];
        let position = engine.cache.iter().position(|known| *known == chat);
        if let Some(position) = position {
            engine.cache.remove(position);
        }
        engine.cache.push_back(chat);
        if engine.cache.len() > CACHED_CHATS {
            engine.evicted.extend(engine.cache.pop_front());
        }
        position.is_some()
    }

    /// Time that a run takes.
    #[must_use]
    pub fn run_time(&self, engine: usize, cached: bool, tokens: u32) -> Duration {
        let running = u32::try_from(self.engines[engine].running.len()).unwrap_or(0);
        let token = TOKEN + TOKEN * running / DOUBLING_LOAD;
        let prefill = if cached { Duration::ZERO } else { PREFILL };
        prefill + token * tokens
    }

    /// The engines report; a lost report keeps its cache events.
    pub fn report(&mut self, lost: bool) {
        for engine in &mut self.engines {
            engine.reported_load = engine.load();
            let evicted = std::mem::take(&mut engine.evicted);
            engine.reported_evicted = if lost { Vec::new() } else { evicted };
        }
    }

    /// An engine leaves, or the one that left last comes back empty.
    pub fn churn(&mut self, random: &mut impl Rng) {
        if let Some(index) = self.leaving.take() {
            let engine = &mut self.engines[index];
            engine.is_live = true;
            engine.cache.clear();
            engine.evicted.clear();
            engine.incarnation += 1;
            return;
        }
        let index = random.random_range(0..self.engines.len());
        self.engines[index].is_live = false;
        self.leaving = Some(index);
    }

    /// Whether an engine carries more than `multiple × mean + 3`, the users' rule on load.
    #[must_use]
    pub fn is_over_bound(&self, engine: usize, multiple: f64) -> bool {
        let live = self.live();
        let sum: usize = live.iter().map(|index| self.engines[*index].load()).sum();
        let mean = to_f64(sum) / to_f64(live.len().max(1));
        to_f64(self.engines[engine].load()) > multiple * mean + LOAD_EXTRA
    }

    /// Greatest load over the mean of the live engines, where the mean is at least 1.
    #[must_use]
    pub fn skew(&self) -> Option<f64> {
        let loads: Vec<usize> = self
            .live()
            .iter()
            .map(|index| self.engines[*index].load())
            .collect();
        let sum: usize = loads.iter().sum();
        let most = loads.iter().max().copied()?;
        if sum < loads.len() {
            return None;
        }
        Some(to_f64(most * loads.len()) / to_f64(sum))
    }
}

#[expect(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
