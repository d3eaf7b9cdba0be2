//! Runs a fleet of processes under load, injects the faults of a seed and checks the guarantees.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_web::rt::task::JoinHandle;
use demo::caller::{Balancer, CallerOptions};
use demo::crashing::restart_ended_engines;
use demo::fleet::Fleet;
use demo::fleet_size::FleetSize;
use demo::load::{LoadGenerator, LoadPlan};
use lapismoor_core::config::Config;

use super::plan::{FAULT_PERIOD, Fault, FaultPlan};
use super::proxy::Proxies;
use super::verify::verify;
use super::{crashing, injector};

/// Time between checks for faults to inject or remove.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which the fleet must answer the requests sent after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Chats under load, for each daemon.
const CHATS_PER_DAEMON: usize = 20;
/// Calls that must not run twice, for each daemon.
const BILLED_CALLS_PER_DAEMON: usize = 10;

/// Callers wait slightly longer than the longest deadline of the profiles they use, 30 s.
const CALLER_OPTIONS: CallerOptions = CallerOptions {
    reuses_connections: true,
    attempt_timeout: Duration::from_secs(33),
};

/// Numbers of processes in a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessCounts {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of targets of plain services.
    pub services: usize,
}

/// What is added to the faults of a seed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Additions {
    /// Silences of engines.
    pub has_silences: bool,
    /// Requests that share a prompt part that ends engines.
    pub has_crashing_part: bool,
    /// Engines that name limits.
    pub has_limits: bool,
    /// Software versions of the engines; zero counts as one.
    pub versions: usize,
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Descriptions of the violated guarantees; empty if the run passed.
    pub violations: Vec<String>,
    /// The faults that were injected.
    pub plan: FaultPlan,
    /// Number of requests of the load, without those of the recovery check.
    pub requests: usize,
}

/// Runs a seed with the programs in the executable `program`; logs and records go to `directory`.
/// The seed's `additions` are added to its faults.
///
/// # Errors
/// If processes cannot be started or stopped, or records cannot be read.
pub async fn run(
    program: &Path,
    directory: &Path,
    counts: ProcessCounts,
    config: &Config,
    seed: u64,
    additions: Additions,
) -> io::Result<Outcome> {
    let fleet_size = FleetSize {
        daemons: counts.daemons,
        engines: counts.engines,
        services: counts.services,
        tokens: 12,
        versions: additions.versions.max(1),
        ..FleetSize::midshire()
    };
    let proxies = Proxies::default();
    let fleet_proxies = proxies.clone();
    let mut route = move |link, address| fleet_proxies.add(link, address);
    let starting = Fleet::start_proxied(program, directory, &fleet_size, config, &mut route);
    let mut fleet = starting.await?;
    let mut plan = FaultPlan::new(seed, &counts, proxies.len());
    if additions.has_silences {
        plan = plan.with_silences(seed, &counts);
    }
    if additions.has_crashing_part {
        plan = plan.with_crashing_part(seed, &counts);
    }
    if additions.has_limits {
        plan = plan.with_limits(seed, &counts);
    }
    let balancer = Balancer::new(fleet.caller_addresses());
    let run_start_unix_ms = unix_now_ms();
    let load = LoadGenerator::start(&load_plan(config, &fleet_size, seed), &balancer);
    let crashing = actix_web::rt::spawn(crashing::send_all(
        Instant::now(),
        plan.clone(),
        fleet.caller_addresses(),
    ));
    inject_faults(&mut fleet, &proxies, config, &plan).await?;
    let crashing = wait_for_crashing(&mut fleet, crashing).await?;
    // Recovery is checked once every daemon accepts requests and knows every target.
    let ready = fleet.wait_until_ready().await;
    let mut violations: Vec<String> = ready
        .err()
        .map(|error| error.to_string())
        .into_iter()
        .collect();
    let reports = load.finish().await;
    violations.extend(crashing::verify(&fleet, &crashing, &plan.steps)?);
    violations.extend(verify(
        &fleet,
        &reports,
        &proxies,
        &plan.steps,
        run_start_unix_ms,
    )?);
    violations.extend(check_recovery(&fleet, &balancer, &fleet_size, config).await);
    Ok(Outcome {
        violations,
        plan,
        requests: reports.chats.len() + reports.billed.len(),
    })
}

/// Waits for the answers to the request that ends engines, and starts these again meanwhile.
async fn wait_for_crashing(
    fleet: &mut Fleet,
    crashing: JoinHandle<crashing::AllSent>,
) -> io::Result<crashing::AllSent> {
    while !crashing.is_finished() {
        restart_ended_engines(fleet)?;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    restart_ended_engines(fleet)?;
    crashing.await.map_err(io::Error::other)
}

/// Injects and removes the faults of a plan at their times.
pub(super) async fn inject_faults(
    fleet: &mut Fleet,
    proxies: &Proxies,
    config: &Config,
    plan: &FaultPlan,
) -> io::Result<()> {
    let start = Instant::now();
    let mut pending = plan.steps.clone();
    let mut fault_ends: Vec<injector::FaultEnd> = Vec::new();
    while !pending.is_empty() || !fault_ends.is_empty() {
        let now = start.elapsed();
        while pending.first().is_some_and(|step| step.at <= now) {
            let step = pending.remove(0);
            fault_ends.extend(injector::inject(fleet, proxies, config, &step).await?);
        }
        for fault_end in fault_ends
            .extract_if(.., |fault_end| fault_end.at <= now)
            .collect::<Vec<_>>()
        {
            injector::remove(fleet, proxies, &fault_end).await?;
        }
        // Engines that the crashing request ended; those of a fault return with its end.
        let is_killed = fault_ends
            .iter()
            .any(|fault_end| matches!(fault_end.fault, Fault::KillEngine(_)));
        if !is_killed {
            restart_ended_engines(fleet)?;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    injector::restore_all(fleet, proxies).await
}

/// Returns the guarantees that are violated after the last fault: every request gets its whole
/// answer, and every daemon has the newest revision of the configuration.
async fn check_recovery(
    fleet: &Fleet,
    balancer: &std::rc::Rc<Balancer>,
    size: &FleetSize,
    config: &Config,
) -> Vec<String> {
    balancer.set_addresses(fleet.caller_addresses());
    let plan = LoadPlan {
        prefix: "after-".into(),
        chats: fleet.daemons.len() * 2,
        turns: 1,
        billed_calls: fleet.daemons.len(),
        ramp_up: Duration::from_secs(1),
        ..load_plan(config, size, 0)
    };
    let load = LoadGenerator::start(&plan, balancer).finish();
    let Ok(reports) = tokio::time::timeout(RECOVERY_TIMEOUT, load).await else {
        return vec!["requests after the last fault did not finish in time".into()];
    };
    let all = reports.chats.iter().chain(&reports.billed);
    let failed = all.filter(|report| report.outcome != demo::caller::RequestOutcome::Whole);
    let failed: Vec<String> = failed
        .map(|report| format!("after the last fault: {report:?}"))
        .collect();
    let statuses = fleet.statuses().await;
    let revisions = statuses
        .iter()
        .map(|status| status.as_ref().map(|one| one.revision));
    let revisions: Vec<Option<u64>> = revisions.collect();
    let newest = revisions.iter().max().copied().flatten();
    let stale_count = revisions.iter().filter(|known| **known != newest).count();
    let is_stale = stale_count > 0 || newest.is_none();
    let stale = is_stale.then(|| format!("revisions differ after the last fault: {revisions:?}"));
    failed.into_iter().chain(stale).collect()
}

fn load_plan(config: &Config, size: &FleetSize, seed: u64) -> LoadPlan {
    LoadPlan {
        profiles: vec!["shop-counter".into(), "drive-test".into()],
        chats: size.daemons * CHATS_PER_DAEMON,
        turns: 4,
        ramp_up: FAULT_PERIOD,
        max_think_time: Duration::from_secs(2),
        billed_calls: size.daemons * BILLED_CALLS_PER_DAEMON,
        seed,
        caller_options: CALLER_OPTIONS,
        ..LoadPlan::new(config, size)
    }
}

fn unix_now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
