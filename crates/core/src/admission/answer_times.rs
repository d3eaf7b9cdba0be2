//! Learns how long the answers to the requests of each route take, and how much work they are.

use std::time::Duration;

use compact_str::CompactString;

/// Weight of one answer in the moving averages.
const ANSWER_WEIGHT: f64 = 0.05;
/// Weight of an answer that took longer than a quick one.
const SLOW_ANSWER_WEIGHT: f64 = 0.01;
/// Weight of an answer that took less.
const QUICK_ANSWER_WEIGHT: f64 = 0.25;
/// Greatest work of a request, as a multiple of the route's mean.
const MAX_WORK_FACTOR: f64 = 4.0;

value! {
    /// What a request is expected to take.
    pub struct ExpectedAnswer {
        /// Time within which most answers arrive.
        pub usual_time: Duration,
        /// Time that a quick answer takes. Most take longer where requests wait at targets.
        pub quick_time: Duration,
        /// Work, in percent of the average of its route.
        pub work_percent: u32,
    }
}

#[derive(Debug, Clone)]
struct RouteTimes {
    /// Time to a quick answer: follows those that take less, and slowly those that take more.
    quick_s: f64,
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
        let (took_s, work) = (time.as_secs_f64(), f64::from(work.max(1)));
        let found = self
            .routes
            .binary_search_by(|(name, _)| name.as_str().cmp(route));
        match found {
            Ok(position) => {
                let times = &mut self.routes[position].1;
                let weight = if took_s < times.quick_s {
                    QUICK_ANSWER_WEIGHT
                } else {
                    SLOW_ANSWER_WEIGHT
                };
                times.quick_s += weight * (took_s - times.quick_s);
                let difference_s = took_s - times.mean_s;
                times.mean_s += ANSWER_WEIGHT * difference_s;
                times.deviation_s += ANSWER_WEIGHT * (difference_s.abs() - times.deviation_s);
                times.mean_work += ANSWER_WEIGHT * (work - times.mean_work);
            }
            Err(position) => {
                let times = RouteTimes {
                    quick_s: took_s,
                    mean_s: took_s,
                    deviation_s: 0.0,
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
        Some(ExpectedAnswer {
            usual_time: Duration::from_secs_f64(times.mean_s + times.deviation_s),
            quick_time: Duration::from_secs_f64(times.quick_s),
            work_percent: (work_factor * 100.0) as u32,
        })
    }
}
