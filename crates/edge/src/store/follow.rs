//! Follows the store for as long as the daemon runs: reads all of it, then waits for changes, from
//! the source that serves best.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::ids::StoreRevision;
use lapismoor_core::membership::{Source, Sources, StoreItem, max_source_age};

use super::apply::apply;
use super::client::{StoreClient, StoreError};
use super::question::{Asker, Told};
use crate::context::Edge;
use crate::millis::millis;

/// First pause after all sources failed.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause, so that the store's return is noticed within the time its entries take to
/// return.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Time after the start for which a daemon that does not answer yet is taken to be starting as
/// well. All daemons may have been killed at once; if each then read everything from the store, the
/// store would answer nobody.
const STARTING: Duration = Duration::from_millis(1_500);

/// Where the loop stands.
struct Progress {
    sources: Sources,
    source: Source,
    /// Position to go on from; none if everything must be read again.
    revision: Option<StoreRevision>,
    started_at: Moment,
    /// Whether the last answer brought news, so that more may follow soon.
    had_news: bool,
    /// Source of the last answer.
    answered_by: Source,
    /// Whether the last call failed.
    is_lost: bool,
    /// Pause before the next try of the same source. Invariant: zero unless the last call failed.
    pause: Duration,
}

/// Follows the store until the daemon ends.
pub(crate) async fn follow(edge: Rc<Edge>, client: StoreClient) {
    let settings = &edge.settings;
    let mut asker = Asker::new(client.clone());
    let mut progress = Progress {
        sources: Sources::new(settings.daemon.clone(), settings.domain.clone()),
        source: Source::Store,
        revision: None,
        started_at: edge.now(),
        had_news: false,
        answered_by: Source::Store,
        is_lost: false,
        pause: Duration::ZERO,
    };
    learn_daemons(&edge, &client).await;
    loop {
        progress.choose_source(&edge);
        let wait = progress.wait(&edge);
        let told = asker
            .ask(&edge, &progress.source, progress.revision, wait)
            .await;
        match told.and_then(|told| progress.fresh_enough(&edge, told)) {
            Ok(told) => progress.succeeded(&edge, &client, told).await,
            Err(error) => progress.failed(&edge, &error).await,
        }
    }
}

/// Learns whom to ask. Announcements outlast a restart of all daemons.
async fn learn_daemons(edge: &Edge, client: &StoreClient) {
    let limit = edge.settings.tuning.store_timeout;
    let known = tokio::time::timeout(limit, (client.list_daemons)()).await;
    match known {
        Ok(Ok(items)) => {
            for fact in items.iter().filter_map(client.decode) {
                apply(edge, edge.now(), fact, true);
            }
        }
        Ok(Err(error)) => log::warn!(error:%; "daemons_not_read"),
        Err(_) => log::warn!("daemons_not_read"),
    }
}

/// Greatest age of what is known while nothing fails.
fn usual_age(edge: &Edge) -> Duration {
    let tuning = &edge.settings.tuning;
    tuning.store_wait + tuning.store_timeout
}

impl Progress {
    fn choose_source(&mut self, edge: &Edge) {
        let now = edge.now();
        let state = edge.state.borrow();
        self.source = self.sources.choose(now, &state.daemons);
    }

    /// A short call after a failure shows soon whether the store is back.
    fn wait(&self, edge: &Edge) -> Duration {
        let tuning = &edge.settings.tuning;
        if !self.pause.is_zero() {
            return Duration::ZERO;
        }
        let store_wait = if self.reads_for_others(edge) {
            tuning.reader_wait
        } else {
            tuning.store_wait
        };
        match self.source {
            Source::Daemon(_) => tuning.mirror_wait,
            Source::Store if self.had_news => store_wait.saturating_sub(self.gathering(edge)),
            Source::Store => store_wait,
        }
    }

    /// Whether the daemon asked may be starting, as this one is.
    fn may_be_starting(&self, now: Moment) -> bool {
        let is_new = now.saturating_sub(self.started_at) < STARTING;
        is_new && self.revision.is_none() && matches!(self.source, Source::Daemon(_))
    }

    /// Knowledge as old as that of a daemon which lost the store is no answer.
    fn fresh_enough(&self, edge: &Edge, told: Told) -> Result<Told, StoreError> {
        let tuning = &edge.settings.tuning;
        let age = edge.now().saturating_sub(told.known_at);
        let is_list = self.revision.is_none();
        let most = max_source_age(tuning.max_mirror_age, tuning.list_timeout, is_list);
        if matches!(self.source, Source::Daemon(_)) && age > most {
            return Err(StoreError::Unavailable {
                reason: "what it knows is too old".into(),
            });
        }
        Ok(told)
    }

    fn reads_for_others(&self, edge: &Edge) -> bool {
        self.sources.reads_for_others(&edge.state.borrow().daemons)
    }

    /// Time to gather further changes: they often come in quick succession, and each call is paid
    /// for.
    fn gathering(&self, edge: &Edge) -> Duration {
        let limits = &edge.settings.limits;
        let tuning = &edge.settings.tuning;
        let bound = limits.config_within.min(limits.drain_within);
        let percent = if self.reads_for_others(edge) {
            tuning.reader_gather_percent
        } else {
            tuning.store_gather_percent
        };
        bound * percent / 100
    }

    async fn succeeded(&mut self, edge: &Edge, client: &StoreClient, told: Told) {
        let now = edge.now();
        if self.is_lost || self.answered_by != self.source {
            log::info!(source:% = name(&self.source), was_lost = self.is_lost; "store_source");
        }
        self.is_lost = false;
        self.pause = Duration::ZERO;
        self.answered_by = self.source.clone();
        let is_first_list = !edge.state.borrow().has_loaded_targets;
        let items = self.take_in(edge, now, told);
        self.had_news = !items.is_empty();
        for fact in items.iter().filter_map(client.decode) {
            apply(edge, now, fact, is_first_list);
        }
        if is_first_list {
            let state = edge.state.borrow();
            log::info!(
                source:% = name(&self.source),
                targets = state.directory.targets().len() as u64,
                daemons = state.daemons.len() as u64,
                revision = self.revision;
                "everything_listed"
            );
        }
        if self.had_news {
            edge.store_changed.notify_waiters();
            if self.source == Source::Store {
                tokio::time::sleep(self.gathering(edge)).await;
            }
        }
    }

    /// Returns what is new.
    fn take_in(&mut self, edge: &Edge, now: Moment, told: Told) -> Vec<StoreItem> {
        let mut state = edge.state.borrow_mut();
        let gap = state.freshness.age(now).unwrap_or_default();
        let away = gap.saturating_sub(usual_age(edge));
        state.freshness.confirm(told.known_at.min(now));
        state.directory.store_recovered(now, away);
        state.has_loaded_targets = true;
        let items = if self.revision.is_none() {
            let listed = state.mirror.replace(told.items, told.revision);
            listed.unwrap_or_default()
        } else {
            state.mirror.apply(told.items, told.revision)
        };
        self.revision = state.mirror.revision();
        items
    }

    async fn failed(&mut self, edge: &Edge, error: &StoreError) {
        if *error == StoreError::HistoryGone {
            log::info!(source:% = name(&self.source), revision = self.revision; "store_history_gone");
            if self.revision.take().is_some() {
                return;
            }
        }
        let now = edge.now();
        if !self.is_lost {
            log::warn!(
                source:% = name(&self.source),
                error:%,
                store_age_ms = edge.config_age().map(millis);
                "store_lost"
            );
        }
        self.is_lost = true;
        if self.may_be_starting(now) {
            tokio::time::sleep(FIRST_PAUSE).await;
            return;
        }
        self.sources.record_failure(now, self.source.clone());
        let next = self.sources.choose(now, &edge.state.borrow().daemons);
        if next == self.source {
            self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
            tokio::time::sleep(self.pause).await;
        }
    }
}

fn name(source: &Source) -> &str {
    match source {
        Source::Store => "store",
        Source::Daemon(daemon) => &daemon.id,
    }
}
