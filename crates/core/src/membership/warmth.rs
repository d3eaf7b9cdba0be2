//! What a daemon knows of how warm one incarnation of a target is.
//!
//! A target is cold for a time after its start, and at any moment by its own word: in its entry, or
//! in an answer to this daemon or another one. A target that could not be reached, or whose domain
//! was left, may have started again unseen. It counts as cold from the first contact on, at this
//! daemon only: other daemons may have reached it all the time.

use std::time::Duration;

use crate::clock::Moment;

/// Time by which a target must stay cold for longer than known for that to be news. Messages
/// between daemons take some time, by which each of them would extend it.
const MIN_EXTENSION: Duration = Duration::from_millis(250);

value! {
    /// Whether a target was told to be cold, or presumed to be.
    #[derive(Copy)]
    pub enum Coldness {
        /// By its own word.
        Told,
        /// It may have started again unseen.
        Presumed,
    }
}

/// How warm one incarnation of a target is, as this daemon knows it.
#[derive(Debug, Clone, Default)]
pub struct Warmth {
    /// Until when the target is cold by its own word; zero if it never was.
    told_until: Moment,
    /// When that was said.
    told_at: Moment,
    /// When this daemon last learned that the target is cold, or for longer than known.
    changed_at: Moment,
    /// Until when the target may be cold; zero if it never was.
    presumed_until: Moment,
    /// Whether the target may have started again since this daemon last reached it.
    may_have_restarted: bool,
}

impl Warmth {
    /// Records that the target said at `told_at` that it stays cold for `left` from now on. Returns
    /// whether that is news. Words that are older than the one that it is warm change nothing.
    pub fn record(&mut self, now: Moment, told_at: Moment, left: Duration) -> bool {
        let until = now + left;
        let is_outdated = told_at < self.told_at && !self.is_told_cold(now);
        if left.is_zero() || is_outdated || until <= self.told_until {
            return false;
        }
        let is_news = !self.is_told_cold(now) || until > self.told_until + MIN_EXTENSION;
        if is_news {
            self.told_until = until;
            self.told_at = told_at;
            self.changed_at = now;
        }
        is_news
    }

    /// Records that an answer to a request sent at `sent_at` said that the target is warm. Answers
    /// overtake each other, so that only one that was sent after the last word counts.
    pub fn record_warm(&mut self, now: Moment, sent_at: Moment) {
        self.may_have_restarted = false;
        self.presumed_until = self.presumed_until.min(now);
        if sent_at > self.told_at {
            self.told_until = self.told_until.min(now);
            self.told_at = now;
        }
    }

    /// Records that the target could not be reached, so that it may start again unseen.
    pub fn record_unreachable(&mut self) {
        self.may_have_restarted = true;
    }

    /// Records that the target was reached. If it may have started again, it counts as cold for
    /// `start` from now on.
    pub fn record_contact(&mut self, now: Moment, start: Duration) {
        if self.may_have_restarted {
            self.may_have_restarted = false;
            self.record_possibly_cold(now, start);
        }
    }

    /// Records that the target may be cold for `left` from now on.
    pub fn record_possibly_cold(&mut self, now: Moment, left: Duration) {
        self.presumed_until = self.presumed_until.max(now + left);
    }

    /// Whether the target is cold, and how that is known; `None` if it is warm.
    #[must_use]
    pub fn coldness(&self, now: Moment) -> Option<Coldness> {
        if self.is_told_cold(now) {
            return Some(Coldness::Told);
        }
        let is_presumed = self.may_have_restarted || self.presumed_until > now;
        is_presumed.then_some(Coldness::Presumed)
    }

    /// Time for which the target stays cold, zero if it is warm. One that was not reached yet after
    /// it may have started again stays cold for `start`.
    #[must_use]
    pub fn left(&self, now: Moment, start: Duration) -> Duration {
        let until = self.told_until.max(self.presumed_until);
        let left = until.saturating_sub(now);
        if self.may_have_restarted {
            left.max(start)
        } else {
            left
        }
    }

    /// Time for which the target stays cold by its own word, and the age of that word; `None` if it
    /// is warm.
    #[must_use]
    pub fn told(&self, now: Moment) -> Option<(Duration, Duration)> {
        self.is_told_cold(now).then(|| {
            let left = self.told_until.saturating_sub(now);
            (left, now.saturating_sub(self.told_at))
        })
    }

    /// Whether this daemon has learned after `since` that the target is cold, or for longer.
    #[must_use]
    pub fn has_changed_since(&self, since: Moment) -> bool {
        self.changed_at > since
    }

    /// Time since the target last became warm after it was cold by its own word; zero while it is
    /// cold, `None` if it never was.
    #[must_use]
    pub fn warm_for(&self, now: Moment) -> Option<Duration> {
        (self.told_until > Moment::ZERO).then(|| now.saturating_sub(self.told_until))
    }

    fn is_told_cold(&self, now: Moment) -> bool {
        self.told_until > now
    }
}
