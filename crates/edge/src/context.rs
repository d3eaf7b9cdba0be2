//! State shared by all parts of the daemon. It is used from one thread only.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lapismoor_core::admission::suspects::{CRASHES_ALLOWED, TRIAL_SURVIVAL_TIME};
use lapismoor_core::admission::{
    AnswerTimes, AnswerTiming, BufferBudget, ConnectionLimits, ConnectionTimeouts, DescriptorPlan,
    Evidence, LimitNotice, Overloads, PermitDesk, RelaySlots, ReturnSchedule, Shedding, StopPlan,
    Suspects, TargetRooms, Workspaces,
};
use lapismoor_core::config::{Accepted, ConfigInForce};
use lapismoor_core::ids::{Fingerprint, Incarnation, ServiceId, TargetId, TargetKey, VersionHash};
use lapismoor_core::membership::{
    CrashWatch, DaemonRecord, Directory, Freshness, Mirror, Reach, TargetIncarnation, TrafficShare,
    VersionHistory,
};
use lapismoor_core::once::Ledger;
use lapismoor_core::retry::{MAX_PAUSE, RetryBudget};
use lapismoor_core::routing::{
    Chooser, PacePercent, ReportedLoad, RoutingConfig, Service, idle_connection_limit,
    profile_route,
};
use lapismoor_core::stream::StreamOrigins;
use lapismoor_core::{Clock, Moment};
use lapismoor_mirror::{ByteCounter, MirrorClient};
use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::admission::AdmissionControl;
use crate::buffers::Buffers;
use crate::connections::Connections;
use crate::dialect::{Dialect, NamedLimit, PauseRequest};
use crate::http::{Connection, ConnectionPool};
use crate::in_flight::RequestsInFlight;
use crate::metrics::Metrics;
use crate::millis::millis;
use crate::peers::Peers;
use crate::permits::log_limit_change;
use crate::profiles::KeyLease;
use crate::settings::EdgeSettings;
use crate::spans::Spans;
use crate::store::{RecordLease, StoreClient};
use crate::streams::OriginQueues;

/// Length to which software versions are shortened in logs.
const MAX_VERSION_CHARS: usize = 64;

/// A daemon between callers and targets.
pub struct Edge {
    /// Settings from the start of the daemon; they don't change.
    pub settings: EdgeSettings,
    /// When the daemon started.
    pub started_at: Moment,
    /// Monotonic clock that also counts time in which the VM is suspended.
    pub clock: Clock,
    /// Translates headers of callers and targets.
    pub dialect: Dialect,
    /// Configuration, directory and other mutable state.
    pub state: RefCell<State>,
    /// Requests in flight and queued, by service.
    pub admission: AdmissionControl,
    /// Pool of idle connections to targets.
    pub connections: ConnectionPool,
    /// Writes spans of sampled requests; `None` if tracing is off.
    pub spans: Option<Spans>,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Notified when the copy of the store changes.
    pub store_changed: Notify,
    /// Notified when the store was found to be restored from a copy.
    pub store_restored: Notify,
    /// When the store was last found to be restored from a copy; `None` if it never was.
    pub store_restored_at: Cell<Option<Moment>>,
    /// Cancelled when the graceful shutdown begins.
    pub stopping: CancellationToken,
    /// Cancelled shortly before the exit, when requests in flight are given up and answered.
    pub giving_up: CancellationToken,
    /// When the graceful shutdown began; none before.
    pub stopping_since: Cell<Option<Moment>>,
    /// Whether no daemon was announced when this one started, so that the fleet may start for the
    /// first time.
    pub is_first_start: Cell<bool>,
    /// Callers' requests in flight.
    pub in_flight: RequestsInFlight,
    /// Memory of the bodies of requests.
    pub(crate) request_buffers: Rc<Buffers>,
    /// Memory of the answers of targets.
    pub(crate) answer_buffers: Rc<Buffers>,
    /// Connections of callers.
    pub(crate) caller_connections: Rc<Connections>,
    /// Descriptors of the process by their use.
    pub(crate) descriptors: DescriptorPlan,
    /// Calls the store.
    pub store: StoreClient,
    /// Notified when the path to a target is lost.
    pub path_lost: Notify,
    /// Notified when a target is watched for a crash.
    pub crash_watch_began: Notify,
    /// Notified when an attempt is interrupted, or a request that was interrupted is answered.
    pub attempt_interrupted: Notify,
    /// Notified when the store or another daemon has taken a record about interrupted requests.
    pub evidence_acknowledged: Notify,
    /// Store lease of the records about interrupted requests.
    pub suspects_lease: RecordLease,
    /// Store lease of the record of unfinished streams.
    pub streams_lease: RecordLease,
    /// Number of records about interrupted requests that are not in the store yet.
    pub unstored_evidence: Cell<usize>,
    /// Notified when a request under a ticket or idempotency key ends.
    pub idempotent_request_ended: Notify,
    /// Store lease of the records that bind callers' idempotency keys.
    pub key_lease: KeyLease,
    /// Connection to the daemon from which this one reads the store; none if it reads the store
    /// itself.
    pub collector: RefCell<Option<Rc<MirrorClient>>>,
    /// Notified when a software version is listed that was not known.
    pub version_listed: Notify,
    /// Origins of streams that are to be told to other daemons.
    pub origin_queues: OriginQueues,
    /// Connections to other daemons that are kept open while they are in use.
    pub peers: Peers,
    /// Count of bytes exchanged with other daemons.
    pub peer_bytes: ByteCounter,
}

/// The mutable state of a daemon.
#[derive(Debug)]
pub struct State {
    /// Routing configuration in force.
    pub config: ConfigInForce<Rc<RoutingConfig>>,
    /// Profile configuration in force.
    pub profiles: ConfigInForce<Arc<Accepted>>,
    /// Use of the workspaces' limits.
    pub workspaces: Workspaces,
    /// Requests under tickets and idempotency keys that this daemon owns.
    pub ledger: Ledger,
    /// Requests that were interrupted at targets, and may have crashed them.
    pub suspects: Suspects,
    /// Known targets, with their load and health.
    pub directory: Directory,
    /// This daemon's part of the permits for targets with a limit and cold ones.
    pub permits: PermitDesk,
    /// Services whose targets take fewer requests than they get.
    pub overloads: Overloads,
    /// Room of the targets that are under pressure.
    pub target_rooms: TargetRooms,
    /// Fractions of the requests that are sent while targets reject some.
    pub shedding: Shedding,
    /// Answer times of the routes.
    pub answer_times: AnswerTimes,
    /// Times at which callers return that were refused for limits.
    pub returns: ReturnSchedule,
    /// Targets at which requests were given up.
    pub crash_watch: CrashWatch,
    /// Which daemon reaches which target.
    pub reach: Reach,
    /// Connections that are forwarded for other daemons.
    pub relay_slots: RelaySlots,
    /// Copy of the data in the store.
    pub mirror: Mirror,
    /// Announced daemons of the fleet. Invariant: sorted by id.
    pub daemons: Vec<DaemonRecord>,
    /// Whether the list of targets was read at least once.
    pub has_loaded_targets: bool,
    /// Chooses the targets of requests.
    pub chooser: Chooser,
    /// Tracks the age of the configuration.
    pub freshness: Freshness,
    /// When the store last became available again; zero if it always was.
    pub store_stable_since: Moment,
    /// This daemon's share of the fleet's traffic.
    pub traffic_share: TrafficShare,
    /// When this daemon started, if it replaces one that ran shortly before.
    follows_predecessor_since: Option<Moment>,
    /// Software versions that have served lately.
    pub versions: VersionHistory,
    /// Where streams began that callers may take up again.
    pub origins: StreamOrigins,
    /// Invariant: sorted by service.
    retry_budgets: Vec<(ServiceId, RetryBudget)>,
}

impl State {
    /// The service of this name in the configurations in force, if there is one.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Service> {
        let config = self.config.get();
        if let Some(service) = config.and_then(|config| config.service(name)) {
            return Some(service.clone());
        }
        profile_route::service(&self.profiles.get()?.config, name)
    }

    /// This daemon's part of fleet-wide limits, from 0 to 1: its measured share of the traffic, but
    /// at least an even share, since idle targets give no measurement.
    #[must_use]
    pub fn share_of_fleet(&self) -> f64 {
        let daemons = u32::try_from(self.daemons.len().max(1)).unwrap_or(u32::MAX);
        self.traffic_share.get().max(1.0 / f64::from(daemons))
    }
}

/// Descriptors that the process may have: what the settings say, and what the system allows.
fn max_descriptors(configured: Option<u32>) -> usize {
    let allowed = getrlimit(Resource::Nofile).current;
    let configured = configured.map(u64::from);
    let descriptors = configured.into_iter().chain(allowed).min();
    descriptors.map_or(usize::MAX, |fds| usize::try_from(fds).unwrap_or(usize::MAX))
}

/// The beginning of a software version, for logs.
pub(crate) fn short_version(version: &str) -> &str {
    let end = version.char_indices().nth(MAX_VERSION_CHARS);
    end.map_or(version, |(end, _)| &version[..end])
}

impl Edge {
    /// A daemon that has read nothing from the store yet.
    #[must_use]
    pub fn new(
        settings: EdgeSettings,
        spans: Option<Spans>,
        clock: Clock,
        dialect: Dialect,
        store: StoreClient,
    ) -> Rc<Self> {
        let incarnation = rand::random();
        let ledger = Ledger::new(incarnation, settings.once.clone());
        let key_lease = KeyLease::new(settings.once.key_records_per_second);
        let state = State {
            config: ConfigInForce::default(),
            profiles: ConfigInForce::default(),
            workspaces: Workspaces::default(),
            ledger,
            suspects: Suspects::new(incarnation),
            directory: Directory::new(settings.regions.clone(), settings.limits.evacuate_within),
            permits: PermitDesk::default(),
            overloads: Overloads::default(),
            target_rooms: TargetRooms::default(),
            shedding: Shedding::default(),
            answer_times: AnswerTimes::default(),
            returns: ReturnSchedule::default(),
            crash_watch: CrashWatch::default(),
            reach: Reach::default(),
            relay_slots: RelaySlots::default(),
            mirror: Mirror::default(),
            daemons: Vec::new(),
            has_loaded_targets: false,
            chooser: Chooser::new(settings.domain.clone(), settings.limits.load_bound.clone()),
            freshness: Freshness::new(settings.limits.revoke_within),
            store_stable_since: Moment::ZERO,
            traffic_share: TrafficShare::default(),
            follows_predecessor_since: None,
            versions: VersionHistory::default(),
            origins: StreamOrigins::default(),
            retry_budgets: Vec::new(),
        };
        let share_bytes =
            |percent: u32| (settings.memory_mb as usize * percent as usize / 100) << 20;
        let request_bytes = share_bytes(settings.tuning.request_memory_percent);
        let answer_bytes = share_bytes(settings.tuning.answer_memory_percent);
        let connection_bytes = share_bytes(settings.tuning.connection_memory_percent);
        let descriptors = DescriptorPlan::new(max_descriptors(settings.max_fds));
        let connections = ConnectionPool::new(
            settings.tuning.target_idle_timeout,
            descriptors.idle_targets,
        );
        let caller_limits = ConnectionLimits {
            max_bytes: connection_bytes,
            max_descriptors: descriptors.callers,
        };
        Rc::new(Self {
            request_buffers: Buffers::new(
                "request",
                BufferBudget::of_callers(request_bytes),
                clock.clone(),
            ),
            answer_buffers: Buffers::new("answer", BufferBudget::new(answer_bytes), clock.clone()),
            caller_connections: Connections::new(caller_limits, Clock::system()),
            descriptors,
            settings,
            started_at: clock.now(),
            clock,
            dialect,
            state: RefCell::new(state),
            admission: AdmissionControl::default(),
            connections,
            spans,
            metrics: Metrics::default(),
            store_changed: Notify::new(),
            store_restored: Notify::new(),
            store_restored_at: Cell::default(),
            stopping: CancellationToken::new(),
            giving_up: CancellationToken::new(),
            stopping_since: Cell::new(None),
            is_first_start: Cell::new(false),
            in_flight: RequestsInFlight::default(),
            store,
            path_lost: Notify::new(),
            crash_watch_began: Notify::new(),
            attempt_interrupted: Notify::new(),
            evidence_acknowledged: Notify::new(),
            suspects_lease: RecordLease::default(),
            streams_lease: RecordLease::default(),
            unstored_evidence: Cell::new(0),
            idempotent_request_ended: Notify::new(),
            key_lease,
            collector: RefCell::new(None),
            version_listed: Notify::new(),
            origin_queues: OriginQueues::default(),
            peers: Peers::default(),
            peer_bytes: ByteCounter::default(),
        })
    }

    /// The current time of the daemon's clock.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The routing configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<RoutingConfig>> {
        self.state.borrow().config.get().cloned()
    }

    /// The profile configuration in force.
    #[must_use]
    pub fn profiles(&self) -> Option<Arc<Accepted>> {
        self.state.borrow().profiles.get().cloned()
    }

    /// Version of the routing configuration in force or, without one, of the profile configuration.
    #[must_use]
    pub fn config_version(&self) -> Option<u64> {
        let state = self.state.borrow();
        state.config.version().or(state.profiles.version())
    }

    /// Identifies this run of the daemon; a restart changes it.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.state.borrow().ledger.incarnation()
    }

    /// Times that callers may take for what they send and read.
    pub(crate) fn caller_timeouts(&self) -> ConnectionTimeouts {
        let config = self.config();
        let limits = config.as_ref().map(|config| config.limits().clone());
        let limits = limits.unwrap_or_default();
        let own_timeout = self.settings.tuning.caller_idle_timeout;
        let idle = limits.idle_timeout.unwrap_or(own_timeout);
        ConnectionTimeouts {
            head: limits.header_timeout,
            idle,
            // What slow callers take out of the system's send buffer is seen late.
            delivery: idle.max(own_timeout),
        }
    }

    /// Closes the connections whose callers have used up their time, and reports all that were closed since the
    /// last call.
    pub(crate) fn close_expired_connections(&self) {
        let connections = &self.caller_connections;
        connections.close_expired(&self.caller_timeouts());
        let closed = connections.take_closed();
        self.metrics
            .record_connections(connections.count(), connections.used_bytes());
        for (reason, count) in [
            ("evicted", closed.evicted),
            ("expired", closed.expired),
            ("refused", closed.refused),
        ] {
            if count > 0 {
                self.metrics.count_connections_closed(reason, count);
                log::warn!(
                    reason,
                    count,
                    open = connections.count() as u64,
                    used_bytes = connections.used_bytes() as u64;
                    "caller_connections_closed"
                );
            }
        }
    }

    /// Time since the configuration was last known to be current; `None` if it never was.
    #[must_use]
    pub fn config_age(&self) -> Option<Duration> {
        self.state.borrow().freshness.age(self.now())
    }

    /// Whether load balancers should send callers to this daemon.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let is_configured = state.config.get().is_some() || state.profiles.get().is_some();
        let is_initialized = is_configured && state.has_loaded_targets;
        is_initialized && !state.freshness.is_stale(self.now()) && !self.stopping.is_cancelled()
    }

    /// Bytes of requests and answers that are buffered.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.request_buffers.used_bytes() + self.answer_buffers.used_bytes()
    }

    /// Times of the graceful shutdown.
    #[must_use]
    pub fn stop_plan(&self) -> StopPlan {
        let tuning = &self.settings.tuning;
        let grace = self.settings.limits.stop_grace;
        StopPlan {
            accept_for: tuning.stop_linger,
            answer_within: grace
                .saturating_sub(tuning.stop_reserve)
                .saturating_sub(tuning.stop_answer),
            exit_within: grace.saturating_sub(tuning.stop_reserve),
        }
    }

    /// When requests in flight are given up, if the daemon is shutting down.
    pub(crate) fn gives_up_at(&self) -> Option<Moment> {
        let since = self.stopping_since.get()?;
        Some(since + self.stop_plan().answer_within)
    }

    /// Runs `work` for at most `time_left`, and until requests in flight are given up; `None` if it does not
    /// end before.
    pub(crate) async fn in_time<T>(
        &self,
        time_left: Duration,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            result = work => Some(result),
            () = tokio::time::sleep(time_left) => None,
            () = self.giving_up.cancelled() => None,
        }
    }

    /// Whether new requests are accepted: before the graceful shutdown, and for a time within it.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        let Some(since) = self.stopping_since.get() else {
            return true;
        };
        self.stop_plan().accepts_requests(self.now(), since)
    }

    /// Counts a caller's request to a service towards its retry budget.
    pub fn count_request(&self, service: &ServiceId) {
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.count_request(now));
    }

    /// Takes a retry from the budget of a service; false if none is left.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let share = self.state.borrow().traffic_share.clone();
        self.with_retry_budget(service, |budget| budget.take_retry(now, &share))
    }

    /// Retries left in the budget of a service.
    #[must_use]
    pub fn retries_left(&self, service: &ServiceId) -> usize {
        let share = self.state.borrow().traffic_share.clone();
        self.with_retry_budget(service, |budget| budget.left(&share))
    }

    /// Id and address of a target, if it is known.
    #[must_use]
    pub fn address_of(&self, target: TargetKey) -> Option<(TargetId, SocketAddr)> {
        let state = self.state.borrow();
        let known = state.directory.get(target)?;
        Some((known.entry.id.clone(), known.entry.address))
    }

    /// Whether no request may be sent to a target any more because its failure domain is evacuated.
    #[must_use]
    pub fn has_been_left(&self, target: TargetKey) -> bool {
        let state = self.state.borrow();
        state.directory.has_been_left(self.now(), target)
    }

    /// Hash of a target's software version; `None` if the target is not known, or was replaced.
    #[must_use]
    pub fn version_of(&self, target: TargetKey) -> Option<VersionHash> {
        let state = self.state.borrow();
        Some(state.directory.get(target)?.version)
    }

    /// Software version of a target, for logs; `None` if the target is not known.
    #[must_use]
    pub fn version_label(&self, target: TargetKey) -> Option<String> {
        let state = self.state.borrow();
        let known = state.directory.get(target)?;
        Some(short_version(&known.entry.version).to_owned())
    }

    /// When a target last sent anything; zero if it is not known.
    #[must_use]
    pub fn heard_at(&self, target: TargetKey) -> Moment {
        let state = self.state.borrow();
        let known = state.directory.get(target);
        known
            .map(|known| known.last_received_at)
            .unwrap_or_default()
    }

    /// Age of the target's last load report; `None` without one.
    #[must_use]
    pub fn load_age(&self, target: TargetKey) -> Option<Duration> {
        let state = self.state.borrow();
        state.directory.get(target)?.load.report_age(self.now())
    }

    /// Records a load report of a target and updates the share of the traffic.
    pub fn target_reported_load(&self, target: TargetKey, load: &ReportedLoad) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if let Some(known) = state.directory.get_mut(target) {
            known.load.record_report(now, load);
            let own = known.load.own_requests();
            state.traffic_share.record(own, load.running + load.waiting);
        }
    }

    /// Records the pace that a target states.
    pub fn target_stated_pace(&self, target: TargetKey, percent: PacePercent) {
        let now = self.now();
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target) {
            known.load.pace.record(now, percent);
        }
    }

    /// Records the time from a request to the head of its answer, for a target that states neither
    /// its load nor its pace.
    pub(crate) fn target_answered_in(&self, target: TargetKey, time: Duration) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let State {
            chooser, directory, ..
        } = &mut *state;
        chooser.record_answer_time(now, directory, target, time);
    }

    /// Records the time in which a connection to a target was opened.
    pub(crate) fn target_connected_in(&self, target: TargetKey, time: Duration) {
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target) {
            known.load.record_connected(time);
        }
    }

    /// Time that work takes at a target now, in percent of the usual; `None` if it is not known.
    pub(crate) fn pace_percent(&self, target: TargetKey) -> Option<PacePercent> {
        let state = self.state.borrow();
        state.directory.get(target)?.load.pace.percent(self.now())
    }

    /// Number of idle connections that may be kept to a target of a service.
    #[must_use]
    pub fn idle_connection_limit(&self, service: &ServiceId) -> usize {
        let state = self.state.borrow();
        let service = state.service(service);
        service.map_or(0, |service| {
            idle_connection_limit(service.max_connections, &state.traffic_share)
        })
    }

    /// Keeps a new connection to a target for later requests.
    pub(crate) fn keep_connection(&self, target: TargetKey, connection: Connection) {
        let service = {
            let state = self.state.borrow();
            let known = state.directory.get(target);
            known.map(|known| known.entry.service.clone())
        };
        let max_idle = service.map_or(0, |service| self.idle_connection_limit(&service));
        if connection.is_relayed() {
            return;
        }
        self.connections
            .release(self.now(), target, connection, None, max_idle);
    }

    /// Records that another incarnation of this daemon is still announced. Its retries count in the
    /// fleet's budget, and are not known here.
    pub(crate) fn found_predecessor(&self) {
        let mut state = self.state.borrow_mut();
        if state.follows_predecessor_since.is_some() {
            return;
        }
        log::info!("predecessor_found");
        state.follows_predecessor_since = Some(self.started_at);
        for (_, budget) in &mut state.retry_budgets {
            budget.follow_predecessor(self.started_at);
        }
    }

    /// Records an answer of a target for its health.
    pub fn target_answered(&self, target: TargetKey, is_failure: bool) {
        let now = self.now();
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target) {
            known.breaker.record_answer(now, is_failure);
            known.last_received_at = now;
        }
    }

    /// Records what an answer shows about the room of its target.
    pub fn target_showed_room(&self, target: TargetKey, timing: AnswerTiming) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        if let Some(known) = state.directory.get(target) {
            let in_flight = known.load.own_requests();
            let is_on_time = timing == AnswerTiming::OnTime;
            let service = &known.entry.service;
            state.shedding.record(now, service, is_on_time);
            state.target_rooms.record(now, target, in_flight, timing);
        }
    }

    /// Records that bytes from a target arrived.
    pub fn target_heard(&self, target: TargetKey) {
        let now = self.now();
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target) {
            known.last_received_at = now;
        }
    }

    /// Records that a target was unreachable or silent, or answered for another one. Pauses the
    /// target. Returns whether it was not paused before.
    pub fn target_unreachable(&self, target: TargetKey, cause: &str) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(known) = state.directory.get_mut(target) else {
            return false;
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
        was_closed
    }

    /// Records that nothing was received from a target that has a request. Where another daemon
    /// reaches it, its own path is to blame, and it gets further requests through that one.
    pub(crate) fn target_silent(self: &Rc<Self>, target: TargetKey) {
        if self.is_path_known_lost(target) {
            return;
        }
        if self.target_unreachable(target, "silent") {
            self.check_path(target);
        }
    }

    /// Records that a target said in an answer that it leaves. It gets no new requests, also if the
    /// store still lists it as ready.
    pub fn target_said_leaving(&self, target: TargetKey) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if !state.directory.record_said_leaving(now, target) {
            return;
        }
        if let Some(known) = state.directory.get(target) {
            log::info!(target:% = known.entry.id; "target_said_leaving");
        }
    }

    /// Records that a target turned a request away and asked for a pause. Other requests that were
    /// already sent to it may extend the pause.
    pub fn target_wants_pause(&self, target: TargetKey, pause: &PauseRequest) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(known) = state.directory.get_mut(target) else {
            return;
        };
        let id = &known.entry.id;
        let requested = match pause {
            PauseRequest::For(time) => *time,
            PauseRequest::Unreadable(value) => {
                log::warn!(target:% = id, value:%; "target_pause_unreadable");
                return;
            }
        };
        let was_paused = !known.pause.left(now).is_zero();
        let left = known.pause.record(now, requested);
        if !was_paused && !left.is_zero() {
            log::info!(
                target:% = id,
                pause_ms = millis(left),
                is_bounded = requested > MAX_PAUSE;
                "target_wants_pause"
            );
        }
    }

    /// Records the limit that a target named, or did not name, in the answer to a request sent at
    /// `sent_at`. A value that cannot be read says only that there is a limit, so that the known one
    /// stays.
    pub fn target_named_limit(
        self: &Rc<Self>,
        target: TargetKey,
        sent_at: Moment,
        limit: Option<&NamedLimit>,
    ) {
        let received_at = self.now();
        let mut state = self.state.borrow_mut();
        let Some(known) = state.directory.get_mut(target) else {
            return;
        };
        let id = &known.entry.id;
        let rate = match limit {
            None => None,
            Some(NamedLimit::Rate(rate)) => Some(*rate),
            Some(NamedLimit::Unreadable(value)) => {
                log::warn!(target:% = id, value:%; "target_limit_unreadable");
                return;
            }
        };
        let notice = LimitNotice {
            rate,
            sent_at,
            received_at,
        };
        let Some(change) = known.limit.record(received_at, notice) else {
            return;
        };
        log_limit_change(id, &change, id);
        drop(state);
        if change.before.is_some() != change.now.is_some() {
            self.tell_limit(target);
        }
    }

    /// Records how long a target stays cold by its answer to a request sent at `sent_at`; zero if it
    /// is warm.
    pub fn target_said_cold(self: &Rc<Self>, target: TargetKey, sent_at: Moment, left: Duration) {
        let now = self.now();
        let is_news = {
            let mut state = self.state.borrow_mut();
            let Some(known) = state.directory.get_mut(target) else {
                return;
            };
            if left.is_zero() {
                known.warmth.record_warm(now, sent_at);
                false
            } else {
                known.warmth.record(now, now, left) && known.cold_limit.is_some()
            }
        };
        if is_news {
            self.tell_limit(target);
        }
    }

    /// Records that no connection to a target could be opened, so that it may start again unseen.
    pub fn target_may_restart(&self, target: TargetKey) {
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target) {
            known.warmth.record_unreachable();
        }
    }

    /// Records that a target answered for itself.
    pub fn target_contacted(&self, target: TargetKey) {
        let now = self.now();
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target)
            && let Some(limit) = known.cold_limit
        {
            known.warmth.record_contact(now, limit.start);
        }
    }

    /// Logs and counts the targets that have turned cold or warm.
    pub(crate) fn report_warmth(&self) {
        let now = self.now();
        let (changes, cold_targets) = self.state.borrow_mut().directory.warmth_changes(now);
        for change in &changes {
            let target = &change.target;
            match &change.cold {
                Some((left, source)) => {
                    log::info!(target:%, left_ms = millis(*left), source:?; "target_cold");
                }
                None => log::info!(target:%; "target_warm"),
            }
        }
        if !changes.is_empty() {
            self.metrics.cold_targets.record(cold_targets as u64, &[]);
        }
    }

    /// Key of an incarnation of a target, if it is listed.
    #[must_use]
    pub fn key_if_listed(&self, target: &TargetIncarnation) -> Option<TargetKey> {
        let state = self.state.borrow();
        let is_listed = state.directory.is_listed(target);
        let known = state.directory.find(&target.id).filter(|_| is_listed)?;
        Some(known.key)
    }

    /// Incarnation of a target, if it is known.
    #[must_use]
    pub fn incarnation_of(&self, target: TargetKey) -> Option<TargetIncarnation> {
        let state = self.state.borrow();
        Some(state.directory.get(target)?.entry.incarnation())
    }

    /// Records that a target crashed, which confirms the suspicion against the requests that were
    /// interrupted there.
    pub fn target_crashed(&self, target: &TargetIncarnation) {
        let now = self.now();
        let interrupted = self.state.borrow_mut().suspects.record_crash(now, target);
        if !interrupted.is_empty() {
            self.attempt_interrupted.notify_one();
        }
        for fingerprint in interrupted {
            self.log_suspect(fingerprint, &target.id, "confirmed", CRASHES_ALLOWED);
        }
    }

    /// Checks for a while whether a target crashes: a request was given up there.
    pub fn watch_for_crash(&self, target: TargetKey) {
        let now = self.now();
        self.state.borrow_mut().crash_watch.begin(now, target);
        self.crash_watch_began.notify_one();
    }

    /// Checks for a while, and soon, whether a target ends after its answer to a suspect request.
    pub fn watch_after_answer(&self, target: TargetKey) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let watch = &mut state.crash_watch;
        watch.begin_soon(now, target, TRIAL_SURVIVAL_TIME);
        self.crash_watch_began.notify_one();
    }

    /// Records that a target answered a request sent at `sent_at`, which refutes the suspicion
    /// against requests that were interrupted there before.
    pub fn target_survived(&self, target: TargetKey, sent_at: Moment) {
        if self.state.borrow().suspects.has_unconfirmed()
            && let Some(incarnation) = self.incarnation_of(target)
        {
            self.sign_of_life(&incarnation, sent_at, "answer");
        }
    }

    /// Records that the address of a target is in use, and since when a connection to it has been open.
    pub fn target_present(&self, target: TargetKey, at: Moment, connected_since: Option<Moment>) {
        if let Some(incarnation) = self.incarnation_of(target) {
            let mut state = self.state.borrow_mut();
            let suspects = &mut state.suspects;
            suspects.record_presence(&incarnation, at, connected_since);
        }
    }

    /// Records that another target answered at the address of a target, which has ended.
    pub fn target_replaced(&self, target: TargetKey) {
        let now = self.now();
        let is_crash = !self.state.borrow().directory.is_exit_planned(now, target);
        if is_crash && let Some(incarnation) = self.incarnation_of(target) {
            self.target_crashed(&incarnation);
        }
    }

    /// Records a sign of life of a target, in answer to what was sent at `sent_at`.
    pub fn sign_of_life(&self, target: &TargetIncarnation, sent_at: Moment, sign: &str) {
        let refuted = {
            let mut state = self.state.borrow_mut();
            state.suspects.record_answer(target, sent_at)
        };
        for fingerprint in refuted {
            self.log_refuted(fingerprint, &target.id, sign);
        }
    }

    /// Logs that an interruption no longer counts, if others against the same request still do.
    pub fn log_refuted(&self, fingerprint: Fingerprint, target: &TargetId, sign: &str) {
        let standing = {
            let state = self.state.borrow();
            state.suspects.standing(self.now(), fingerprint)
        };
        if standing.crashes > 0 {
            log::info!(
                fingerprint:% = format_args!("{fingerprint:016x}"),
                target:%,
                sign,
                crashes = standing.crashes as u64;
                "crash_refuted"
            );
        }
    }

    /// Clears the requests whose targets have survived their answers, and has that shared.
    pub fn clear_answered(&self) {
        let now = self.now();
        let cleared = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let confirmed_at = state.freshness.confirmed_at();
            let stable_since = state.store_stable_since;
            let directory = &state.directory;
            let suspects = &mut state.suspects;
            suspects.clear_answered(now, confirmed_at, stable_since, |target| {
                directory.is_listed(target)
            })
        };
        for (fingerprint, crashes) in cleared.into_iter().filter(|(_, crashes)| *crashes > 1) {
            log::info!(
                fingerprint:% = format_args!("{fingerprint:016x}"),
                crashes = crashes as u64;
                "suspect_cleared"
            );
            self.attempt_interrupted.notify_one();
        }
    }

    /// Merges what another daemon saw of interrupted requests; `source` names its record.
    pub fn merge_evidence(&self, source: &str, evidence: &Evidence) {
        let now = self.now();
        let (refuted, changed) = {
            let suspects = &mut self.state.borrow_mut().suspects;
            let mut refuted = suspects.refuted_by(evidence);
            // A target's crash interrupts many requests once.
            refuted.retain(|withdrawal| suspects.standing(now, withdrawal.fingerprint).crashes > 1);
            (refuted, suspects.merge(now, evidence))
        };
        for withdrawal in refuted {
            let standing = {
                let state = self.state.borrow();
                state.suspects.standing(now, withdrawal.fingerprint)
            };
            log::info!(
                fingerprint:% = format_args!("{:016x}", withdrawal.fingerprint),
                target:% = withdrawal.target.id,
                sign = "withdrawn",
                source,
                crashes = standing.crashes as u64;
                "crash_refuted"
            );
        }
        if !changed.is_empty() {
            log::debug!(
                source,
                interrupted = evidence.interrupted.len() as u64,
                withdrawn = evidence.withdrawn.len() as u64;
                "suspects_received"
            );
        }
        for shared in &evidence.interrupted {
            if changed.contains(&shared.fingerprint) {
                self.log_suspect(
                    shared.fingerprint,
                    &shared.target.id,
                    "received",
                    CRASHES_ALLOWED,
                );
            }
        }
    }

    /// Logs new evidence against a request that was interrupted at least `from_crashes` times. A
    /// target's crash interrupts many requests once, which their attempts report.
    pub fn log_suspect(
        &self,
        fingerprint: Fingerprint,
        target: &TargetId,
        evidence: &str,
        from_crashes: usize,
    ) {
        let standing = {
            let state = self.state.borrow();
            state.suspects.standing(self.now(), fingerprint)
        };
        if standing.crashes >= from_crashes {
            log::warn!(
                fingerprint:% = format_args!("{fingerprint:016x}"),
                target:%,
                evidence,
                crashes = standing.crashes as u64,
                consecutive = standing.consecutive as u64,
                trials = standing.trials;
                "crash_suspected"
            );
        }
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceId,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut state = self.state.borrow_mut();
        let predecessor = state.follows_predecessor_since;
        let retry_budgets = &mut state.retry_budgets;
        let found = retry_budgets.binary_search_by(|(known, _)| known.cmp(service));
        let position = found.unwrap_or_else(|position| {
            let mut budget = RetryBudget::new(self.settings.limits.budget.clone());
            if let Some(started_at) = predecessor {
                budget.follow_predecessor(started_at);
            }
            retry_budgets.insert(position, (service.clone(), budget));
            position
        });
        change(&mut retry_budgets[position].1)
    }
}
