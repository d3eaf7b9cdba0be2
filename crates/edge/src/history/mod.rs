//! Tells from the logs of all daemons what became of one request, and why.

mod cause;
mod kill;
mod line;

use compact_str::CompactString;
use serde::Serialize;

pub use cause::{Cause, explain};
pub use kill::UncleanExit;
pub use line::LogLine;

/// How long before the end of a request a belief may have mattered to it, in milliseconds.
const BELIEF_WINDOW_MS: u64 = 10_000;

/// The story of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestHistory {
    /// Its id.
    pub request: CompactString,
    /// Lines about it, in order of time.
    pub steps: Vec<LogLine>,
    /// What the daemon that took it learned shortly before, about the targets that it used, the
    /// store and the configuration.
    #[serde(rename = "beliefs")]
    pub daemon_events: Vec<LogLine>,
    /// Why it ended as it did.
    pub cause: Cause,
}

impl RequestHistory {
    /// Puts the story of a request together; none if no line is about it.
    #[must_use]
    pub fn from_lines(request: &str, lines: &[LogLine]) -> Option<Self> {
        let mut steps: Vec<LogLine> = lines
            .iter()
            .filter(|line| line.is_about(request))
            .cloned()
            .collect();
        steps.sort_by_key(|line| line.time_ms);
        let last = steps.last()?;
        let first_ms = steps[0].time_ms.saturating_sub(BELIEF_WINDOW_MS);
        let matters = |line: &&LogLine| {
            let in_time = (first_ms..=last.time_ms).contains(&line.time_ms);
            in_time && line.daemon == last.daemon && line.is_belief_about(&steps)
        };
        let beliefs: Vec<LogLine> = lines.iter().filter(matters).cloned().collect();
        Some(Self {
            request: request.into(),
            cause: explain(&steps, &beliefs),
            steps,
            daemon_events: beliefs,
        })
    }
}
