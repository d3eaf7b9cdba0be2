//! Tells other daemons what this one knows of the store.

use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::future::LocalBoxFuture;
use lapismoor_core::ids::StoreRevision;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::MirrorAnswer;
use crate::counted::{ByteCounter, Counted};
use crate::mirror_capnp::{answer, store_mirror};

/// Pause after a connection could not be accepted; descriptors may be free again then.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An answer; none if the daemon does not know what was asked for.
pub type Telling = LocalBoxFuture<'static, Option<MirrorAnswer>>;

/// What the daemon knows.
#[derive(Clone)]
pub struct MirrorSource {
    /// Everything.
    pub list: Rc<dyn Fn() -> Telling>,
    /// Changes after a position, with the longest wait for them.
    pub watch: Rc<dyn Fn(StoreRevision, Duration) -> Telling>,
}

/// Accepts connections of other daemons. Must run on a local task set.
pub async fn serve(
    listener: TcpListener,
    source: MirrorSource,
    on_error: fn(&std::io::Error),
    count: ByteCounter,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    on_error(&error);
                }
                tokio::task::spawn_local(converse(stream, source.clone(), count.clone()));
            }
            Err(error) => {
                on_error(&error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(stream: TcpStream, source: MirrorSource, count: ByteCounter) {
    let counted = Counted::new(stream.compat(), count);
    let (reader, writer) = futures::AsyncReadExt::split(counted);
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        rpc_twoparty_capnp::Side::Server,
        capnp::message::ReaderOptions::default(),
    );
    let server: store_mirror::Client = capnp_rpc::new_client(MirrorServer { source });
    // The connection ends when the other daemon goes, in order or not; it asks again if it lives.
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
        let told = (self.source.list)().await;
        write(told, results.get().init_answer())
    }

    async fn watch(
        self: Rc<Self>,
        params: store_mirror::WatchParams,
        mut results: store_mirror::WatchResults,
    ) -> capnp::Result<()> {
        let asked = params.get()?;
        let wait = Duration::from_millis(asked.get_wait_ms().into());
        let told = (self.source.watch)(asked.get_after(), wait).await;
        write(told, results.get().init_answer())
    }
}

fn write(told: Option<MirrorAnswer>, mut out: answer::Builder<'_>) -> capnp::Result<()> {
    let Some(told) = told else {
        return Ok(());
    };
    let count = u32::try_from(told.items.len())
        .map_err(|_| capnp::Error::failed("too many items for one answer".into()))?;
    out.set_is_known(true);
    out.set_revision(told.revision);
    out.set_age_ms(millis(told.age) + 1);
    out.set_held_ms(millis(told.held));
    let mut items = out.init_items(count);
    for (position, item) in (0..count).zip(&told.items) {
        let mut entry = items.reborrow().get(position);
        entry.set_key(item.key.as_str());
        match &item.value {
            Some(value) => entry.set_value(value),
            None => entry.set_is_removed(true),
        }
    }
    Ok(())
}

/// Rounded down for the time held; the age is told with a millisecond more, so that knowledge
/// never seems younger than it is.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
