//! What callers lose if a request waits or is turned away.
//!
//! An answer on time is worth most, a late one less, and one after the deadline nothing. A waiting
//! request therefore costs nothing until the last moment at which it can still be answered on time,
//! then part of its worth, and after the last moment at which it can be answered at all, the rest.

use std::time::Duration;

use crate::admission::Priority;
use crate::admission::answer_times::ExpectedAnswer;
use crate::clock::Moment;

/// Worth of a late answer, in percent of one on time. Configurations do not state it. Any share
/// between the two ends yields the same order: late requests go after those that can be on time, and
/// before a refusal.
const LATE_WORTH_PERCENT: u64 = 50;
/// Work of an average request, in percent.
pub const USUAL_WORK_PERCENT: u32 = 100;

value! {
    /// What a request needs, and until when.
    pub struct RequestNeed {
        /// Rank and workspace.
        pub priority: Priority,
        /// Until when its answer is on time.
        pub due_at: Moment,
        /// Until when its caller waits.
        pub deadline: Moment,
        /// Time from its start within which the part of the answer that has to be on time usually
        /// arrives.
        pub answer_time: Duration,
        /// The same if it is quick.
        pub quick_answer_time: Duration,
        /// Work that it takes from others, in percent of the average of its service.
        pub work_percent: u32,
    }

    /// How a request is answered if it starts at a given time.
    #[derive(PartialOrd, Ord)]
    pub enum Prospect {
        /// Within its latency objective.
        OnTime,
        /// After that, within its deadline.
        Late,
        /// After its deadline, or not at all.
        Lost,
    }
}

impl Prospect {
    /// Worth of the answer, in percent of one on time.
    #[must_use]
    pub fn worth_percent(self) -> u64 {
        match self {
            Self::OnTime => 100,
            Self::Late => LATE_WORTH_PERCENT,
            Self::Lost => 0,
        }
    }
}

impl RequestNeed {
    /// Expected outcome if the request starts at `starts_at`.
    #[must_use]
    pub fn prospect(&self, starts_at: Moment) -> Prospect {
        if starts_at <= self.latest_on_time_start() {
            Prospect::OnTime
        } else if starts_at <= self.latest_start() {
            Prospect::Late
        } else {
            Prospect::Lost
        }
    }

    /// What a request needs that is received at `received`. Whether it can be on time is judged by at
    /// most half of its objective: answer times grow with the load, and a request that is taken for
    /// late goes behind less urgent ones.
    #[must_use]
    pub fn new(
        priority: Priority,
        received: Moment,
        latency_objective: Duration,
        deadline: Moment,
        expected: Option<&ExpectedAnswer>,
    ) -> Self {
        let half = latency_objective / 2;
        Self {
            priority,
            due_at: received.saturating_add(latency_objective),
            deadline,
            answer_time: expected.map_or(half, |expected| expected.usual_time.min(half)),
            quick_answer_time: expected.map_or(Duration::ZERO, |expected| expected.quick_time),
            work_percent: expected.map_or(USUAL_WORK_PERCENT, |expected| expected.work_percent),
        }
    }

    /// Last moment at which the request can start and still be answered on time.
    #[must_use]
    pub fn latest_on_time_start(&self) -> Moment {
        self.due_at.saturating_sub(self.answer_time)
    }

    /// Last moment at which the request can start and still be answered before its deadline.
    #[must_use]
    pub fn latest_start(&self) -> Moment {
        self.deadline.saturating_sub(self.quick_answer_time)
    }

    /// What the caller loses for each unit of work that refusing the request spares, in percent of
    /// an answer on time to an average request.
    #[must_use]
    pub fn cost_of_refusal(&self, now: Moment) -> u64 {
        let worth = self.prospect(now).worth_percent();
        worth * u64::from(USUAL_WORK_PERCENT) / u64::from(self.work_percent.max(1))
    }
}
