//! Pool of idle connections to targets.

use std::cell::RefCell;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::ids::TargetKey;

use super::connection::Connection;

/// Part of a target's idle timeout for which a connection is kept. The rest covers the transit time
/// of the next request, so that the target doesn't close the connection meanwhile.
const USED_IDLE_PERCENT: u32 = 60;

struct IdleConnection {
    connection: Connection,
    released_at: Moment,
    expires_at: Moment,
}

/// Idle connections, by target.
#[derive(Default)]
pub struct ConnectionPool {
    /// Invariant: sorted by target; each list in the order in which connections were released.
    idle: RefCell<Vec<(TargetKey, Vec<IdleConnection>)>>,
    default_idle_timeout: Duration,
    /// Idle connections to all targets together.
    max_idle: usize,
}

impl ConnectionPool {
    /// An empty pool of at most `max_idle` connections. A connection is kept for `default_idle_timeout` if its
    /// target states none.
    #[must_use]
    pub fn new(default_idle_timeout: Duration, max_idle: usize) -> Self {
        Self {
            idle: RefCell::new(Vec::new()),
            default_idle_timeout,
            max_idle,
        }
    }

    /// The connection to `target` that was released last and is still reusable.
    pub fn acquire(&self, now: Moment, target: TargetKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let position = idle.binary_search_by_key(&target, |(key, _)| *key).ok()?;
        let list = &mut idle[position].1;
        while let Some(mut candidate) = list.pop() {
            if candidate.expires_at > now && candidate.connection.is_reusable() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Since when an idle connection to `target` has been open, at least; `None` if there is none. Drops
    /// those that the target has closed.
    pub fn open_since(&self, now: Moment, target: TargetKey) -> Option<Moment> {
        let mut idle = self.idle.borrow_mut();
        let position = idle.binary_search_by_key(&target, |(key, _)| *key).ok()?;
        let list = &mut idle[position].1;
        list.retain_mut(|entry| entry.expires_at > now && entry.connection.is_reusable());
        list.iter().map(|entry| entry.released_at).min()
    }

    /// Keeps a connection for part of its target's idle timeout, or closes it if `max_idle`
    /// connections to the target are idle already.
    pub fn release(
        &self,
        now: Moment,
        target: TargetKey,
        connection: Connection,
        idle_timeout: Option<Duration>,
        max_idle: usize,
    ) {
        let allowed = idle_timeout.map_or(self.default_idle_timeout, |timeout| {
            timeout.saturating_mul(USED_IDLE_PERCENT) / 100
        });
        let entry = IdleConnection {
            connection,
            released_at: now,
            expires_at: now.saturating_add(allowed),
        };
        let mut idle = self.idle.borrow_mut();
        let found = idle.binary_search_by_key(&target, |(key, _)| *key);
        let position = found.unwrap_or_else(|position| {
            idle.insert(position, (target, Vec::new()));
            position
        });
        let list = &mut idle[position].1;
        list.retain(|entry| entry.expires_at > now);
        if list.len() < max_idle {
            list.push(entry);
        }
        let idle_connections: usize = idle.iter().map(|(_, list)| list.len()).sum();
        if idle_connections > self.max_idle {
            close_oldest(&mut idle);
        }
    }

    /// Closes the idle connections to a target.
    pub fn close_all(&self, target: TargetKey) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(position) = idle.binary_search_by_key(&target, |(key, _)| *key) {
            idle.remove(position);
        }
    }

    /// Closes connections whose idle timeout has passed.
    pub fn close_expired(&self, now: Moment) {
        let mut idle = self.idle.borrow_mut();
        for (_, list) in idle.iter_mut() {
            list.retain(|entry| entry.expires_at > now);
        }
        idle.retain(|(_, list)| !list.is_empty());
    }
}

/// Closes the connection that was released first.
fn close_oldest(idle: &mut [(TargetKey, Vec<IdleConnection>)]) {
    let oldest = idle
        .iter_mut()
        .filter(|(_, list)| !list.is_empty())
        .min_by_key(|(_, list)| list.first().map(|entry| entry.released_at));
    if let Some((_, list)) = oldest {
        list.remove(0);
    }
}
