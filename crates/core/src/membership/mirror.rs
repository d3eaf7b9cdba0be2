//! Copy of the store, for this daemon and for others that read from it instead of the store.

use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;

use crate::ids::StoreRevision;

/// Maximum length of the change history. A release of the largest pool causes a few hundred
/// changes.
const MAX_CHANGES: usize = 1_024;

value! {
    /// An item of the store, or its removal.
    pub struct StoreItem {
        /// Key in the store.
        pub key: CompactString,
        /// Value; none if the key was removed.
        pub value: Option<Bytes>,
    }
}

/// Copy of the store with a history of recent changes.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    /// Invariant: sorted by key; every item has a value.
    items: Vec<StoreItem>,
    /// Invariant: sorted by revision; at most [`MAX_CHANGES`] long.
    changes: VecDeque<(StoreRevision, StoreItem)>,
    /// Revision after which the history is complete.
    complete_from: StoreRevision,
    /// Revision of the copy; none before the first list. Invariant: never decreases.
    revision: Option<StoreRevision>,
}

impl Mirror {
    /// Revision of the copy; none before the first list.
    #[must_use]
    pub fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// All items, sorted by key.
    #[must_use]
    pub fn items(&self) -> &[StoreItem] {
        &self.items
    }

    /// Replaces the copy with a full list. Returns removals for the keys that are no longer listed,
    /// followed by the list; none if the list is older than the copy.
    pub fn replace(
        &mut self,
        mut listed: Vec<StoreItem>,
        revision: StoreRevision,
    ) -> Option<Vec<StoreItem>> {
        if self.revision.is_some_and(|current| current > revision) {
            return None;
        }
        listed.sort_by(|left, right| left.key.cmp(&right.key));
        let is_listed = |key: &CompactString| {
            let found = listed.binary_search_by(|item| item.key.cmp(key));
            found.is_ok()
        };
        let removed = self.items.iter().filter(|item| !is_listed(&item.key));
        let removed: Vec<StoreItem> = removed
            .map(|item| StoreItem {
                key: item.key.clone(),
                value: None,
            })
            .collect();
        self.items.clone_from(&listed);
        self.changes.clear();
        self.complete_from = revision;
        self.revision = Some(revision);
        Some(removed.into_iter().chain(listed).collect())
    }

    /// Applies the changes up to a revision and returns the last one of each key. Ignores changes
    /// that are older than the copy, or that belong to another era of the store.
    pub fn apply(&mut self, changes: Vec<StoreItem>, revision: StoreRevision) -> Vec<StoreItem> {
        let is_applicable = |current: StoreRevision| {
            current.era == revision.era && current.number <= revision.number
        };
        if !self.revision.is_none_or(is_applicable) {
            return Vec::new();
        }
        let changes = last_of_each_key(changes);
        for item in &changes {
            self.apply_change(item);
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

    /// Last change of each key after a revision; none if the history no longer reaches back to it,
    /// or if it belongs to another era of the store.
    #[must_use]
    pub fn changes_since(&self, after: StoreRevision) -> Option<Vec<StoreItem>> {
        let is_same_era = self.revision.is_none_or(|current| current.era == after.era);
        if after < self.complete_from || !is_same_era {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > after);
        Some(last_of_each_key(
            newer.map(|(_, item)| item.clone()).collect(),
        ))
    }

    fn apply_change(&mut self, item: &StoreItem) {
        let found = self
            .items
            .binary_search_by(|current| current.key.cmp(&item.key));
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

/// Drops superseded changes and keeps the order of the rest. A configuration is large, and only its
/// latest version is needed.
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
