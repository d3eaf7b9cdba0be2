//! A daemon's view of the limit of one target.

use super::notice::{LimitChange, LimitNotice, RequestRate};

/// The limit of one incarnation of a target as this daemon knows it.
#[derive(Debug, Clone, Default)]
pub struct LimitView {
    notice: Option<LimitNotice>,
}

impl LimitView {
    /// Records what an answer said. Returns the change if the rate is another one now.
    pub fn record(&mut self, notice: LimitNotice) -> Option<LimitChange> {
        if let Some(known) = &self.notice
            && !notice.supersedes(known)
        {
            return None;
        }
        let before = self.rate();
        self.notice = Some(notice);
        (before != notice.rate).then_some(LimitChange {
            before,
            now: notice.rate,
        })
    }

    /// The limit in force.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.notice.and_then(|notice| notice.rate)
    }
}
