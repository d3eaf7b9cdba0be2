//! Figures of a comparison.

use std::fmt::Write;
use std::time::Duration;

/// What a policy came to.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// Name of the policy.
    pub name: &'static str,
    /// Requests counted.
    pub requests: u64,
    /// Returning turns that ran.
    pub returning: u64,
    /// Those whose context was cached.
    pub cached: u64,
    /// Greatest load over the mean, at each admission.
    pub skews: Vec<f64>,
    /// Time from arrival to the start of the run, of urgent requests.
    pub urgent_waits: Vec<Duration>,
    /// Admissions above `multiple × mean + 3`.
    pub over_bound: u64,
    /// Requests refused.
    pub refused: u64,
    last_number: u64,
    decisions: u32,
    decision_time: Duration,
}

impl Summary {
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn note_cost(&mut self, time: Duration) {
        self.decisions += 1;
        self.decision_time += time;
    }

    /// Share of returning turns whose context was cached, in percent.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn reuse_percent(&self) -> f64 {
        100.0 * self.cached as f64 / self.returning.max(1) as f64
    }

    /// Greatest skew of a share of the admissions, in percent.
    #[must_use]
    pub fn skew_at(&self, percent: usize) -> f64 {
        let mut skews = self.skews.clone();
        skews.sort_by(f64::total_cmp);
        at(&skews, percent).copied().unwrap_or(0.0)
    }

    /// Longest wait of a share of the urgent requests, in percent.
    #[must_use]
    pub fn urgent_wait_at(&self, percent: usize) -> Duration {
        let mut waits = self.urgent_waits.clone();
        waits.sort();
        at(&waits, percent).copied().unwrap_or(Duration::ZERO)
    }

    /// Mean time of a decision.
    #[must_use]
    pub fn mean_decision(&self) -> Duration {
        self.decision_time / self.decisions.max(1)
    }
}

fn at<T>(sorted: &[T], percent: usize) -> Option<&T> {
    let position = sorted.len() * percent / 100;
    sorted.get(position.min(sorted.len().saturating_sub(1)))
}

/// The table of a comparison.
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
            summary.skew_at(50),
            summary.skew_at(99),
            summary.skew_at(100),
            summary.over_bound,
            summary.refused,
            summary.urgent_wait_at(50).as_millis(),
            summary.urgent_wait_at(99).as_millis(),
            summary.mean_decision().as_nanos(),
        )
        .expect("writing to a string does not fail");
    }
    text
}
