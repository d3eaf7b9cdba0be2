//! Things that are going to happen, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lapismoor_core::Moment;

struct Entry<T> {
    at: Moment,
    number: u64,
    item: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Things in order of time; those of one moment in order of arrival.
pub struct Agenda<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    next: u64,
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<T> Agenda<T> {
    /// Adds something.
    pub fn add(&mut self, at: Moment, item: T) {
        self.next += 1;
        self.heap.push(Reverse(Entry {
            at,
            number: self.next,
            item,
        }));
    }

    /// Takes what comes next.
    pub fn pop(&mut self) -> Option<(Moment, T)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.item))
    }
}
