//! Queue of simulated events, ordered by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lapismoor_core::Moment;

struct ScheduledItem<T> {
    at: Moment,
    /// Orders items that are due at the same time.
    sequence: u64,
    item: T,
}

impl<T> PartialEq for ScheduledItem<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<T> Eq for ScheduledItem<T> {}

impl<T> PartialOrd for ScheduledItem<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ScheduledItem<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Priority queue ordered by time; items due at the same time leave in the order they were added.
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<ScheduledItem<T>>>,
    last_sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            last_sequence: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an item that is due at `at`.
    pub fn schedule(&mut self, at: Moment, item: T) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledItem {
            at,
            sequence: self.last_sequence,
            item,
        }));
    }

    /// Removes the earliest item and returns it with its time.
    pub fn pop(&mut self) -> Option<(Moment, T)> {
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at, scheduled.item))
    }
}
