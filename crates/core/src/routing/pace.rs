//! Pace of a target: the time that work takes there now, in percent of the usual.
//!
//! Load pattern: targets share their machines with others and turn several times slower for parts
//! of a second. What a daemon knows of it is noisy and soon out of date. It therefore counts less with
//! age, and a target of which nothing new is known is taken to be as usual.
//!
//! Some targets state their pace in their answers. That of the others follows from the times of
//! their answers, compared with the typical ones of their service.

use std::time::Duration;

use crate::clock::Moment;

/// Time of work in percent of the usual.
pub type PacePercent = u16;

/// Pace of a target that works as usual.
pub const USUAL_PERCENT: PacePercent = 100;

/// Paces beyond these count as these, so that one false figure neither empties a target nor draws
/// all requests to it.
const MIN_PERCENT: f64 = 50.0;
const MAX_PERCENT: f64 = 400.0;
/// Time in which an observation loses two thirds of its weight (1 - 1/e): moments of slowness last
/// parts of a second.
const MOMENT: Duration = Duration::from_millis(500);
/// Weight of the assumption that a target works as usual, in observations.
const USUAL_WEIGHT: f64 = 1.0;
/// Longest memory of the typical answer time, in answers.
const TYPICAL_ANSWERS: f64 = 64.0;
/// Answers after which the typical time is known.
const MIN_TYPICAL_ANSWERS: f64 = 3.0;

/// Moving average of observations whose weight decays with their age. Averages are geometric, as
/// times of work vary by factors.
#[derive(Debug, Clone, Default)]
struct Average {
    /// Natural logarithm of the pace, 0 as usual.
    ln_pace: f64,
    /// Weight at the time of the last observation, in observations.
    weight: f64,
}

impl Average {
    fn add(&mut self, since_last: Duration, ln_pace: f64) {
        self.weight = decayed(self.weight, since_last) + 1.0;
        self.ln_pace += (ln_pace - self.ln_pace) / self.weight;
    }

    fn factor(&self, age: Duration) -> f64 {
        let weight = decayed(self.weight, age);
        (self.ln_pace * weight / (weight + USUAL_WEIGHT)).exp()
    }
}

/// Pace of one target as seen by this daemon.
#[derive(Debug, Clone, Default)]
pub struct PaceView {
    average: Average,
    /// Time of the last observation.
    observed_at: Option<Moment>,
}

impl PaceView {
    /// Records a pace that this daemon observed.
    pub fn record(&mut self, now: Moment, percent: PacePercent) {
        let since_last = now.saturating_sub(self.observed_at.unwrap_or(now));
        self.average.add(since_last, to_ln(f64::from(percent)));
        self.observed_at = Some(now);
    }

    /// Time that work takes at this moment, as a multiple of the usual; 1 if nothing is known.
    #[must_use]
    pub fn factor(&self, now: Moment) -> f64 {
        self.age(now).map_or(1.0, |age| self.average.factor(age))
    }

    /// Time that work takes at this moment, in percent of the usual; `None` before the first
    /// observation.
    #[must_use]
    pub fn percent(&self, now: Moment) -> Option<PacePercent> {
        self.observed_at.map(|_| to_percent(self.factor(now).ln()))
    }

    /// Age of the last observation; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.observed_at.map(|at| now.saturating_sub(at))
    }
}

/// Typical time of the answers of a service whose targets don't state their pace.
#[derive(Debug, Clone, Default)]
pub struct TypicalTime {
    ln_seconds: f64,
    /// Answers recorded. Invariant: at most [`TYPICAL_ANSWERS`].
    answers: f64,
}

impl TypicalTime {
    /// Records the time of an answer. Returns the pace that it shows, once the typical time is
    /// known.
    pub fn record(&mut self, time: Duration) -> Option<PacePercent> {
        let ln_seconds = time.max(Duration::from_micros(100)).as_secs_f64().ln();
        let percent =
            (self.answers >= MIN_TYPICAL_ANSWERS).then(|| to_percent(ln_seconds - self.ln_seconds));
        self.answers = (self.answers + 1.0).min(TYPICAL_ANSWERS);
        self.ln_seconds += (ln_seconds - self.ln_seconds) / self.answers;
        percent
    }
}

/// Pace that a target shows that rejects a request because it is full.
#[must_use]
pub fn rejection_pace() -> PacePercent {
    to_percent(to_ln(MAX_PERCENT))
}

fn to_ln(percent: f64) -> f64 {
    (percent.clamp(MIN_PERCENT, MAX_PERCENT) / f64::from(USUAL_PERCENT)).ln()
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_percent(ln_pace: f64) -> PacePercent {
    let percent = ln_pace.exp() * f64::from(USUAL_PERCENT);
    percent.clamp(MIN_PERCENT, MAX_PERCENT).round() as PacePercent
}

fn decayed(weight: f64, age: Duration) -> f64 {
    weight * (-age.as_secs_f64() / MOMENT.as_secs_f64()).exp()
}
