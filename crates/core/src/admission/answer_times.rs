//! Learns how long the answers to the requests of each route take, and how much work they are.

use std::time::Duration;

use compact_str::CompactString;

/// Weight of one answer in the moving averages.
const ANSWER_WEIGHT: f64 = 0.05;
/// Mean deviations above the mean within which most answers arrive.
const DEVIATIONS: f64 = 2.0;
/// Longest answer time that is expected, as a multiple of the route's mean, however much work a
/// request is.
const MAX_WORK_FACTOR: f64 = 4.0;

value! {
    /// What a request is expected to take.
    pub struct ExpectedAnswer {
        /// Time within which its answer arrives.
        pub time: Duration,
        /// Work, in percent of the average of its route.
        pub work_percent: u32,
    }
}

#[derive(Debug, Clone)]
struct RouteTimes {
    /// Moving average of the time to an answer.
    mean_s: f64,
    /// Moving average of the difference to `mean_s`.
    deviation_s: f64,
    /// Moving average of the work.
    mean_work: f64,
}

/// Answer times of the routes at one daemon.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    /// Invariant: sorted by name of the route.
    routes: Vec<(CompactString, RouteTimes)>,
}

impl AnswerTimes {
    /// Records that an answer to a request of `work` units took `time`. Units are comparable within
    /// a route, such as tokens.
    pub fn record(&mut self, route: &str, time: Duration, work: u32) {
        let (time_s, work) = (time.as_secs_f64(), f64::from(work.max(1)));
        let found = self
            .routes
            .binary_search_by(|(name, _)| name.as_str().cmp(route));
        match found {
            Ok(position) => {
                let times = &mut self.routes[position].1;
                let difference_s = time_s - times.mean_s;
                times.mean_s += ANSWER_WEIGHT * difference_s;
                times.deviation_s += ANSWER_WEIGHT * (difference_s.abs() - times.deviation_s);
                times.mean_work += ANSWER_WEIGHT * (work - times.mean_work);
            }
            Err(position) => {
                let times = RouteTimes {
                    mean_s: time_s,
                    deviation_s: time_s / 2.0,
                    mean_work: work,
                };
                self.routes.insert(position, (route.into(), times));
            }
        }
    }

    /// What a request of `work` units is expected to take; `None` before the first answer of its
    /// route.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn expected(&self, route: &str, work: u32) -> Option<ExpectedAnswer> {
        let found = self
            .routes
            .binary_search_by(|(name, _)| name.as_str().cmp(route));
        let times = &self.routes[found.ok()?].1;
        let work_factor = f64::from(work.max(1)) / times.mean_work;
        let work_factor = work_factor.clamp(1.0 / MAX_WORK_FACTOR, MAX_WORK_FACTOR);
        // Small requests wait at targets as long as large ones.
        let mean_s = times.mean_s * work_factor.max(1.0);
        Some(ExpectedAnswer {
            time: Duration::from_secs_f64(mean_s + DEVIATIONS * times.deviation_s),
            work_percent: (work_factor * 100.0) as u32,
        })
    }
}
