//! Settings of tickets, idempotency keys and kept answers.

use serde::{Deserialize, Serialize};

/// Settings of tickets, idempotency keys and kept answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OnceSettings {
    /// How long a finished answer is kept for a repeated request, in milliseconds.
    pub retention_ms: u64,
    /// How long an unused ticket is valid, in milliseconds.
    pub ticket_ttl_ms: u64,
    /// Largest answer kept for a repeated request, in bytes.
    pub kept_answer_bytes: usize,
    /// Memory for kept answers, in bytes.
    pub kept_total_bytes: usize,
    /// Tickets issued and not yet used.
    pub max_tickets: usize,
    /// Records of idempotency keys that this daemon writes a second.
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
