use compact_str::CompactString;

use super::LogLine;

/// A daemon that ended without a line about it: the requests that it held may have no line either.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncleanExit {
    /// The daemon.
    pub daemon: CompactString,
    /// Time of its last line before, in milliseconds of Unix time.
    pub last_line_ms: u64,
    /// When it started again, in milliseconds of Unix time.
    pub started_ms: u64,
}

impl UncleanExit {
    /// Daemons that started again without having told that they stopped, in order of time.
    #[must_use]
    pub fn find_all(lines: &[LogLine]) -> Vec<Self> {
        let mut in_order: Vec<&LogLine> = lines.iter().collect();
        in_order.sort_by(|a, b| (&a.daemon, a.time_ms).cmp(&(&b.daemon, b.time_ms)));
        let mut kills: Vec<Self> = in_order
            .windows(2)
            .filter_map(|pair| Self::between(pair[0], pair[1]))
            .collect();
        kills.sort_by_key(|kill| kill.started_ms);
        kills
    }

    fn between(last: &LogLine, next: &LogLine) -> Option<Self> {
        let is_kill =
            last.daemon == next.daemon && next.event == "started" && last.event != "stopped";
        is_kill.then(|| Self {
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
