//! Settings of tickets, idempotency keys and kept answers.

use serde::{Deserialize, Serialize};

/// Limits and lifetimes; every field has a default.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OnceSettings {
    /// How long a finished answer is kept for retries of the request, in milliseconds.
    pub retention_ms: u64,
    /// Validity of an unused ticket, in milliseconds.
    pub ticket_ttl_ms: u64,
    /// Largest body of a kept answer, in bytes.
    pub kept_answer_bytes: usize,
    /// Limit on the bodies of all kept answers together, in bytes.
    pub kept_total_bytes: usize,
    /// Maximum number of unused tickets.
    pub max_tickets: usize,
    /// Maximum rate at which this daemon writes records of idempotency keys, per second.
    pub key_records_per_second: f64,
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            retention_ms: 60_000,
            ticket_ttl_ms: 300_000,
            kept_answer_bytes: 262_144,
            kept_total_bytes: 16_777_216,
            max_tickets: 20_000,
            key_records_per_second: 20.0,
        }
    }
}
