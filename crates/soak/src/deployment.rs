//! The users' deployments at their current size.

use lapismoor_core::config::{Accepted, Config, PoolKind};

/// Example configuration with the number of processes it runs.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name by which the command line selects it.
    pub name: &'static str,
    /// Configuration from `examples/`.
    pub config: Config,
    /// Number of daemons, one on each entry VM.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of targets of plain services.
    pub services: usize,
    /// Failure domains that the daemons are spread over.
    pub failure_domains: [&'static str; 3],
}

impl Deployment {
    /// Looks up a deployment; `None` if the name is unknown or its configuration is invalid.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "midshire" => Some(Self {
                name: "midshire",
                config: parse(include_str!("../../../examples/midshire.json"))?,
                daemons: 6,
                engines: 10,
                services: 3,
                failure_domains: ["nottingham", "derby", "leicester"],
            }),
            "kerbrat" => Some(Self {
                name: "kerbrat",
                config: parse(include_str!("../../../examples/kerbrat.json"))?,
                daemons: 7,
                engines: 20,
                services: 3,
                failure_domains: ["brest", "quimper", "morlaix"],
            }),
            _ => None,
        }
    }

    /// The configuration as the first accepted revision.
    #[must_use]
    pub fn accepted(&self) -> Accepted {
        Accepted {
            revision: 1,
            change_mark: 1,
            accepted_at_ms: 0,
            config: self.config.clone(),
        }
    }

    /// The first pool of this kind, or the first of all pools if there is none.
    #[must_use]
    pub fn pool(&self, kind: &PoolKind) -> &lapismoor_core::config::Pool {
        let pools = &self.config.pools;
        pools
            .iter()
            .find(|pool| pool.kind == *kind)
            .unwrap_or(&pools[0])
    }
}

fn parse(text: &str) -> Option<Config> {
    Config::parse(text.as_bytes()).ok()
}
