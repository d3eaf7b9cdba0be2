//! Exchanges observations of targets and requests with other daemons. A daemon that reads the store
//! through another one sends it its own; the daemons that are read from tell each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use lapismoor_core::Moment;
use lapismoor_core::membership::{DaemonRecord, Sources};
use lapismoor_core::routing::fleet_sample::{
    COLLECTOR_INTERVAL, EXCHANGE_INTERVAL, apply_sample, collected_observations, fleet_sample,
    merge_observations, take_observations,
};
use lapismoor_core::routing::{FleetSample, Observations};
use lapismoor_core::stream::OriginSource;
use lapismoor_mirror::{MirrorClient, MirrorError};

use crate::context::{Edge, State};

/// Time by which the sample of a call overlaps the one before, so that variations of the time that
/// calls take leave no gap.
const OVERLAP: Duration = Duration::from_millis(50);

/// Exchanges observations for as long as the daemon runs.
pub(crate) async fn exchange_observations(edge: Rc<Edge>) {
    let mut last = Exchange::default();
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        let Some(collector) = edge.collector.borrow().clone() else {
            continue;
        };
        last.run(&edge, &collector, |state, now, since| Observations {
            streams: state.streams_to_record(now),
            ..take_observations(now, since, &state.directory, &mut state.chooser)
        })
        .await;
    }
}

/// Exchanges what this daemon has collected with other collectors, for as long as it runs.
pub(crate) async fn exchange_between_collectors(edge: Rc<Edge>) {
    let sources = Sources::new(edge.settings.daemon.clone(), edge.settings.domain.clone());
    let mut peers: Vec<Peer> = Vec::new();
    loop {
        tokio::time::sleep(COLLECTOR_INTERVAL).await;
        let collectors = sources.collectors(&edge.state.borrow().daemons);
        peers.retain(|peer| collectors.iter().any(|one| one.address == peer.address));
        for DaemonRecord { address, .. } in collectors {
            if !peers.iter().any(|peer| peer.address == address) {
                peers.push(Peer::new(address));
            }
        }
        join_all(peers.iter_mut().map(|peer| peer.exchange(&edge))).await;
    }
}

/// The last exchange with one daemon.
#[derive(Default)]
struct Exchange {
    succeeded_at: Moment,
    is_failing: bool,
}

impl Exchange {
    /// Sends what `observe` returns for the time since the last exchange, and applies the answer.
    /// Returns whether that succeeded.
    async fn run(
        &mut self,
        edge: &Edge,
        peer: &MirrorClient,
        observe: impl FnOnce(&mut State, Moment, Moment) -> Observations,
    ) -> bool {
        let now = edge.now();
        let since = self.succeeded_at;
        let observations = observe(&mut edge.state.borrow_mut(), now, since);
        let call = peer.exchange(&observations, now.saturating_sub(since) + OVERLAP);
        let answered = tokio::time::timeout(edge.settings.tuning.mirror_timeout, call).await;
        let sample = self.check(answered);
        edge.metrics
            .count_store_call("observations", sample.is_some());
        let Some(sample) = sample else {
            return false;
        };
        self.succeeded_at = now;
        edge.merge_told_limits(&sample.limits);
        // Ages count from the time of the call, so that loads never seem fresher than they are.
        let mut state = edge.state.borrow_mut();
        let state = &mut *state;
        apply_sample(now, sample, &mut state.directory, &mut state.chooser);
        true
    }

    /// Logs the first of several failures, and the first success after them.
    fn check<T>(
        &mut self,
        answered: Result<Result<T, MirrorError>, tokio::time::error::Elapsed>,
    ) -> Option<T> {
        let reason = match answered {
            Ok(Ok(answer)) => {
                if std::mem::take(&mut self.is_failing) {
                    log::info!("observations_exchanged_again");
                }
                return Some(answer);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the daemon did not answer within the timeout".into(),
        };
        if !self.is_failing {
            log::info!(reason; "observations_not_exchanged");
        }
        self.is_failing = true;
        None
    }
}

/// Another collector.
struct Peer {
    address: SocketAddr,
    connection: Option<MirrorClient>,
    last: Exchange,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
            last: Exchange::default(),
        }
    }

    async fn exchange(&mut self, edge: &Edge) {
        if self.connection.is_none() {
            let connected = MirrorClient::connect(self.address, edge.peer_bytes.clone()).await;
            self.connection = self.last.check(Ok(connected));
        }
        let Some(connection) = &self.connection else {
            return;
        };
        let is_exchanged = self.last.run(edge, connection, |state, now, since| {
            collected_observations(now, since, &state.directory)
        });
        if !is_exchanged.await {
            self.connection = None;
        }
    }
}

/// Merges the observations of another daemon, and returns what this one learned in the time `since`
/// its last call.
pub(super) fn take_exchange(
    edge: &Edge,
    observations: &Observations,
    since: Duration,
) -> FleetSample {
    edge.merge_told_limits(&observations.limits);
    edge.keep_origins(&observations.streams, OriginSource::Relayed);
    let now = edge.now();
    let mut state = edge.state.borrow_mut();
    let state = &mut *state;
    merge_observations(now, observations, &mut state.directory, &mut state.chooser);
    let since = now.saturating_sub(since);
    fleet_sample(now, since, &state.directory, &mut state.chooser)
}
