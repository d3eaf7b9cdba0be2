//! A daemon's estimate of a target's load. It counts its own requests exactly, and derives those of
//! other daemons from the load that the target reports in its answers.

use std::time::Duration;

use crate::clock::Moment;

/// Age at which a load report is no longer used; most streams end within this time.
const REPORT_TTL: Duration = Duration::from_secs(4);

value! {
    /// Load that a target reports about itself.
    pub struct ReportedLoad {
        /// Requests that are being executed.
        pub running: u32,
        /// Requests in the target's queue.
        pub waiting: u32,
        /// Requests that the target can execute concurrently.
        pub slots: u32,
    }
}

/// Load of one target as seen by this daemon.
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    /// Requests of this daemon in flight. Invariant: incremented by each request sent, decremented
    /// by each one that ended.
    own_requests: u32,
    /// Requests of other daemons at the time of the last report.
    other_requests: u32,
    reported_at: Option<Moment>,
}

impl LoadView {
    /// Counts a request sent to the target.
    pub fn record_sent(&mut self) {
        self.own_requests += 1;
    }

    /// Counts the end of a request to the target, whatever its outcome.
    pub fn record_ended(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Records the load reported in an answer. Must be called before [`Self::record_ended`] for the
    /// answered request, which the reported load still includes.
    pub fn record_report(&mut self, now: Moment, load: &ReportedLoad) {
        self.other_requests = (load.running + load.waiting).saturating_sub(self.own_requests);
        self.reported_at = Some(now);
    }

    /// Requests of this daemon in flight at the target.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Age of the last report; `None` before the first one.
    #[must_use]
    pub fn report_age(&self, now: Moment) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_sub(at))
    }

    /// Estimates the requests of all daemons in flight at the target. The weight of the last report
    /// decays linearly with its age, in favor of `mean_others`: the mean number of requests that
    /// other daemons have in flight at one target.
    #[must_use]
    pub fn estimate(&self, now: Moment, mean_others: f64) -> f64 {
        let report_weight = match self.report_age(now) {
            Some(age) if age < REPORT_TTL => 1.0 - age.as_secs_f64() / REPORT_TTL.as_secs_f64(),
            _ => 0.0,
        };
        let other_requests =
            report_weight * f64::from(self.other_requests) + (1.0 - report_weight) * mean_others;
        f64::from(self.own_requests) + other_requests
    }

    /// Requests of other daemons in flight at the last report, unless the report has expired.
    #[must_use]
    pub fn fresh_others(&self, now: Moment) -> Option<u32> {
        let age = self.report_age(now)?;
        (age < REPORT_TTL).then_some(self.other_requests)
    }
}
