//! Document of the profile configuration, and its parsing.

use std::sync::Arc;

use snafu::ResultExt;

use super::check::{self, ConfigError, SyntaxSnafu};
use super::{Pool, Profile, Workspace};
use crate::ids::ConfigRevision;

document! {
    /// Profile configuration of the fleet, as operators edit it.
    pub struct Config {
        /// Names and API keys are unique.
        pub workspaces: Vec<Workspace>,
        /// Names are unique.
        pub pools: Vec<Pool>,
        /// Names are unique; every pool exists.
        pub profiles: Vec<Profile>,
    }

    /// Stored form of a configuration. It is accepted once it is written to the store.
    pub struct Accepted {
        /// Invariant: one more than the revision that it replaced.
        pub revision: ConfigRevision,
        /// Random number by which the writer recognizes its change after a lost answer.
        pub change_mark: u64,
        /// Time of acceptance, in milliseconds of Unix time.
        pub accepted_at_ms: u64,
        /// Accepted document.
        pub config: Config,
    }
}

impl Config {
    /// Parses and checks a document.
    ///
    /// # Errors
    /// [`ConfigError`] with the path of each invalid field and how to correct it.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let config: Self = serde_path_to_error::deserialize(&mut reader).context(SyntaxSnafu)?;
        reader.end().context(check::TrailingSnafu)?;
        check::check(&config)?;
        Ok(config)
    }

    /// Finds a pool by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Finds a profile by name.
    #[must_use]
    pub fn profile(&self, name: &str) -> Option<&Profile> {
        self.profiles.iter().find(|profile| profile.name == name)
    }

    /// Finds a workspace by name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == name)
    }

    /// Finds the workspace whose API key has this SHA-256, in lower-case hex.
    #[must_use]
    pub fn workspace_of_key(&self, key_sha256: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.key_sha256 == key_sha256)
    }
}

impl Accepted {
    /// Whether this change was accepted after `other`, also if the store lost the revision of that one and
    /// gave it out again.
    #[must_use]
    pub fn is_later_than(&self, other: &Self) -> bool {
        let is_other_change = self.change_mark != other.change_mark;
        is_other_change && self.accepted_at_ms > other.accepted_at_ms
    }

    /// Parses and checks a stored configuration.
    ///
    /// # Errors
    /// [`ConfigError`] as for [`Config::parse`].
    pub fn parse(text: &[u8]) -> Result<Arc<Self>, ConfigError> {
        let mut reader = serde_json::Deserializer::from_slice(text);
        let accepted: Self = serde_path_to_error::deserialize(&mut reader).context(SyntaxSnafu)?;
        check::check(&accepted.config)?;
        Ok(Arc::new(accepted))
    }

    /// Serializes the stored form.
    ///
    /// # Panics
    /// Never: every value of the type can be represented in JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a configuration is always valid JSON")
    }
}
