//! Fetches store content from a source and dates the answer by this daemon's clock.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::ToCompactString;
use lapismoor_core::Moment;
use lapismoor_core::ids::StoreRevision;
use lapismoor_core::membership::{Source, StoreItem};
use lapismoor_mirror::{MirrorAnswer, MirrorClient, MirrorError};

use super::client::{Changes, StoreClient, StoreError};
use crate::context::Edge;

/// Answer of a source.
pub(super) struct SourceAnswer {
    pub items: Vec<StoreItem>,
    pub revision: StoreRevision,
    /// Latest moment at which the store is known to have had this state.
    pub known_at: Moment,
}

/// Fetches from sources; keeps the connection to the last daemon used.
pub(super) struct SourceClient {
    client: StoreClient,
    mirror: Option<(SocketAddr, Rc<MirrorClient>)>,
}

impl SourceClient {
    pub(super) fn new(client: StoreClient) -> Self {
        Self {
            client,
            mirror: None,
        }
    }

    /// Fetches everything, or the changes after a revision, for which it waits at most `wait`.
    pub(super) async fn fetch(
        &mut self,
        edge: &Edge,
        source: &Source,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<SourceAnswer, StoreError> {
        let tuning = &edge.settings.tuning;
        let limit = match (after, source) {
            (None, _) => tuning.list_timeout,
            (Some(_), Source::Store) => wait + tuning.store_timeout,
            (Some(_), Source::Daemon(_)) => wait + tuning.mirror_timeout,
        };
        let fetching = async {
            match source {
                Source::Store => self.fetch_from_store(edge, after, wait).await,
                Source::Daemon(daemon) => {
                    self.fetch_from_daemon(edge, daemon.address, after, wait)
                        .await
                }
            }
        };
        let result = tokio::time::timeout(limit, fetching).await;
        let result = result.unwrap_or(Err(StoreError::Unanswered));
        let source_kind = match source {
            Source::Store => "store",
            Source::Daemon(_) => "daemon",
        };
        edge.metrics.count_store_call(source_kind, result.is_ok());
        if result.is_err() {
            self.disconnect(edge);
        }
        result
    }

    async fn fetch_from_store(
        &self,
        edge: &Edge,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<SourceAnswer, StoreError> {
        let sent_at = edge.now();
        let call = match after {
            None => (self.client.list)(),
            Some(revision) => (self.client.watch)(revision, wait),
        };
        let Changes { items, revision } = call.await?;
        // The store sends an empty answer only at the end of the wait, so the state was current
        // then.
        let is_unchanged = after.is_some() && items.is_empty();
        let held = if is_unchanged { wait } else { Duration::ZERO };
        Ok(SourceAnswer {
            items,
            revision,
            known_at: sent_at + held,
        })
    }

    async fn fetch_from_daemon(
        &mut self,
        edge: &Edge,
        address: SocketAddr,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<SourceAnswer, StoreError> {
        let sent_at = edge.now();
        let mirror = self.mirror_client(edge, address).await?;
        let answer = match after {
            None => mirror.list().await,
            Some(revision) => mirror.watch(revision, wait).await,
        };
        let MirrorAnswer {
            items,
            revision,
            age,
            held,
        } = answer.map_err(|error| to_store_error(&error))?;
        Ok(SourceAnswer {
            items,
            revision,
            known_at: (sent_at + held).saturating_sub(age),
        })
    }

    async fn mirror_client(
        &mut self,
        edge: &Edge,
        address: SocketAddr,
    ) -> Result<Rc<MirrorClient>, StoreError> {
        if let Some((connected_to, mirror)) = &self.mirror
            && *connected_to == address
        {
            return Ok(Rc::clone(mirror));
        }
        self.disconnect(edge);
        let connected = MirrorClient::connect(address, edge.peer_bytes.clone()).await;
        let mirror = Rc::new(connected.map_err(|error| to_store_error(&error))?);
        edge.collector.replace(Some(Rc::clone(&mirror)));
        self.mirror = Some((address, Rc::clone(&mirror)));
        Ok(mirror)
    }

    fn disconnect(&mut self, edge: &Edge) {
        self.mirror = None;
        edge.collector.replace(None);
    }
}

fn to_store_error(error: &MirrorError) -> StoreError {
    match error {
        MirrorError::HistoryUnavailable => StoreError::HistoryGone,
        other => unavailable(other),
    }
}

fn unavailable(reason: &impl ToCompactString) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_compact_string(),
    }
}
