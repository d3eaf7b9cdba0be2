//! Compares ways of placing requests on the same seeded traffic and churn.

mod distributed;
mod leader;
mod policy;
mod pool;
mod summary;
mod traffic;

pub use policy::{Policy, all};
pub use summary::{Summary, table};

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use lapismoor_core::Moment;
use lapismoor_core::config::PoolKind;
use lapismoor_core::request::Class;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;
use crate::event_queue::Agenda;
use pool::Pool;
use traffic::{Traffic, Wanted};

/// Length of a comparison.
pub const LENGTH: Duration = Duration::from_mins(10);
/// Time at the start that is not counted: caches fill.
const WARM_UP: Duration = Duration::from_mins(2);
/// Time between two changes of the engines.
const CHURN: Duration = Duration::from_mins(1);
/// Age of load reports and cache events.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// Share of cache events that are lost.
const LOST_EVENTS: f64 = 0.1;

enum Happening {
    Request,
    End {
        engine: usize,
        number: u64,
        started_at: Moment,
    },
    Churn,
    Report,
}

/// What a policy did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placed {
    /// It goes to this engine.
    On(usize),
    /// It waits until something changes.
    Waits,
}

/// A request as the comparison follows it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Number.
    pub number: u64,
    /// What it wants.
    pub wanted: Wanted,
    /// When it came.
    pub came_at: Moment,
    /// Rank that engines are told, 0 first.
    pub rank: usize,
}

struct Run<'a> {
    now: Moment,
    agenda: Agenda<Happening>,
    pool: Pool,
    traffic: Traffic,
    policy: &'a mut Policy,
    random: ChaCha8Rng,
    waiting: VecDeque<Request>,
    summary: Summary,
    /// Multiple of the mean that a load may come to.
    multiple: f64,
}

/// Drives one policy through the traffic of a seed.
pub fn run(deployment: &Deployment, policy: &mut Policy, seed: u64) -> Summary {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let traffic = Traffic::new(deployment, random.random());
    let mut run = Run {
        now: Moment::ZERO,
        agenda: Agenda::default(),
        pool: Pool::new(deployment.engines),
        traffic,
        policy,
        random,
        waiting: VecDeque::new(),
        summary: Summary::default(),
        multiple: deployment.pool(&PoolKind::Engines).load_multiple,
    };
    run.agenda.add(Duration::ZERO, Happening::Report);
    run.agenda
        .add(Duration::from_millis(10), Happening::Request);
    run.agenda.add(CHURN, Happening::Churn);
    while let Some((at, happening)) = run.agenda.pop() {
        if at > LENGTH {
            break;
        }
        run.now = at;
        run.happen(&happening);
    }
    let refused = (run.policy.refused)();
    let mut summary = run.summary;
    summary.name = run.policy.name;
    summary.refused = refused;
    summary
}

impl Run<'_> {
    fn happen(&mut self, happening: &Happening) {
        match happening {
            Happening::Request => {
                let (wanted, wait) = self.traffic.next(self.now);
                self.agenda.add(self.now + wait, Happening::Request);
                self.submit(wanted);
            }
            Happening::End {
                engine,
                number,
                started_at,
            } => self.end(*engine, *number, *started_at),
            Happening::Churn => {
                self.agenda.add(self.now + CHURN, Happening::Churn);
                self.churn();
            }
            Happening::Report => {
                self.agenda.add(self.now + REPORT_LAG, Happening::Report);
                let lost = self.random.random_bool(LOST_EVENTS);
                self.pool.report(lost);
                let granted = (self.policy.reported)(self.now, &mut self.pool);
                self.start_all(granted);
            }
        }
    }

    fn submit(&mut self, wanted: Wanted) {
        self.summary.requests += u64::from(self.counts());
        let rank = if self.policy.passes_ranks {
            wanted.class.rank()
        } else {
            0
        };
        let request = Request {
            number: self.summary.next_number(),
            wanted,
            came_at: self.now,
            rank,
        };
        let start = Instant::now();
        let placed = (self.policy.place)(self.now, &self.pool, &request);
        self.summary.note_cost(start.elapsed());
        self.waiting.push_back(request.clone());
        match placed {
            Placed::On(engine) => self.start_all(vec![(request.number, engine)]),
            Placed::Waits => {}
        }
    }

    /// Sends requests to engines; beyond their slots, engines queue in order of arrival.
    fn start_all(&mut self, granted: Vec<(u64, usize)>) {
        for (number, engine) in granted {
            let Some(position) = self.waiting.iter().position(|r| r.number == number) else {
                continue;
            };
            let Some(request) = self.waiting.remove(position) else {
                continue;
            };
            self.pool.engines[engine].queue.push_back(request);
            self.note_skew(engine);
            self.run_queued(engine);
        }
    }

    fn run_queued(&mut self, engine: usize) {
        while let Some(request) = self.pool.next_to_run(engine) {
            let cached = self.pool.use_cache(engine, request.wanted.chat);
            self.note_run(&request, cached);
            let time = self.pool.run_time(engine, cached, request.wanted.tokens);
            let end = Happening::End {
                engine,
                number: request.number,
                started_at: self.now,
            };
            self.agenda.add(self.now + time, end);
        }
    }

    fn end(&mut self, engine: usize, number: u64, started_at: Moment) {
        if !self.pool.end(engine, number) {
            return;
        }
        self.run_queued(engine);
        let took = self.now.saturating_sub(started_at);
        let granted = (self.policy.ended)(self.now, &self.pool, engine, number, took);
        self.start_all(granted);
    }

    /// An engine leaves, finishing what it runs, or a fresh one joins.
    fn churn(&mut self) {
        self.pool.churn(&mut self.random);
        let granted = (self.policy.reported)(self.now, &mut self.pool);
        self.start_all(granted);
    }

    fn counts(&self) -> bool {
        self.now >= WARM_UP
    }

    fn note_run(&mut self, request: &Request, cached: bool) {
        if !self.counts() {
            return;
        }
        let wait = self.now.saturating_sub(request.came_at);
        if request.wanted.class == Class::Urgent {
            self.summary.urgent_waits.push(wait);
        }
        self.summary.returning += u64::from(request.wanted.is_returning);
        self.summary.cached += u64::from(request.wanted.is_returning && cached);
    }

    fn note_skew(&mut self, engine: usize) {
        if !self.counts() {
            return;
        }
        if let Some(skew) = self.pool.skew() {
            self.summary.skews.push(skew);
        }
        let over = self.pool.is_over_bound(engine, self.multiple);
        self.summary.over_bound += u64::from(over);
    }
}
