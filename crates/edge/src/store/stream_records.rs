//! Writes the unfinished streams of the fleet to the store while targets of several versions serve,
//! so that streams can go on after all daemons have ended.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::membership::{DaemonRecord, store_readers};
use lapismoor_core::store::{StoreAnswer, StoreFailure, StoreRequest};
use lapismoor_core::stream::StreamOrigin;
use lapismoor_core::stream::origins::{encode_streams, record_writers, streams_record_key};

use super::records;
use crate::context::Edge;

/// Interval at which streams are relayed and written.
const RECORD_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which the record is attached to one lease.
const LEASE_ROTATION: Duration = Duration::from_mins(1);
/// Pause after a failure of the store.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Relays the unfinished streams of this daemon, and those that were relayed to it, to the daemon
/// that writes them, or writes them, for as long as the daemon runs. Daemons that read the store
/// through others send theirs along with their observations.
pub(crate) async fn record_streams(edge: Rc<Edge>) {
    let mut written = Vec::new();
    let mut is_failing = false;
    loop {
        let pause = if is_failing {
            FAILURE_PAUSE
        } else {
            RECORD_INTERVAL
        };
        tokio::time::sleep(pause).await;
        let Some((streams, preferred)) = streams_and_writers(&edge) else {
            continue;
        };
        if relay(&edge, &preferred, &streams).await {
            continue;
        }
        let keys: Vec<u64> = streams.iter().map(|origin| origin.stream).collect();
        if keys == written {
            continue;
        }
        let result = write(&edge, encode_streams(&streams)).await;
        if let Err(failure) = &result
            && !is_failing
        {
            let streams = keys.len() as u64;
            log::info!(streams, reason:% = failure.reason; "streams_not_recorded");
        }
        is_failing = result.is_err();
        if !is_failing {
            written = keys;
        }
    }
}

/// The streams that are to be written, and the daemons that write them rather than this one; `None`
/// if other daemons send the streams of this one.
fn streams_and_writers(edge: &Edge) -> Option<(Vec<StreamOrigin>, Vec<DaemonRecord>)> {
    let state = edge.state.borrow();
    let own = &edge.settings.daemon;
    let mut readers = store_readers(&state.daemons).into_iter();
    if !readers.any(|reader| reader.id == *own) {
        return None;
    }
    let writers = record_writers(&state.daemons).into_iter();
    let preferred = writers.take_while(|writer| writer.id != *own).cloned();
    Some((state.streams_to_record(edge.now()), preferred.collect()))
}

/// Relays streams to the first of the daemons that takes them; false if none did.
async fn relay(edge: &Edge, preferred: &[DaemonRecord], streams: &[StreamOrigin]) -> bool {
    if streams.is_empty() {
        return !preferred.is_empty();
    }
    for writer in preferred {
        if edge.relay_streams(writer, streams).await {
            return true;
        }
    }
    false
}

async fn write(edge: &Edge, value: Vec<u8>) -> Result<(), StoreFailure> {
    let ttl = edge.state.borrow().max_stream_lifetime() + LEASE_ROTATION;
    let lease = edge.streams_lease.get(edge, ttl, LEASE_ROTATION).await?;
    let request = StoreRequest::Put {
        key: streams_record_key(&edge.settings.daemon, edge.incarnation()),
        value: value.into(),
        lease,
    };
    match records::call(edge, request).await? {
        StoreAnswer::Swapped => Ok(()),
        unexpected => {
            edge.streams_lease.forget();
            let reason = format!("unexpected answer to a write: {unexpected:?}").into();
            Err(StoreFailure { reason })
        }
    }
}
