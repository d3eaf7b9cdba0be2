//! Simulates placement policies on the same seeded traffic and engine churn and compares them.

mod distributed;
mod leader;
mod policy;
mod pool;
mod summary;
mod traffic;

pub use policy::{Policy, all_policies};
pub use summary::{Summary, table};

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use lapismoor_core::Moment;
use lapismoor_core::config::PoolKind;
use lapismoor_core::request::Class;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::event_queue::EventQueue;
use pool::EnginePool;
use traffic::{RequestSpec, Traffic};

/// Simulated time of a run.
pub const RUN_DURATION: Duration = Duration::from_mins(10);
/// Time at the start of a run that is not measured, while the caches fill.
const WARM_UP: Duration = Duration::from_mins(2);
/// Time between two changes of the set of live engines.
const CHURN_INTERVAL: Duration = Duration::from_mins(1);
/// Time between reports of the engines, and so the greatest age of reported loads and cache events.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Probability that a report loses its cache events.
const CACHE_EVENT_LOSS_PROBABILITY: f64 = 0.1;

enum Event {
    Arrival,
    RunEnd {
        engine: usize,
        request_id: u64,
        started_at: Moment,
    },
    Churn,
    Report,
}

/// Decision of a policy on a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Sent to the engine with this index.
    Engine(usize),
    /// Not sent: queued by the policy, or refused.
    Deferred,
}

/// A simulated request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Number within the run, from 1.
    pub id: u64,
    /// What the caller asks for.
    pub spec: RequestSpec,
    /// Time of its arrival at the fleet.
    pub arrived_at: Moment,
    /// Priority that the engine is told; 0 is served first.
    pub rank: usize,
}

struct Simulation<'a> {
    now: Moment,
    events: EventQueue<Event>,
    pool: EnginePool,
    traffic: Traffic,
    policy: &'a mut Policy,
    rng: ChaCha8Rng,
    pending: VecDeque<Request>,
    summary: Summary,
    /// Factor of the mean load in the load bound.
    load_multiple: f64,
}

/// Runs one policy on the traffic of a seed.
pub fn simulate(deployment: &Deployment, policy: &mut Policy, seed: u64) -> Summary {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let traffic = Traffic::new(deployment, rng.random());
    let mut simulation = Simulation {
        now: Moment::ZERO,
        events: EventQueue::default(),
        pool: EnginePool::new(deployment.engines),
        traffic,
        policy,
        rng,
        pending: VecDeque::new(),
        summary: Summary::default(),
        load_multiple: deployment.pool(&PoolKind::Engines).load_multiple,
    };
    simulation.events.schedule(Duration::ZERO, Event::Report);
    simulation
        .events
        .schedule(Duration::from_millis(10), Event::Arrival);
    simulation.events.schedule(CHURN_INTERVAL, Event::Churn);
    while let Some((at, event)) = simulation.events.pop() {
        if at > RUN_DURATION {
            break;
        }
        simulation.now = at;
        simulation.handle(&event);
    }
    let refused_requests = (simulation.policy.refused_count)();
    let mut summary = simulation.summary;
    summary.name = simulation.policy.name;
    summary.refused_requests = refused_requests;
    summary
}

impl Simulation<'_> {
    fn handle(&mut self, event: &Event) {
        match event {
            Event::Arrival => {
                let (spec, gap) = self.traffic.next_request(self.now);
                self.events.schedule(self.now + gap, Event::Arrival);
                self.submit(spec);
            }
            Event::RunEnd {
                engine,
                request_id,
                started_at,
            } => self.end_run(*engine, *request_id, *started_at),
            Event::Churn => {
                self.events
                    .schedule(self.now + CHURN_INTERVAL, Event::Churn);
                self.churn();
            }
            Event::Report => {
                self.events
                    .schedule(self.now + REPORT_INTERVAL, Event::Report);
                let events_lost = self.rng.random_bool(CACHE_EVENT_LOSS_PROBABILITY);
                self.pool.report(events_lost);
                let assignments = (self.policy.on_report)(self.now, &mut self.pool);
                self.dispatch(assignments);
            }
        }
    }

    fn submit(&mut self, spec: RequestSpec) {
        self.summary.requests += u64::from(self.is_measured());
        let rank = if self.policy.passes_ranks {
            spec.class.rank()
        } else {
            0
        };
        let request = Request {
            id: self.summary.next_request_id(),
            spec,
            arrived_at: self.now,
            rank,
        };
        let start = Instant::now();
        let placement = (self.policy.place)(self.now, &self.pool, &request);
        self.summary.record_decision(start.elapsed());
        self.pending.push_back(request.clone());
        match placement {
            Placement::Engine(engine) => self.dispatch(vec![(request.id, engine)]),
            Placement::Deferred => {}
        }
    }

    /// Sends pending requests to their engines, which queue what exceeds their slots.
    fn dispatch(&mut self, assignments: Vec<(u64, usize)>) {
        for (request_id, engine) in assignments {
            let Some(position) = self.pending.iter().position(|r| r.id == request_id) else {
                continue;
            };
            let Some(request) = self.pending.remove(position) else {
                continue;
            };
            self.pool.engines[engine].queue.push_back(request);
            self.record_load(engine);
            self.start_queued(engine);
        }
    }

    fn start_queued(&mut self, engine: usize) {
        while let Some(request) = self.pool.start_next(engine) {
            let cached = self.pool.touch_cache(engine, request.spec.chat);
            self.record_run_start(&request, cached);
            let duration = self.pool.run_duration(engine, cached, request.spec.tokens);
            let run_end = Event::RunEnd {
                engine,
                request_id: request.id,
                started_at: self.now,
            };
            self.events.schedule(self.now + duration, run_end);
        }
    }

    fn end_run(&mut self, engine: usize, request_id: u64, started_at: Moment) {
        if !self.pool.end_run(engine, request_id) {
            return;
        }
        self.start_queued(engine);
        let run_duration = self.now.saturating_sub(started_at);
        let assignments =
            (self.policy.on_run_end)(self.now, &self.pool, engine, request_id, run_duration);
        self.dispatch(assignments);
    }

    /// Drains an engine, which finishes what it holds, or restarts the drained one.
    fn churn(&mut self) {
        self.pool.churn(&mut self.rng);
        let assignments = (self.policy.on_report)(self.now, &mut self.pool);
        self.dispatch(assignments);
    }

    fn is_measured(&self) -> bool {
        self.now >= WARM_UP
    }

    fn record_run_start(&mut self, request: &Request, cached: bool) {
        if !self.is_measured() {
            return;
        }
        let wait = self.now.saturating_sub(request.arrived_at);
        if request.spec.class == Class::Urgent {
            self.summary.urgent_waits.push(wait);
        }
        self.summary.returning_turns += u64::from(request.spec.is_returning);
        self.summary.cache_hits += u64::from(request.spec.is_returning && cached);
    }

    fn record_load(&mut self, engine: usize) {
        if !self.is_measured() {
            return;
        }
        if let Some(load_skew) = self.pool.load_skew() {
            self.summary.load_skews.push(load_skew);
        }
        let is_over = self.pool.is_over_bound(engine, self.load_multiple);
        self.summary.over_bound += u64::from(is_over);
    }
}
