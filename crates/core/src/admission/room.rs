//! Learns from answers how many requests a target of a service can have in flight and still answer
//! on time.
//!
//! Load pattern: a surge, or the loss of targets. The number of slots says little about what a
//! target can do now, and a target's queue hides that requests wait there. What is sent to a target
//! is therefore decreased when it rejects requests or answers late, and increased again while it
//! answers on time. Nothing is limited before.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::TargetKey;

/// Part of a target's requests that is kept after one was rejected or answered late.
const DECREASE_FACTOR: f64 = 0.75;
/// Increase of a target's requests with as many answers on time as it has requests.
const INCREASE: f64 = 1.0;
/// Part of the latency objective that an answer may take the target, in percent.
const MAX_ANSWER_PERCENT: u32 = 75;
/// Time between two decreases. Requests sent before the first one may still be rejected.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the last rejected or late answer until a target is no longer limited.
const PRESSURE_TTL: Duration = Duration::from_secs(2);

value! {
    /// What an answer shows about the room of its target.
    pub enum AnswerTiming {
        /// It arrived well within the latency objective.
        OnTime,
        /// It took the target too long.
        Late,
        /// The target had no room for the request.
        Rejected,
    }
}

impl AnswerTiming {
    /// What an answer shows that took the target `took`. One that takes most of its latency
    /// objective leaves nothing for the wait before it.
    #[must_use]
    pub fn of_answer(took: Duration, latency_objective: Duration) -> Self {
        if took > latency_objective * MAX_ANSWER_PERCENT / 100 {
            Self::Late
        } else {
            Self::OnTime
        }
    }
}

/// Room of a target that is under pressure.
#[derive(Debug, Clone)]
struct TargetRoom {
    /// Requests of this daemon that the target can have in flight.
    requests: f64,
    decreased_at: Moment,
}

/// Room of the targets that are under pressure, as this daemon sees it.
#[derive(Debug, Clone, Default)]
pub struct TargetRooms {
    /// Invariant: sorted by target.
    targets: Vec<(TargetKey, TargetRoom)>,
}

impl TargetRooms {
    /// Records an answer of a target that has `in_flight` requests of this daemon, including the
    /// answered one.
    pub fn record(&mut self, now: Moment, target: TargetKey, in_flight: u32, timing: AnswerTiming) {
        self.targets
            .retain(|(_, room)| now.saturating_sub(room.decreased_at) < PRESSURE_TTL);
        let found = self.targets.binary_search_by_key(&target, |(key, _)| *key);
        match (found, timing) {
            (Err(_), AnswerTiming::OnTime) => {}
            (Ok(position), AnswerTiming::OnTime) => {
                let room = &mut self.targets[position].1;
                room.requests += INCREASE / room.requests.max(1.0);
            }
            (Ok(position), _) => {
                let room = &mut self.targets[position].1;
                if now.saturating_sub(room.decreased_at) >= DECREASE_INTERVAL {
                    room.requests = room.requests.min(f64::from(in_flight)) * DECREASE_FACTOR;
                    room.decreased_at = now;
                }
            }
            (Err(position), _) => {
                let room = TargetRoom {
                    requests: f64::from(in_flight) * DECREASE_FACTOR,
                    decreased_at: now,
                };
                self.targets.insert(position, (target, room));
            }
        }
    }

    /// Requests of this daemon that a target can have in flight; `None` if it is not under pressure.
    #[must_use]
    pub fn requests(&self, now: Moment, target: TargetKey) -> Option<f64> {
        let found = self.targets.binary_search_by_key(&target, |(key, _)| *key);
        let room = &self.targets[found.ok()?].1;
        (now.saturating_sub(room.decreased_at) < PRESSURE_TTL).then_some(room.requests)
    }
}
