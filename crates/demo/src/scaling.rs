//! Measures the CPU time, memory and control traffic of a daemon in fleets of different sizes.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use lapismoor_core::config::Config;
use lapismoor_edge::Status;
use serde::Deserialize;

use crate::caller::{Balancer, RequestOutcome, RequestReport};
use crate::fleet::Fleet;
use crate::fleet_size::FleetSize;
use crate::load::{LoadGenerator, LoadPlan};
use crate::resource_usage::ResourceUsage;

/// Time to wait after the start of a fleet, before the idle measurement.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Duration of one measurement.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(8);
/// Rate of the load, per daemon.
const REQUESTS_PER_SECOND_PER_DAEMON: usize = 4;

/// Cumulative usage counters of all daemons and of the store at one time.
struct Sample {
    taken_at: Instant,
    statuses: Vec<Option<Status>>,
    usages: Vec<ResourceUsage>,
    store: StoreCounts,
}

/// Calls that the store has received since its start.
#[derive(Deserialize)]
struct StoreCounts {
    reads: u64,
    writes: u64,
}

/// Mean usage of a daemon between two samples.
struct DaemonUsage {
    peer_bytes_per_second: f64,
    store_bytes_per_second: f64,
    cpu_percent: f64,
    resident_mib: f64,
}

/// Measures fleets with each of the numbers of `daemons`, idle and under load, and prints the mean
/// and maximum usage of their daemons.
///
/// # Errors
/// If a fleet cannot be started or measured.
pub async fn run(directory: &Path, daemons: &[usize], config: &Config) -> io::Result<()> {
    println!(
        "{:>7} {:>6} {:>11} {:>11} {:>7} {:>8} | {:>11} {:>7} {:>8} | {:>8} {:>8}",
        "DAEMONS",
        "LOAD/s",
        "PEER B/s",
        "STORE B/s",
        "CPU %",
        "RSS MB",
        "MAX B/s",
        "CPU %",
        "RSS MB",
        "READS/s",
        "WRITES/s"
    );
    for count in daemons {
        let size = FleetSize {
            daemons: *count,
            ..FleetSize::midshire()
        };
        let directory = directory.join(format!("fleet-{count}"));
        let program = std::env::current_exe()?;
        let fleet = Fleet::start(&program, &directory, &size, config).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let before = sample(&fleet).await?;
        tokio::time::sleep(MEASUREMENT_PERIOD).await;
        print_row(*count, 0, &before, &sample(&fleet).await?);
        measure_under_load(&fleet, &size, config).await?;
    }
    Ok(())
}

async fn measure_under_load(fleet: &Fleet, size: &FleetSize, config: &Config) -> io::Result<()> {
    let rate = size.daemons * REQUESTS_PER_SECOND_PER_DAEMON;
    let seconds = usize::try_from(MEASUREMENT_PERIOD.as_secs()).unwrap_or(1) + 4;
    let plan = LoadPlan {
        chats: rate * seconds,
        turns: 1,
        ramp_up: MEASUREMENT_PERIOD + Duration::from_secs(4),
        max_think_time: Duration::ZERO,
        billed_calls: 0,
        ..LoadPlan::new(config, size)
    };
    let balancer = Balancer::new(fleet.caller_addresses());
    let load = LoadGenerator::start(&plan, &balancer);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = sample(fleet).await?;
    tokio::time::sleep(MEASUREMENT_PERIOD).await;
    let after = sample(fleet).await?;
    let reports = load.finish().await;
    print_row(size.daemons, rate, &before, &after);
    let is_incomplete = |report: &&RequestReport| report.outcome != RequestOutcome::Whole;
    let incomplete = reports.chats.iter().filter(is_incomplete).count();
    if incomplete > 0 {
        println!(
            "{:7} {incomplete} of {} chats had no complete response",
            size.daemons,
            reports.chats.len()
        );
    }
    Ok(())
}

async fn sample(fleet: &Fleet) -> io::Result<Sample> {
    let ids = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.process.id().to_string());
    Ok(Sample {
        taken_at: Instant::now(),
        statuses: fleet.statuses().await,
        usages: ids
            .map(|id| ResourceUsage::of(&id))
            .collect::<io::Result<_>>()?,
        store: store_counts(fleet).await?,
    })
}

async fn store_counts(fleet: &Fleet) -> io::Result<StoreCounts> {
    let url = format!("http://{}/counts", fleet.key_value_address);
    let failed = |error: &dyn std::fmt::Display| {
        io::Error::other(format!(
            "cannot fetch the call counts of the store: {error}"
        ))
    };
    let result = awc::Client::default().get(url).send().await;
    let mut response = result.map_err(|error| failed(&error))?;
    response.json().await.map_err(|error| failed(&error))
}

fn daemon_usage(before: &Sample, after: &Sample, index: usize) -> Option<DaemonUsage> {
    let seconds = after.taken_at.duration_since(before.taken_at).as_secs_f64();
    let rate = |later: u64, earlier: u64| to_f64(later.saturating_sub(earlier)) / seconds;
    let earlier = before.statuses[index].as_ref()?;
    let later = after.statuses[index].as_ref()?;
    Some(DaemonUsage {
        peer_bytes_per_second: rate(later.peer_bytes, earlier.peer_bytes),
        store_bytes_per_second: rate(later.store_bytes, earlier.store_bytes),
        cpu_percent: rate(after.usages[index].cpu_ms, before.usages[index].cpu_ms) / 10.0,
        resident_mib: to_f64(after.usages[index].resident_bytes) / 1_048_576.0,
    })
}

/// Prints one row of the table; `rate` is the load in requests per second.
fn print_row(daemons: usize, rate: usize, before: &Sample, after: &Sample) {
    let usages: Vec<DaemonUsage> = (0..daemons)
        .filter_map(|index| daemon_usage(before, after, index))
        .collect();
    let count = usages.len();
    if count < daemons {
        println!("{daemons:7} only {count} daemons responded");
    }
    let mean =
        |read: fn(&DaemonUsage) -> f64| usages.iter().map(read).sum::<f64>() / to_f64(count as u64);
    let max = |read: fn(&DaemonUsage) -> f64| usages.iter().map(read).fold(0.0, f64::max);
    let seconds = after.taken_at.duration_since(before.taken_at).as_secs_f64();
    println!(
        "{daemons:7} {rate:6} {:11.0} {:11.0} {:7.2} {:8.1} | {:11.0} {:7.2} {:8.1} | {:8.1} {:8.1}",
        mean(|u| u.peer_bytes_per_second),
        mean(|u| u.store_bytes_per_second),
        mean(|u| u.cpu_percent),
        mean(|u| u.resident_mib),
        max(|u| u.peer_bytes_per_second + u.store_bytes_per_second),
        max(|u| u.cpu_percent),
        max(|u| u.resident_mib),
        to_f64(after.store.reads.saturating_sub(before.store.reads)) / seconds,
        to_f64(after.store.writes.saturating_sub(before.store.writes)) / seconds,
    );
}

#[expect(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
