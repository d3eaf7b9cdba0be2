//! One run: a fleet of processes, load, the faults of a seed, and the verdict.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use demo::caller::{Balancer, CallerOptions};
use demo::fleet::Fleet;
use demo::fleet_size::FleetSize;
use demo::load::{LoadGenerator, LoadPlan};
use lapismoor_core::config::Config;

use super::injector;
use super::plan::{FAULTY, Plan};
use super::proxy::Proxies;
use super::verify::judge;

/// Time between looks at what is due.
const LOOK: Duration = Duration::from_millis(20);
/// Time within which the fleet serves everything again after the last fault.
const RECOVERY: Duration = Duration::from_secs(15);
/// Requests for each daemon of the fleet.
const CHATS_PER_DAEMON: usize = 20;
const CALLS_PER_DAEMON: usize = 10;

/// Callers wait a little longer than the longest deadline, 30 s, of the profiles they use.
const MANNERS: CallerOptions = CallerOptions {
    reuses_connections: true,
    attempt_timeout: Duration::from_secs(33),
};

/// Numbers of processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Daemons.
    pub daemons: usize,
    /// Engines.
    pub engines: usize,
    /// Service targets.
    pub services: usize,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Broken promises.
    pub broken: Vec<String>,
    /// The faults.
    pub plan: Plan,
    /// Requests.
    pub requests: usize,
}

/// Plays a seed with the programs at `program`; logs and records go into `directory`.
///
/// # Errors
/// When processes cannot be started or records not be read.
pub async fn run(
    program: &Path,
    directory: &Path,
    size: Size,
    config: &Config,
    seed: u64,
) -> io::Result<Outcome> {
    let fleet_size = FleetSize {
        daemons: size.daemons,
        engines: size.engines,
        services: size.services,
        tokens: 12,
        ..FleetSize::midshire()
    };
    let proxies = Proxies::default();
    let for_fleet = proxies.clone();
    let mut route = move |link, address| for_fleet.add(link, address);
    let starting = Fleet::start_proxied(program, directory, &fleet_size, config, &mut route);
    let mut fleet = starting.await?;
    let plan = Plan::new(seed, &size, proxies.len());
    let balancer = Balancer::new(fleet.caller_addresses());
    let began_ms = now_ms();
    let load = LoadGenerator::start(&load_plan(config, &fleet_size, seed), &balancer);
    let mut broken = play(&mut fleet, &proxies, config, &plan).await?;
    let reports = load.finish().await;
    broken.extend(judge(&fleet, &reports, &plan.steps, began_ms)?);
    broken.extend(is_recovered(&fleet, &balancer, &fleet_size, config).await);
    Ok(Outcome {
        broken,
        plan,
        requests: reports.chats.len() + reports.billed.len(),
    })
}

async fn play(
    fleet: &mut Fleet,
    proxies: &Proxies,
    config: &Config,
    plan: &Plan,
) -> io::Result<Vec<String>> {
    let start = Instant::now();
    let mut due = plan.steps.clone();
    let mut endings: Vec<injector::Ending> = Vec::new();
    while !due.is_empty() || !endings.is_empty() {
        let now = start.elapsed();
        while due.first().is_some_and(|step| step.at <= now) {
            let step = due.remove(0);
            endings.extend(injector::begin(fleet, proxies, config, &step).await?);
        }
        for ending in endings
            .extract_if(.., |ending| ending.at <= now)
            .collect::<Vec<_>>()
        {
            injector::end(fleet, proxies, &ending).await?;
        }
        tokio::time::sleep(LOOK).await;
    }
    injector::heal(fleet, proxies).await?;
    // The latest configuration is in force everywhere, and every daemon knows every target.
    let ready = fleet.wait_until_ready().await;
    Ok(ready
        .err()
        .map(|error| error.to_string())
        .into_iter()
        .collect())
}

/// Every request of a calm moment is answered in full.
async fn is_recovered(
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
    let asking = LoadGenerator::start(&plan, balancer).finish();
    let Ok(reports) = tokio::time::timeout(RECOVERY, asking).await else {
        return vec!["requests after the last fault took too long".into()];
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
    let behind = revisions.iter().filter(|known| **known != newest).count();
    let is_stale = behind > 0 || newest.is_none();
    let stale = is_stale.then(|| format!("revisions after the last fault: {revisions:?}"));
    failed.into_iter().chain(stale).collect()
}

fn load_plan(config: &Config, size: &FleetSize, seed: u64) -> LoadPlan {
    LoadPlan {
        profiles: vec!["shop-counter".into(), "drive-test".into()],
        chats: size.daemons * CHATS_PER_DAEMON,
        turns: 4,
        ramp_up: FAULTY,
        max_think_time: Duration::from_secs(2),
        billed_calls: size.daemons * CALLS_PER_DAEMON,
        seed,
        caller_options: MANNERS,
        ..LoadPlan::new(config, size)
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
