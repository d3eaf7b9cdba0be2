//! A fleet of daemons, with stand-ins for its targets and the key-value service, as processes.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

use lapismoor_adapter_standin::{Faults, Registration};
use lapismoor_core::config::{Change, ChangeOutcome, ChangeStep, Config};
use lapismoor_edge::Status;
use serde_json::json;

use crate::fleet_client::{is_ready, set_faults, status};
use crate::fleet_size::FleetSize;
use crate::process::{Process, free_addresses};
use crate::role::Role;

/// Timeout for the fleet, or its key-value service, to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of log lines that an error of a daemon quotes.
const LAST_LOG_LINES: usize = 20;
/// Concurrent requests that the stand-in of a target advertises as its capacity.
const TARGET_SLOTS: u32 = 64;

/// A router daemon.
pub struct DaemonProcess {
    /// Name in the settings of the daemon.
    pub name: String,
    /// Address for callers: of the daemon, or of the proxy in front of it.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// JSON file with the settings of the daemon.
    pub settings_path: PathBuf,
    /// The running, or last, process of the daemon.
    pub process: Process,
}

/// A target.
pub struct TargetProcess {
    /// Id under which the target is registered.
    pub name: String,
    /// Listen address of the target, also if daemons reach it through a proxy.
    pub address: SocketAddr,
    /// File to which the target appends its run records.
    pub records_path: PathBuf,
    /// Role to start it with, also on a restart.
    pub role: Role,
    /// The running, or last, process of the target.
    pub process: Process,
    /// When processes of the target were started, oldest first.
    pub started_at: Vec<SystemTime>,
}

impl TargetProcess {
    /// Software version under which the target is registered; none if it is no target.
    #[must_use]
    pub fn version(&self) -> Option<&str> {
        match &self.role {
            Role::Engine { registration, .. } | Role::Service { registration, .. } => {
                Some(&registration.version)
            }
            _ => None,
        }
    }
}

/// A network link that can be routed through a proxy; the value names the daemon or target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Link {
    /// From callers to a daemon.
    Callers(String),
    /// From the daemons to a target.
    Target(String),
    /// From a daemon to the key-value service.
    Store(String),
}

/// Returns the address to use in place of the real address of a link, such as that of a proxy.
pub type ProxyLink<'a> = &'a mut dyn FnMut(Link, SocketAddr) -> io::Result<SocketAddr>;

/// A running fleet; its processes are killed when it is dropped.
pub struct Fleet {
    program: PathBuf,
    directory: PathBuf,
    /// Address of the key-value service.
    pub key_value_address: SocketAddr,
    key_value: Vec<Process>,
    /// Router daemons.
    pub daemons: Vec<DaemonProcess>,
    /// Engines.
    pub engines: Vec<TargetProcess>,
    /// Service targets.
    pub services: Vec<TargetProcess>,
}

impl Fleet {
    /// Starts all processes and waits until the fleet is ready, as by [`Self::wait_until_ready`].
    ///
    /// # Errors
    /// If a process cannot be started, the configuration is rejected or the fleet is not ready
    /// within 30 seconds.
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

    /// Like [`Self::start`], with every link using the address that `proxy_link` returns.
    ///
    /// # Errors
    /// Like [`Self::start`], or if `proxy_link` fails.
    pub async fn start_proxied(
        program: &Path,
        directory: &Path,
        size: &FleetSize,
        config: &Config,
        proxy_link: ProxyLink<'_>,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(directory)?;
        let mut fleet = Self {
            program: program.to_owned(),
            directory: directory.to_owned(),
            key_value_address: free_addresses(1)?[0],
            key_value: Vec::new(),
            daemons: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
        };
        let role = Role::KeyValue {
            address: fleet.key_value_address,
        };
        fleet.key_value = vec![fleet.spawn("key-value", &role)?];
        fleet.wait_for_key_value().await?;
        fleet.start_targets(size, proxy_link)?;
        fleet.apply(config).await?;
        for index in 0..size.daemons {
            fleet.start_daemon_proxied(index, size, proxy_link)?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn spawn(&self, name: &str, role: &Role) -> io::Result<Process> {
        let log = self.directory.join(format!("{name}.log"));
        Process::start(&self.program, role, &log)
    }

    fn start_targets(&mut self, size: &FleetSize, proxy_link: ProxyLink<'_>) -> io::Result<()> {
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
            let records_path = self.directory.join(format!("{name}.records"));
            if records_path.exists() {
                std::fs::remove_file(&records_path)?;
            }
            let registration = Registration {
                store: self.key_value_address,
                id: name.clone(),
                service: pool.clone(),
                zone: size.failure_domain(index).to_owned(),
                version: size.version(index),
                slots: TARGET_SLOTS,
                advertised: proxy_link(Link::Target(name.clone()), address)?,
                heartbeat_ms: size.heartbeat_ms,
            };
            let role = target_role(size, is_engine, address, &records_path, registration);
            let target = TargetProcess {
                process: self.spawn(&name, &role)?,
                started_at: vec![SystemTime::now()],
                name,
                address,
                records_path,
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

    /// Starts an additional daemon; `index` determines its name and failure domain.
    ///
    /// # Errors
    /// If the daemon cannot be started.
    pub fn start_daemon(&mut self, index: usize, size: &FleetSize) -> io::Result<()> {
        self.start_daemon_proxied(index, size, &mut |_, address| Ok(address))
    }

    fn start_daemon_proxied(
        &mut self,
        index: usize,
        size: &FleetSize,
        proxy_link: ProxyLink<'_>,
    ) -> io::Result<()> {
        let addresses = free_addresses(3)?;
        let name = format!("entry-{index}");
        let store = proxy_link(Link::Store(name.clone()), self.key_value_address)?;
        let settings = json!({
            "core": {
                "daemon": name,
                "failure_domain": size.failure_domain(index),
                "peer_address": addresses[0],
                "operator_address": addresses[2],
            },
            "caller_address": addresses[1],
            "platform": {"key_value_address": store},
            "trace_file": self.directory.join(format!("{name}.spans")),
        });
        let settings_path = self.directory.join(format!("{name}.json"));
        std::fs::write(&settings_path, serde_json::to_vec_pretty(&settings)?)?;
        let role = Role::Daemon {
            settings: settings_path.clone(),
        };
        let process = self.spawn(&name, &role)?;
        self.daemons.push(DaemonProcess {
            caller_address: proxy_link(Link::Callers(name.clone()), addresses[1])?,
            name,
            operator_address: addresses[2],
            settings_path,
            process,
        });
        Ok(())
    }

    /// Starts an exited daemon again, with the same settings.
    ///
    /// # Errors
    /// If the daemon cannot be started.
    pub fn restart_daemon(&mut self, index: usize) -> io::Result<()> {
        let role = Role::Daemon {
            settings: self.daemons[index].settings_path.clone(),
        };
        let name = self.daemons[index].name.clone();
        self.daemons[index].process = self.spawn(&name, &role)?;
        Ok(())
    }

    /// Starts an exited engine again, with the same role.
    ///
    /// # Errors
    /// If the engine cannot be started.
    pub fn restart_engine(&mut self, index: usize) -> io::Result<()> {
        let role = self.engines[index].role.clone();
        let name = self.engines[index].name.clone();
        self.engines[index].process = self.spawn(&name, &role)?;
        self.engines[index].started_at.push(SystemTime::now());
        Ok(())
    }

    /// Starts an exited engine again at the same address, as a new target `id`.
    ///
    /// # Errors
    /// If the engine cannot be started.
    pub fn replace_engine(&mut self, index: usize, id: &str) -> io::Result<()> {
        let engine = &mut self.engines[index];
        if let Role::Engine { registration, .. } = &mut engine.role {
            id.clone_into(&mut registration.id);
        }
        self.restart_engine(index)
    }

    /// Starts an exited service target again, with the same role.
    ///
    /// # Errors
    /// If the target cannot be started.
    pub fn restart_service(&mut self, index: usize) -> io::Result<()> {
        let role = self.services[index].role.clone();
        let name = self.services[index].name.clone();
        self.services[index].process = self.spawn(&name, &role)?;
        self.services[index].started_at.push(SystemTime::now());
        Ok(())
    }

    async fn wait_for_key_value(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while set_faults(self.key_value_address, &Faults::default())
            .await
            .is_err()
        {
            if Instant::now() > deadline {
                return Err(io::Error::other(
                    "the stand-in of the key-value service did not become ready in time",
                ));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Writes a configuration to the store and returns its revision.
    ///
    /// # Errors
    /// If the configuration was not accepted.
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

    /// Waits until every daemon takes requests and has all targets in use.
    ///
    /// # Errors
    /// If a daemon is not ready within 30 seconds.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            loop {
                let missing = self.missing_for_readiness(daemon).await;
                if missing.is_empty() {
                    break;
                }
                if Instant::now() > deadline {
                    let log = self.last_log_lines(&daemon.name);
                    let message = format!(
                        "{} did not become ready in time: {missing:?}; its log ends with\n{log}",
                        daemon.name
                    );
                    return Err(io::Error::other(message));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// What a daemon still lacks to be ready with all targets in use; empty if nothing.
    async fn missing_for_readiness(&self, daemon: &DaemonProcess) -> Vec<String> {
        if !is_ready(daemon.caller_address).await {
            return vec!["it is not healthy for the load balancer".into()];
        }
        let Some(status) = status(daemon.operator_address).await else {
            return vec!["it reports no status".into()];
        };
        let targets = self.engines.iter().chain(&self.services);
        let missing = targets.filter_map(|target| {
            let known = status.targets.iter().find(|known| known.id == target.name);
            match known {
                Some(known) if known.is_in_use() => None,
                Some(known) => Some(format!("{known:?}")),
                None => Some(format!("{} is not known", target.name)),
            }
        });
        missing.collect()
    }

    fn last_log_lines(&self, name: &str) -> String {
        let log = std::fs::read_to_string(self.directory.join(format!("{name}.log")));
        let log = log.unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LAST_LOG_LINES)..].join("\n")
    }

    /// Fetches the status of all daemons in order; `None` for each that does not respond.
    pub async fn statuses(&self) -> Vec<Option<Status>> {
        let requests = self
            .daemons
            .iter()
            .map(|daemon| status(daemon.operator_address));
        futures::future::join_all(requests).await
    }

    /// Addresses of all daemons for callers, including daemons that have exited.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .map(|daemon| daemon.caller_address)
            .collect()
    }

    /// Keeps all processes running after the fleet is dropped.
    pub fn leave_running(&mut self) {
        let daemons = self.daemons.iter_mut().map(|daemon| &mut daemon.process);
        let engines = self.engines.iter_mut().map(|target| &mut target.process);
        let services = self.services.iter_mut().map(|target| &mut target.process);
        let all = daemons
            .chain(engines)
            .chain(services)
            .chain(&mut self.key_value);
        all.for_each(Process::leave_running);
    }
}

fn target_role(
    size: &FleetSize,
    is_engine: bool,
    address: SocketAddr,
    records_path: &Path,
    registration: Registration,
) -> Role {
    let records = records_path.to_owned();
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
