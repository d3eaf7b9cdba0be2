//! Server of the mirror protocol: serves this daemon's copy of the store to other daemons.

use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::future::LocalBoxFuture;
use futures::io::Cursor;
use lapismoor_core::admission::target_limits::{PermitAnswer, PermitRequest, TargetLimit};
use lapismoor_core::ids::{StoreRevision, StreamKey};
use lapismoor_core::membership::StoreItem;
use lapismoor_core::membership::versions::ServiceHash;
use lapismoor_core::routing::{FleetSample, Observations};
use lapismoor_core::stream::{StreamLookup, StreamOrigin};
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::sync::CancellationToken;

use crate::MirrorAnswer;
use crate::counted::{ByteCounter, CountedStream};
use crate::items::{read_items, write_items};
use crate::limits::{self, read_limits, read_request};
use crate::mirror_capnp::{answer, store_mirror};
use crate::observations::{read_observations, write_sample};
use crate::relay::{RELAY_MARK, RelayCall};
use crate::streams::read_streams;

/// Time within which another daemon sends the first bytes of its first call.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, so that file descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answer to a call; `None` if the daemon cannot give all that was asked for.
pub type AnswerFuture = LocalBoxFuture<'static, Option<MirrorAnswer>>;

/// Access to the daemon's copy of the store.
#[derive(Clone)]
pub struct MirrorSource {
    /// Returns all items.
    pub list: Rc<dyn Fn() -> AnswerFuture>,
    /// Returns the changes after a revision; waits up to the given time for some.
    pub watch: Rc<dyn Fn(StoreRevision, Duration) -> AnswerFuture>,
    /// Takes records of another daemon that may not be in the store yet.
    pub report: Rc<dyn Fn(Vec<StoreItem>)>,
    /// Merges observations of another daemon, and returns what this one learned in the given time.
    pub exchange: Rc<dyn Fn(Observations, Duration) -> FleetSample>,
    /// Decides on a permit for a request of another daemon.
    pub take_permit: Rc<dyn Fn(PermitRequest) -> PermitAnswer>,
    /// Merges limits that another daemon learned.
    pub tell_limits: Rc<dyn Fn(Vec<TargetLimit>)>,
    /// Keeps where another daemon has begun streams; the flag tells whether they are relayed.
    pub tell_streams: Rc<dyn Fn(Vec<StreamOrigin>, bool)>,
    /// Finds the software version that began a stream of a service.
    pub find_stream: Rc<dyn Fn(StreamKey, ServiceHash) -> StreamLookup>,
    /// Opens a connection to a target for another daemon and forwards it up to its end.
    pub relay: Rc<dyn Fn(RelayCall) -> LocalBoxFuture<'static, ()>>,
}

/// The place of a connection among those of other daemons, given back when dropped.
pub struct PeerPlace {
    /// Cancelled when the connection has to give way to others.
    pub closed: CancellationToken,
    /// Called when the other daemon has sent its first bytes; the connection does not give way from then on.
    pub begin: Box<dyn Fn()>,
}

/// Accepts connections from other daemons forever and adds the bytes exchanged to `counter`. A connection for which
/// `open` returns no place is closed. Must run within a [`LocalSet`](tokio::task::LocalSet).
pub async fn serve(
    listener: TcpListener,
    source: MirrorSource,
    on_error: fn(&std::io::Error),
    open: impl Fn() -> Option<PeerPlace>,
    counter: ByteCounter,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(place) = open() else {
                    continue;
                };
                if let Err(error) = stream.set_nodelay(true) {
                    on_error(&error);
                }
                let closed = place.closed.clone();
                let serving = serve_connection(stream, source.clone(), counter.clone(), place);
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        biased;
                        () = closed.cancelled() => {}
                        () = serving => {}
                    }
                });
            }
            Err(error) => {
                on_error(&error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves calls, or forwards a connection: the first bytes tell which of them is asked for.
async fn serve_connection(
    mut stream: TcpStream,
    source: MirrorSource,
    counter: ByteCounter,
    place: PeerPlace,
) {
    let mut first_bytes = [0; RELAY_MARK.len()];
    let reading = stream.read_exact(&mut first_bytes);
    // A connection that ends before its first message is that of a daemon that left.
    if !matches!(
        tokio::time::timeout(FIRST_BYTES_TIMEOUT, reading).await,
        Ok(Ok(_))
    ) {
        return;
    }
    (place.begin)();
    if first_bytes == RELAY_MARK {
        if let Some(call) = RelayCall::read(stream, counter).await {
            (source.relay)(call).await;
        }
        return;
    }
    let counted_stream = CountedStream::new(stream.compat(), counter);
    let (reader, writer) = futures::AsyncReadExt::split(counted_stream);
    let reader = futures::AsyncReadExt::chain(Cursor::new(first_bytes), reader);
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        rpc_twoparty_capnp::Side::Server,
        capnp::message::ReaderOptions::default(),
    );
    let server: store_mirror::Client = capnp_rpc::new_client(MirrorServer { source });
    // Errors are dropped: the client reconnects if it still needs the data.
    drop(RpcSystem::new(Box::new(network), Some(server.client)).await);
}

struct MirrorServer {
    source: MirrorSource,
}

impl store_mirror::Server for MirrorServer {
    async fn list(
        self: Rc<Self>,
        _: store_mirror::ListParams,
        mut results: store_mirror::ListResults,
    ) -> capnp::Result<()> {
        let answer = (self.source.list)().await;
        write_answer(answer, results.get().init_answer())
    }

    async fn watch(
        self: Rc<Self>,
        params: store_mirror::WatchParams,
        mut results: store_mirror::WatchResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        let wait = Duration::from_millis(request.get_wait_ms().into());
        let after = StoreRevision {
            era: request.get_era(),
            number: request.get_after(),
        };
        let answer = (self.source.watch)(after, wait).await;
        write_answer(answer, results.get().init_answer())
    }

    async fn report(
        self: Rc<Self>,
        params: store_mirror::ReportParams,
        _: store_mirror::ReportResults,
    ) -> capnp::Result<()> {
        let items = params.get()?.get_items()?;
        if items.len() > MAX_REPORTED {
            return Err(capnp::Error::failed(
                "too many records in one report".into(),
            ));
        }
        (self.source.report)(read_items(items)?);
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: store_mirror::ExchangeParams,
        mut results: store_mirror::ExchangeResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        let observations = read_observations(request.get_observations()?)?;
        let since = Duration::from_millis(request.get_since_ms().into());
        let sample = (self.source.exchange)(observations, since);
        write_sample(&sample, results.get().init_sample());
        Ok(())
    }

    async fn take_permit(
        self: Rc<Self>,
        params: store_mirror::TakePermitParams,
        mut results: store_mirror::TakePermitResults,
    ) -> capnp::Result<()> {
        let request = read_request(params.get()?.get_request()?)?;
        let answer = (self.source.take_permit)(request);
        limits::write_answer(&answer, results.get().init_answer());
        Ok(())
    }

    async fn tell_limits(
        self: Rc<Self>,
        params: store_mirror::TellLimitsParams,
        _: store_mirror::TellLimitsResults,
    ) -> capnp::Result<()> {
        (self.source.tell_limits)(read_limits(params.get()?.get_limits()?));
        Ok(())
    }

    async fn tell_streams(
        self: Rc<Self>,
        params: store_mirror::TellStreamsParams,
        _: store_mirror::TellStreamsResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        let streams = request.get_streams()?;
        if streams.len() > MAX_STREAMS {
            return Err(capnp::Error::failed("too many streams in one call".into()));
        }
        (self.source.tell_streams)(read_streams(streams), request.get_are_relayed());
        Ok(())
    }

    async fn find_stream(
        self: Rc<Self>,
        params: store_mirror::FindStreamParams,
        mut results: store_mirror::FindStreamResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        let found = (self.source.find_stream)(request.get_stream(), request.get_service());
        results.get().set_is_known(found.version.is_some());
        results.get().set_version(found.version.unwrap_or_default());
        results.get().set_are_several(found.are_several);
        Ok(())
    }
}

/// Longest list of streams in one call.
const MAX_STREAMS: u32 = 4_096;
/// Longest list of reported records; a daemon reports one at a time.
const MAX_REPORTED: u32 = 64;

fn write_answer(answer: Option<MirrorAnswer>, mut out: answer::Builder<'_>) -> capnp::Result<()> {
    let Some(answer) = answer else {
        return Ok(());
    };
    let count = u32::try_from(answer.items.len())
        .map_err(|_| capnp::Error::failed("too many items for one answer".into()))?;
    out.set_is_known(true);
    out.set_revision(answer.revision.number);
    out.set_era(answer.revision.era);
    out.set_age_ms(millis(answer.age) + 1);
    out.set_held_ms(millis(answer.held));
    write_items(&answer.items, out.init_items(count));
    Ok(())
}

/// Rounds down. The age is sent plus one millisecond, so that data never seems fresher than it is.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
