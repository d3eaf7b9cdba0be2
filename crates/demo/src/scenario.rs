//! The demo's run: load, and faults on the way.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lapismoor_adapter_standin::Faults;
use lapismoor_core::config::Config;
use nix::sys::signal::Signal;

use crate::caller::Balancer;
use crate::checker::{self, OutcomeCounts, TargetRecords};
use crate::fleet::Fleet;
use crate::fleet_client;
use crate::fleet_size::FleetSize;
use crate::load::{LoadGenerator, LoadPlan, LoadReports};

/// Time after which a leaving target takes no new work, in milliseconds.
const LEAVING_MS: u64 = 5_000;
/// Time for a configuration to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(14);

/// When each fault comes, after the load began.
const FAULTS: [(u64, Fault); 9] = [
    (3_000, Fault::KillEngine),
    (6_000, Fault::DrainEngine),
    (9_000, Fault::ChangeConfig),
    (11_000, Fault::KillDaemon),
    (15_000, Fault::StopDaemon),
    (18_000, Fault::StoreOutage),
    (21_000, Fault::StoreBack),
    (23_000, Fault::SilentStreams),
    (24_500, Fault::StreamsBack),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillEngine,
    DrainEngine,
    ChangeConfig,
    KillDaemon,
    StopDaemon,
    StoreOutage,
    StoreBack,
    SilentStreams,
    StreamsBack,
}

/// What a run showed.
pub struct Outcome {
    /// Lines of the table.
    pub table: Vec<(String, String)>,
    /// Violated guarantees, one text each.
    pub violations: Vec<String>,
}

struct Run<'a> {
    fleet: &'a mut Fleet,
    config: &'a Config,
    balancer: Rc<Balancer>,
    gone_at_ms: Vec<Option<u64>>,
    drained_at_ms: Option<u64>,
    violations: Vec<String>,
    in_force_after: Option<Duration>,
}

/// Position of the engine that is killed.
const KILLED_ENGINE: usize = 1;
/// Position of the engine that leaves.
const DRAINED_ENGINE: usize = 2;
/// Position of the engine whose streams fall silent.
const SILENT_ENGINE: usize = 3;
/// Position of the daemon that is killed.
const KILLED_DAEMON: usize = 0;
/// Position of the daemon that is stopped as planned.
const STOPPED_DAEMON: usize = 1;

/// Loads a fleet, breaks it on the way, and judges what came of it.
///
/// # Errors
/// When the fleet cannot be driven or its records cannot be read.
pub async fn run(
    fleet: &mut Fleet,
    size: &FleetSize,
    config: &Config,
    plan: &LoadPlan,
    with_faults: bool,
) -> io::Result<Outcome> {
    let balancer = Balancer::new(fleet.caller_addresses());
    let engines = fleet.engines.len();
    let before = control_bytes(fleet).await;
    let start = Instant::now();
    let load = LoadGenerator::start(plan, &balancer);
    let mut run = Run {
        fleet,
        config,
        balancer,
        gone_at_ms: vec![None; engines],
        drained_at_ms: None,
        violations: Vec::new(),
        in_force_after: None,
    };
    let mut due = if with_faults {
        FAULTS.to_vec()
    } else {
        Vec::new()
    };
    let mut shown = 0;
    while !load.is_done() || !due.is_empty() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        run.balance().await;
        let now = start.elapsed();
        while due
            .first()
            .is_some_and(|(at_ms, _)| now.as_millis() >= u128::from(*at_ms))
        {
            let (_, fault) = due.remove(0);
            println!("{:5.1} s  {fault:?}", now.as_secs_f64());
            run.show(fault, size).await?;
        }
        if now.as_secs() >= shown {
            shown = now.as_secs() + 5;
            let (done, total) = load.progress();
            println!(
                "{:5.1} s  {done} of {total} requests answered",
                now.as_secs_f64()
            );
        }
    }
    let reports = load.finish().await;
    let elapsed = start.elapsed();
    let after = control_bytes(run.fleet).await;
    let control = control_rate(&before, &after, elapsed);
    run.judge(config, &reports, elapsed, control)
}

/// Bytes that each daemon exchanged for control, by name.
async fn control_bytes(fleet: &Fleet) -> Vec<(String, u64)> {
    let statuses = fleet.statuses().await.into_iter().flatten();
    statuses
        .map(|status| {
            let bytes = status.peer_bytes + status.store_bytes;
            (status.daemon.to_string(), bytes)
        })
        .collect()
}

/// Mean and greatest rate in bytes a second.
fn control_rate(
    before: &[(String, u64)],
    after: &[(String, u64)],
    elapsed: Duration,
) -> (f64, f64) {
    let mut rates = Vec::new();
    for (name, bytes) in after {
        if let Some((_, earlier)) = before.iter().find(|(known, _)| known == name) {
            let bytes = u32::try_from(bytes.saturating_sub(*earlier)).unwrap_or(u32::MAX);
            rates.push(f64::from(bytes) / elapsed.as_secs_f64());
        }
    }
    let count = u32::try_from(rates.len().max(1)).unwrap_or(1);
    let mean = rates.iter().sum::<f64>() / f64::from(count);
    (mean, rates.into_iter().fold(0.0, f64::max))
}

impl Run<'_> {
    /// Does what the platform's balancer does: leaves out daemons that fail the health check.
    async fn balance(&self) {
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

    async fn show(&mut self, fault: Fault, size: &FleetSize) -> io::Result<()> {
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
            Fault::StoreOutage => self.store_faults(true).await?,
            Fault::StoreBack => self.store_faults(false).await?,
            Fault::SilentStreams => self.silent(true).await?,
            Fault::StreamsBack => self.silent(false).await?,
        }
        Ok(())
    }

    async fn change_config(&mut self) -> io::Result<()> {
        let mut config = self.config.clone();
        config.pools[0].queue_limit += 1;
        let revision = self.fleet.apply(&config).await?;
        let start = Instant::now();
        while start.elapsed() < IN_FORCE {
            let statuses = self.fleet.statuses().await;
            if statuses
                .iter()
                .flatten()
                .all(|status| status.revision >= revision)
            {
                self.in_force_after = Some(start.elapsed());
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.violations
            .push("a configuration was not in force in time".into());
        Ok(())
    }

    /// Kills a daemon, and brings a fresh one up.
    fn kill_daemon(&mut self, size: &FleetSize) -> io::Result<()> {
        self.fleet.daemons[KILLED_DAEMON].process.kill();
        let next = self.fleet.daemons.len();
        self.fleet.start_daemon(next, size)
    }

    async fn store_faults(&self, down: bool) -> io::Result<()> {
        let faults = Faults {
            down,
            ..Faults::default()
        };
        fleet_client::set_faults(self.fleet.key_value_address, &faults).await
    }

    async fn silent(&self, silent_streams: bool) -> io::Result<()> {
        let faults = Faults {
            silent_streams,
            ..Faults::default()
        };
        fleet_client::set_faults(self.fleet.engines[SILENT_ENGINE].address, &faults).await
    }

    fn judge(
        mut self,
        config: &Config,
        reports: &LoadReports,
        elapsed: Duration,
        control: (f64, f64),
    ) -> io::Result<Outcome> {
        let mut engines = Vec::new();
        for (target, gone) in self.fleet.engines.iter().zip(&self.gone_at_ms) {
            let name = &target.name;
            engines.push(TargetRecords::read(name, &target.records_path, *gone)?);
        }
        let mut services = Vec::new();
        for target in &self.fleet.services {
            let name = &target.name;
            services.push(TargetRecords::read(name, &target.records_path, None)?);
        }
        if let Some(since_ms) = self.drained_at_ms {
            let late = checker::admissions_after(&engines[DRAINED_ENGINE], since_ms + LEAVING_MS);
            if late > 0 {
                let text = format!("a leaving engine took {late} requests after its time");
                self.violations.push(text);
            }
            engines[DRAINED_ENGINE].gone_at_ms = Some(since_ms);
        }
        self.violations
            .extend(checker::at_most_once_violations(&reports.billed, &services));
        let chats = OutcomeCounts::of(&reports.chats);
        let billed = OutcomeCounts::of(&reports.billed);
        let bad = chats.foreign + chats.cut + chats.lost + billed.foreign + billed.lost;
        let bad = bad + chats.malformed + billed.malformed;
        if bad > 0 {
            self.violations.push(format!(
                "{bad} answers were cut, lost, malformed or somebody else's"
            ));
        }
        let skew = checker::skew(&engines, config.pools[0].load_multiple);
        self.violations
            .extend(skew.violations.iter().take(1).cloned());
        let (cached, returning) = checker::cache_reuse(&engines);
        let mut table = table(&chats, &billed, elapsed, control);
        let reuse = percent(cached, returning);
        table.push(("cache reuse of returning turns".into(), reuse));
        table.push((
            "skew max/mean, median and worst".into(),
            format!(
                "{} and {}",
                two_places(skew.median_ratio),
                two_places(skew.worst_ratio)
            ),
        ));
        table.push((
            "admissions above the bound".into(),
            format!("{} of {}", skew.above_bound, skew.admissions),
        ));
        if let Some(after) = self.in_force_after {
            let text = format!("{:.2} s", after.as_secs_f64());
            table.push(("configuration in force everywhere after".into(), text));
        }
        for (kind, count) in kinds(reports) {
            table.push((format!("ended as {kind}"), count.to_string()));
        }
        Ok(Outcome {
            table,
            violations: self.violations,
        })
    }
}

/// Kinds of failures that callers saw last, with counts.
fn kinds(reports: &LoadReports) -> Vec<(String, usize)> {
    let mut kinds: Vec<(String, usize)> = Vec::new();
    for report in reports.chats.iter().chain(&reports.billed) {
        if report.outcome == crate::caller::RequestOutcome::Whole {
            continue;
        }
        match kinds
            .iter_mut()
            .find(|(kind, _)| *kind == report.error_kind)
        {
            Some((_, count)) => *count += 1,
            None => kinds.push((report.error_kind.clone(), 1)),
        }
    }
    kinds
}

fn table(
    chats: &OutcomeCounts,
    billed: &OutcomeCounts,
    elapsed: Duration,
    control: (f64, f64),
) -> Vec<(String, String)> {
    let line = |name: &str, value: String| (name.to_owned(), value);
    vec![
        line("duration", format!("{:.1} s", elapsed.as_secs_f64())),
        line("chat answers whole", chats.whole.to_string()),
        line("chat answers cut", chats.cut.to_string()),
        line("chat answers of others", chats.foreign.to_string()),
        line("chat answers lost", chats.lost.to_string()),
        line("chats told not run", chats.not_run.to_string()),
        line("chats told unknown", chats.unknown.to_string()),
        line("billed calls whole", billed.whole.to_string()),
        line("billed calls told not run", billed.not_run.to_string()),
        line("billed calls told unknown", billed.unknown.to_string()),
        line(
            "control bytes/s a daemon, mean",
            format!("{:.0}", control.0),
        ),
        line(
            "control bytes/s a daemon, greatest",
            format!("{:.0}", control.1),
        ),
    ]
}

fn percent(part: usize, all: usize) -> String {
    let Some(tenths) = (part * 1_000).checked_div(all) else {
        return "none".into();
    };
    format!("{}.{} % ({part} of {all})", tenths / 10, tenths % 10)
}

fn two_places(figure: Option<f64>) -> String {
    figure.map_or_else(|| "none".into(), |figure| format!("{figure:.2}"))
}

fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
