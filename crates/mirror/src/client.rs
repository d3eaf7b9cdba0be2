//! Client of the mirror protocol: reads the key-value store through another daemon.

use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use lapismoor_core::admission::target_limits::{PermitAnswer, PermitRequest, TargetLimit};
use lapismoor_core::ids::{StoreRevision, StreamKey};
use lapismoor_core::membership::StoreItem;
use lapismoor_core::membership::versions::ServiceHash;
use lapismoor_core::routing::{FleetSample, Observations};
use lapismoor_core::stream::{StreamLookup, StreamOrigin};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::MirrorAnswer;
use crate::counted::{ByteCounter, CountedStream};
use crate::items::{read_items, write_items};
use crate::limits::{self, write_limits, write_request};
use crate::mirror_capnp::{answer, store_mirror};
use crate::observations::{read_sample, write_observations};
use crate::streams::write_streams;

/// Timeout for a new connection; daemons that serve each other are in one region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest answer that is read, in 8-byte words; exceeds a page of the store.
const MAX_ANSWER_WORDS: usize = 4 << 20;

/// Why reading from another daemon failed.
#[derive(Debug, Snafu)]
pub enum MirrorError {
    /// The connection could not be set up.
    #[snafu(display("cannot connect to daemon at {address}: {source}; trying another source"))]
    Connect {
        /// Daemon that was dialed.
        address: SocketAddr,
        /// Error of the socket.
        source: std::io::Error,
    },
    /// The connection was not set up within the timeout.
    #[snafu(display("connecting to daemon at {address} timed out; trying another source"))]
    ConnectTimeout {
        /// Daemon that was dialed.
        address: SocketAddr,
    },
    /// The call failed, or its answer is malformed.
    #[snafu(display("call to daemon failed: {source}; trying another source"))]
    Call {
        /// Error of the RPC system.
        source: capnp::Error,
    },
    /// The daemon has not read the store yet, or no longer has all changes after the requested
    /// revision.
    #[snafu(display("the daemon lacks the requested history; everything is read again"))]
    HistoryUnavailable,
}

/// Connection to another daemon; closed on drop.
pub struct MirrorClient {
    mirror: store_mirror::Client,
    rpc_task: tokio::task::JoinHandle<()>,
}

impl Drop for MirrorClient {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

impl MirrorClient {
    /// Connects and adds the bytes exchanged to `counter`. Must run within a
    /// [`LocalSet`](tokio::task::LocalSet).
    ///
    /// # Errors
    /// [`MirrorError::Connect`] or [`MirrorError::ConnectTimeout`] if the daemon is unreachable.
    pub async fn connect(address: SocketAddr, counter: ByteCounter) -> Result<Self, MirrorError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let Ok(connected) = connecting.await else {
            return ConnectTimeoutSnafu { address }.fail();
        };
        let stream = connected.context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let counted_stream = CountedStream::new(stream.compat(), counter);
        let (reader, writer) = futures::AsyncReadExt::split(counted_stream);
        let mut options = capnp::message::ReaderOptions::default();
        options.traversal_limit_in_words(Some(MAX_ANSWER_WORDS));
        let network =
            twoparty::VatNetwork::new(reader, writer, rpc_twoparty_capnp::Side::Client, options);
        let mut rpc_system = RpcSystem::new(Box::new(network), None);
        let mirror = rpc_system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let rpc_task = tokio::task::spawn_local(async move {
            // The error is dropped because each pending call fails with its own.
            drop(rpc_system.await);
        });
        Ok(Self { mirror, rpc_task })
    }

    /// Reads all items that the daemon holds.
    ///
    /// # Errors
    /// [`MirrorError::Call`] if the call fails; [`MirrorError::HistoryUnavailable`] if the daemon
    /// has not read the store yet.
    pub async fn list(&self) -> Result<MirrorAnswer, MirrorError> {
        let call = self.mirror.list_request();
        let response = call.send().promise.await.context(CallSnafu)?;
        let results = response.get().context(CallSnafu)?;
        read_answer(results.get_answer().context(CallSnafu)?)
    }

    /// Waits up to `wait` for changes after a revision; returns no items if there are none by then.
    ///
    /// # Errors
    /// [`MirrorError::Call`] if the call fails; [`MirrorError::HistoryUnavailable`] if the daemon
    /// no longer has all changes after the revision.
    pub async fn watch(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<MirrorAnswer, MirrorError> {
        let mut call = self.mirror.watch_request();
        call.get().set_after(after.number);
        call.get().set_era(after.era);
        call.get()
            .set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        let response = call.send().promise.await.context(CallSnafu)?;
        let results = response.get().context(CallSnafu)?;
        read_answer(results.get_answer().context(CallSnafu)?)
    }

    /// Reports records that may not be in the store yet.
    ///
    /// # Errors
    /// [`MirrorError::Call`] if the call fails.
    pub async fn report(&self, records: &[StoreItem]) -> Result<(), MirrorError> {
        let mut call = self.mirror.report_request();
        let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
        write_items(records, call.get().init_items(count));
        call.send().promise.await.context(CallSnafu)?;
        Ok(())
    }

    /// Reports observations, and returns what the daemon has learned from all that report to it in
    /// the time `since` the last call.
    ///
    /// # Errors
    /// [`MirrorError::Call`] if the call fails.
    pub async fn exchange(
        &self,
        observations: &Observations,
        since: Duration,
    ) -> Result<FleetSample, MirrorError> {
        let mut call = self.mirror.exchange_request();
        write_observations(observations, call.get().init_observations());
        call.get()
            .set_since_ms(u32::try_from(since.as_millis()).unwrap_or(u32::MAX));
        let response = call.send().promise.await.context(CallSnafu)?;
        let results = response.get().context(CallSnafu)?;
        read_sample(results.get_sample().context(CallSnafu)?).context(CallSnafu)
    }

    /// Asks for a permit to send one request to a target with a limit.
    ///
    /// # Errors
    /// [`MirrorError::Call`] if the call fails.
    pub async fn take_permit(&self, request: &PermitRequest) -> Result<PermitAnswer, MirrorError> {
        let mut call = self.mirror.take_permit_request();
        write_request(request, call.get().init_request());
        let response = call.send().promise.await.context(CallSnafu)?;
        let results = response.get().context(CallSnafu)?;
        limits::read_answer(results.get_answer().context(CallSnafu)?).context(CallSnafu)
    }

    /// Tells limits of targets that have changed.
    ///
    /// # Errors
    /// [`MirrorError::Call`] if the call fails.
    pub async fn tell_limits(&self, limits: &[TargetLimit]) -> Result<(), MirrorError> {
        let mut call = self.mirror.tell_limits_request();
        let count = u32::try_from(limits.len()).unwrap_or(u32::MAX);
        write_limits(limits, call.get().init_limits(count));
        call.send().promise.await.context(CallSnafu)?;
        Ok(())
    }

    /// Tells where streams have begun. If they are relayed, the daemon writes them to the store.
    ///
    /// # Errors
    /// [`MirrorError::Call`] if the call fails.
    pub async fn tell_streams(
        &self,
        streams: &[StreamOrigin],
        are_relayed: bool,
    ) -> Result<(), MirrorError> {
        let mut call = self.mirror.tell_streams_request();
        call.get().set_are_relayed(are_relayed);
        let count = u32::try_from(streams.len()).unwrap_or(u32::MAX);
        write_streams(streams, call.get().init_streams(count));
        call.send().promise.await.context(CallSnafu)?;
        Ok(())
    }

    /// Asks for the software version that began a stream of a service.
    ///
    /// # Errors
    /// [`MirrorError::Call`] if the call fails.
    pub async fn find_stream(
        &self,
        stream: StreamKey,
        service: ServiceHash,
    ) -> Result<StreamLookup, MirrorError> {
        let mut call = self.mirror.find_stream_request();
        call.get().set_stream(stream);
        call.get().set_service(service);
        let response = call.send().promise.await.context(CallSnafu)?;
        let results = response.get().context(CallSnafu)?;
        Ok(StreamLookup {
            version: results.get_is_known().then(|| results.get_version()),
            are_several: results.get_are_several(),
        })
    }
}

fn read_answer(answer: answer::Reader<'_>) -> Result<MirrorAnswer, MirrorError> {
    if !answer.get_is_known() {
        return HistoryUnavailableSnafu.fail();
    }
    let items = answer.get_items().context(CallSnafu)?;
    Ok(MirrorAnswer {
        items: read_items(items).context(CallSnafu)?,
        revision: StoreRevision {
            era: answer.get_era(),
            number: answer.get_revision(),
        },
        age: Duration::from_millis(answer.get_age_ms()),
        held: Duration::from_millis(answer.get_held_ms()),
    })
}
