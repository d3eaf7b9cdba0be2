//! Plays the faults of a plan on a fleet.

use std::io;
use std::time::{Duration, Instant};

use demo::fleet::Fleet;
use demo::fleet_client::set_faults;
use lapismoor_adapter_standin::Faults;
use lapismoor_core::config::Config;
use nix::sys::signal::Signal;

use super::plan::{Fault, Step};
use super::proxy::{Mode, Proxies};

/// Time that a daemon may take to stop: `limits.stop_grace_ms` of its settings, 30 s, and some.
const STOP_GRACE: Duration = Duration::from_secs(35);
/// Time that a slow store or way adds.
const SLOW: Duration = Duration::from_millis(300);

/// Something that is due at the end of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Ending {
    pub at: Duration,
    pub fault: Fault,
    /// Process of the daemon that the fault is about; a later fault may have replaced it meanwhile.
    process: Option<u32>,
}

/// Begins a fault; returns when its end is due, if it has one.
pub(super) async fn begin(
    fleet: &mut Fleet,
    proxies: &Proxies,
    config: &Config,
    step: &Step,
) -> io::Result<Option<Ending>> {
    let process = daemon_of(step.fault).map(|daemon| fleet.daemons[daemon].process.id());
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
        Fault::KillService(service) => fleet.services[service].process.kill(),
        Fault::DrainEngine(engine) => {
            let faults = Faults {
                draining: true,
                ..Faults::default()
            };
            tell(fleet.engines[engine].address, &faults).await;
        }
        Fault::SilentStreams(engine) => {
            let faults = Faults {
                silent_streams: true,
                ..Faults::default()
            };
            tell(fleet.engines[engine].address, &faults).await;
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
            tell(fleet.key_value_address, &faults).await;
        }
        Fault::RacingOperators => {
            race(fleet, config).await;
            return Ok(None);
        }
        Fault::Reset(way) => {
            proxies.reset(way);
            return Ok(None);
        }
        Fault::Silence(way) => {
            proxies.silence(way);
            return Ok(None);
        }
        Fault::Delay(way) => proxies.set(way, Mode::Delay(SLOW)),
        Fault::OneWay(way) => proxies.set(way, Mode::OneWay),
        Fault::Dark(way) => proxies.set(way, Mode::Dark),
    }
    Ok(Some(Ending {
        at: step.at + step.lasts,
        fault: step.fault,
        process,
    }))
}

fn daemon_of(fault: Fault) -> Option<usize> {
    match fault {
        Fault::KillDaemon(daemon) | Fault::StopDaemon { daemon, .. } => Some(daemon),
        _ => None,
    }
}

/// Ends a fault.
///
/// # Errors
/// When a process cannot be started, or a daemon does not stop within its grace.
pub(super) async fn end(fleet: &mut Fleet, proxies: &Proxies, ending: &Ending) -> io::Result<()> {
    match ending.fault {
        Fault::KillDaemon(daemon) | Fault::StopDaemon { daemon, .. } => {
            if Some(fleet.daemons[daemon].process.id()) == ending.process {
                wait_for_end(fleet, daemon).await?;
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
            tell(fleet.engines[engine].address, &Faults::default()).await;
        }
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLosesAnswers => {
            tell(fleet.key_value_address, &Faults::default()).await;
        }
        Fault::Delay(way) | Fault::OneWay(way) | Fault::Dark(way) => {
            proxies.set(way, Mode::Pass);
        }
        Fault::RacingOperators | Fault::Reset(_) | Fault::Silence(_) => {}
    }
    Ok(())
}

/// A daemon that was suspended meanwhile cannot end; one that is stopping gets its grace.
async fn wait_for_end(fleet: &mut Fleet, daemon: usize) -> io::Result<()> {
    let process = &mut fleet.daemons[daemon].process;
    process.signal(Signal::SIGCONT);
    let until = Instant::now() + STOP_GRACE;
    while !process.has_ended() {
        if Instant::now() > until {
            let name = &fleet.daemons[daemon].name;
            return Err(io::Error::other(format!("{name} does not stop")));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Ends what a later fault on the same process may have left behind.
pub(super) async fn heal(fleet: &mut Fleet, proxies: &Proxies) -> io::Result<()> {
    for way in 0..proxies.len() {
        proxies.set(way, Mode::Pass);
    }
    tell(fleet.key_value_address, &Faults::default()).await;
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
        tell(fleet.engines[index].address, &Faults::default()).await;
    }
    for index in 0..fleet.services.len() {
        if fleet.services[index].process.has_ended() {
            fleet.restart_service(index)?;
        }
    }
    Ok(())
}

/// A party that is killed or suspended hears nothing; it starts without faults or is told later.
async fn tell(address: std::net::SocketAddr, faults: &Faults) {
    if let Err(error) = set_faults(address, faults).await {
        eprintln!("{address} did not hear of its faults: {error}");
    }
}

/// One of two changes may fail; the store may be down.
async fn race(fleet: &Fleet, config: &Config) {
    let changed = |more: usize| {
        let mut config = config.clone();
        config.pools[0].queue_limit += more;
        config
    };
    let (one, two) = (changed(1), changed(2));
    let (first, second) = futures::join!(fleet.apply(&one), fleet.apply(&two));
    for outcome in [first, second] {
        if let Err(error) = outcome {
            eprintln!("a change of the configuration failed: {error}");
        }
    }
}
