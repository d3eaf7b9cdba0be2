//! The retries that one daemon may spend on a service, so that the fleet together stays within a
//! share of the requests. No daemon asks another: each keeps to the share of its own traffic.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::membership::TrafficShare;

/// Part of the allowed ratio that a daemon uses; the rest covers uneven windows between daemons.
const USED_SHARE: f64 = 0.75;

value! {
    /// The fleet's limits on retries.
    pub struct RetryBudgetSettings {
        /// Retries for each hundred requests.
        pub ratio_percent: u32,
        /// Length of the sliding window.
        pub window: Duration,
        /// Retries that the whole fleet may make in a window beside the ratio.
        pub fleet_slack: u32,
    }
}

/// Requests and retries of the last window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Invariant: in order of time, none older than the window when it was last used.
    requests: VecDeque<Moment>,
    /// Invariant: as `requests`.
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// A budget that was not used yet.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request that callers sent for the service.
    pub fn count_request(&mut self, now: Moment) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes a retry; false when the window's are used up. The daemon's `share` of the traffic is
    /// its share of the fleet's slack.
    pub fn take(&mut self, now: Moment, share: &TrafficShare) -> bool {
        self.forget(now);
        if self.retries.len() >= self.allowed(share) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Retries left in the window.
    #[must_use]
    pub fn left(&self, share: &TrafficShare) -> usize {
        self.allowed(share).saturating_sub(self.retries.len())
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn allowed(&self, share: &TrafficShare) -> usize {
        let ratio = f64::from(self.settings.ratio_percent) / 100.0;
        let earned = ratio * self.requests.len() as f64;
        let slack = share.of(self.settings.fleet_slack);
        (USED_SHARE * (earned + slack)) as usize
    }

    fn forget(&mut self, now: Moment) {
        let window = self.settings.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|time| now.saturating_sub(*time) > window)
            {
                times.pop_front();
            }
        }
    }
}
