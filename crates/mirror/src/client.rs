//! Asks another daemon what it knows of the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use lapismoor_core::ids::StoreRevision;
use lapismoor_core::membership::StoreItem;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::MirrorAnswer;
use crate::counted::{ByteCounter, Counted};
use crate::mirror_capnp::{answer, store_mirror};

/// Time for a new connection within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest answer: a page of the store and more, in words of 8 bytes.
const MAX_ANSWER_WORDS: usize = 4 << 20;

/// Why another daemon told nothing.
#[derive(Debug, Snafu)]
pub enum MirrorError {
    /// No connection came about.
    #[snafu(display("cannot connect to daemon at {address}: {source}; another one is asked"))]
    Connect {
        /// Address of the daemon.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// No connection came about in time.
    #[snafu(display("daemon at {address} does not answer; another one is asked"))]
    Silent {
        /// Address of the daemon.
        address: SocketAddr,
    },
    /// The call failed.
    #[snafu(display("daemon broke off: {source}; another one is asked"))]
    Call {
        /// Why.
        source: capnp::Error,
    },
    /// The daemon does not know what was asked for.
    #[snafu(display("the daemon does not know; everything is read again"))]
    HistoryUnavailable,
}

/// A connection to another daemon.
pub struct MirrorClient {
    mirror: store_mirror::Client,
    system: tokio::task::JoinHandle<()>,
}

impl Drop for MirrorClient {
    fn drop(&mut self) {
        self.system.abort();
    }
}

impl MirrorClient {
    /// Connects; `count` counts the bytes exchanged. Must run on a local task set.
    ///
    /// # Errors
    /// [`MirrorError`] when the daemon cannot be reached.
    pub async fn connect(address: SocketAddr, count: ByteCounter) -> Result<Self, MirrorError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let Ok(connected) = connecting.await else {
            return SilentSnafu { address }.fail();
        };
        let stream = connected.context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let counted = Counted::new(stream.compat(), count);
        let (reader, writer) = futures::AsyncReadExt::split(counted);
        let mut options = capnp::message::ReaderOptions::default();
        options.traversal_limit_in_words(Some(MAX_ANSWER_WORDS));
        let network =
            twoparty::VatNetwork::new(reader, writer, rpc_twoparty_capnp::Side::Client, options);
        let mut system = RpcSystem::new(Box::new(network), None);
        let mirror = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let system = tokio::task::spawn_local(async move {
            // Calls on a connection that ended fail by themselves.
            drop(system.await);
        });
        Ok(Self { mirror, system })
    }

    /// Everything that the daemon knows.
    ///
    /// # Errors
    /// [`MirrorError`] when it tells nothing.
    pub async fn list(&self) -> Result<MirrorAnswer, MirrorError> {
        let call = self.mirror.list_request();
        let response = call.send().promise.await.context(CallSnafu)?;
        let results = response.get().context(CallSnafu)?;
        read(results.get_answer().context(CallSnafu)?)
    }

    /// Changes after a position; none after the wait.
    ///
    /// # Errors
    /// [`MirrorError`] when it tells nothing.
    pub async fn watch(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<MirrorAnswer, MirrorError> {
        let mut call = self.mirror.watch_request();
        call.get().set_after(after);
        call.get()
            .set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        let response = call.send().promise.await.context(CallSnafu)?;
        let results = response.get().context(CallSnafu)?;
        read(results.get_answer().context(CallSnafu)?)
    }
}

fn read(answer: answer::Reader<'_>) -> Result<MirrorAnswer, MirrorError> {
    if !answer.get_is_known() {
        return HistoryUnavailableSnafu.fail();
    }
    let mut items = Vec::new();
    for item in answer.get_items().context(CallSnafu)? {
        let key = item.get_key().context(CallSnafu)?;
        let key = key
            .to_str()
            .map_err(capnp::Error::from)
            .context(CallSnafu)?;
        let value = item.get_value().context(CallSnafu)?;
        let is_removed = item.get_is_removed();
        items.push(StoreItem {
            key: key.into(),
            value: (!is_removed).then(|| Bytes::copy_from_slice(value)),
        });
    }
    Ok(MirrorAnswer {
        items,
        revision: answer.get_revision(),
        age: Duration::from_millis(answer.get_age_ms()),
        held: Duration::from_millis(answer.get_held_ms()),
    })
}
