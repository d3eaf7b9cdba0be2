//! What all parts of the daemon share. Everything runs on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::rt;
use lapismoor_core::admission::{StopPlan, Suspects, Workspaces};
use lapismoor_core::config::{Accepted, ActiveConfig};
use lapismoor_core::ids::{Incarnation, ServiceId, TargetId, TargetKey};
use lapismoor_core::membership::{DaemonRecord, Directory, Freshness, Mirror, TrafficShare};
use lapismoor_core::once::Ledger;
use lapismoor_core::retry::RetryBudget;
use lapismoor_core::routing::{
    Chooser, ReportedLoad, RoutingConfig, Service, idle_connection_limit, profile_route,
};
use lapismoor_core::{Clock, Moment};
use lapismoor_mirror::ByteCount;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::admission::Gates;
use crate::dialect::Dialect;
use crate::http::Connections;
use crate::metrics::Metrics;
use crate::millis::millis;
use crate::profiles::KeyLease;
use crate::settings::EdgeSettings;
use crate::spans::Spans;
use crate::store::{StoreClient, suspects};

/// The daemon.
pub struct Edge {
    /// Settings.
    pub settings: EdgeSettings,
    /// Counts suspended time.
    pub clock: Clock,
    /// Translates headers.
    pub dialect: Dialect,
    /// What is known and was decided.
    pub state: RefCell<State>,
    /// Requests in flight and waiting, by service.
    pub gates: Gates,
    /// Idle connections to targets.
    pub connections: Connections,
    /// Spans of sampled requests.
    pub spans: Option<Spans>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Notified when the store said something new.
    pub store_changed: Notify,
    /// Cancelled when the planned stop begins.
    pub stopping: CancellationToken,
    /// When the planned stop began.
    pub stopping_since: Cell<Option<Moment>>,
    /// Requests of callers in flight.
    pub in_flight: Cell<usize>,
    /// Calls of the store.
    pub store: StoreClient,
    /// Notified when a request under a ticket or key ends.
    pub idempotent_request_ended: Notify,
    /// Lease of the records of callers' keys.
    pub key_lease: KeyLease,
    /// Bytes exchanged with other daemons.
    pub peer_bytes: ByteCount,
}

/// What is known and was decided.
#[derive(Debug)]
pub struct State {
    /// The configuration of routes in force.
    pub config: ActiveConfig<Rc<RoutingConfig>>,
    /// The configuration of profiles in force.
    pub profiles: ActiveConfig<Arc<Accepted>>,
    /// Limits of workspaces.
    pub workspaces: Workspaces,
    /// Requests under tickets and keys.
    pub ledger: Ledger,
    /// Requests that may crash targets.
    pub suspects: Suspects,
    /// Targets.
    pub directory: Directory,
    /// Copy of the store.
    pub mirror: Mirror,
    /// Daemons that announced themselves. Invariant: sorted by id.
    pub daemons: Vec<DaemonRecord>,
    /// Whether the targets were listed once.
    pub has_loaded_targets: bool,
    /// Picks targets.
    pub chooser: Chooser,
    /// Age of what is known of the configuration.
    pub freshness: Freshness,
    /// Share of the fleet's traffic.
    pub share: TrafficShare,
    /// Invariant: sorted by service.
    budgets: Vec<(ServiceId, RetryBudget)>,
}

impl State {
    /// A service of the configurations in force.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Service> {
        let config = self.config.get();
        if let Some(service) = config.and_then(|config| config.service(name)) {
            return Some(service.clone());
        }
        profile_route::service(&self.profiles.get()?.config, name)
    }

    /// This daemon's part of a limit of the fleet: its share of the traffic, or an even share while
    /// targets are too idle to tell.
    #[must_use]
    pub fn share_of_fleet(&self) -> f64 {
        let daemons = u32::try_from(self.daemons.len().max(1)).unwrap_or(u32::MAX);
        self.share.get().max(1.0 / f64::from(daemons))
    }
}

impl Edge {
    /// A daemon that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: EdgeSettings,
        spans: Option<Spans>,
        clock: Clock,
        dialect: Dialect,
        store: StoreClient,
    ) -> Rc<Self> {
        let ledger = Ledger::new(rand::random(), settings.once.clone());
        let key_lease = KeyLease::new(settings.once.key_records_per_second);
        let state = State {
            config: ActiveConfig::default(),
            profiles: ActiveConfig::default(),
            workspaces: Workspaces::default(),
            ledger,
            suspects: Suspects::default(),
            directory: Directory::default(),
            mirror: Mirror::default(),
            daemons: Vec::new(),
            has_loaded_targets: false,
            chooser: Chooser::new(settings.domain.clone(), settings.limits.load_bound.clone()),
            freshness: Freshness::new(settings.limits.revoke_within),
            share: TrafficShare::default(),
            budgets: Vec::new(),
        };
        let connections = Connections::new(settings.tuning.target_idle);
        Rc::new(Self {
            settings,
            clock,
            dialect,
            state: RefCell::new(state),
            gates: Gates::default(),
            connections,
            spans,
            metrics: Metrics::default(),
            store_changed: Notify::new(),
            stopping: CancellationToken::new(),
            stopping_since: Cell::new(None),
            in_flight: Cell::new(0),
            store,
            idempotent_request_ended: Notify::new(),
            key_lease,
            peer_bytes: ByteCount::default(),
        })
    }

    /// The current moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The configuration of routes in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<RoutingConfig>> {
        self.state.borrow().config.get().cloned()
    }

    /// The configuration of profiles in force.
    #[must_use]
    pub fn profiles(&self) -> Option<Arc<Accepted>> {
        self.state.borrow().profiles.get().cloned()
    }

    /// Version of the configuration in force: of routes, else of profiles.
    #[must_use]
    pub fn config_version(&self) -> Option<u64> {
        let state = self.state.borrow();
        state.config.version().or(state.profiles.version())
    }

    /// This run of the daemon.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.state.borrow().ledger.incarnation()
    }

    /// Age of what is known of the configuration.
    #[must_use]
    pub fn config_age(&self) -> Option<Duration> {
        self.state.borrow().freshness.age(self.now())
    }

    /// Whether callers should be led here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let is_configured = state.config.get().is_some() || state.profiles.get().is_some();
        let knows_enough = is_configured && state.has_loaded_targets;
        knows_enough && !state.freshness.is_stale(self.now()) && !self.stopping.is_cancelled()
    }

    /// Times of a planned stop.
    #[must_use]
    pub fn stop_plan(&self) -> StopPlan {
        let tuning = &self.settings.tuning;
        let grace = self.settings.limits.stop_grace;
        StopPlan {
            accept_for: tuning.stop_linger,
            exit_within: grace.saturating_sub(tuning.stop_reserve),
        }
    }

    /// Whether new requests are taken.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        let Some(since) = self.stopping_since.get() else {
            return true;
        };
        self.stop_plan().accepts_requests(self.now(), since)
    }

    /// Counts a request that a caller sent for a service.
    pub fn count_request(&self, service: &ServiceId) {
        let now = self.now();
        self.with_budget(service, |budget| budget.count_request(now));
    }

    /// Takes a retry from the budget of a service; false when there is none.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let share = self.state.borrow().share.clone();
        self.with_budget(service, |budget| budget.take(now, &share))
    }

    /// Retries left for a service.
    #[must_use]
    pub fn retries_left(&self, service: &ServiceId) -> usize {
        let share = self.state.borrow().share.clone();
        self.with_budget(service, |budget| budget.left(&share))
    }

    /// Name and address of a target.
    #[must_use]
    pub fn address_of(&self, target: TargetKey) -> Option<(TargetId, SocketAddr)> {
        let state = self.state.borrow();
        let known = state.directory.get(target)?;
        Some((known.entry.id.clone(), known.entry.address))
    }

    /// When a target last sent anything.
    #[must_use]
    pub fn heard_at(&self, target: TargetKey) -> Moment {
        let state = self.state.borrow();
        let known = state.directory.get(target);
        known.map(|known| known.heard_at).unwrap_or_default()
    }

    /// Age of what a target last told of its load.
    #[must_use]
    pub fn load_age(&self, target: TargetKey) -> Option<Duration> {
        let state = self.state.borrow();
        state.directory.get(target)?.load.report_age(self.now())
    }

    /// Notes what a target told of its load.
    pub fn target_told_load(&self, target: TargetKey, load: &ReportedLoad) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if let Some(known) = state.directory.get_mut(target) {
            known.load.record_report(now, load);
            let own = known.load.own_requests();
            state.share.record(own, load.running + load.waiting);
        }
    }

    /// Idle connections that may be kept to a target of a service.
    #[must_use]
    pub fn idle_limit(&self, service: &ServiceId) -> usize {
        let state = self.state.borrow();
        let service = state.service(service);
        service.map_or(0, |service| {
            idle_connection_limit(service.max_connections, &state.share)
        })
    }

    /// Notes an answer of a target.
    pub fn target_answered(&self, target: TargetKey, is_failure: bool) {
        let now = self.now();
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target) {
            known.breaker.record_answer(now, is_failure);
            known.heard_at = now;
        }
    }

    /// Notes bytes of a target.
    pub fn target_heard(&self, target: TargetKey) {
        let now = self.now();
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target) {
            known.heard_at = now;
        }
    }

    /// Notes that a target could not be reached or broke off.
    pub fn target_unreachable(&self, target: TargetKey, cause: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(known) = state.directory.get_mut(target) else {
            return;
        };
        let was_closed = known.breaker.is_closed(now);
        let pause = known.breaker.record_unreachable(now);
        if was_closed {
            log::warn!(
                target:% = known.entry.id,
                pause_ms = millis(pause),
                cause;
                "target_paused"
            );
        }
    }

    /// Takes the sign that a target crashed: what broke off there is suspected of it.
    pub fn target_crashed(&self, target: TargetKey) {
        let now = self.now();
        let risen = self.state.borrow_mut().suspects.record_crash(now, target);
        for suspicion in risen {
            log::warn!(
                fingerprint:% = format_args!("{:016x}", suspicion.fingerprint),
                crashes = suspicion.crashes,
                target;
                "crash_suspected"
            );
            if suspicion.is_shared() {
                rt::spawn(suspects::tell(self.store.clone(), suspicion));
            }
        }
    }

    fn with_budget<T>(&self, service: &ServiceId, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let budgets = &mut self.state.borrow_mut().budgets;
        let found = budgets.binary_search_by(|(known, _)| known.cmp(service));
        let position = found.unwrap_or_else(|position| {
            let budget = RetryBudget::new(self.settings.limits.budget.clone());
            budgets.insert(position, (service.clone(), budget));
            position
        });
        change(&mut budgets[position].1)
    }
}
