//! What one daemon knows of a target's load: its own requests exactly, those of other daemons from
//! what the target told on its answers.

use std::time::Duration;

use crate::clock::Moment;

/// Time after which a report says nothing any more; most streams end within it.
const REPORT_LIFE: Duration = Duration::from_secs(4);

value! {
    /// Load as a target tells it.
    pub struct ReportedLoad {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// Requests that can run at once.
        pub slots: u32,
    }
}

/// Load of one target.
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    /// Requests of this daemon in flight. Invariant: grows with each send, falls with each end.
    own: u32,
    /// Requests of other daemons when the target last told.
    others: u32,
    reported_at: Option<Moment>,
}

impl LoadView {
    /// Counts a request sent.
    pub fn record_sent(&mut self) {
        self.own += 1;
    }

    /// Counts the end of a request.
    pub fn record_ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes what the target told on an answer, when the answered request was still counted.
    pub fn record_report(&mut self, now: Moment, load: &ReportedLoad) {
        self.others = (load.running + load.waiting).saturating_sub(self.own);
        self.reported_at = Some(now);
    }

    /// Requests of this daemon in flight.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own
    }

    /// Age of the last report.
    #[must_use]
    pub fn report_age(&self, now: Moment) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_sub(at))
    }

    /// Requests in flight there as far as is known; a report wears off linearly towards
    /// `typical_others`, what other daemons have in flight at a target on average.
    #[must_use]
    pub fn estimate(&self, now: Moment, typical_others: f64) -> f64 {
        let trust = match self.report_age(now) {
            Some(age) if age < REPORT_LIFE => 1.0 - age.as_secs_f64() / REPORT_LIFE.as_secs_f64(),
            _ => 0.0,
        };
        let others = trust * f64::from(self.others) + (1.0 - trust) * typical_others;
        f64::from(self.own) + others
    }

    /// What other daemons had in flight at the last report, if it still says something.
    #[must_use]
    pub fn fresh_others(&self, now: Moment) -> Option<u32> {
        let age = self.report_age(now)?;
        (age < REPORT_LIFE).then_some(self.others)
    }
}
