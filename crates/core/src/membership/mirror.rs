//! A copy of what the store holds, for this daemon and for others that ask it in place of the
//! store.

use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;

use crate::ids::StoreRevision;

/// Changes kept for those who ask what is new; a release of the largest pool brings a few hundred.
const MAX_CHANGES: usize = 1_024;

value! {
    /// An item of the store, or the news that it is gone.
    pub struct StoreItem {
        /// Key.
        pub key: CompactString,
        /// Value; none where the key was removed.
        pub value: Option<Bytes>,
    }
}

/// A copy of what the store holds.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    /// Invariant: sorted by key; none is removed.
    items: Vec<StoreItem>,
    /// Invariant: in the order of the store; at most [`MAX_CHANGES`] long.
    changes: VecDeque<(StoreRevision, StoreItem)>,
    /// Position from which on all changes are kept.
    complete_from: StoreRevision,
    /// Position up to which the copy is complete; none before the first list. Invariant: never
    /// falls.
    revision: Option<StoreRevision>,
}

impl Mirror {
    /// Position up to which the copy is complete.
    #[must_use]
    pub fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// All items.
    #[must_use]
    pub fn items(&self) -> &[StoreItem] {
        &self.items
    }

    /// Takes a full list; returns it with the keys that are gone. None if it is older than what is
    /// known.
    pub fn replace(
        &mut self,
        mut listed: Vec<StoreItem>,
        revision: StoreRevision,
    ) -> Option<Vec<StoreItem>> {
        if self.revision.is_some_and(|known| known > revision) {
            return None;
        }
        listed.sort_by(|left, right| left.key.cmp(&right.key));
        let is_listed = |key: &CompactString| {
            let found = listed.binary_search_by(|item| item.key.cmp(key));
            found.is_ok()
        };
        let gone = self.items.iter().filter(|item| !is_listed(&item.key));
        let gone: Vec<StoreItem> = gone
            .map(|item| StoreItem {
                key: item.key.clone(),
                value: None,
            })
            .collect();
        self.items.clone_from(&listed);
        self.changes.clear();
        self.complete_from = revision;
        self.revision = Some(revision);
        Some(gone.into_iter().chain(listed).collect())
    }

    /// Takes changes up to a position. Returns the last one of each key.
    pub fn apply(&mut self, changes: Vec<StoreItem>, revision: StoreRevision) -> Vec<StoreItem> {
        if self.revision.is_some_and(|known| known > revision) {
            return Vec::new();
        }
        let changes = last_of_each_key(changes);
        for item in &changes {
            self.apply_one(item);
            self.changes.push_back((revision, item.clone()));
        }
        while self.changes.len() > MAX_CHANGES {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.complete_from = dropped;
            }
        }
        self.revision = Some(revision);
        changes
    }

    /// The last change of each key after a position; none if they are no longer all there.
    #[must_use]
    pub fn since(&self, after: StoreRevision) -> Option<Vec<StoreItem>> {
        if after < self.complete_from {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > after);
        Some(last_of_each_key(
            newer.map(|(_, item)| item.clone()).collect(),
        ))
    }

    fn apply_one(&mut self, item: &StoreItem) {
        let found = self
            .items
            .binary_search_by(|known| known.key.cmp(&item.key));
        match (found, &item.value) {
            (Ok(position), Some(_)) => self.items[position] = item.clone(),
            (Ok(position), None) => {
                self.items.remove(position);
            }
            (Err(position), Some(_)) => self.items.insert(position, item.clone()),
            (Err(_), None) => {}
        }
    }
}

/// Keeps the order of what is kept. A configuration is large, and only its last version counts.
fn last_of_each_key(changes: Vec<StoreItem>) -> Vec<StoreItem> {
    let mut seen: Vec<CompactString> = Vec::new();
    let mut kept: Vec<StoreItem> = Vec::new();
    for item in changes.into_iter().rev() {
        if let Err(position) = seen.binary_search(&item.key) {
            seen.insert(position, item.key.clone());
            kept.push(item);
        }
    }
    kept.reverse();
    kept
}
