//! Size of a fleet.

/// Size of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSize {
    /// Router daemons.
    pub daemons: usize,
    /// Engines.
    pub engines: usize,
    /// Service targets.
    pub services: usize,
    /// Failure domains.
    pub failure_domains: Vec<String>,
    /// Name of the pool of engines.
    pub engine_pool: String,
    /// Name of the pool of services.
    pub service_pool: String,
    /// Tokens of an answer.
    pub tokens: usize,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Time to read a prompt that is not cached, in milliseconds.
    pub prefill_ms: u64,
    /// Time that a service call takes, in milliseconds.
    pub work_ms: u64,
}

impl FleetSize {
    /// The size of today, with the pools of Midshire's configuration.
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
        }
    }

    /// Failure domain of the daemon or target with this index.
    #[must_use]
    pub fn domain(&self, index: usize) -> &str {
        &self.failure_domains[index % self.failure_domains.len()]
    }
}
