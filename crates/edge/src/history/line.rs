//! One line of a daemon's log.

use compact_str::CompactString;
use serde::Serialize;
use serde_json::{Map, Value};

/// Beliefs that concern every request of a daemon.
const GENERAL_BELIEFS: [&str; 11] = [
    "configuration_in_force",
    "profiles_in_force",
    "everything_listed",
    "crash_suspected",
    "configuration_unreadable",
    "started",
    "stopping",
    "store_source",
    "store_history_gone",
    "store_lost",
    "log_lines_dropped",
];

/// One line of a daemon's log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogLine {
    /// Time of day at the daemon, in milliseconds of Unix time.
    pub time_ms: u64,
    /// Daemon that wrote it.
    pub daemon: CompactString,
    /// What happened.
    pub event: CompactString,
    /// All other fields.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Whether the line is about a request. Requests of profiles are logged under trace and span, and
    /// callers know the trace.
    #[must_use]
    pub fn is_about(&self, request: &str) -> bool {
        let Some(known) = self.text("request") else {
            return false;
        };
        let span = known.strip_prefix(request);
        span.is_some_and(|span| span.is_empty() || span.starts_with('-'))
    }

    /// Reads a line; what stands before the first brace is skipped. None if it is no line of a
    /// daemon.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(text[start..].trim()).ok()?;
        let time_ms = fields.remove("time_ms")?.as_u64()?;
        let daemon = fields.remove("daemon")?.as_str()?.into();
        let event = fields.remove("event")?.as_str()?.into();
        Some(Self {
            time_ms,
            daemon,
            event,
            fields,
        })
    }

    /// A field that is text.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Whether it says what the daemon believes of something that these lines of a request use.
    pub(super) fn is_belief_about(&self, steps: &[Self]) -> bool {
        if self.fields.contains_key("request") {
            return false;
        }
        let target = self.text("target");
        let is_used = || steps.iter().any(|step| step.text("target") == target);
        GENERAL_BELIEFS.contains(&self.event.as_str()) || (target.is_some() && is_used())
    }
}

impl std::fmt::Display for LogLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {}", self.time_ms, self.daemon, self.event)?;
        let shown = self
            .fields
            .iter()
            .filter(|(name, _)| !matches!(name.as_str(), "request" | "level"));
        for (name, value) in shown {
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}
