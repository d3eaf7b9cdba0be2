//! Pace of a target: the time that work takes there now, in percent of the usual.
//!
//! Load pattern: targets share their machines with others and turn several times slower for parts
//! of a second. What is known of it is noisy, and late when it was learned from other daemons. It
//! therefore counts less with age, and a target of which nothing new is known is taken to be as
//! usual.
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
/// Weight of what a daemon tells that has merged the observations of others.
const MERGED_WEIGHT: f64 = 4.0;
/// Observations of other daemons that are older than the last one by less than this are used: those
/// of several daemons arrive in any order.
const MAX_DISORDER: Duration = Duration::from_millis(250);
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
    fn add(&mut self, since_last: Duration, memory: Duration, ln_pace: f64, weight: f64) {
        self.weight = decayed(self.weight, since_last, memory) + weight;
        self.ln_pace += (ln_pace - self.ln_pace) * weight / self.weight;
    }

    fn factor(&self, age: Duration, memory: Duration) -> f64 {
        let weight = decayed(self.weight, age, memory);
        (self.ln_pace * weight / (weight + USUAL_WEIGHT)).exp()
    }
}

/// Pace of one target as seen by this daemon.
#[derive(Debug, Clone, Default)]
pub struct PaceView {
    moment: Average,
    /// Time of the last observation, made by this daemon or another one.
    observed_at: Option<Moment>,
    /// When the last observation reached this daemon.
    received_at: Moment,
    /// Observations of this daemon.
    own: Average,
    own_observed_at: Option<Moment>,
}

impl PaceView {
    /// Records a pace that this daemon observed.
    pub fn record(&mut self, now: Moment, percent: PacePercent) {
        let since_last = now.saturating_sub(self.own_observed_at.unwrap_or(now));
        self.own
            .add(since_last, MOMENT, to_ln(f64::from(percent)), 1.0);
        self.own_observed_at = Some(now);
        self.add(now, now, percent, 1.0);
    }

    /// Records a pace that another daemon observed at `observed_at`. Ignored if later ones are known.
    pub fn record_relayed(&mut self, now: Moment, observed_at: Moment, percent: PacePercent) {
        self.add_relayed(now, observed_at, percent, 1.0);
    }

    /// Records a pace that follows from observations of several daemons, the last of them at
    /// `observed_at`. Ignored if later ones are known.
    pub fn record_merged(&mut self, now: Moment, observed_at: Moment, percent: PacePercent) {
        self.add_relayed(now, observed_at, percent, MERGED_WEIGHT);
    }

    fn add_relayed(&mut self, now: Moment, observed_at: Moment, percent: PacePercent, weight: f64) {
        let is_used = self
            .observed_at
            .is_none_or(|last| observed_at + MAX_DISORDER > last && observed_at != last);
        if is_used {
            self.add(now, observed_at.min(now), percent, weight);
        }
    }

    fn add(&mut self, now: Moment, observed_at: Moment, percent: PacePercent, weight: f64) {
        let since_last = observed_at.saturating_sub(self.observed_at.unwrap_or(observed_at));
        let ln_pace = to_ln(f64::from(percent));
        self.moment.add(since_last, MOMENT, ln_pace, weight);
        self.observed_at = self.observed_at.max(Some(observed_at));
        self.received_at = now;
    }

    /// Time that work takes at this moment, as a multiple of the usual; 1 if nothing is known.
    #[must_use]
    pub fn factor(&self, now: Moment) -> f64 {
        self.age(now)
            .map_or(1.0, |age| self.moment.factor(age, MOMENT))
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

    /// Pace that this daemon observed itself and the time of the last observation, if that is after
    /// `since`.
    #[must_use]
    pub fn own_since(&self, since: Moment) -> Option<(PacePercent, Moment)> {
        let observed_at = self.own_observed_at.filter(|at| *at > since)?;
        Some((to_percent(self.own.ln_pace), observed_at))
    }

    /// Pace at the last observation, of this daemon or another one, and the time of that, if it
    /// reached this daemon after `since`.
    #[must_use]
    pub fn merged_since(&self, since: Moment) -> Option<(PacePercent, Moment)> {
        let observed_at = self.observed_at.filter(|_| self.received_at > since)?;
        let factor = self.moment.factor(Duration::ZERO, MOMENT);
        Some((to_percent(factor.ln()), observed_at))
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

fn decayed(weight: f64, age: Duration, memory: Duration) -> f64 {
    weight * (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}
