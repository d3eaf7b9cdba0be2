//! Finds daemons that exited without a graceful shutdown.

use compact_str::CompactString;

use super::LogLine;

/// A daemon that exited without logging `stopped`; requests in flight there may have no final log
/// line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncleanExit {
    /// Daemon that exited.
    pub daemon: CompactString,
    /// Time of its last log line before the exit, in milliseconds of Unix time.
    pub last_line_ms: u64,
    /// Time of the next start, in milliseconds of Unix time.
    pub started_ms: u64,
}

impl UncleanExit {
    /// Finds starts of a daemon whose previous line is not `stopped`, ordered by time.
    #[must_use]
    pub fn find_all(lines: &[LogLine]) -> Vec<Self> {
        let mut in_order: Vec<&LogLine> = lines.iter().collect();
        in_order.sort_by(|a, b| (&a.daemon, a.time_ms).cmp(&(&b.daemon, b.time_ms)));
        let mut exits: Vec<Self> = in_order
            .windows(2)
            .filter_map(|pair| Self::between(pair[0], pair[1]))
            .collect();
        exits.sort_by_key(|exit| exit.started_ms);
        exits
    }

    fn between(last: &LogLine, next: &LogLine) -> Option<Self> {
        let is_unclean =
            last.daemon == next.daemon && next.event == "started" && last.event != "stopped";
        is_unclean.then(|| Self {
            daemon: next.daemon.clone(),
            last_line_ms: last.time_ms,
            started_ms: next.time_ms,
        })
    }
}

impl std::fmt::Display for UncleanExit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            daemon,
            last_line_ms,
            started_ms,
        } = self;
        write!(
            f,
            "{daemon} was killed between {last_line_ms} and {started_ms}"
        )
    }
}
