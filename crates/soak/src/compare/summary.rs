//! Results of a simulation and their table.

use std::fmt::Write;
use std::time::Duration;

/// Results of one policy after the warm-up; refusals and decision times cover the whole run.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// Name of the policy in the table.
    pub name: &'static str,
    /// Requests that arrived.
    pub requests: u64,
    /// Turns of known chats whose run started.
    pub returning_turns: u64,
    /// Those of the returning turns whose context was cached on the engine.
    pub cache_hits: u64,
    /// Ratio of the greatest to the mean engine load, after each request was sent to an engine.
    pub load_skews: Vec<f64>,
    /// Time from arrival to the start of the run, for each urgent request.
    pub urgent_waits: Vec<Duration>,
    /// Requests after whose arrival the load of their engine was above `load_multiple × mean + 3`.
    pub over_bound: u64,
    /// Requests that the policy refused.
    pub refused_requests: u64,
    last_request_id: u64,
    decisions: u32,
    decision_time: Duration,
}

impl Summary {
    pub(super) fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    pub(super) fn record_decision(&mut self, time: Duration) {
        self.decisions += 1;
        self.decision_time += time;
    }

    /// Turns of known chats that found their context cached, in percent.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn reuse_percent(&self) -> f64 {
        100.0 * self.cache_hits as f64 / self.returning_turns.max(1) as f64
    }

    /// Percentile of the load skew; 0 if none was recorded.
    #[must_use]
    pub fn load_skew_percentile(&self, percent: usize) -> f64 {
        let mut load_skews = self.load_skews.clone();
        load_skews.sort_by(f64::total_cmp);
        percentile(&load_skews, percent).copied().unwrap_or(0.0)
    }

    /// Percentile of the wait of urgent requests; zero if none ran.
    #[must_use]
    pub fn urgent_wait_percentile(&self, percent: usize) -> Duration {
        let mut waits = self.urgent_waits.clone();
        waits.sort();
        percentile(&waits, percent)
            .copied()
            .unwrap_or(Duration::ZERO)
    }

    /// Mean time that the policy took to place a request, measured on the real clock.
    #[must_use]
    pub fn mean_decision_time(&self) -> Duration {
        self.decision_time / self.decisions.max(1)
    }
}

fn percentile<T>(sorted: &[T], percent: usize) -> Option<&T> {
    let index = sorted.len() * percent / 100;
    sorted.get(index.min(sorted.len().saturating_sub(1)))
}

/// Formats the results as a table with one line for each policy.
#[must_use]
pub fn table(summaries: &[Summary]) -> String {
    let mut text = format!(
        "{:20} {:>8} {:>7} {:>7} {:>7} {:>6} {:>5} {:>7} {:>9} {:>9} {:>9}\n",
        "POLICY",
        "REQUESTS",
        "REUSE %",
        "SKEW 50",
        "SKEW 99",
        "WORST",
        "OVER",
        "REFUSED",
        "URG p50ms",
        "URG p99ms",
        "DECIDE ns"
    );
    for summary in summaries {
        writeln!(
            text,
            "{:20} {:8} {:7.1} {:7.2} {:7.2} {:6.2} {:5} {:7} {:9} {:9} {:9}",
            summary.name,
            summary.requests,
            summary.reuse_percent(),
            summary.load_skew_percentile(50),
            summary.load_skew_percentile(99),
            summary.load_skew_percentile(100),
            summary.over_bound,
            summary.refused_requests,
            summary.urgent_wait_percentile(50).as_millis(),
            summary.urgent_wait_percentile(99).as_millis(),
            summary.mean_decision_time().as_nanos(),
        )
        .expect("writing to a string does not fail");
    }
    text
}
