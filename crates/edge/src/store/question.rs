//! One question to a source, and its answer in terms of this daemon's clock.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::ToCompactString;
use lapismoor_core::Moment;
use lapismoor_core::ids::StoreRevision;
use lapismoor_core::membership::{Source, StoreItem};
use lapismoor_mirror::{MirrorAnswer, MirrorClient, MirrorError};

use super::client::{Changes, StoreClient, StoreError};
use crate::context::Edge;

/// What a source told.
pub(super) struct Told {
    pub items: Vec<StoreItem>,
    pub revision: StoreRevision,
    /// Latest moment at which the store's state is known by this answer.
    pub known_at: Moment,
}

/// Asks sources; keeps the connection to the last daemon asked.
pub(super) struct Asker {
    client: StoreClient,
    mirror: Option<(SocketAddr, MirrorClient)>,
}

impl Asker {
    pub(super) fn new(client: StoreClient) -> Self {
        Self {
            client,
            mirror: None,
        }
    }

    /// Asks for everything, or for changes after a position.
    pub(super) async fn ask(
        &mut self,
        edge: &Edge,
        source: &Source,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<Told, StoreError> {
        let tuning = &edge.settings.tuning;
        let limit = match (after, source) {
            (None, _) => tuning.list_timeout,
            (Some(_), Source::Store) => wait + tuning.store_timeout,
            (Some(_), Source::Daemon(_)) => wait + tuning.mirror_timeout,
        };
        let asking = async {
            match source {
                Source::Store => self.ask_store(edge, after, wait).await,
                Source::Daemon(daemon) => self.ask_daemon(edge, daemon.address, after, wait).await,
            }
        };
        let result = tokio::time::timeout(limit, asking).await;
        let result = result.unwrap_or_else(|_| Err(unavailable(&"no answer in time")));
        let name = match source {
            Source::Store => "store",
            Source::Daemon(_) => "daemon",
        };
        edge.metrics.count_store_call(name, result.is_ok());
        if result.is_err() {
            self.mirror = None;
        }
        result
    }

    async fn ask_store(
        &self,
        edge: &Edge,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<Told, StoreError> {
        let asked_at = edge.now();
        let call = match after {
            None => (self.client.list)(),
            Some(revision) => (self.client.watch)(revision, wait),
        };
        let Changes { items, revision } = call.await?;
        // An answer without news was given at the end of the wait, with the state of that moment.
        let is_quiet = after.is_some() && items.is_empty();
        let held = if is_quiet { wait } else { Duration::ZERO };
        Ok(Told {
            items,
            revision,
            known_at: asked_at + held,
        })
    }

    async fn ask_daemon(
        &mut self,
        edge: &Edge,
        address: SocketAddr,
        after: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<Told, StoreError> {
        let asked_at = edge.now();
        let mirror = self.connected(edge, address).await?;
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
        Ok(Told {
            items,
            revision,
            known_at: (asked_at + held).saturating_sub(age),
        })
    }

    async fn connected(
        &mut self,
        edge: &Edge,
        address: SocketAddr,
    ) -> Result<&MirrorClient, StoreError> {
        let is_same = self
            .mirror
            .as_ref()
            .is_some_and(|(known, _)| *known == address);
        if !is_same {
            self.mirror = None;
            let connected = MirrorClient::connect(address, edge.peer_bytes.clone()).await;
            let mirror = connected.map_err(|error| to_store_error(&error))?;
            self.mirror = Some((address, mirror));
        }
        let connected = self.mirror.as_ref().map(|(_, mirror)| mirror);
        connected.ok_or_else(|| unavailable(&"no connection"))
    }
}

fn to_store_error(error: &MirrorError) -> StoreError {
    match error {
        MirrorError::NotKnown => StoreError::HistoryGone,
        other => unavailable(other),
    }
}

fn unavailable(reason: &impl ToCompactString) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_compact_string(),
    }
}
