//! Follows the store for as long as the daemon runs: reads all of it, then waits for changes. Reads
//! go to the store itself or to another daemon, and move to the next source when one fails.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::ids::{DaemonId, StoreRevision};
use lapismoor_core::membership::{
    LearnedFrom, ServiceVersion, Source, Sources, StoreItem, max_source_age,
};

use super::apply::{Cause, apply};
use super::client::{Consistency, StoreClient, StoreError};
use super::evacuations;
use super::source_client::{SourceAnswer, SourceClient};
use super::update::StoreUpdate;
use crate::context::Edge;
use crate::millis::millis;

/// First retry delay after all sources failed.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest retry delay, shorter than the time that entries take to reappear after the store
/// recovers.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time after the start during which a daemon that does not answer is assumed to be starting, too.
/// If all daemons were killed at once and each then read everything from the store, the overloaded
/// store would answer none of them.
const STARTUP_WINDOW: Duration = Duration::from_millis(1_500);

/// Time in which all daemons announce themselves when a fleet starts for the first time. The VMs
/// start within 0.3 s of each other.
const FIRST_START_WAIT: Duration = Duration::from_millis(700);

/// Time after which everything is listed again once the store was restored. By then, daemons and
/// targets have written their entries again, and entries of targets that were gone have expired:
/// three heartbeat intervals of a target.
const RESTORE_SETTLING_TIME: Duration = Duration::from_secs(5);

/// State of the follow loop.
struct Follower {
    sources: Sources,
    source: Source,
    /// Revision to continue from; `None` if everything must be read again.
    revision: Option<StoreRevision>,
    started_at: Moment,
    /// When everything is listed again because the store was restored.
    relist_at: Option<Moment>,
    /// Whether the last answer had changes, so that more may follow soon.
    had_changes: bool,
    /// Source of the last answer.
    last_answered_by: Source,
    /// Whether the last call failed.
    is_failing: bool,
    /// Delay before the next attempt at the same source. Invariant: zero unless the last call
    /// failed.
    retry_delay: Duration,
}

/// Follows the store for as long as the daemon runs.
pub(crate) async fn follow(edge: Rc<Edge>, client: StoreClient) {
    let settings = &edge.settings;
    let mut source_client = SourceClient::new(client.clone());
    let mut follower = Follower {
        sources: Sources::new(settings.daemon.clone(), settings.domain.clone()),
        source: Source::Store,
        revision: None,
        started_at: edge.now(),
        relist_at: None,
        had_changes: false,
        last_answered_by: Source::Store,
        is_failing: false,
        retry_delay: Duration::ZERO,
    };
    load_daemons(&edge, &client).await;
    loop {
        follower.choose_source(&edge);
        follower.relist_if_due(edge.now());
        let wait = follower.poll_wait(&edge);
        let answer = source_client
            .fetch(&edge, &follower.source, follower.revision, wait)
            .await;
        match answer.and_then(|answer| follower.check_freshness(&edge, answer)) {
            Ok(answer) => follower.on_success(&edge, &client, answer).await,
            Err(error) => follower.on_failure(&edge, &error).await,
        }
    }
}

/// Loads the announced daemons, so that the first full list can be read from one of them. After a
/// restart of the whole fleet, the announcements from before it are still in the store. If there
/// are none, the fleet starts for the first time: the daemons announce themselves at once, and wait
/// for the announcements of the others. Otherwise each of them would read everything from the
/// store.
async fn load_daemons(edge: &Edge, client: &StoreClient) {
    if list_daemons(edge, client, Consistency::MayBeStale).await != Some(0) {
        return;
    }
    edge.is_first_start.set(true);
    tokio::time::sleep(FIRST_START_WAIT).await;
    list_daemons(edge, client, Consistency::Latest).await;
}

/// Returns the number of announced daemons; `None` if the store does not answer.
async fn list_daemons(
    edge: &Edge,
    client: &StoreClient,
    consistency: Consistency,
) -> Option<usize> {
    let limit = edge.settings.tuning.store_timeout;
    let listed = tokio::time::timeout(limit, (client.list_daemons)(consistency)).await;
    match listed {
        Ok(Ok(items)) => {
            for update in items.iter().filter_map(client.decode) {
                apply(edge, edge.now(), update, Cause::FirstList);
            }
            Some(items.len())
        }
        Ok(Err(error)) => {
            log::warn!(error:%; "daemons_not_read");
            None
        }
        Err(_) => {
            log::warn!("daemons_not_read");
            None
        }
    }
}

/// Greatest age that the copy of the store reaches while no call fails.
pub(super) fn max_healthy_age(edge: &Edge) -> Duration {
    let tuning = &edge.settings.tuning;
    tuning.store_wait + tuning.store_timeout
}

impl Follower {
    fn choose_source(&mut self, edge: &Edge) {
        let now = edge.now();
        let state = edge.state.borrow();
        self.source = self.sources.choose(now, &state.daemons);
    }

    /// How long the next call waits for changes. It does not wait after a failure, to detect soon
    /// whether the source is back.
    fn poll_wait(&self, edge: &Edge) -> Duration {
        let tuning = &edge.settings.tuning;
        if !self.retry_delay.is_zero() {
            return Duration::ZERO;
        }
        let store_wait = if self.reads_for_others(edge) {
            tuning.reader_wait
        } else {
            tuning.store_wait
        };
        match self.source {
            Source::Daemon(_) => tuning.mirror_wait,
            Source::Store if self.had_changes => store_wait.saturating_sub(self.gather_time(edge)),
            Source::Store => store_wait,
        }
    }

    /// Whether the daemon used as source may still be starting, like this one.
    fn may_be_starting(&self, now: Moment) -> bool {
        let is_starting = now.saturating_sub(self.started_at) < STARTUP_WINDOW;
        is_starting && self.revision.is_none() && matches!(self.source, Source::Daemon(_))
    }

    /// Rejects an answer of another daemon that is too old, as when that daemon has lost the store
    /// or has not noticed that it was restored.
    fn check_freshness(
        &self,
        edge: &Edge,
        answer: SourceAnswer,
    ) -> Result<SourceAnswer, StoreError> {
        let tuning = &edge.settings.tuning;
        let age = edge.now().saturating_sub(answer.known_at);
        let is_list = self.revision.is_none();
        let max_age = max_source_age(tuning.max_mirror_age, tuning.list_timeout, is_list);
        if matches!(self.source, Source::Daemon(_)) && age > max_age {
            return Err(StoreError::Unavailable {
                reason: "the daemon's copy of the store is too old".into(),
            });
        }
        let copy = edge.state.borrow().mirror.revision();
        if copy.is_some_and(|copy| copy.era > answer.revision.era) {
            return Err(StoreError::Unavailable {
                reason: "the daemon has not noticed that the store was restored".into(),
            });
        }
        Ok(answer)
    }

    fn reads_for_others(&self, edge: &Edge) -> bool {
        self.sources.reads_for_others(&edge.state.borrow().daemons)
    }

    /// Time for which further changes are gathered before the next call: changes often come in
    /// quick succession, and each call to the store is billed.
    fn gather_time(&self, edge: &Edge) -> Duration {
        let limits = &edge.settings.limits;
        let tuning = &edge.settings.tuning;
        let shortest_limit = limits.config_within.min(limits.drain_within);
        let percent = if self.reads_for_others(edge) {
            tuning.reader_gather_percent
        } else {
            tuning.store_gather_percent
        };
        shortest_limit * percent / 100
    }

    async fn on_success(&mut self, edge: &Edge, client: &StoreClient, answer: SourceAnswer) {
        let now = edge.now();
        if self.is_failing || self.last_answered_by != self.source {
            log::info!(source:% = source_name(&self.source), was_lost = self.is_failing; "store_source");
        }
        self.is_failing = false;
        self.retry_delay = Duration::ZERO;
        self.sources.record_answer(&self.source);
        self.last_answered_by = self.source.clone();
        let is_list = self.revision.is_none();
        let cause = self.cause_of_updates(edge, answer.revision);
        let is_first_list = cause == Cause::FirstList;
        let confirmed_at = edge.state.borrow().freshness.confirmed_at();
        let items = self.update_mirror(edge, now, answer);
        // Marks are written one at a time, so that there is nothing to gather.
        let is_mark = |item: &StoreItem| ServiceVersion::from_mark_key(&item.key).is_some();
        self.had_changes = items.iter().any(|item| !is_mark(item));
        let learned_from = match cause {
            Cause::FirstList => LearnedFrom::FirstList,
            Cause::Restored => LearnedFrom::RestoredList,
            Cause::Change if is_list => LearnedFrom::List,
            Cause::Change => LearnedFrom::Change,
        };
        for update in items.iter().filter_map(client.decode) {
            match update {
                StoreUpdate::Evacuated {
                    domain,
                    is_readable,
                } => evacuations::begin(edge, &domain, is_readable, learned_from, confirmed_at),
                StoreUpdate::EvacuationEnded { domain } => {
                    evacuations::end(edge, &domain, learned_from);
                }
                update => apply(edge, now, update, cause),
            }
        }
        if cause == Cause::Restored {
            self.relist_at = Some(now + RESTORE_SETTLING_TIME);
            // The leases of this daemon's records may be lost; new records get new ones.
            edge.suspects_lease.forget();
            edge.key_lease.forget();
            edge.store_restored.notify_waiters();
        } else if is_list {
            forget_unlisted_daemons(edge, client);
        }
        if is_first_list {
            let state = edge.state.borrow();
            log::info!(
                source:% = source_name(&self.source),
                targets = state.directory.targets().len() as u64,
                daemons = state.daemons.len() as u64,
                revision = self.revision.map(|revision| revision.number),
                store_era = self.revision.map(|revision| revision.era);
                "everything_listed"
            );
        }
        expect_even_share(edge);
        if !items.is_empty() {
            edge.store_changed.notify_waiters();
        }
        if self.had_changes && self.source == Source::Store {
            tokio::time::sleep(self.gather_time(edge)).await;
        }
    }

    /// Why the items of an answer are applied. Logs when the store was restored from a copy.
    fn cause_of_updates(&self, edge: &Edge, revision: StoreRevision) -> Cause {
        let mut state = edge.state.borrow_mut();
        if !state.has_loaded_targets {
            return Cause::FirstList;
        }
        let Some(copy) = state.mirror.revision() else {
            return Cause::Change;
        };
        if copy.era >= revision.era {
            return Cause::Change;
        }
        edge.store_restored_at.set(Some(edge.now()));
        state.directory.store_restored(edge.now());
        log::warn!(
            source:% = source_name(&self.source),
            era = revision.era,
            era_before = copy.era,
            revision = revision.number,
            revision_before = copy.number;
            "store_restored"
        );
        edge.metrics.store_restores.add(1, &[]);
        Cause::Restored
    }

    /// Lists everything again some time after the store was restored.
    fn relist_if_due(&mut self, now: Moment) {
        if self.relist_at.is_some_and(|at| now >= at) {
            self.relist_at = None;
            self.revision = None;
        }
    }

    /// Stores an answer in the mirror and returns the items that changed.
    fn update_mirror(&mut self, edge: &Edge, now: Moment, answer: SourceAnswer) -> Vec<StoreItem> {
        let mut state = edge.state.borrow_mut();
        let gap = state.freshness.age(now).unwrap_or_default();
        let outage = gap.saturating_sub(max_healthy_age(edge));
        state.freshness.confirm(answer.known_at.min(now));
        state.directory.store_recovered(now, outage);
        if !outage.is_zero() {
            state.store_stable_since = now;
        }
        state.has_loaded_targets = true;
        let items = if self.revision.is_none() {
            let listed = state.mirror.replace(answer.items, answer.revision);
            listed.unwrap_or_default()
        } else {
            state.mirror.apply(answer.items, answer.revision)
        };
        self.revision = state.mirror.revision();
        items
    }

    async fn on_failure(&mut self, edge: &Edge, error: &StoreError) {
        if *error == StoreError::HistoryGone {
            log::info!(
                source:% = source_name(&self.source),
                revision = self.revision.map(|revision| revision.number);
                "store_history_gone"
            );
            if self.revision.take().is_some() {
                return;
            }
        }
        let now = edge.now();
        if !self.is_failing {
            log::warn!(
                source:% = source_name(&self.source),
                error:%,
                store_age_ms = edge.config_age().map(millis);
                "store_lost"
            );
        }
        self.is_failing = true;
        if self.may_be_starting(now) {
            tokio::time::sleep(MIN_RETRY_DELAY).await;
            return;
        }
        let source = self.source.clone();
        if *error == StoreError::Unanswered {
            self.sources.record_silence(now, source);
        } else {
            self.sources.record_failure(now, source);
        }
        let next = self.sources.choose(now, &edge.state.borrow().daemons);
        if next == self.source {
            self.retry_delay = (self.retry_delay * 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
            tokio::time::sleep(self.retry_delay).await;
        }
    }
}

/// Until targets report their load, the traffic is expected to be even over the announced daemons.
fn expect_even_share(edge: &Edge) {
    let mut state = edge.state.borrow_mut();
    let daemons = state.daemons.len();
    state.traffic_share.expect_even(daemons);
}

/// Forgets daemons that are no longer announced. The first list after the store was restored does
/// not remove them, because their announcements may be lost while they still run.
fn forget_unlisted_daemons(edge: &Edge, client: &StoreClient) {
    let mut state = edge.state.borrow_mut();
    let state = &mut *state;
    let listed = state.mirror.items().iter().filter_map(client.decode);
    let mut listed: Vec<DaemonId> = listed
        .filter_map(|update| match update {
            StoreUpdate::Daemon(record) => Some(record.id),
            _ => None,
        })
        .collect();
    listed.sort();
    state
        .daemons
        .retain(|daemon| listed.binary_search(&daemon.id).is_ok());
}

fn source_name(source: &Source) -> &str {
    match source {
        Source::Store => "store",
        Source::Daemon(daemon) => &daemon.id,
    }
}
