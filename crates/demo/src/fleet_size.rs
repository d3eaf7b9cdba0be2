//! Number of processes in a fleet and timing of its stand-ins.

use lapismoor_adapter_standin::HEARTBEAT_MS;

/// Number of processes in a fleet and timing of its stand-ins.
#[derive(Debug, Clone)]
pub struct FleetSize {
    /// Number of router daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of service targets.
    pub services: usize,
    /// Failure domains, over which daemons and targets are distributed; not empty.
    pub failure_domains: Vec<String>,
    /// Pool of the engines in the configuration.
    pub engine_pool: String,
    /// Pool of the service targets in the configuration.
    pub service_pool: String,
    /// Tokens in a response of an engine.
    pub tokens: usize,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// Time to process a prompt that is not cached, in milliseconds.
    pub prefill_ms: u64,
    /// Duration of a service call, in milliseconds.
    pub work_ms: u64,
    /// Software versions, over which targets are distributed; not zero.
    pub versions: usize,
    /// Interval at which targets renew the leases of their entries, in milliseconds. An entry expires
    /// three intervals after the last renewal.
    pub heartbeat_ms: u64,
}

impl FleetSize {
    /// 6 daemons, 10 engines and 3 service targets in the pools of `examples/midshire.json`.
    #[must_use]
    pub fn midshire() -> Self {
        Self {
            daemons: 6,
            engines: 10,
            services: 3,
            failure_domains: ["nottingham", "derby", "leicester"]
                .map(String::from)
                .to_vec(),
            engine_pool: "language".into(),
            service_pool: "map-lookup".into(),
            tokens: 24,
            token_ms: 8,
            prefill_ms: 120,
            work_ms: 30,
            versions: 1,
            heartbeat_ms: HEARTBEAT_MS,
        }
    }

    /// Software version of the target at `index`, assigned in turn.
    #[must_use]
    pub fn version(&self, index: usize) -> String {
        format!("v1.{}", index % self.versions)
    }

    /// Failure domain of the daemon or target at `index`, assigned in turn.
    #[must_use]
    pub fn failure_domain(&self, index: usize) -> &str {
        &self.failure_domains[index % self.failure_domains.len()]
    }
}
