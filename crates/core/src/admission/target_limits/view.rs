//! A daemon's view of the limit of one target.

use std::collections::VecDeque;
use std::time::Duration;

use super::allocator::LIMIT_WINDOW;
use super::notice::{LimitChange, LimitNotice, RequestRate};
use crate::admission::Priority;
use crate::clock::Moment;
use crate::ids::WorkspaceId;

/// Longest time for which permits are not asked for again: the limit may have ended, or its
/// allocators may be back.
const MAX_CLOSED: Duration = Duration::from_secs(1);
/// Shortest such time, so that a busy daemon does not ask for each request.
const MIN_CLOSED: Duration = Duration::from_millis(20);

/// Requests of one rank and workspace that got no permit.
#[derive(Debug, Clone)]
struct ClosedClass {
    rank: u8,
    workspace: WorkspaceId,
    /// When there may be a permit.
    room_at: Moment,
    /// When permits are asked for again. Invariant: not after `room_at`, or shortly after the denial.
    ask_at: Moment,
}

/// The limit of one incarnation of a target as this daemon knows it.
#[derive(Debug, Clone, Default)]
pub struct LimitView {
    notice: Option<LimitNotice>,
    /// When the rate last changed at this daemon.
    changed_at: Moment,
    /// Classes without a permit. Invariant: sorted by rank and workspace.
    closed: Vec<ClosedClass>,
    /// Times of the permits that this daemon got. Invariant: ascending; none older than
    /// [`LIMIT_WINDOW`] at the last one.
    permits: VecDeque<Moment>,
}

impl LimitView {
    /// Records what an answer said, to this daemon or to another one. Returns the change if the rate
    /// is another one now.
    pub fn record(&mut self, now: Moment, notice: LimitNotice) -> Option<LimitChange> {
        if let Some(known) = &self.notice
            && !notice.supersedes(known)
        {
            return None;
        }
        let before = self.rate();
        self.notice = Some(notice);
        if before == notice.rate {
            return None;
        }
        self.changed_at = now;
        self.closed.clear();
        Some(LimitChange {
            before,
            now: notice.rate,
        })
    }

    /// The limit in force.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.notice.and_then(|notice| notice.rate)
    }

    /// The latest notice; `None` before the first answer.
    #[must_use]
    pub fn notice(&self) -> Option<LimitNotice> {
        self.notice
    }

    /// The latest notice, if the limit has changed at this daemon after `since`.
    #[must_use]
    pub fn changed_since(&self, since: Moment) -> Option<LimitNotice> {
        self.notice.filter(|_| self.changed_at > since)
    }

    /// Records that a request got a permit.
    pub fn record_permit(&mut self, now: Moment) {
        self.permits.push_back(now);
        let is_old = |at: &Moment| now.saturating_sub(*at) > LIMIT_WINDOW;
        while self.permits.front().is_some_and(is_old) {
            self.permits.pop_front();
        }
    }

    /// Requests per second that this daemon was permitted lately: its share of the limit.
    #[must_use]
    pub fn share_per_s(&self, now: Moment) -> f64 {
        let is_recent = |at: &&Moment| now.saturating_sub(**at) <= LIMIT_WINDOW;
        let recent = self.permits.iter().filter(is_recent).count();
        f64::from(u32::try_from(recent).unwrap_or(u32::MAX)) / LIMIT_WINDOW.as_secs_f64()
    }

    /// Records that a request with this priority got no permit, and that there may be one after
    /// `wait`.
    pub fn close(&mut self, now: Moment, priority: &Priority, wait: Duration) {
        self.closed.retain(|class| class.ask_at > now);
        let class = ClosedClass {
            rank: priority.rank,
            workspace: priority.workspace.clone(),
            room_at: now + wait.max(MIN_CLOSED),
            ask_at: now + wait.clamp(MIN_CLOSED, MAX_CLOSED),
        };
        match self.position(priority) {
            Ok(position) => self.closed[position] = class,
            Err(position) => self.closed.insert(position, class),
        }
    }

    /// Time until a request with this priority may get a permit, if it needs one; zero if one may be
    /// asked for now.
    #[must_use]
    pub fn room_in(&self, now: Moment, priority: &Priority) -> Duration {
        let Ok(position) = self.position(priority) else {
            return Duration::ZERO;
        };
        let class = &self.closed[position];
        if class.ask_at <= now {
            return Duration::ZERO;
        }
        class.room_at.saturating_sub(now)
    }

    fn position(&self, priority: &Priority) -> Result<usize, usize> {
        self.closed.binary_search_by(|class| {
            let key = (class.rank, &class.workspace);
            key.cmp(&(priority.rank, &priority.workspace))
        })
    }
}
