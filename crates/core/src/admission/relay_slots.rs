//! Bounds the connections that a daemon forwards for others.
//!
//! Load pattern: most daemons of a fleet lose their paths at the same moment, and the few that have
//! theirs get the requests of all. Their own callers go first: the forwarded connections are bounded,
//! and divided evenly among the daemons that ask.

use crate::ids::DaemonId;

/// Connections forwarded at the same time. Each takes two descriptors and two small buffers.
pub const MAX_RELAYED: usize = 256;

/// Connections in use, by the daemon for which they are forwarded.
#[derive(Debug, Clone, Default)]
pub struct RelaySlots {
    /// Invariant: sorted by daemon; counts are positive.
    used: Vec<(DaemonId, usize)>,
}

impl RelaySlots {
    /// Number of connections in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.used.iter().map(|(_, count)| count).sum()
    }

    /// Takes a connection for a daemon. Returns whether there was one: each of the daemons that use
    /// some gets an even part, and one more daemon always finds room for a part of its own.
    pub fn take(&mut self, daemon: &DaemonId) -> bool {
        let found = self.used.binary_search_by(|(known, _)| known.cmp(daemon));
        let own = found.map_or(0, |position| self.used[position].1);
        let others = self.used.len() - usize::from(found.is_ok());
        let part = MAX_RELAYED / (others + 2).min(MAX_RELAYED);
        let has_room = self.in_use() < MAX_RELAYED;
        if !has_room || (own >= part && self.in_use() >= MAX_RELAYED / 2) {
            return false;
        }
        match found {
            Ok(position) => self.used[position].1 += 1,
            Err(position) => self.used.insert(position, (daemon.clone(), 1)),
        }
        true
    }

    /// Returns a connection that was taken for a daemon.
    pub fn release(&mut self, daemon: &DaemonId) {
        let found = self.used.binary_search_by(|(known, _)| known.cmp(daemon));
        if let Ok(position) = found {
            self.used[position].1 -= 1;
            if self.used[position].1 == 0 {
                self.used.remove(position);
            }
        }
    }
}
