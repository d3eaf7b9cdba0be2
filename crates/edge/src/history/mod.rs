//! Reconstructs the history of a request, and the cause of its outcome, from the daemons' logs.

mod cause;
mod line;
mod unclean_exit;

use compact_str::CompactString;
use serde::Serialize;

pub use cause::{Cause, explain};
pub use line::LogLine;
pub use unclean_exit::UncleanExit;

/// Time before a request's first line within which daemon events are included.
const EVENT_WINDOW_MS: u64 = 10_000;

/// The history of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestHistory {
    /// Id under which the history was requested.
    pub request: CompactString,
    /// Log lines of the request, ordered by time.
    pub steps: Vec<LogLine>,
    /// Events of the daemon that wrote the last step, from shortly before the request to its end:
    /// about the targets that it used, the store and the configuration; and what any daemon
    /// decided about requests with the same content.
    #[serde(rename = "beliefs")]
    pub daemon_events: Vec<LogLine>,
    /// Why the request ended as it did.
    pub cause: Cause,
}

impl RequestHistory {
    /// Collects the history of a request from log lines; `None` if no line belongs to it.
    #[must_use]
    pub fn from_lines(request: &str, lines: &[LogLine]) -> Option<Self> {
        let mut steps: Vec<LogLine> = lines
            .iter()
            .filter(|line| line.is_about(request))
            .cloned()
            .collect();
        steps.sort_by_key(|line| line.time_ms);
        let last = steps.last()?;
        let first_ms = steps[0].time_ms.saturating_sub(EVENT_WINDOW_MS);
        let is_relevant = |line: &&LogLine| {
            let in_time = (first_ms..=last.time_ms).contains(&line.time_ms);
            let is_of_daemon = line.daemon == last.daemon && line.may_affect(&steps);
            in_time && is_of_daemon || line.is_about_same_content(&steps)
        };
        let daemon_events: Vec<LogLine> = lines.iter().filter(is_relevant).cloned().collect();
        Some(Self {
            request: request.into(),
            cause: explain(&steps, &daemon_events),
            steps,
            daemon_events,
        })
    }
}
