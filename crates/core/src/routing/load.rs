//! A daemon's estimate of a target's load. It counts its own requests exactly, and derives those of
//! other daemons from the load that the target reports in its answers, to this daemon or to others
//! that pass it on.

use std::time::Duration;

use crate::clock::Moment;
use crate::routing::pace::PaceView;

/// Age at which a load report is no longer used. Most streams end within this time, but a home
/// keeps getting the requests of its parts, so that an older report still says more than the mean.
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
    /// Requests of all daemons in the last report.
    all_requests: u32,
    /// When the target made the last report.
    reported_at: Option<Moment>,
    /// When the last report reached this daemon, from the target or through another daemon.
    received_at: Moment,
    /// Whether the last report came from the target itself.
    is_own_report: bool,
    /// Time that work takes there.
    pub pace: PaceView,
    /// Shortest time in which a connection was opened, which is about the way there and back.
    round_trip: Option<Duration>,
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
        self.set_report(now, now, load.running + load.waiting);
        self.is_own_report = true;
    }

    /// Records a load of `all_requests` that the target reported to another daemon at
    /// `reported_at`. Ignored unless it is newer than the last report.
    pub fn record_relayed_report(&mut self, now: Moment, reported_at: Moment, all_requests: u32) {
        if self.reported_at.is_none_or(|last| last < reported_at) {
            self.set_report(now, reported_at.min(now), all_requests);
            self.is_own_report = false;
        }
    }

    /// Requests in the last report and its time, if it reached this daemon after `since`.
    #[must_use]
    pub fn report_since(&self, since: Moment) -> Option<(u32, Moment)> {
        let reported_at = self.reported_at?;
        (self.received_at > since).then_some((self.all_requests, reported_at))
    }

    /// Whether the last report came from the target itself, and not through another daemon.
    #[must_use]
    pub fn is_own_report(&self) -> bool {
        self.is_own_report
    }

    fn set_report(&mut self, now: Moment, reported_at: Moment, all_requests: u32) {
        self.other_requests = all_requests.saturating_sub(self.own_requests);
        self.all_requests = all_requests;
        self.reported_at = Some(reported_at);
        self.received_at = now;
    }

    /// Records that a connection to the target was opened in `time`.
    pub fn record_connected(&mut self, time: Duration) {
        self.round_trip = Some(self.round_trip.map_or(time, |least| least.min(time)));
    }

    /// Time that the target itself took for an answer that arrived `time` after its request was
    /// sent.
    #[must_use]
    pub fn time_at_target(&self, time: Duration) -> Duration {
        time.saturating_sub(self.round_trip.unwrap_or_default())
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

    /// Estimates the requests of all daemons in flight at the target. Without a fresh report, the
    /// other daemons are assumed to have `mean_others` there, the mean number at one target.
    #[must_use]
    pub fn estimate(&self, now: Moment, mean_others: f64) -> f64 {
        let others = self.fresh_others(now).map_or(mean_others, f64::from);
        f64::from(self.own_requests) + others
    }

    /// Requests of other daemons in flight at the last report, unless the report has expired.
    #[must_use]
    pub fn fresh_others(&self, now: Moment) -> Option<u32> {
        let age = self.report_age(now)?;
        (age < REPORT_TTL).then_some(self.other_requests)
    }
}
