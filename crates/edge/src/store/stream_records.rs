//! Writes the unfinished streams of daemons to the store while targets of several versions serve, so
//! that streams can go on after all daemons have ended.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::membership::{Sources, is_small_fleet};
use lapismoor_core::store::{StoreAnswer, StoreFailure, StoreRequest};
use lapismoor_core::stream::origins::{encode_streams, streams_record_key};

use super::records;
use crate::context::Edge;

/// Interval at which the streams of a daemon are written.
const RECORD_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which the record is attached to one lease.
const LEASE_ROTATION: Duration = Duration::from_mins(1);
/// Pause after a failure of the store.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Writes streams for as long as the daemon runs: its own in a small fleet, and those of the daemons
/// that read the store through it in a large one.
pub(crate) async fn record_streams(edge: Rc<Edge>) {
    let sources = Sources::new(edge.settings.daemon.clone(), edge.settings.domain.clone());
    let mut written = Vec::new();
    let mut is_failing = false;
    loop {
        let pause = if is_failing {
            FAILURE_PAUSE
        } else {
            RECORD_INTERVAL
        };
        tokio::time::sleep(pause).await;
        let streams = {
            let state = edge.state.borrow();
            let is_writer =
                is_small_fleet(&state.daemons) || sources.reads_for_others(&state.daemons);
            if is_writer {
                state.streams_to_record(edge.now())
            } else {
                Vec::new()
            }
        };
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
