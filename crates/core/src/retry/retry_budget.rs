//! Retry budget of one daemon for one service. It keeps the retries of the whole fleet within a
//! ratio of the requests, without coordination: each daemon limits itself by its own traffic. The
//! window of a daemon is lost when it is killed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::membership::TrafficShare;

/// Share of the allowed retries that a daemon uses. The rest covers differences between the sliding
/// windows of the daemons.
const USED_RATIO_SHARE: f64 = 0.75;

value! {
    /// Limits on the retries of the whole fleet.
    pub struct RetryBudgetSettings {
        /// Retries allowed per 100 requests.
        pub ratio_percent: u32,
        /// Length of the sliding window.
        pub window: Duration,
        /// Retries that the whole fleet may make per window on top of the ratio.
        pub fleet_slack: u32,
    }
}

/// Share that a daemon uses in its first window if it replaces one that was killed or stopped within
/// that time. Its predecessor may have used its own share in the same window.
const RESTARTED_RATIO_SHARE: f64 = 1.0 - USED_RATIO_SHARE;

/// Sliding window over the requests and retries of one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// End of the first window of a daemon with a predecessor, whose retries are not known.
    restricted_until: Option<Moment>,
    /// Time of the last update.
    updated_at: Moment,
    /// Times of requests. Invariant: ascending; expired ones are evicted on each update.
    requests: VecDeque<Moment>,
    /// Times of retries. Invariant: as for `requests`.
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            restricted_until: None,
            updated_at: Moment::ZERO,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Leaves room for the retries of the daemon's predecessor, which ended before `started_at`.
    pub fn follow_predecessor(&mut self, started_at: Moment) {
        self.restricted_until = Some(started_at + self.settings.window);
    }

    /// Counts a request of a caller to the service; retries are not counted here.
    pub fn count_request(&mut self, now: Moment) {
        self.evict_expired(now);
        self.requests.push_back(now);
    }

    /// Takes a retry from the budget. Returns false if none is left in the window. `share` is the
    /// daemon's share of the fleet's traffic, and thereby of the fleet's slack.
    pub fn take_retry(&mut self, now: Moment, share: &TrafficShare) -> bool {
        self.evict_expired(now);
        if self.retries.len() >= self.max_retries(share) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Retries left in the window, as of the last update.
    #[must_use]
    pub fn left(&self, share: &TrafficShare) -> usize {
        self.max_retries(share).saturating_sub(self.retries.len())
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn max_retries(&self, share: &TrafficShare) -> usize {
        let ratio = f64::from(self.settings.ratio_percent) / 100.0;
        let earned = ratio * self.requests.len() as f64;
        let slack = share.of(self.settings.fleet_slack);
        let is_restricted = self
            .restricted_until
            .is_some_and(|until| self.updated_at < until);
        let used_share = if is_restricted {
            RESTARTED_RATIO_SHARE
        } else {
            USED_RATIO_SHARE
        };
        (used_share * (earned + slack)) as usize
    }

    fn evict_expired(&mut self, now: Moment) {
        self.updated_at = now;
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
