//! The daemons' own decisions: each of several daemons has its gate, its view of the load and its
//! chooser, and none tells another anything.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{Admission, GateLimits, Ticket};
use lapismoor_core::admission::{Gate, Priority, gate_limits};
use lapismoor_core::config::{Config, PoolKind};
use lapismoor_core::ids::TargetKey;
use lapismoor_core::membership::{Directory, TargetEntry, TargetState, TrafficShare};
use lapismoor_core::routing::{
    Chooser, LoadBound, PromptPart, ReportedLoad, Service, TargetQuery, profile_route,
};

use super::policy::{Policy, name};
use super::pool::{Pool, SLOTS};
use super::{Placed, Request};
use crate::deployment::Deployment;

/// Bound of services without one of their own; not used here.
const FLEET_BOUND: LoadBound = LoadBound {
    percent: 200,
    extra: 3,
};
/// Wait that is of use to the most patient request.
const PATIENCE: Duration = Duration::from_secs(10);

/// In which order requests that wait are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Order {
    /// As the daemons do.
    ByUrgency,
    /// In order of arrival.
    FirstCome,
}

/// A request on an engine.
struct Flight {
    number: u64,
    daemon: usize,
    target: TargetKey,
}

struct Daemon {
    directory: Directory,
    chooser: Chooser,
    gate: Gate,
    share: TrafficShare,
    waiting: Vec<(Ticket, Request)>,
}

struct Fleet {
    config: Config,
    service: Service,
    order: Order,
    daemons: Vec<Daemon>,
    flights: Vec<Flight>,
    refused: u64,
}

/// Our daemons as a policy.
pub(super) fn policy(title: &'static str, deployment: &Deployment, order: Order) -> Policy {
    let fleet = Rc::new(RefCell::new(Fleet::new(deployment, order)));
    let [for_place, for_ended, for_reported] = [&fleet; 3].map(Rc::clone);
    Policy {
        name: title,
        passes_ranks: order == Order::ByUrgency,
        place: Box::new(move |now, pool, request| for_place.borrow_mut().place(now, pool, request)),
        ended: Box::new(move |now, pool, _, number, took| {
            for_ended.borrow_mut().ended(now, pool, number, took)
        }),
        reported: Box::new(move |now, pool| {
            for_reported.borrow_mut().list(now, pool);
            Vec::new()
        }),
        refused: Box::new(move || fleet.borrow().refused),
    }
}

impl Fleet {
    fn new(deployment: &Deployment, order: Order) -> Self {
        let config = deployment.config.clone();
        let pool = deployment.pool(&PoolKind::Engines);
        let service = profile_route::service(&config, &pool.name).unwrap_or_else(|| Service {
            name: pool.name.clone(),
            max_connections: 0,
            has_engines: true,
            requests_per_target: None,
            queue_limit: None,
            load_bound: None,
        });
        let daemon = |number: usize| {
            let domains = &deployment.failure_domains;
            Daemon {
                directory: Directory::default(),
                chooser: Chooser::new(domains[number % domains.len()].into(), FLEET_BOUND),
                gate: Gate::default(),
                share: TrafficShare::default(),
                waiting: Vec::new(),
            }
        };
        Self {
            config,
            service,
            order,
            daemons: (0..deployment.daemons).map(daemon).collect(),
            flights: Vec::new(),
            refused: 0,
        }
    }

    /// The store tells of the engines.
    fn list(&mut self, now: Moment, pool: &Pool) {
        for daemon in &mut self.daemons {
            for (index, engine) in pool.engines.iter().enumerate() {
                let entry = TargetEntry {
                    id: name(index),
                    started_unix_ms: Some(engine.incarnation),
                    address: ([127, 0, 0, 1], 1).into(),
                    service: self.service.name.clone(),
                    domain: "one".into(),
                    slots: u32::try_from(SLOTS).unwrap_or(u32::MAX),
                    state: if engine.is_live {
                        TargetState::Ready
                    } else {
                        TargetState::Draining
                    },
                    warmup_remaining: Duration::ZERO,
                };
                daemon.directory.apply(now, entry);
            }
        }
    }

    fn place(&mut self, now: Moment, pool: &Pool, request: &Request) -> Placed {
        let daemons = self.daemons.len() as u64;
        let number = usize::try_from(request.number % daemons).unwrap_or(0);
        let claim = self.claim(request);
        let limits = self.limits(number);
        let daemon = &mut self.daemons[number];
        match daemon.gate.admit(now, &limits, &claim, PATIENCE) {
            Admission::Admit => self
                .send(now, pool, number, request)
                .map_or(Placed::Waits, Placed::On),
            Admission::Wait { ticket, evicted } => {
                let before = daemon.waiting.len();
                daemon.waiting.retain(|(known, _)| Some(*known) != evicted);
                self.refused += (before - daemon.waiting.len()) as u64;
                daemon.waiting.push((ticket, request.clone()));
                Placed::Waits
            }
            Admission::Refuse { .. } | Admission::QueueFull { .. } => {
                self.refused += 1;
                Placed::Waits
            }
        }
    }

    fn claim(&self, request: &Request) -> Priority {
        if self.order == Order::FirstCome {
            return Priority {
                rank: 0,
                workspace: "all".into(),
                weight: 1,
            };
        }
        let workspace = self.config.workspace(&request.wanted.workspace);
        Priority {
            rank: u8::try_from(request.wanted.class.rank()).unwrap_or(u8::MAX),
            workspace: request.wanted.workspace.clone(),
            weight: workspace.map_or(1, |workspace| workspace.weight),
        }
    }

    fn limits(&self, daemon: usize) -> GateLimits {
        let daemon = &self.daemons[daemon];
        let targets = daemon.directory.in_use(&self.service.name);
        gate_limits(&self.service, targets, &daemon.share)
    }

    /// Sends a request; its engine tells its load with the head of the answer.
    fn send(
        &mut self,
        now: Moment,
        pool: &Pool,
        number: usize,
        request: &Request,
    ) -> Option<usize> {
        let profile = self.config.profile(&request.wanted.profile)?;
        let parts = [
            PromptPart {
                id: request.wanted.chat,
                tokens: 1_000,
            },
            PromptPart {
                id: request.number,
                tokens: 100,
            },
        ];
        let demand = TargetQuery {
            service: &self.service.name,
            parts: &parts,
            request: request.number,
            tried: &[],
            may_repeat_target: false,
            preference: profile_route::preference(profile, &self.service),
        };
        let daemon = &mut self.daemons[number];
        let choice = daemon
            .chooser
            .choose(now, &daemon.directory, &demand)
            .ok()?;
        let target = daemon.directory.get_mut(choice.target)?;
        let index = engine_of(&target.entry.id)?;
        target.load.record_sent();
        let told = u32::try_from(pool.engines[index].load() + 1).unwrap_or(u32::MAX);
        let load = ReportedLoad {
            running: told,
            waiting: 0,
            slots: target.entry.slots,
        };
        target.load.record_report(now, &load);
        daemon.share.record(target.load.own_requests(), told);
        self.flights.push(Flight {
            number: request.number,
            daemon: number,
            target: choice.target,
        });
        Some(index)
    }

    fn ended(
        &mut self,
        now: Moment,
        pool: &Pool,
        number: u64,
        took: Duration,
    ) -> Vec<(u64, usize)> {
        let Some(position) = self.flights.iter().position(|one| one.number == number) else {
            return Vec::new();
        };
        let flight = self.flights.swap_remove(position);
        let limits = self.limits(flight.daemon);
        let daemon = &mut self.daemons[flight.daemon];
        if let Some(target) = daemon.directory.get_mut(flight.target) {
            target.load.record_ended();
        }
        let called = daemon.gate.release(now, &limits, took);
        let mut going_on = Vec::new();
        for ticket in called {
            let waiting = &mut self.daemons[flight.daemon].waiting;
            let Some(position) = waiting.iter().position(|(known, _)| *known == ticket) else {
                continue;
            };
            let (_, request) = waiting.remove(position);
            if let Some(engine) = self.send(now, pool, flight.daemon, &request) {
                going_on.push((request.number, engine));
            }
        }
        going_on
    }
}

fn engine_of(id: &str) -> Option<usize> {
    id.strip_prefix("engine-")?.parse().ok()
}
