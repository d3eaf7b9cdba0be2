//! Runs the demo: sends load, injects faults on a schedule and checks the results.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lapismoor_adapter_standin::Faults;
use lapismoor_core::config::Config;
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;

use crate::caller::Balancer;
use crate::checker::{self, OutcomeCounts, TargetRecords};
use crate::crashing::{self, CrashingAnswer, Identity};
use crate::fleet::Fleet;
use crate::fleet_client;
use crate::fleet_size::FleetSize;
use crate::load::{LoadGenerator, LoadPlan, LoadReports};

/// Time within which daemons must stop sending new requests to a draining target, in milliseconds.
const DRAIN_DEADLINE_MS: u64 = 5_000;
/// Time within which a configuration must be in force at every daemon.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(14);

/// Faults with their time after the start of the load, in milliseconds.
const FAULT_SCHEDULE: [(u64, Fault); 9] = [
    (3_000, Fault::KillEngine),
    (6_000, Fault::DrainEngine),
    (9_000, Fault::ChangeConfig),
    (11_000, Fault::KillDaemon),
    (15_000, Fault::StopDaemon),
    (18_000, Fault::StoreOutage),
    (21_000, Fault::StoreRecovery),
    (23_000, Fault::SilentStreams),
    (24_500, Fault::StreamRecovery),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillEngine,
    DrainEngine,
    ChangeConfig,
    KillDaemon,
    StopDaemon,
    StoreOutage,
    StoreRecovery,
    SilentStreams,
    StreamRecovery,
}

/// Results of a run.
pub struct RunSummary {
    /// Rows of the table of results: label and value.
    pub table: Vec<(String, String)>,
    /// Violated guarantees, one text each.
    pub violations: Vec<String>,
}

struct Run<'a> {
    fleet: &'a mut Fleet,
    config: &'a Config,
    balancer: Rc<Balancer>,
    /// When each engine was killed (`None` if it was not), in milliseconds since the Unix epoch.
    gone_at_ms: Vec<Option<u64>>,
    /// When [`DRAINED_ENGINE`] began to drain, in milliseconds since the Unix epoch.
    drained_at_ms: Option<u64>,
    violations: Vec<String>,
    /// Time until the changed configuration was in force at all daemons.
    config_propagation: Option<Duration>,
}

/// Text that identifies the request that ends engines in their records.
const CRASHING_MARKER: &str = "crashing";
/// Number of times that it is sent.
const CRASHING_REPEATS: usize = 12;
/// Time between two repeats.
const CRASHING_INTERVAL: Duration = Duration::from_millis(1_900);
/// Index of the engine that is killed.
const KILLED_ENGINE: usize = 1;
/// Index of the engine that is drained.
const DRAINED_ENGINE: usize = 2;
/// Index of the engine whose streams stop without being closed.
const SILENT_ENGINE: usize = 3;
/// Index of the daemon that is killed.
const KILLED_DAEMON: usize = 0;
/// Index of the daemon that is shut down with SIGTERM.
const STOPPED_DAEMON: usize = 1;

/// Sends the load of `plan` to a fleet, injects the scheduled faults if `with_faults` is set, and
/// checks the results.
///
/// # Errors
/// If a fault cannot be injected, the configuration cannot be changed or the records cannot be
/// read.
pub async fn run(
    fleet: &mut Fleet,
    size: &FleetSize,
    config: &Config,
    plan: &LoadPlan,
    with_faults: bool,
) -> io::Result<RunSummary> {
    let balancer = Balancer::new(fleet.caller_addresses());
    let engines = fleet.engines.len();
    let before = control_bytes(fleet).await;
    let start = Instant::now();
    let load = LoadGenerator::start(plan, &balancer);
    let mut crashing = with_faults.then(|| {
        let addresses = fleet.caller_addresses();
        actix::spawn(repeat_crashing_request(addresses))
    });
    let mut run = Run {
        fleet,
        config,
        balancer,
        gone_at_ms: vec![None; engines],
        drained_at_ms: None,
        violations: Vec::new(),
        config_propagation: None,
    };
    let mut pending_faults = if with_faults {
        FAULT_SCHEDULE.to_vec()
    } else {
        Vec::new()
    };
    let mut next_progress_s = 0;
    let is_crashing =
        |task: &Option<JoinHandle<_>>| task.as_ref().is_some_and(|task| !task.is_finished());
    while !load.is_done() || !pending_faults.is_empty() || is_crashing(&crashing) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        run.restart_crashed_engines()?;
        run.update_balancer().await;
        let now = start.elapsed();
        while pending_faults
            .first()
            .is_some_and(|(at_ms, _)| now.as_millis() >= u128::from(*at_ms))
        {
            let (_, fault) = pending_faults.remove(0);
            println!("{:5.1} s  {fault:?}", now.as_secs_f64());
            run.inject(fault, size).await?;
        }
        if now.as_secs() >= next_progress_s {
            next_progress_s = now.as_secs() + 5;
            let (completed, total) = load.progress();
            println!(
                "{:5.1} s  {completed} of {total} requests completed",
                now.as_secs_f64()
            );
        }
    }
    let reports = load.finish().await;
    if let Some(task) = crashing.take() {
        let answers = task.await.map_err(io::Error::other)?;
        run.check_crashing_request(&answers)?;
    }
    let elapsed = start.elapsed();
    let after = control_bytes(run.fleet).await;
    let control_rates = control_rates(&before, &after, elapsed);
    run.check(config, &reports, elapsed, control_rates)
}

/// Bytes that each daemon has exchanged with its peers and the store, by daemon name.
async fn control_bytes(fleet: &Fleet) -> Vec<(String, u64)> {
    let statuses = fleet.statuses().await.into_iter().flatten();
    statuses
        .map(|status| {
            let bytes = status.peer_bytes + status.store_bytes;
            (status.daemon.to_string(), bytes)
        })
        .collect()
}

/// Mean and maximum rate of control traffic per daemon, in bytes per second.
fn control_rates(
    before: &[(String, u64)],
    after: &[(String, u64)],
    elapsed: Duration,
) -> (f64, f64) {
    let mut rates = Vec::new();
    for (name, bytes) in after {
        if let Some((_, earlier)) = before.iter().find(|(daemon, _)| daemon == name) {
            let bytes = u32::try_from(bytes.saturating_sub(*earlier)).unwrap_or(u32::MAX);
            rates.push(f64::from(bytes) / elapsed.as_secs_f64());
        }
    }
    let count = u32::try_from(rates.len().max(1)).unwrap_or(1);
    let mean = rates.iter().sum::<f64>() / f64::from(count);
    (mean, rates.into_iter().fold(0.0, f64::max))
}

impl Run<'_> {
    /// Removes daemons that fail the health check from the balancer, as the platform's balancer
    /// does, unless all of them fail.
    async fn update_balancer(&self) {
        let mut ready = Vec::new();
        for daemon in &self.fleet.daemons {
            if fleet_client::is_ready(daemon.caller_address).await {
                ready.push(daemon.caller_address);
            }
        }
        if !ready.is_empty() {
            self.balancer.set_addresses(ready);
        }
    }

    async fn inject(&mut self, fault: Fault, size: &FleetSize) -> io::Result<()> {
        match fault {
            Fault::KillEngine => {
                self.gone_at_ms[KILLED_ENGINE] = Some(now_ms());
                self.fleet.engines[KILLED_ENGINE].process.kill();
            }
            Fault::DrainEngine => {
                let faults = Faults {
                    draining: true,
                    ..Faults::default()
                };
                fleet_client::set_faults(self.fleet.engines[DRAINED_ENGINE].address, &faults)
                    .await?;
                self.drained_at_ms = Some(now_ms());
            }
            Fault::ChangeConfig => self.change_config().await?,
            Fault::KillDaemon => self.kill_daemon(size)?,
            Fault::StopDaemon => self.fleet.daemons[STOPPED_DAEMON]
                .process
                .signal(Signal::SIGTERM),
            Fault::StoreOutage => self.set_store_outage(true).await?,
            Fault::StoreRecovery => self.set_store_outage(false).await?,
            Fault::SilentStreams => self.set_silent_streams(true).await?,
            Fault::StreamRecovery => self.set_silent_streams(false).await?,
        }
        Ok(())
    }

    /// Changes the configuration and measures the time until all daemons have it in force.
    async fn change_config(&mut self) -> io::Result<()> {
        let mut config = self.config.clone();
        config.pools[0].queue_limit += 1;
        let revision = self.fleet.apply(&config).await?;
        let start = Instant::now();
        while start.elapsed() < CONFIG_TIMEOUT {
            let statuses = self.fleet.statuses().await;
            if statuses
                .iter()
                .flatten()
                .all(|status| status.revision >= revision)
            {
                self.config_propagation = Some(start.elapsed());
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.violations
            .push("the changed configuration was not in force at all daemons in time".into());
        Ok(())
    }

    /// Starts the engines again that the crashing request ended.
    fn restart_crashed_engines(&mut self) -> io::Result<()> {
        for index in 0..self.fleet.engines.len() {
            let has_crashed = self.fleet.engines[index].process.has_ended();
            if has_crashed && self.gone_at_ms[index].is_none() {
                self.fleet.restart_engine(index)?;
            }
        }
        Ok(())
    }

    /// Checks how many engines the crashing request reached, and what its caller was told.
    fn check_crashing_request(&mut self, answers: &[CrashingAnswer]) -> io::Result<()> {
        let runs = crashing::runs(self.fleet, CRASHING_MARKER)?;
        let late = crashing::late_runs(&runs);
        println!(
            "the request that ends engines reached {} of them, {late} later than 3 s after the third",
            runs.len()
        );
        if late > crashing::MAX_LATE_RUNS {
            let text = format!("a request that ends engines reached {late} of them too late");
            self.violations.push(text);
        }
        let false_refusals = crashing::false_refusals(answers, &runs).len();
        if false_refusals > 0 {
            let text = format!("{false_refusals} refusals as not run were wrong");
            self.violations.push(text);
        }
        Ok(())
    }

    /// Kills a daemon and starts an additional one.
    fn kill_daemon(&mut self, size: &FleetSize) -> io::Result<()> {
        self.fleet.daemons[KILLED_DAEMON].process.kill();
        let next = self.fleet.daemons.len();
        self.fleet.start_daemon(next, size)
    }

    async fn set_store_outage(&self, down: bool) -> io::Result<()> {
        let faults = Faults {
            down,
            ..Faults::default()
        };
        fleet_client::set_faults(self.fleet.key_value_address, &faults).await
    }

    async fn set_silent_streams(&self, silent_streams: bool) -> io::Result<()> {
        let faults = Faults {
            silent_streams,
            ..Faults::default()
        };
        fleet_client::set_faults(self.fleet.engines[SILENT_ENGINE].address, &faults).await
    }

    /// Checks the records of the targets and the reports of the callers.
    fn check(
        mut self,
        config: &Config,
        reports: &LoadReports,
        elapsed: Duration,
        control_rates: (f64, f64),
    ) -> io::Result<RunSummary> {
        let mut engines = Vec::new();
        for (target, gone_at_ms) in self.fleet.engines.iter().zip(&self.gone_at_ms) {
            let name = &target.name;
            engines.push(TargetRecords::read(
                name,
                &target.records_path,
                *gone_at_ms,
            )?);
        }
        let mut services = Vec::new();
        for target in &self.fleet.services {
            let name = &target.name;
            services.push(TargetRecords::read(name, &target.records_path, None)?);
        }
        if let Some(since_ms) = self.drained_at_ms {
            let late =
                checker::admissions_after(&engines[DRAINED_ENGINE], since_ms + DRAIN_DEADLINE_MS);
            if late > 0 {
                let text =
                    format!("a draining engine received {late} requests after the drain deadline");
                self.violations.push(text);
            }
            engines[DRAINED_ENGINE].gone_at_ms = Some(since_ms);
        }
        self.violations
            .extend(checker::at_most_once_violations(&reports.billed, &services));
        let chats = OutcomeCounts::of(&reports.chats);
        let billed = OutcomeCounts::of(&reports.billed);
        let invalid = chats.foreign + chats.cut + chats.lost + billed.foreign + billed.lost;
        let invalid = invalid + chats.malformed + billed.malformed;
        if invalid > 0 {
            self.violations.push(format!(
                "{invalid} responses were truncated, missing, malformed or for another request"
            ));
        }
        let skew = checker::skew(&engines, config.pools[0].load_multiple);
        self.violations
            .extend(skew.violations.iter().take(1).cloned());
        let (cached, returning) = checker::cache_reuse(&engines);
        let mut table = table(&chats, &billed, elapsed, control_rates);
        let reuse = percent(cached, returning);
        table.push(("cache reuse of later chat turns".into(), reuse));
        table.push((
            "load skew (max/mean), median and maximum".into(),
            format!(
                "{} and {}",
                two_decimals(skew.median_ratio),
                two_decimals(skew.worst_ratio)
            ),
        ));
        table.push((
            "admissions above the load bound".into(),
            format!("{} of {}", skew.above_bound, skew.admissions),
        ));
        if let Some(after) = self.config_propagation {
            let text = format!("{:.2} s", after.as_secs_f64());
            table.push(("configuration in force everywhere after".into(), text));
        }
        for (kind, count) in error_kind_counts(reports) {
            table.push((format!("failed with {kind}"), count.to_string()));
        }
        Ok(RunSummary {
            table,
            violations: self.violations,
        })
    }
}

/// Sends a request that ends engines to one daemon after the other.
async fn repeat_crashing_request(daemons: Vec<SocketAddr>) -> Vec<CrashingAnswer> {
    let mut answers = Vec::new();
    for number in 0..CRASHING_REPEATS {
        let daemon = daemons[number % daemons.len()];
        answers.push(crashing::send(daemon, CRASHING_MARKER, Identity::None).await);
        tokio::time::sleep(CRASHING_INTERVAL).await;
    }
    answers
}

/// Number of requests without a complete response, by the last error kind.
fn error_kind_counts(reports: &LoadReports) -> Vec<(String, usize)> {
    let mut counts: Vec<(String, usize)> = Vec::new();
    for report in reports.chats.iter().chain(&reports.billed) {
        if report.outcome == crate::caller::RequestOutcome::Whole {
            continue;
        }
        match counts
            .iter_mut()
            .find(|(kind, _)| *kind == report.error_kind)
        {
            Some((_, count)) => *count += 1,
            None => counts.push((report.error_kind.clone(), 1)),
        }
    }
    counts
}

fn table(
    chats: &OutcomeCounts,
    billed: &OutcomeCounts,
    elapsed: Duration,
    control_rates: (f64, f64),
) -> Vec<(String, String)> {
    let row = |label: &str, value: String| (label.to_owned(), value);
    vec![
        row("duration", format!("{:.1} s", elapsed.as_secs_f64())),
        row("chats: complete responses", chats.whole.to_string()),
        row("chats: truncated responses", chats.cut.to_string()),
        row(
            "chats: responses for another request",
            chats.foreign.to_string(),
        ),
        row("chats: no response", chats.lost.to_string()),
        row("chats: reported as not run", chats.not_run.to_string()),
        row("chats: outcome unknown", chats.unknown.to_string()),
        row("billed calls: complete responses", billed.whole.to_string()),
        row(
            "billed calls: reported as not run",
            billed.not_run.to_string(),
        ),
        row("billed calls: outcome unknown", billed.unknown.to_string()),
        row(
            "control bytes/s per daemon, mean",
            format!("{:.0}", control_rates.0),
        ),
        row(
            "control bytes/s per daemon, maximum",
            format!("{:.0}", control_rates.1),
        ),
    ]
}

fn percent(part: usize, all: usize) -> String {
    let Some(tenths) = (part * 1_000).checked_div(all) else {
        return "none".into();
    };
    format!("{}.{} % ({part} of {all})", tenths / 10, tenths % 10)
}

fn two_decimals(value: Option<f64>) -> String {
    value.map_or_else(|| "none".into(), |value| format!("{value:.2}"))
}

fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
