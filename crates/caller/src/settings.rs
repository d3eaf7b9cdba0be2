//! Settings of the HTTP interface for callers.

use serde::{Deserialize, Serialize};

/// Size limits of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// Limit for a request body, in bytes.
    pub max_body_bytes: usize,
    /// Limit for all header names and values of a request, in bytes.
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
