//! Placement by the daemons: each has its own admission gate, its own view of the load and its own
//! choice of targets, and the daemons exchange no state.

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
    Chooser, Homes, LoadBound, PromptPart, ReportedLoad, Service, TargetQuery, profile_route,
};
use lapismoor_core::stream::VersionBinding;

use super::policy::{Policy, engine_name};
use super::pool::{EnginePool, SLOTS_PER_ENGINE};
use super::{Placement, Request};
use crate::deployment::Deployment;

/// Load bound for services that configure none; unused here, as the pool of engines has its own.
const DEFAULT_LOAD_BOUND: LoadBound = LoadBound {
    percent: 200,
    extra: 3,
};
/// Longest expected wait in the queue; requests that would wait longer are refused.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Order in which queued requests are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueOrder {
    /// By urgency and workspace weight, as in production.
    ByUrgency,
    /// In order of arrival, whatever their urgency and workspace.
    Fifo,
}

/// A request that was sent to an engine and has not ended.
struct InFlightRequest {
    request_id: u64,
    daemon: usize,
    target: TargetKey,
}

struct Daemon {
    directory: Directory,
    chooser: Chooser,
    gate: Gate,
    share: TrafficShare,
    /// Requests queued in the gate.
    waiting: Vec<(Ticket, Request)>,
}

struct Fleet {
    config: Config,
    service: Service,
    order: QueueOrder,
    daemons: Vec<Daemon>,
    in_flight: Vec<InFlightRequest>,
    refused: u64,
}

/// Creates a policy that spreads requests over the daemons in turn.
pub(super) fn policy(
    policy_name: &'static str,
    deployment: &Deployment,
    order: QueueOrder,
) -> Policy {
    let fleet = Rc::new(RefCell::new(Fleet::new(deployment, order)));
    let [placing_fleet, run_end_fleet, reporting_fleet] = [&fleet; 3].map(Rc::clone);
    Policy {
        name: policy_name,
        passes_ranks: order == QueueOrder::ByUrgency,
        place: Box::new(move |now, pool, request| {
            placing_fleet.borrow_mut().place(now, pool, request)
        }),
        on_run_end: Box::new(move |now, pool, _, request_id, run_duration| {
            run_end_fleet
                .borrow_mut()
                .end_run(now, pool, request_id, run_duration)
        }),
        on_report: Box::new(move |now, pool| {
            reporting_fleet.borrow_mut().update_directories(now, pool);
            Vec::new()
        }),
        refused_count: Box::new(move || fleet.borrow().refused),
    }
}

impl Fleet {
    fn new(deployment: &Deployment, order: QueueOrder) -> Self {
        let config = deployment.config.clone();
        let pool = deployment.pool(&PoolKind::Engines);
        let service = profile_route::service(&config, &pool.name).unwrap_or_else(|| Service {
            name: pool.name.clone(),
            max_connections: 0,
            has_engines: true,
            requests_per_target: None,
            queue_limit: None,
            load_bound: None,
            cold: None,
        });
        let daemon = |index: usize| {
            let domains = &deployment.failure_domains;
            Daemon {
                directory: Directory::default(),
                chooser: Chooser::new(domains[index % domains.len()].into(), DEFAULT_LOAD_BOUND),
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
            in_flight: Vec::new(),
            refused: 0,
        }
    }

    /// Updates every daemon's directory with the state of the engines, as updates from the store
    /// do.
    fn update_directories(&mut self, now: Moment, pool: &EnginePool) {
        for daemon in &mut self.daemons {
            for (index, engine) in pool.engines.iter().enumerate() {
                let entry = TargetEntry {
                    id: engine_name(index),
                    started_unix_ms: Some(engine.incarnation),
                    address: ([127, 0, 0, 1], 1).into(),
                    service: self.service.name.clone(),
                    domain: "one".into(),
                    version: "v1".into(),
                    slots: u32::try_from(SLOTS_PER_ENGINE).unwrap_or(u32::MAX),
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

    fn place(&mut self, now: Moment, pool: &EnginePool, request: &Request) -> Placement {
        let daemons = self.daemons.len() as u64;
        let daemon_index = usize::try_from(request.id % daemons).unwrap_or(0);
        let priority = self.priority(request);
        let limits = self.limits(daemon_index);
        let daemon = &mut self.daemons[daemon_index];
        match daemon.gate.admit(now, &limits, &priority, MAX_WAIT) {
            Admission::Admit => self
                .send(now, pool, daemon_index, request)
                .map_or(Placement::Deferred, Placement::Engine),
            Admission::Wait { ticket, evicted } => {
                let before = daemon.waiting.len();
                daemon.waiting.retain(|(known, _)| Some(*known) != evicted);
                self.refused += (before - daemon.waiting.len()) as u64;
                daemon.waiting.push((ticket, request.clone()));
                Placement::Deferred
            }
            Admission::Refuse { .. } | Admission::QueueFull { .. } => {
                self.refused += 1;
                Placement::Deferred
            }
        }
    }

    fn priority(&self, request: &Request) -> Priority {
        if self.order == QueueOrder::Fifo {
            return Priority {
                rank: 0,
                workspace: "all".into(),
                weight: 1,
            };
        }
        let workspace = self.config.workspace(&request.spec.workspace);
        Priority {
            rank: u8::try_from(request.spec.class.rank()).unwrap_or(u8::MAX),
            workspace: request.spec.workspace.clone(),
            weight: workspace.map_or(1, |workspace| workspace.weight),
        }
    }

    fn limits(&self, daemon: usize) -> GateLimits {
        let daemon = &self.daemons[daemon];
        let targets = daemon.directory.in_use(&self.service.name);
        gate_limits(&self.service, targets, &daemon.share)
    }

    /// Chooses an engine for an admitted request and returns its index. The engine reports its load
    /// at once, as real engines do in the headers of the answer.
    fn send(
        &mut self,
        now: Moment,
        pool: &EnginePool,
        daemon_index: usize,
        request: &Request,
    ) -> Option<usize> {
        let profile = self.config.profile(&request.spec.profile)?;
        let parts = [
            PromptPart {
                id: request.spec.chat,
                tokens: 1_000,
            },
            PromptPart {
                id: request.id,
                tokens: 100,
            },
        ];
        let query = TargetQuery {
            service: &self.service.name,
            parts: &parts,
            version: VersionBinding::Free,
            request: request.id,
            tried: &[],
            may_repeat_target: false,
            preference: profile_route::preference(profile, &self.service),
            priority: &Priority::default(),
            homes: Homes::default(),
            permits_denied: 0,
        };
        let daemon = &mut self.daemons[daemon_index];
        let choice = daemon.chooser.choose(now, &daemon.directory, &query).ok()?;
        let target = daemon.directory.get_mut(choice.target)?;
        let index = engine_index(&target.entry.id)?;
        target.load.record_sent();
        let reported_running = u32::try_from(pool.engines[index].load() + 1).unwrap_or(u32::MAX);
        let load = ReportedLoad {
            running: reported_running,
            waiting: 0,
            slots: target.entry.slots,
        };
        target.load.record_report(now, &load);
        daemon
            .share
            .record(target.load.own_requests(), reported_running);
        self.in_flight.push(InFlightRequest {
            request_id: request.id,
            daemon: daemon_index,
            target: choice.target,
        });
        Some(index)
    }

    fn end_run(
        &mut self,
        now: Moment,
        pool: &EnginePool,
        request_id: u64,
        run_duration: Duration,
    ) -> Vec<(u64, usize)> {
        let Some(position) = self
            .in_flight
            .iter()
            .position(|sent| sent.request_id == request_id)
        else {
            return Vec::new();
        };
        let ended = self.in_flight.swap_remove(position);
        let limits = self.limits(ended.daemon);
        let daemon = &mut self.daemons[ended.daemon];
        if let Some(target) = daemon.directory.get_mut(ended.target) {
            target.load.record_ended();
        }
        let admitted = daemon.gate.release(now, &limits, run_duration);
        let mut assignments = Vec::new();
        for ticket in admitted {
            let waiting = &mut self.daemons[ended.daemon].waiting;
            let Some(position) = waiting.iter().position(|(known, _)| *known == ticket) else {
                continue;
            };
            let (_, request) = waiting.remove(position);
            if let Some(engine) = self.send(now, pool, ended.daemon, &request) {
                assignments.push((request.id, engine));
            }
        }
        assignments
    }
}

fn engine_index(id: &str) -> Option<usize> {
    id.strip_prefix("engine-")?.parse().ok()
}
