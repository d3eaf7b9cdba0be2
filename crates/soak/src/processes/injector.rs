//! Injects the faults of a plan into a fleet and removes them.

use std::io;
use std::time::{Duration, Instant};

use demo::fleet::Fleet;
use demo::fleet_client::set_faults;
use demo::process;
use lapismoor_adapter_standin::Faults;
use lapismoor_core::config::Config;
use nix::sys::signal::Signal;

use super::plan::{Fault, FaultStep, TargetRange};
use super::proxy::{Mode, Proxies};

/// Time that a daemon may take to stop: its setting `limits.stop_grace_ms`, 30 s, plus a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(35);
/// Delay that a slow proxy or store adds.
const ADDED_DELAY: Duration = Duration::from_millis(300);

/// Scheduled removal of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FaultEnd {
    /// Time from the start of the run.
    pub at: Duration,
    pub fault: Fault,
    /// Id of the daemon process that the fault stops. If a later fault has replaced the process,
    /// the new one must not be restarted.
    process_id: Option<u32>,
}

/// Injects a fault. Returns when to remove it, or `None` for a fault that happens at one moment.
pub(super) async fn inject(
    fleet: &mut Fleet,
    proxies: &Proxies,
    config: &Config,
    step: &FaultStep,
) -> io::Result<Option<FaultEnd>> {
    let process_id = restarted_daemon(step.fault).map(|daemon| fleet.daemons[daemon].process.id());
    match step.fault {
        Fault::KillDaemon(daemon) => fleet.daemons[daemon].process.kill(),
        Fault::StopDaemon { daemon, twice } => {
            fleet.daemons[daemon].process.signal(Signal::SIGTERM);
            if twice {
                fleet.daemons[daemon].process.signal(Signal::SIGTERM);
            }
        }
        Fault::PauseDaemon(daemon) => fleet.daemons[daemon].process.signal(Signal::SIGSTOP),
        Fault::KillEngine(engine) => fleet.engines[engine].process.kill(),
        Fault::PauseEngine(engine) => fleet.engines[engine].process.signal(Signal::SIGSTOP),
        Fault::SilentTargets { engines, services } => {
            suspend_for(fleet, engines, services, step.duration);
        }
        Fault::KillService(service) => fleet.services[service].process.kill(),
        Fault::DrainEngine(engine) => {
            let faults = Faults {
                draining: true,
                ..Faults::default()
            };
            try_set_faults(fleet.engines[engine].address, &faults).await;
        }
        Fault::SilentStreams(engine) => {
            let faults = Faults {
                silent_streams: true,
                ..Faults::default()
            };
            try_set_faults(fleet.engines[engine].address, &faults).await;
        }
        Fault::LimitedEngines { engines, per_s } => {
            let faults = Faults {
                limit_per_s: Some(per_s),
                ..Faults::default()
            };
            set_faults_of(fleet, engines, &faults).await;
        }
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLosesAnswers => {
            let faults = Faults {
                down: step.fault == Fault::StoreDown,
                lose_answers: step.fault == Fault::StoreLosesAnswers,
                slow_ms: if step.fault == Fault::StoreSlow {
                    300
                } else {
                    0
                },
                ..Faults::default()
            };
            try_set_faults(fleet.key_value_address, &faults).await;
        }
        Fault::ConcurrentConfigChanges => {
            change_config_concurrently(fleet, config).await;
            return Ok(None);
        }
        Fault::ResetConnections(proxy) => {
            proxies.reset_connections(proxy);
            return Ok(None);
        }
        Fault::StallConnections(proxy) => {
            proxies.stall_connections(proxy);
            return Ok(None);
        }
        Fault::DelayTraffic(proxy) => proxies.set_mode(proxy, Mode::Delay(ADDED_DELAY)),
        Fault::DropAnswers(proxy) => proxies.set_mode(proxy, Mode::DropAnswers),
        Fault::RejectConnections(proxy) => proxies.set_mode(proxy, Mode::Reject),
    }
    Ok(Some(FaultEnd {
        at: step.at + step.duration,
        fault: step.fault,
        process_id,
    }))
}

fn restarted_daemon(fault: Fault) -> Option<usize> {
    match fault {
        Fault::KillDaemon(daemon) | Fault::StopDaemon { daemon, .. } => Some(daemon),
        _ => None,
    }
}

/// Removes a fault: restarts, resumes or resets what it affects.
///
/// # Errors
/// If a process cannot be started, or a daemon does not stop within [`STOP_TIMEOUT`].
pub(super) async fn remove(
    fleet: &mut Fleet,
    proxies: &Proxies,
    fault_end: &FaultEnd,
) -> io::Result<()> {
    match fault_end.fault {
        Fault::KillDaemon(daemon) | Fault::StopDaemon { daemon, .. } => {
            if Some(fleet.daemons[daemon].process.id()) == fault_end.process_id {
                wait_for_exit(fleet, daemon).await?;
                fleet.restart_daemon(daemon)?;
            }
        }
        Fault::PauseDaemon(daemon) => fleet.daemons[daemon].process.signal(Signal::SIGCONT),
        Fault::PauseEngine(engine) => fleet.engines[engine].process.signal(Signal::SIGCONT),
        Fault::KillEngine(engine) => {
            if fleet.engines[engine].process.has_ended() {
                fleet.restart_engine(engine)?;
            }
        }
        Fault::KillService(service) => {
            if fleet.services[service].process.has_ended() {
                fleet.restart_service(service)?;
            }
        }
        Fault::DrainEngine(engine) | Fault::SilentStreams(engine) => {
            try_set_faults(fleet.engines[engine].address, &Faults::default()).await;
        }
        Fault::LimitedEngines { engines, .. } => {
            set_faults_of(fleet, engines, &Faults::default()).await;
        }
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLosesAnswers => {
            try_set_faults(fleet.key_value_address, &Faults::default()).await;
        }
        Fault::DelayTraffic(proxy)
        | Fault::DropAnswers(proxy)
        | Fault::RejectConnections(proxy) => {
            proxies.set_mode(proxy, Mode::Pass);
        }
        Fault::SilentTargets { .. }
        | Fault::ConcurrentConfigChanges
        | Fault::ResetConnections(_)
        | Fault::StallConnections(_) => {}
    }
    Ok(())
}

/// Suspends the running ones of these targets. A task of its own resumes them: the injector may wait
/// for another fault meanwhile, and the silence must not last longer than was drawn.
fn suspend_for(fleet: &mut Fleet, engines: TargetRange, services: TargetRange, duration: Duration) {
    let mut process_ids = Vec::new();
    for (targets, range) in [
        (&mut fleet.engines, engines),
        (&mut fleet.services, services),
    ] {
        for index in range.indices(targets.len()) {
            let process = &mut targets[index].process;
            if !process.has_ended() {
                process.signal(Signal::SIGSTOP);
                process_ids.push(process.id());
            }
        }
    }
    actix_web::rt::spawn(async move {
        tokio::time::sleep(duration).await;
        for process_id in process_ids {
            process::signal(process_id, Signal::SIGCONT);
        }
    });
}

/// Waits until a daemon has exited. A later fault may have suspended the daemon, so this resumes it
/// first.
async fn wait_for_exit(fleet: &mut Fleet, daemon: usize) -> io::Result<()> {
    let process = &mut fleet.daemons[daemon].process;
    process.signal(Signal::SIGCONT);
    let deadline = Instant::now() + STOP_TIMEOUT;
    while !process.has_ended() {
        if Instant::now() > deadline {
            let name = &fleet.daemons[daemon].name;
            return Err(io::Error::other(format!(
                "{name} did not stop within {STOP_TIMEOUT:?}"
            )));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Removes every fault that may remain: overlapping faults on one process can leave it suspended or
/// stopped.
pub(super) async fn restore_all(fleet: &mut Fleet, proxies: &Proxies) -> io::Result<()> {
    for proxy in 0..proxies.len() {
        proxies.set_mode(proxy, Mode::Pass);
    }
    try_set_faults(fleet.key_value_address, &Faults::default()).await;
    for index in 0..fleet.daemons.len() {
        fleet.daemons[index].process.signal(Signal::SIGCONT);
        if fleet.daemons[index].process.has_ended() {
            fleet.restart_daemon(index)?;
        }
    }
    for index in 0..fleet.engines.len() {
        fleet.engines[index].process.signal(Signal::SIGCONT);
        if fleet.engines[index].process.has_ended() {
            fleet.restart_engine(index)?;
        }
        try_set_faults(fleet.engines[index].address, &Faults::default()).await;
    }
    for index in 0..fleet.services.len() {
        if fleet.services[index].process.has_ended() {
            fleet.restart_service(index)?;
        }
    }
    Ok(())
}

async fn set_faults_of(fleet: &Fleet, engines: TargetRange, faults: &Faults) {
    for engine in engines.indices(fleet.engines.len()) {
        try_set_faults(fleet.engines[engine].address, faults).await;
    }
}

/// Sets the faults of a stand-in and only logs a failure: a killed or suspended process does not
/// answer, but it restarts without faults or has them reset later.
async fn try_set_faults(address: std::net::SocketAddr, faults: &Faults) {
    if let Err(error) = set_faults(address, faults).await {
        eprintln!("cannot set the faults of {address}: {error}");
    }
}

/// Applies two conflicting changes of the configuration at the same time. One of them may fail, or
/// both if the store is down.
async fn change_config_concurrently(fleet: &Fleet, config: &Config) {
    let with_queue_limit_raised = |increase: usize| {
        let mut config = config.clone();
        config.pools[0].queue_limit += increase;
        config
    };
    let (one, two) = (with_queue_limit_raised(1), with_queue_limit_raised(2));
    let (first, second) = futures::join!(fleet.apply(&one), fleet.apply(&two));
    for outcome in [first, second] {
        if let Err(error) = outcome {
            eprintln!("cannot change the configuration: {error}");
        }
    }
}
