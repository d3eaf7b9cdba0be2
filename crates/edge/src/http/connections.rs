//! Idle connections to targets, kept for the next request.

use std::cell::RefCell;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::ids::TargetKey;

use super::connection::Connection;

/// Part of a target's idle limit that is used; the rest covers the way of the next request.
const USED_IDLE_PERCENT: u32 = 60;

struct Idle {
    connection: Connection,
    until: Moment,
}

/// Idle connections by target.
#[derive(Default)]
pub struct Connections {
    /// Invariant: sorted by target; each list in the order in which connections became idle.
    idle: RefCell<Vec<(TargetKey, Vec<Idle>)>>,
    default_idle: Duration,
}

impl Connections {
    /// No connections. One is kept for `default_idle` where the target names no limit.
    #[must_use]
    pub fn new(default_idle: Duration) -> Self {
        Self {
            idle: RefCell::new(Vec::new()),
            default_idle,
        }
    }

    /// The connection that became idle last and is still of use.
    pub fn take(&self, now: Moment, target: TargetKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let position = idle.binary_search_by_key(&target, |(key, _)| *key).ok()?;
        let list = &mut idle[position].1;
        while let Some(mut candidate) = list.pop() {
            if candidate.until > now && candidate.connection.is_quiet() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection for the time that the target allows, unless `most` are kept already.
    pub fn put(
        &self,
        now: Moment,
        target: TargetKey,
        connection: Connection,
        idle_limit: Option<Duration>,
        most: usize,
    ) {
        let allowed = idle_limit.map_or(self.default_idle, |limit| limit * USED_IDLE_PERCENT / 100);
        let entry = Idle {
            connection,
            until: now + allowed,
        };
        let mut idle = self.idle.borrow_mut();
        let found = idle.binary_search_by_key(&target, |(key, _)| *key);
        let position = found.unwrap_or_else(|position| {
            idle.insert(position, (target, Vec::new()));
            position
        });
        let list = &mut idle[position].1;
        list.retain(|entry| entry.until > now);
        if list.len() < most {
            list.push(entry);
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self, now: Moment) {
        let mut idle = self.idle.borrow_mut();
        for (_, list) in idle.iter_mut() {
            list.retain(|entry| entry.until > now);
        }
        idle.retain(|(_, list)| !list.is_empty());
    }
}
