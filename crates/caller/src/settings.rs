//! Settings of the callers' side.

use serde::{Deserialize, Serialize};

/// Settings of the callers' side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Largest sum of header names and values, in bytes.
    pub max_header_bytes: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 2_097_152,
            max_header_bytes: 16_384,
        }
    }
}
