//! Permits for requests to targets that name a limit, from this daemon or another one.

use std::rc::Rc;
use std::time::Duration;

use actix_web::rt;
use lapismoor_core::Moment;
use lapismoor_core::admission::target_limits::{
    PermitAnswer, PermitRequest, PermitResult, TargetLimit, asks_per_permit, permit_sources,
};
use lapismoor_core::admission::{LimitChange, Priority, RequestRate};
use lapismoor_core::ids::{ServiceId, TargetId, TargetKey};
use lapismoor_core::membership::{Coldness, DaemonRecord, is_small_fleet};
use lapismoor_core::routing::fleet_sample::{TargetHash, merge_cold_targets, merge_limits};

use crate::context::{Edge, State};
use crate::millis::millis;
use crate::peers::FAILURE_BACKOFF;

/// Timeout of a call for a permit, with the connection: the request waits meanwhile.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Source of a limit that a daemon told without its name.
const OTHER_DAEMON: &str = "daemon";

/// A target's limit, for logs.
#[derive(Debug, Clone)]
pub(crate) struct LimitReport {
    pub target: TargetId,
    /// Requests per second that the target takes from all daemons together.
    pub limit_per_s: f64,
    /// Requests per second that this daemon was permitted lately.
    pub share_per_s: f64,
    /// Time since the answer that named the limit; `None` if the target is only cold.
    pub age: Option<Duration>,
    /// How it is known that the target is cold; `None` if it is warm.
    pub coldness: Option<Coldness>,
}

impl Edge {
    /// Takes a permit for one request to a target, and returns whether the request may be sent. A
    /// target without a limit needs none.
    pub(crate) async fn take_permit(&self, target: TargetKey, priority: &Priority) -> bool {
        let Some((hash, sources)) = self.permit_sources_of(target) else {
            return true;
        };
        let mut wait = None;
        let mut asks_left = asks_per_permit(&self.state.borrow().daemons);
        for source in sources {
            if asks_left == 0 {
                break;
            }
            let Some(request) = self.permit_request(target, priority) else {
                return true;
            };
            let result = match &source {
                None => self.decide_permit(hash, &request).result,
                Some(daemon) => self.ask_for_permit(daemon, request).await,
            };
            self.metrics.count_permit(result_name(result));
            match result {
                PermitResult::Granted => {
                    self.record_permit(target);
                    return true;
                }
                PermitResult::Unlimited => return true,
                PermitResult::Denied { wait: this } => {
                    wait = Some(wait.map_or(this, |other: Duration| other.min(this)));
                    asks_left -= 1;
                }
                PermitResult::NotAllocator => {}
            }
        }
        let now = self.now();
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target) {
            known
                .limit
                .close(now, priority, wait.unwrap_or(FAILURE_BACKOFF));
        }
        false
    }

    /// The daemons to ask for a permit, `None` for this one; `None` if the target needs no
    /// permit.
    fn permit_sources_of(
        &self,
        target: TargetKey,
    ) -> Option<(TargetHash, Vec<Option<DaemonRecord>>)> {
        let state = self.state.borrow();
        let known = state.directory.get(target)?;
        if !known.needs_permit(self.now()) {
            return None;
        }
        let own = &self.settings.daemon;
        let sources = permit_sources(known.hash, &state.daemons, own);
        if sources.is_empty() {
            return Some((known.hash, vec![None]));
        }
        let sources = sources.into_iter();
        let others = sources.map(|daemon| (daemon.id != *own).then(|| daemon.clone()));
        Some((known.hash, others.collect()))
    }

    /// The request for a permit; `None` if the target needs none any more.
    fn permit_request(&self, target: TargetKey, priority: &Priority) -> Option<PermitRequest> {
        let state = self.state.borrow();
        let now = self.now();
        let known = state
            .directory
            .get(target)
            .filter(|one| one.needs_permit(now))?;
        let limit = TargetLimit::of(now, known);
        let limit = limit
            .unwrap_or_else(|| TargetLimit::told_cold(known.hash, Duration::ZERO, Duration::ZERO));
        Some(PermitRequest {
            limit: TargetLimit {
                cold_left: known.cold_left(now),
                ..limit
            },
            priority: priority.clone(),
        })
    }

    fn record_permit(&self, target: TargetKey) {
        let now = self.now();
        if let Some(known) = self.state.borrow_mut().directory.get_mut(target) {
            known.limit.record_permit(now);
        }
    }

    async fn ask_for_permit(&self, daemon: &DaemonRecord, request: PermitRequest) -> PermitResult {
        let now = self.now();
        if self.peers.is_backed_off(now, daemon) {
            return PermitResult::NotAllocator;
        }
        let call = async {
            let connection = self.peer_connection(daemon).await?;
            connection.take_permit(&request).await
        };
        let reason = match tokio::time::timeout(PERMIT_TIMEOUT, call).await {
            Ok(Ok(answer)) => {
                self.merge_limits(&[answer.limit], &daemon.id);
                if answer.result != PermitResult::NotAllocator {
                    self.merge_cold_targets(&[answer.limit], &daemon.id);
                }
                return answer.result;
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the daemon did not answer within the timeout".into(),
        };
        self.permit_peer_failed(daemon, &reason);
        PermitResult::NotAllocator
    }

    fn permit_peer_failed(&self, daemon: &DaemonRecord, reason: &str) {
        log::info!(peer:% = daemon.id, reason; "permit_not_answered");
        self.peer_failed(daemon);
    }

    /// Decides on a permit for a request of another daemon.
    pub(crate) fn answer_permit(&self, request: &PermitRequest) -> PermitAnswer {
        self.merge_limits(&[request.limit], OTHER_DAEMON);
        self.decide_permit(request.limit.target, request)
    }

    /// Decides on a permit from this daemon's half of the limit. A target that is not listed here
    /// yet has the limit that the request tells.
    fn decide_permit(&self, target: TargetHash, request: &PermitRequest) -> PermitAnswer {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let known = state.directory.find_by_hash(target);
        let own = &self.settings.daemon;
        let permits = &mut state.permits;
        permits.decide(now, own, &state.daemons, known, request)
    }

    /// Merges what another daemon told of cold targets.
    pub(crate) fn merge_cold_targets(&self, limits: &[TargetLimit], source: &str) {
        let now = self.now();
        let changes = merge_cold_targets(now, limits, &mut self.state.borrow_mut().directory);
        for (target, left) in changes {
            log::info!(target:%, left_ms = millis(left), source; "target_told_cold");
        }
    }

    /// Merges limits and cold targets that another daemon told without being asked for a permit.
    pub(crate) fn merge_told_limits(&self, limits: &[TargetLimit]) {
        self.merge_limits(limits, OTHER_DAEMON);
        self.merge_cold_targets(limits, OTHER_DAEMON);
    }

    /// Merges limits that another daemon told.
    pub(crate) fn merge_limits(&self, limits: &[TargetLimit], source: &str) {
        let now = self.now();
        let changes = merge_limits(now, limits, &mut self.state.borrow_mut().directory);
        for (target, change) in changes {
            log_limit_change(&target, &change, source);
        }
    }

    /// Tells other daemons that a target has begun or ceased to name a limit, or turned cold: all of a small fleet,
    /// and of a large one those that hand out its permits. The others learn it with the next
    /// exchange of observations.
    pub(crate) fn tell_limit(self: &Rc<Self>, target: TargetKey) {
        let now = self.now();
        let (limits, daemons) = {
            let state = self.state.borrow();
            let Some(known) = state.directory.get(target) else {
                return;
            };
            let notice = known.limit.notice();
            let limit = notice.map(|notice| TargetLimit::told(now, known.hash, &notice));
            let cold = TargetLimit::of_cold(now, known);
            let limits: Vec<TargetLimit> = limit.into_iter().chain(cold).collect();
            let daemons: Vec<DaemonRecord> = if is_small_fleet(&state.daemons) {
                state.daemons.clone()
            } else {
                let sources = permit_sources(known.hash, &state.daemons, &self.settings.daemon);
                sources.into_iter().cloned().collect()
            };
            (limits, daemons)
        };
        let others = daemons.into_iter();
        for daemon in others.filter(|daemon| daemon.id != self.settings.daemon) {
            let (edge, limits) = (Rc::clone(self), limits.clone());
            rt::spawn(async move { edge.tell_limits_to(&daemon, &limits).await });
        }
    }

    async fn tell_limits_to(&self, daemon: &DaemonRecord, limits: &[TargetLimit]) {
        if self.peers.is_backed_off(self.now(), daemon) {
            return;
        }
        let call = async {
            let connection = self.peer_connection(daemon).await?;
            connection.tell_limits(limits).await
        };
        match tokio::time::timeout(PERMIT_TIMEOUT, call).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => self.permit_peer_failed(daemon, &error.to_string()),
            Err(_) => {
                self.permit_peer_failed(daemon, "the daemon did not answer within the timeout");
            }
        }
    }

    /// Whether a target names a limit.
    pub(crate) fn names_limit(&self, target: TargetKey) -> bool {
        let state = self.state.borrow();
        let known = state.directory.get(target);
        known.is_some_and(|known| known.limit.rate().is_some())
    }

    /// The limit of a target, for logs.
    pub(crate) fn limit_report(&self, target: TargetKey) -> Option<LimitReport> {
        let now = self.now();
        let state = self.state.borrow();
        let known = state.directory.get(target)?;
        let notice = known.limit.notice().filter(|notice| notice.rate.is_some());
        let cold = known.cold_rate(now);
        let named_per_s = notice
            .and_then(|notice| notice.rate)
            .map(RequestRate::per_s);
        let cold_per_s = cold.map(|(rate, _)| rate.per_s());
        let limits = named_per_s.into_iter().chain(cold_per_s);
        Some(LimitReport {
            target: known.entry.id.clone(),
            limit_per_s: limits.reduce(f64::min)?,
            share_per_s: known.limit.share_per_s(now),
            age: notice.map(|notice| notice.age(now)),
            coldness: cold.map(|(_, coldness)| coldness),
        })
    }

    /// Time after which a caller that was refused may return, if a target of the service may have
    /// room in `room_in`.
    pub(crate) fn limit_retry_after(&self, service: &ServiceId, room_in: Duration) -> Duration {
        let now = self.now();
        let permitted_per_s = self.permitted_per_s(service);
        let returns = &mut self.state.borrow_mut().returns;
        returns.next(now, service, room_in, permitted_per_s)
    }

    /// What [`Self::limit_retry_after`] would return now. Plans no return.
    pub(crate) fn preview_limit_retry_after(
        &self,
        service: &ServiceId,
        room_in: Duration,
    ) -> Duration {
        let permitted_per_s = self.permitted_per_s(service);
        let mut returns = self.state.borrow().returns.clone();
        returns.next(self.now(), service, room_in, permitted_per_s)
    }

    /// Requests per second that this daemon was permitted lately at the targets of a service.
    fn permitted_per_s(&self, service: &ServiceId) -> f64 {
        let now = self.now();
        let state = self.state.borrow();
        let targets = state.directory.in_use(service);
        targets.map(|target| target.limit.share_per_s(now)).sum()
    }
}

impl State {
    /// Forgets the permits for targets that other daemons hand out now.
    pub(crate) fn update_allocators(&mut self, now: Moment, own: &str) {
        self.permits.update(now, own, &self.daemons);
    }
}

fn result_name(result: PermitResult) -> &'static str {
    match result {
        PermitResult::Granted => "granted",
        PermitResult::Denied { .. } => "denied",
        PermitResult::Unlimited => "unlimited",
        PermitResult::NotAllocator => "not_answered",
    }
}

/// Logs a change of a target's limit; `source` is the daemon that told it, [`OTHER_DAEMON`] if it did
/// not say its name, or the target itself if that named it.
pub(crate) fn log_limit_change(target: &TargetId, change: &LimitChange, source: &str) {
    log::info!(
        target:%,
        limit_per_s = change.now.map(RequestRate::per_s),
        before_per_s = change.before.map(RequestRate::per_s),
        source;
        "target_limit_changed"
    );
}

impl LimitReport {
    /// Logs that a target had no room for a request of this rank, and what follows. `room_in` is the
    /// time until there may be some, if it is known.
    pub(crate) fn log(&self, request: &str, rank: u8, room_in: Option<Duration>, next: &str) {
        log::info!(
            request,
            rank,
            target:% = self.target,
            limit_per_s = self.limit_per_s,
            share_per_s = self.share_per_s,
            limit_age_ms = self.age.map(millis),
            cold:? = self.coldness,
            room_in_ms = room_in.map(millis),
            next;
            "limit_reached"
        );
    }
}
