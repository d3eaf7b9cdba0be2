//! Cost of telling where streams began, while targets of several versions serve, as the fleet grows
//! with its traffic.

use std::time::Instant;

use lapismoor_core::membership::{DaemonRecord, Sources, is_small_fleet};
use lapismoor_core::stream::origin_holders;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{count, daemon_record};

/// Streams that begin per second at one daemon.
const STREAMS_PER_S: f64 = 4.0;
/// Streams that are sampled for each daemon.
const SAMPLED_STREAMS: u32 = 20;
/// Times per second that a daemon writes its unfinished streams, if they have changed.
const RECORDS_PER_S: f64 = 1.0 / 0.3;

/// What one daemon does per second.
pub(super) struct StreamCost {
    /// Streams told to other daemons, mean of all daemons.
    pub(super) told_per_s: f64,
    /// Streams that the daemon is told that gets most.
    pub(super) most_told_per_s: f64,
    /// Other daemons to which a daemon has connections, at most.
    pub(super) peers: f64,
    /// Time to derive the daemons that hold a stream, in microseconds.
    pub(super) derive_us: f64,
    /// Records that all daemons write to the store.
    pub(super) records_per_s: f64,
}

/// Measures a fleet in which each daemon begins the same number of streams.
pub(super) fn measure(daemons: u16) -> StreamCost {
    let records: Vec<DaemonRecord> = (0..daemons).map(daemon_record).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut told = vec![0_u32; records.len()];
    let streams: Vec<u64> = (0..u32::from(daemons) * SAMPLED_STREAMS)
        .map(|_| rng.random())
        .collect();
    let began_at = Instant::now();
    let mut calls = 0_u32;
    for (stream, own) in streams.iter().zip((0..records.len()).cycle()) {
        for holder in origin_holders(*stream, &records) {
            if holder.id != records[own].id {
                calls += 1;
                let position = records.iter().position(|record| record == holder);
                told[position.unwrap_or_default()] += 1;
            }
        }
    }
    let derive_us = began_at.elapsed().as_secs_f64() * 1e6 / count(streams.len());
    let seconds = f64::from(SAMPLED_STREAMS) / STREAMS_PER_S;
    let writers = records.iter().filter(|record| {
        let sources = Sources::new(record.id.clone(), record.domain.clone());
        is_small_fleet(&records) || sources.reads_for_others(&records)
    });
    let most = told.iter().max().copied().unwrap_or_default();
    StreamCost {
        told_per_s: f64::from(calls) / f64::from(daemons) / seconds,
        most_told_per_s: f64::from(most) / seconds,
        peers: count(told.iter().filter(|told| **told > 0).count()),
        derive_us,
        records_per_s: count(writers.count()) * RECORDS_PER_S,
    }
}
