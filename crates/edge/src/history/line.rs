//! Parses the lines of daemon logs.

use compact_str::CompactString;
use serde::Serialize;
use serde_json::{Map, Value};

/// Events that may affect every request of a daemon.
const DAEMON_WIDE_EVENTS: [&str; 10] = [
    "configuration_in_force",
    "profiles_in_force",
    "everything_listed",
    "configuration_unreadable",
    "started",
    "stopping",
    "store_source",
    "store_history_gone",
    "store_lost",
    "log_lines_dropped",
];

/// A parsed log line of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogLine {
    /// Time by the daemon's clock, in milliseconds of Unix time.
    pub time_ms: u64,
    /// Daemon that wrote the line.
    pub daemon: CompactString,
    /// Event name.
    pub event: CompactString,
    /// All other fields of the line.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Whether the line belongs to a request, given by its logged id or by its trace id: requests
    /// of profiles are logged as `trace-span`, and callers know only the trace id.
    #[must_use]
    pub fn is_about(&self, request: &str) -> bool {
        let Some(known) = self.text("request") else {
            return false;
        };
        let span = known.strip_prefix(request);
        span.is_some_and(|span| span.is_empty() || span.starts_with('-'))
    }

    /// Parses a line and ignores any prefix before the first brace. Returns `None` if it is not a
    /// log line of a daemon.
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

    /// The value of a field, if it is a string.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Whether the line is a decision about requests with the same content as that of these steps.
    pub(super) fn is_about_same_content(&self, steps: &[Self]) -> bool {
        let fingerprint = self.text("fingerprint");
        let is_same = |step: &Self| step.text("fingerprint") == fingerprint;
        fingerprint.is_some() && !self.fields.contains_key("request") && steps.iter().any(is_same)
    }

    /// Whether the line is an event of the daemon that may have affected the request with these
    /// steps: a daemon-wide event, or one of a target that the request used.
    pub(super) fn may_affect(&self, steps: &[Self]) -> bool {
        if self.fields.contains_key("request") {
            return false;
        }
        let target = self.text("target");
        let is_used_target = || steps.iter().any(|step| step.text("target") == target);
        DAEMON_WIDE_EVENTS.contains(&self.event.as_str()) || (target.is_some() && is_used_target())
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
