//! What a daemon costs as the fleet grows, measured on real processes.

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

/// Time for a fleet to come to rest.
const REST: Duration = Duration::from_secs(4);
/// Time that is measured.
const MEASURED: Duration = Duration::from_secs(8);
/// Requests a second for each daemon under load.
const REQUESTS_PER_DAEMON: usize = 4;

/// Use of all daemons at a moment.
struct Sample {
    at: Instant,
    statuses: Vec<Option<Status>>,
    uses: Vec<ResourceUsage>,
    store: StoreCounts,
}

/// Calls that the store took so far.
#[derive(Deserialize)]
struct StoreCounts {
    reads: u64,
    writes: u64,
}

/// Use of a daemon.
struct Use {
    peer_bytes: f64,
    store_bytes: f64,
    cpu_percent: f64,
    resident_mb: f64,
}

/// Measures fleets of each size and prints the tables.
///
/// # Errors
/// When a fleet cannot be started.
pub async fn run(directory: &Path, daemons: &[usize], config: &Config) -> io::Result<()> {
    println!(
        "{:>7} {:>6} {:>11} {:>11} {:>7} {:>8} | {:>11} {:>7} {:>8} | {:>8} {:>8}",
        "DAEMONS",
        "LOAD/s",
        "PEER B/s",
        "STORE B/s",
        "CPU %",
        "RSS MB",
        "MOST B/s",
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
        tokio::time::sleep(REST).await;
        let before = sample(&fleet).await?;
        tokio::time::sleep(MEASURED).await;
        print(*count, 0, &before, &sample(&fleet).await?);
        loaded(&fleet, &size, config).await?;
    }
    Ok(())
}

async fn loaded(fleet: &Fleet, size: &FleetSize, config: &Config) -> io::Result<()> {
    let rate = size.daemons * REQUESTS_PER_DAEMON;
    let seconds = usize::try_from(MEASURED.as_secs()).unwrap_or(1) + 4;
    let plan = LoadPlan {
        chats: rate * seconds,
        turns: 1,
        ramp_up: MEASURED + Duration::from_secs(4),
        max_think_time: Duration::ZERO,
        billed_calls: 0,
        ..LoadPlan::new(config, size)
    };
    let balancer = Balancer::new(fleet.caller_addresses());
    let load = LoadGenerator::start(&plan, &balancer);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = sample(fleet).await?;
    tokio::time::sleep(MEASURED).await;
    let after = sample(fleet).await?;
    let reports = load.finish().await;
    print(size.daemons, rate, &before, &after);
    let is_bad = |report: &&RequestReport| report.outcome != RequestOutcome::Whole;
    let bad = reports.chats.iter().filter(is_bad).count();
    if bad > 0 {
        println!(
            "{:7} {bad} of {} chats were not whole",
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
        at: Instant::now(),
        statuses: fleet.statuses().await,
        uses: ids
            .map(|id| ResourceUsage::of(&id))
            .collect::<io::Result<_>>()?,
        store: store_counts(fleet).await?,
    })
}

async fn store_counts(fleet: &Fleet) -> io::Result<StoreCounts> {
    let url = format!("http://{}/counts", fleet.key_value_address);
    let failed = |error: &dyn std::fmt::Display| {
        io::Error::other(format!("the store does not tell its calls: {error}"))
    };
    let sent = awc::Client::default().get(url).send().await;
    let mut response = sent.map_err(|error| failed(&error))?;
    response.json().await.map_err(|error| failed(&error))
}

fn use_of(before: &Sample, after: &Sample, index: usize) -> Option<Use> {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let rate = |later: u64, earlier: u64| to_f64(later.saturating_sub(earlier)) / seconds;
    let earlier = before.statuses[index].as_ref()?;
    let later = after.statuses[index].as_ref()?;
    Some(Use {
        peer_bytes: rate(later.peer_bytes, earlier.peer_bytes),
        store_bytes: rate(later.store_bytes, earlier.store_bytes),
        cpu_percent: rate(after.uses[index].cpu_ms, before.uses[index].cpu_ms) / 10.0,
        resident_mb: to_f64(after.uses[index].resident_bytes) / 1_048_576.0,
    })
}

fn print(daemons: usize, rate: usize, before: &Sample, after: &Sample) {
    let uses: Vec<Use> = (0..daemons)
        .filter_map(|index| use_of(before, after, index))
        .collect();
    let count = uses.len();
    if count < daemons {
        println!("{daemons:7} {count} daemons answered");
    }
    let mean = |read: fn(&Use) -> f64| uses.iter().map(read).sum::<f64>() / to_f64(count as u64);
    let most = |read: fn(&Use) -> f64| uses.iter().map(read).fold(0.0, f64::max);
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    println!(
        "{daemons:7} {rate:6} {:11.0} {:11.0} {:7.2} {:8.1} | {:11.0} {:7.2} {:8.1} | {:8.1} {:8.1}",
        mean(|u| u.peer_bytes),
        mean(|u| u.store_bytes),
        mean(|u| u.cpu_percent),
        mean(|u| u.resident_mb),
        most(|u| u.peer_bytes + u.store_bytes),
        most(|u| u.cpu_percent),
        most(|u| u.resident_mb),
        to_f64(after.store.reads.saturating_sub(before.store.reads)) / seconds,
        to_f64(after.store.writes.saturating_sub(before.store.writes)) / seconds,
    );
}

#[expect(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
