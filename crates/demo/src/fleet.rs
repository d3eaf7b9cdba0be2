//! A fleet with its stand-ins, as processes.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use lapismoor_adapter_standin::{Faults, Registration};
use lapismoor_core::config::{Change, ChangeOutcome, ChangeStep, Config};
use lapismoor_edge::Status;
use serde_json::json;

use crate::fleet_client::{is_ready, set_faults, status};
use crate::fleet_size::FleetSize;
use crate::process::{Process, free_addresses};
use crate::role::Role;

/// Time for the whole fleet to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks at the fleet.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Requests that a stand-in of a target tells it runs at once.
const TARGET_SLOTS: u32 = 64;

/// A router daemon.
pub struct DaemonProcess {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// File with its settings.
    pub settings: PathBuf,
    /// The process.
    pub process: Process,
}

/// A target.
pub struct TargetProcess {
    /// Name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// File with its records.
    pub records_path: PathBuf,
    /// Role in which it runs.
    pub role: Role,
    /// The process.
    pub process: Process,
}

/// A way that can be put through something between the two ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Link {
    /// From callers to a daemon.
    Callers(String),
    /// From daemons to a target.
    Target(String),
    /// From a daemon to the key-value service.
    Store(String),
}

/// Gives the address to use in place of the real one.
pub type Route<'a> = &'a mut dyn FnMut(Link, SocketAddr) -> io::Result<SocketAddr>;

/// A fleet with its stand-ins.
pub struct Fleet {
    program: PathBuf,
    directory: PathBuf,
    /// Address of the key-value service.
    pub key_value_address: SocketAddr,
    platform: Vec<Process>,
    /// Router daemons.
    pub daemons: Vec<DaemonProcess>,
    /// Engines.
    pub engines: Vec<TargetProcess>,
    /// Service targets.
    pub services: Vec<TargetProcess>,
}

impl Fleet {
    /// Starts everything and waits until every daemon takes requests.
    ///
    /// # Errors
    /// When a process cannot be started or the fleet is not ready in time.
    pub async fn start(
        program: &Path,
        directory: &Path,
        size: &FleetSize,
        config: &Config,
    ) -> io::Result<Self> {
        Self::start_proxied(program, directory, size, config, &mut |_, address| {
            Ok(address)
        })
        .await
    }

    /// As [`Self::start`], with each way put through what `route` gives.
    ///
    /// # Errors
    /// As [`Self::start`].
    pub async fn start_proxied(
        program: &Path,
        directory: &Path,
        size: &FleetSize,
        config: &Config,
        route: Route<'_>,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(directory)?;
        let mut fleet = Self {
            program: program.to_owned(),
            directory: directory.to_owned(),
            key_value_address: free_addresses(1)?[0],
            platform: Vec::new(),
            daemons: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
        };
        let key_value = Role::KeyValue {
            address: fleet.key_value_address,
        };
        fleet.platform = vec![fleet.spawn("key-value", &key_value)?];
        fleet.wait_for_platform().await?;
        fleet.start_targets(size, route)?;
        fleet.apply(config).await?;
        for index in 0..size.daemons {
            fleet.start_daemon_through(index, size, route)?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn spawn(&self, name: &str, role: &Role) -> io::Result<Process> {
        let log = self.directory.join(format!("{name}.log"));
        Process::start(&self.program, role, &log)
    }

    fn start_targets(&mut self, size: &FleetSize, route: Route<'_>) -> io::Result<()> {
        let addresses = free_addresses(size.engines + size.services)?;
        for (index, address) in addresses.into_iter().enumerate() {
            let is_engine = index < size.engines;
            let (name, pool) = if is_engine {
                (format!("engine-{index}"), &size.engine_pool)
            } else {
                (
                    format!("service-{}", index - size.engines),
                    &size.service_pool,
                )
            };
            let records = self.directory.join(format!("{name}.records"));
            if records.exists() {
                std::fs::remove_file(&records)?;
            }
            let registration = Registration {
                store: self.key_value_address,
                id: name.clone(),
                service: pool.clone(),
                zone: size.domain(index).to_owned(),
                slots: TARGET_SLOTS,
                advertised: route(Link::Target(name.clone()), address)?,
            };
            let role = target_role(size, is_engine, address, &records, registration);
            let target = TargetProcess {
                process: self.spawn(&name, &role)?,
                name,
                address,
                records_path: records,
                role,
            };
            if is_engine {
                self.engines.push(target);
            } else {
                self.services.push(target);
            }
        }
        Ok(())
    }

    /// Starts one more daemon.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start_daemon(&mut self, index: usize, size: &FleetSize) -> io::Result<()> {
        self.start_daemon_through(index, size, &mut |_, address| Ok(address))
    }

    fn start_daemon_through(
        &mut self,
        index: usize,
        size: &FleetSize,
        route: Route<'_>,
    ) -> io::Result<()> {
        let addresses = free_addresses(3)?;
        let name = format!("entry-{index}");
        let store = route(Link::Store(name.clone()), self.key_value_address)?;
        let settings = json!({
            "core": {
                "daemon": name,
                "failure_domain": size.domain(index),
                "peer_address": addresses[0],
                "operator_address": addresses[2],
            },
            "caller_address": addresses[1],
            "platform": {"key_value_address": store},
            "trace_file": self.directory.join(format!("{name}.spans")),
        });
        let path = self.directory.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_vec_pretty(&settings)?)?;
        let role = Role::Daemon {
            settings: path.clone(),
        };
        let process = self.spawn(&name, &role)?;
        self.daemons.push(DaemonProcess {
            caller_address: route(Link::Callers(name.clone()), addresses[1])?,
            name,
            operator_address: addresses[2],
            settings: path,
            process,
        });
        Ok(())
    }

    /// Starts a daemon that has ended once more, with its former settings.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn restart_daemon(&mut self, index: usize) -> io::Result<()> {
        let role = Role::Daemon {
            settings: self.daemons[index].settings.clone(),
        };
        let name = self.daemons[index].name.clone();
        self.daemons[index].process = self.spawn(&name, &role)?;
        Ok(())
    }

    /// Starts an engine that has ended once more.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn restart_engine(&mut self, index: usize) -> io::Result<()> {
        let role = self.engines[index].role.clone();
        let name = self.engines[index].name.clone();
        self.engines[index].process = self.spawn(&name, &role)?;
        Ok(())
    }

    /// Starts a service target that has ended once more.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn restart_service(&mut self, index: usize) -> io::Result<()> {
        let role = self.services[index].role.clone();
        let name = self.services[index].name.clone();
        self.services[index].process = self.spawn(&name, &role)?;
        Ok(())
    }

    async fn wait_for_platform(&self) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while set_faults(self.key_value_address, &Faults::default())
            .await
            .is_err()
        {
            if Instant::now() > until {
                return Err(io::Error::other("the platform's stand-in did not start"));
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Ok(())
    }

    /// Puts a configuration in force; returns its revision.
    ///
    /// # Errors
    /// When it was not accepted.
    pub async fn apply(&self, config: &Config) -> io::Result<u64> {
        let store = lapismoor_adapter::store_client(self.key_value_address);
        let mut change = Change::new(config.clone(), None, rand::random(), 0);
        let mut call = change.begin();
        loop {
            let result = (store.call)(call).await;
            match change.next(&result) {
                ChangeStep::Call(next) => call = next,
                ChangeStep::Done(ChangeOutcome::Accepted { revision }) => return Ok(revision),
                ChangeStep::Done(outcome) => return Err(io::Error::other(format!("{outcome:?}"))),
            }
        }
    }

    /// Waits until every daemon takes requests and knows all targets.
    ///
    /// # Errors
    /// When that takes too long.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        let targets = self.engines.len() + self.services.len();
        for daemon in &self.daemons {
            while !knows_targets(daemon, targets).await {
                if Instant::now() > until {
                    let message = format!("{} is not ready in time", daemon.name);
                    return Err(io::Error::other(message));
                }
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Status of every daemon that answers.
    pub async fn statuses(&self) -> Vec<Option<Status>> {
        let asking = self
            .daemons
            .iter()
            .map(|daemon| status(daemon.operator_address));
        futures::future::join_all(asking).await
    }

    /// Callers' addresses of all daemons.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .map(|daemon| daemon.caller_address)
            .collect()
    }

    /// Leaves all processes running when the fleet is dropped.
    pub fn leave_running(&mut self) {
        let daemons = self.daemons.iter_mut().map(|daemon| &mut daemon.process);
        let engines = self.engines.iter_mut().map(|target| &mut target.process);
        let services = self.services.iter_mut().map(|target| &mut target.process);
        let all = daemons
            .chain(engines)
            .chain(services)
            .chain(&mut self.platform);
        all.for_each(Process::leave_running);
    }
}

async fn knows_targets(daemon: &DaemonProcess, targets: usize) -> bool {
    if !is_ready(daemon.caller_address).await {
        return false;
    }
    let status = status(daemon.operator_address).await;
    let known = status.map_or(0, |status| {
        let in_use = status.targets.iter().filter(|target| target.is_in_use());
        in_use.count()
    });
    known >= targets
}

fn target_role(
    size: &FleetSize,
    is_engine: bool,
    address: SocketAddr,
    records: &Path,
    registration: Registration,
) -> Role {
    let records = records.to_owned();
    if is_engine {
        return Role::Engine {
            address,
            registration,
            records,
            cached_chats: 200,
            prefill_ms: size.prefill_ms,
            token_ms: size.token_ms,
            tokens: size.tokens,
        };
    }
    Role::Service {
        address,
        registration,
        records,
        work_ms: size.work_ms,
    }
}
