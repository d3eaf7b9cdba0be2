//! Connects to targets: directly, or through another daemon while the own path is lost. Every
//! connection to a target is opened here.

use std::rc::Rc;
use std::time::Duration;

use actix_web::rt;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use lapismoor_core::ids::{DaemonId, TargetKey};
use lapismoor_core::membership::{DaemonRecord, HelperQuery, PathChange, Standing};
use lapismoor_core::routing::Homes;
use lapismoor_mirror::{RelayAnswer, RelayCall, RelayError, RelayRequest, open_relayed};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::context::Edge;
use crate::http::{Connection, ExchangeError, configure_socket};
use crate::millis::millis;

/// Time after which another daemon is asked for a connection that is not open yet. A sound target
/// accepts one within a round trip.
const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Time in which another daemon must open a connection to a target.
const HELPER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for the answer of the other daemon, in addition.
const HELPER_TIMEOUT: Duration = Duration::from_millis(50);
/// Daemons that are asked for a connection while no path is known to be lost, so that the target is
/// more likely at fault.
const HELPERS_AT_FIRST: usize = 1;
/// Daemons that may take their time to answer, once paths are known to be lost.
const MAX_HELPERS: usize = 3;
/// Daemons that are asked for one connection, those included that decline at once.
const MAX_ASKED: usize = 8;

/// What a connection is for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Purpose<'a> {
    /// Hash by which requests are spread over the other daemons.
    pub request: u64,
    /// Home regions of the request.
    pub homes: Homes<'a>,
}

impl Purpose<'_> {
    /// A check of the target, without a request.
    fn check() -> Self {
        Self {
            request: rand::random(),
            homes: Homes::default(),
        }
    }
}

/// A new connection to a target.
pub(crate) struct Opened {
    pub connection: Connection,
    /// The daemon that forwards it; `None` if it is direct.
    pub through: Option<DaemonId>,
}

/// What the other daemons that were asked for a connection have found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// None of them has tried.
    Untried,
    /// The target refused all their connections.
    Refused,
    /// The target could not be reached.
    Unreachable,
}

impl Edge {
    /// Opens a connection to a target within `limit`, or somewhat later through another daemon.
    ///
    /// # Errors
    /// [`ExchangeError`] for which [`ExchangeError::is_not_sent`] holds. It is a refusal only if no
    /// daemon that was asked reaches the target either.
    pub(crate) async fn connect_to(
        &self,
        target: TargetKey,
        limit: Duration,
        purpose: Purpose<'_>,
    ) -> Result<Opened, ExchangeError> {
        let Some((_, address)) = self.address_of(target) else {
            return Err(ExchangeError::ConnectTimeout);
        };
        if self.is_path_lost(target) {
            match self.open_relayed(target, purpose).await {
                Ok(opened) => return Ok(opened),
                // No other daemon is left to ask, and the path may just be back.
                Err(Finding::Untried) => {}
                Err(_) => return Err(ExchangeError::ConnectTimeout),
            }
        }
        let direct = Connection::open(address, limit);
        tokio::pin!(direct);
        let opened_at = self.now();
        let relaying = async {
            sleep(HEDGE_DELAY).await;
            self.open_relayed(target, purpose).await
        };
        tokio::pin!(relaying);
        let direct_error = tokio::select! {
            biased;
            direct = &mut direct => match direct {
                Ok(connection) => return Ok(self.connected_directly(target, opened_at, connection)),
                Err(error) => error,
            },
            relayed = &mut relaying => match relayed {
                Ok(opened) => {
                    self.path_was_lost(target, &opened, "connect_slow");
                    return Ok(opened);
                }
                Err(finding) => match direct.await {
                    Ok(connection) => {
                        return Ok(self.connected_directly(target, opened_at, connection));
                    }
                    Err(error) => return Err(self.not_connected(target, error, finding)),
                },
            },
        };
        // Asked before already if the direct connection timed out.
        let relayed = if direct_error.is_connect_timeout() {
            relaying.await
        } else {
            self.open_relayed(target, purpose).await
        };
        match relayed {
            Ok(opened) => {
                self.path_was_lost(target, &opened, direct_error.name());
                Ok(opened)
            }
            Err(finding) => Err(self.not_connected(target, direct_error, finding)),
        }
    }

    /// Like [`Self::connect_to`], for a connection that the other end does not close at once.
    ///
    /// # Errors
    /// As of [`Self::connect_to`]; [`ExchangeError::CutOff`] if the connection was closed.
    pub(crate) async fn connect_lastingly(
        &self,
        target: TargetKey,
        limit: Duration,
    ) -> Result<Opened, ExchangeError> {
        let mut opened = self.connect_to(target, limit, Purpose::check()).await?;
        if opened.connection.lasts().await {
            Ok(opened)
        } else {
            Err(ExchangeError::CutOff)
        }
    }

    fn is_path_lost(&self, target: TargetKey) -> bool {
        let now = self.now();
        self.state.borrow_mut().reach.is_lost(now, target)
    }

    /// Whether a target is reached through other daemons only.
    pub(crate) fn is_path_known_lost(&self, target: TargetKey) -> bool {
        self.state.borrow().reach.is_known_lost(target)
    }

    fn connected_directly(
        &self,
        target: TargetKey,
        opened_at: Duration,
        connection: Connection,
    ) -> Opened {
        let now = self.now();
        self.target_connected_in(target, now.saturating_sub(opened_at));
        self.path_connected(target);
        Opened {
            connection,
            through: None,
        }
    }

    /// Records that this daemon has connected to a target itself. Returns whether its path is sound.
    fn path_connected(&self, target: TargetKey) -> bool {
        let now = self.now();
        let (change, lost_paths) = {
            let reach = &mut self.state.borrow_mut().reach;
            (reach.record_connected(now, target), reach.lost_paths())
        };
        if change == PathChange::Back {
            self.metrics.paths.record_lost(lost_paths);
            if let Some((id, _)) = self.address_of(target) {
                log::info!(target:% = id, lost_paths = lost_paths as u64; "path_back");
            }
        }
        !self.is_path_known_lost(target)
    }

    /// Records that another daemon reaches a target to which this one could not connect.
    fn path_was_lost(&self, target: TargetKey, opened: &Opened, cause: &'static str) {
        let Some(helper) = &opened.through else {
            return;
        };
        let now = self.now();
        let (change, lost_paths) = {
            let mut state = self.state.borrow_mut();
            if let Some(known) = state.directory.get_mut(target) {
                known.breaker.record_reached();
            }
            let reach = &mut state.reach;
            reach.record_not_connected(now, target);
            let change = reach.record_relayed(now, helper, target);
            (change, reach.lost_paths())
        };
        if change != PathChange::Lost {
            return;
        }
        // Connections that were idle hang like the new one; if it was refused, they may live on.
        if cause != "connect_failed" {
            self.connections.close_all(target);
        }
        self.metrics.paths.record_lost(lost_paths);
        self.path_lost.notify_one();
        if let Some((id, _)) = self.address_of(target) {
            log::warn!(
                target:% = id,
                through:% = helper,
                cause,
                lost_paths = lost_paths as u64;
                "path_lost"
            );
        }
    }

    fn not_connected(
        &self,
        target: TargetKey,
        error: ExchangeError,
        finding: Finding,
    ) -> ExchangeError {
        let now = self.now();
        let reach = &mut self.state.borrow_mut().reach;
        reach.record_not_connected(now, target);
        if error.is_refused() && finding == Finding::Unreachable {
            return ExchangeError::ConnectTimeout;
        }
        error
    }

    /// Asks other daemons for a connection to a target, one after the other.
    async fn open_relayed(
        &self,
        target: TargetKey,
        purpose: Purpose<'_>,
    ) -> Result<Opened, Finding> {
        let mut patience = self.patience();
        let mut finding = Finding::Untried;
        for _ in 0..MAX_ASKED {
            // Each answer tells something of the others: a whole failure domain may be cut off.
            let helper = self.best_helper(target, purpose);
            let Some((helper, (id, _))) = helper.zip(self.address_of(target)) else {
                break;
            };
            let call = RelayRequest {
                asker: self.settings.daemon.clone(),
                target: id.clone(),
                timeout: HELPER_CONNECT_TIMEOUT,
            };
            let limit = HELPER_CONNECT_TIMEOUT + HELPER_TIMEOUT;
            let counter = self.peer_bytes.clone();
            let opened = open_relayed(helper.address, &call, limit, counter).await;
            let opened = opened.and_then(|stream| {
                Connection::relayed(stream).map_err(|source| RelayError::Io { source })
            });
            let now = self.now();
            let error = match opened {
                Ok(connection) => {
                    self.metrics.paths.count_asked("connected");
                    let reach = &mut self.state.borrow_mut().reach;
                    reach.record_relayed(now, &helper.id, target);
                    return Ok(Opened {
                        connection,
                        through: Some(helper.id),
                    });
                }
                Err(error) => error,
            };
            let result = match &error {
                RelayError::Declined { answer } => answer.name(),
                RelayError::Timeout => "timeout",
                RelayError::Io { .. } => "failed",
            };
            self.metrics.paths.count_asked(result);
            log::info!(target:% = id, through:% = helper.id, result; "relay_declined");
            let reach = &mut self.state.borrow_mut().reach;
            let mut is_slow = false;
            match error {
                RelayError::Declined { answer } if answer != RelayAnswer::Stopping => {
                    reach.record_without_path(now, &helper.id, target);
                    if answer == RelayAnswer::Refused && finding != Finding::Unreachable {
                        finding = Finding::Refused;
                        is_slow = true;
                    }
                    if answer == RelayAnswer::Unreachable {
                        finding = Finding::Unreachable;
                        is_slow = true;
                    }
                }
                _ => {
                    reach.record_helper_failed(now, &helper.id);
                    is_slow = true;
                }
            }
            patience -= usize::from(is_slow);
            if patience == 0 {
                break;
            }
        }
        Err(finding)
    }

    /// How many daemons that are asked for one connection may fail slowly.
    fn patience(&self) -> usize {
        if self.state.borrow().reach.lost_paths() == 0 {
            HELPERS_AT_FIRST
        } else {
            MAX_HELPERS
        }
    }

    /// The daemon to ask next for a connection to a target.
    fn best_helper(&self, target: TargetKey, purpose: Purpose<'_>) -> Option<DaemonRecord> {
        let now = self.now();
        let state = self.state.borrow();
        let known = state.directory.get(target)?;
        let query = HelperQuery {
            target,
            target_domain: &known.entry.domain,
            own: &self.settings.daemon,
            own_domain: &self.settings.domain,
            request: purpose.request,
            homes: purpose.homes,
            regions: &self.settings.regions,
        };
        let helpers = state.reach.helpers(now, &query, &state.daemons);
        helpers.first().copied().cloned()
    }

    /// Finds out in the background whether a target that fell silent is reached by another daemon.
    pub(crate) fn check_path(self: &Rc<Self>, target: TargetKey) {
        let edge = Rc::clone(self);
        rt::spawn(async move {
            let limit = edge.settings.tuning.connect_timeout;
            // The result is recorded while connecting.
            if let Ok(opened) = edge.connect_to(target, limit, Purpose::check()).await
                && opened.through.is_none()
            {
                edge.keep_connection(target, opened.connection);
            }
        });
    }

    /// Whether this daemon may forward a connection to a target, and its address.
    fn relay_target(
        &self,
        request: &RelayRequest,
    ) -> Result<(TargetKey, std::net::SocketAddr), RelayAnswer> {
        if self.stopping.is_cancelled() {
            return Err(RelayAnswer::Stopping);
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let known = state.directory.find(&request.target);
        let known = known.filter(|known| known.standing != Standing::Leaving);
        let known = known.ok_or(RelayAnswer::NotInUse)?;
        let (key, address) = (known.key, known.entry.address);
        if state.directory.has_been_left(now, key) {
            return Err(RelayAnswer::NotInUse);
        }
        if state.reach.is_lost(now, key) {
            return Err(RelayAnswer::WithoutPath);
        }
        Ok((key, address))
    }

    async fn connect_for(
        &self,
        target: TargetKey,
        address: std::net::SocketAddr,
        limit: Duration,
    ) -> Result<TcpStream, RelayAnswer> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let answer = match connecting {
            Ok(Ok(stream)) => match configure_socket(&stream) {
                Ok(()) => {
                    self.path_connected(target);
                    return Ok(stream);
                }
                Err(_) => RelayAnswer::Unreachable,
            },
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                RelayAnswer::Refused
            }
            _ => RelayAnswer::Unreachable,
        };
        let now = self.now();
        let reach = &mut self.state.borrow_mut().reach;
        reach.record_not_connected(now, target);
        Err(answer)
    }
}

/// A connection that is forwarded for another daemon, until dropped.
struct RelayGuard {
    edge: Rc<Edge>,
    asker: DaemonId,
}

impl RelayGuard {
    fn take(edge: &Rc<Edge>, asker: &DaemonId) -> Option<Self> {
        let is_taken = edge.state.borrow_mut().relay_slots.take(asker);
        is_taken.then(|| Self {
            edge: Rc::clone(edge),
            asker: asker.clone(),
        })
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        let mut state = self.edge.state.borrow_mut();
        state.relay_slots.release(&self.asker);
    }
}

/// Opens a connection to a target for another daemon, and forwards it up to its end. It is always
/// direct, so that no two daemons forward to each other.
pub(crate) fn relay(edge: Rc<Edge>, call: RelayCall) -> LocalBoxFuture<'static, ()> {
    async move {
        let request = call.request.clone();
        let result = open_for(&edge, &request).await;
        let answer = result.as_ref().err().copied();
        let name = answer.unwrap_or(RelayAnswer::Connected).name();
        edge.metrics.paths.count_served(name);
        match result {
            Ok((stream, guard)) => {
                call.forward(stream).await;
                drop(guard);
            }
            Err(answer) => {
                log::info!(
                    asker:% = request.asker,
                    target:% = request.target,
                    result = name;
                    "relay_refused"
                );
                call.refuse(answer).await;
            }
        }
    }
    .boxed_local()
}

async fn open_for(
    edge: &Rc<Edge>,
    request: &RelayRequest,
) -> Result<(TcpStream, RelayGuard), RelayAnswer> {
    let (target, address) = edge.relay_target(request)?;
    let guard = RelayGuard::take(edge, &request.asker).ok_or(RelayAnswer::Busy)?;
    let limit = request.timeout.min(edge.settings.tuning.connect_timeout);
    let stream = edge.connect_for(target, address, limit).await?;
    // The target may have left while the connection was opened.
    edge.relay_target(request)?;
    Ok((stream, guard))
}

/// Probes lost paths for as long as the daemon runs, so that requests go the direct way again.
pub(crate) async fn probe_paths(edge: Rc<Edge>) {
    loop {
        let lost = edge.path_lost.notified();
        let probe_at = edge.state.borrow().reach.next_probe_at();
        let Some(probe_at) = probe_at else {
            lost.await;
            continue;
        };
        sleep(probe_at.saturating_sub(edge.now())).await;
        let now = edge.now();
        let due = edge.state.borrow_mut().reach.take_probes(now);
        let probes = due.into_iter().map(|target| probe(&edge, target));
        futures::future::join_all(probes).await;
    }
}

async fn probe(edge: &Edge, target: TargetKey) {
    let Some((id, address)) = edge.address_of(target) else {
        return;
    };
    let limit = edge.settings.tuning.connect_timeout;
    match Connection::open(address, limit).await {
        Ok(connection) => {
            if edge.path_connected(target) {
                edge.keep_connection(target, connection);
            }
        }
        Err(error) => {
            let now = edge.now();
            let reach = &mut edge.state.borrow_mut().reach;
            reach.record_not_connected(now, target);
            log::debug!(target:% = id, cause = error.name(), limit_ms = millis(limit); "path_probed");
        }
    }
}
