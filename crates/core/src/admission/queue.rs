//! Priority queue with weighted fair sharing between workspaces.
//!
//! Ranks are served strictly by urgency; within a rank, workspaces share the turns by weight. Once
//! the oldest request of the least urgent rank has waited for the aging threshold, one of
//! every `AGED_TURN_INTERVAL` turns goes to that rank. Items of a workspace are served in the order
//! in which they were added, unless they are added with a position of their own.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::ids::WorkspaceId;

/// One of this many turns goes to the least urgent rank once its oldest request has aged.
const AGED_TURN_INTERVAL: u32 = 8;
/// Virtual time that a request of a workspace of weight 1 takes.
const UNIT_COST: u64 = 1 << 20;
/// Work of an item that is added without it, in percent.
const USUAL_WORK_PERCENT: u32 = 100;

/// A queued item and what decides its position.
#[derive(Debug, Clone)]
pub struct QueuedItem<T> {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Workspaces share the turns of a rank by weight.
    pub workspace: WorkspaceId,
    /// Weight of the workspace.
    pub weight: u32,
    /// When the item was queued.
    pub queued_at: Moment,
    /// The caller's item.
    pub item: T,
}

/// An item in the flow of its workspace.
#[derive(Debug, Clone)]
struct OrderedItem<T> {
    /// Items with a smaller position are served first.
    position: u64,
    /// Work of the item, in percent of the usual.
    work_percent: u32,
    queued: QueuedItem<T>,
}

#[derive(Debug, Clone)]
struct Flow<T> {
    workspace: WorkspaceId,
    weight: u32,
    /// Virtual finish time of the flow's next item. The smallest one is served first.
    virtual_finish: u64,
    /// Invariant: sorted by position.
    items: VecDeque<OrderedItem<T>>,
}

#[derive(Debug, Clone)]
struct RankQueue<T> {
    rank: u8,
    /// Invariant: sorted by workspace; no flow is empty.
    flows: Vec<Flow<T>>,
    /// Virtual time of the item served last.
    virtual_time: u64,
    length: usize,
}

/// Items by rank and workspace.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    /// Invariant: sorted by rank.
    ranks: Vec<RankQueue<T>>,
    aging_threshold: Duration,
    turns_since_aged: u32,
}

impl<T> Queue<T> {
    /// Creates an empty queue. Items of the least urgent rank age after `aging_threshold`.
    #[must_use]
    pub fn new(aging_threshold: Duration) -> Self {
        Self {
            ranks: Vec::new(),
            aging_threshold,
            turns_since_aged: 0,
        }
    }

    /// Number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranks.iter().map(|rank_queue| rank_queue.length).sum()
    }

    /// Whether no item is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Expected number of items that are served before one more item of a workspace.
    #[must_use]
    pub fn ahead_of(&self, rank: u8, workspace: &str, weight: u32) -> usize {
        let ranks = self
            .ranks
            .iter()
            .take_while(|rank_queue| rank_queue.rank <= rank);
        let ahead = ranks.map(|rank_queue| {
            if rank_queue.rank < rank {
                rank_queue.length
            } else {
                rank_queue.ahead_of(workspace, weight)
            }
        });
        ahead.sum()
    }

    /// Adds an item at the end of its workspace's flow.
    pub fn push(&mut self, queued: QueuedItem<T>) {
        self.push_at(u64::MAX, USUAL_WORK_PERCENT, queued);
    }

    /// Adds an item to its workspace's flow before those with a greater `position`. It takes as much
    /// of the workspace's share as its work, in percent of the usual.
    pub fn push_at(&mut self, position: u64, work_percent: u32, queued: QueuedItem<T>) {
        let item = OrderedItem {
            position,
            work_percent,
            queued,
        };
        self.rank_queue(item.queued.rank).push(item);
    }

    fn rank_queue(&mut self, rank: u8) -> &mut RankQueue<T> {
        let found = self
            .ranks
            .binary_search_by_key(&rank, |rank_queue| rank_queue.rank);
        let position = found.unwrap_or_else(|position| {
            self.ranks.insert(position, RankQueue::new(rank));
            position
        });
        &mut self.ranks[position]
    }

    /// Rank of the item that [`Queue::pop`] would return.
    #[must_use]
    pub fn next_rank(&self, now: Moment) -> Option<u8> {
        let first = || {
            self.ranks
                .iter()
                .position(|rank_queue| rank_queue.length > 0)
        };
        let position = self.aged_rank(now).or_else(first)?;
        Some(self.ranks[position].rank)
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self, now: Moment) -> Option<QueuedItem<T>> {
        if let Some(position) = self.aged_rank(now) {
            self.turns_since_aged = 0;
            return self.ranks[position].pop();
        }
        self.turns_since_aged = self.turns_since_aged.saturating_add(1);
        self.ranks.iter_mut().find_map(RankQueue::pop)
    }

    /// Removes and returns the newest item of the least urgent rank, if that rank is less urgent
    /// than `rank`.
    pub fn evict_below(&mut self, rank: u8) -> Option<QueuedItem<T>> {
        let ranks = self.ranks.iter_mut().rev();
        ranks
            .take_while(|rank_queue| rank_queue.rank > rank)
            .find_map(RankQueue::pop_newest)
    }

    /// Removes the items for which `should_remove` holds and returns how many there were.
    pub fn remove_where(&mut self, mut should_remove: impl FnMut(&T) -> bool) -> usize {
        let ranks = self.ranks.iter_mut();
        ranks
            .map(|rank_queue| rank_queue.remove_where(&mut should_remove))
            .sum()
    }

    /// Removes and returns the items for which `should_take` holds.
    pub fn take_where(&mut self, should_take: impl Fn(&T) -> bool) -> Vec<QueuedItem<T>> {
        let ranks = self.ranks.iter_mut();
        ranks
            .flat_map(|rank_queue| rank_queue.take_where(&should_take))
            .collect()
    }

    /// The queued items.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedItem<T>> {
        let flows = self.ranks.iter().flat_map(|ranks| &ranks.flows);
        flows.flat_map(|flow| flow.items.iter().map(|item| &item.queued))
    }

    fn aged_rank(&self, now: Moment) -> Option<usize> {
        if self.turns_since_aged + 1 < AGED_TURN_INTERVAL {
            return None;
        }
        let least_urgent = self
            .ranks
            .iter()
            .rposition(|rank_queue| rank_queue.length > 0)?;
        let oldest = self.ranks[least_urgent].oldest()?;
        (now.saturating_sub(oldest) >= self.aging_threshold).then_some(least_urgent)
    }
}

impl<T> RankQueue<T> {
    fn new(rank: u8) -> Self {
        Self {
            rank,
            flows: Vec::new(),
            virtual_time: 0,
            length: 0,
        }
    }

    /// While a workspace gets one turn, each other workspace gets turns in proportion to the
    /// weights.
    fn ahead_of(&self, workspace: &str, weight: u32) -> usize {
        let own = self.flows.iter().find(|flow| flow.workspace == workspace);
        let own = own.map_or(0, |flow| flow.items.len());
        let others = self.flows.iter().filter(|flow| flow.workspace != workspace);
        let turns = |flow: &Flow<T>| {
            let share = (own + 1) * flow.weight.max(1) as usize;
            share.div_ceil(weight.max(1) as usize)
        };
        own + others
            .map(|flow| flow.items.len().min(turns(flow)))
            .sum::<usize>()
    }

    fn push(&mut self, item: OrderedItem<T>) {
        let workspace = &item.queued.workspace;
        let found = self
            .flows
            .binary_search_by(|flow| flow.workspace.cmp(workspace));
        let position = found.unwrap_or_else(|position| {
            let flow = Flow {
                workspace: workspace.clone(),
                weight: item.queued.weight,
                virtual_finish: self.virtual_time + item.cost(),
                items: VecDeque::new(),
            };
            self.flows.insert(position, flow);
            position
        });
        self.length += 1;
        let items = &mut self.flows[position].items;
        let behind = items.partition_point(|other| other.position <= item.position);
        items.insert(behind, item);
    }

    fn pop(&mut self) -> Option<QueuedItem<T>> {
        let virtual_finish = |position: &usize| self.flows[*position].virtual_finish;
        let position = (0..self.flows.len()).min_by_key(virtual_finish)?;
        let flow = &mut self.flows[position];
        self.virtual_time = self.virtual_time.max(flow.virtual_finish);
        let item = flow.items.pop_front()?;
        flow.virtual_finish += item.cost();
        if flow.items.is_empty() {
            self.flows.remove(position);
        }
        self.length -= 1;
        Some(item.queued)
    }

    fn pop_newest(&mut self) -> Option<QueuedItem<T>> {
        let newest = |position: &usize| {
            self.flows[*position]
                .items
                .back()
                .map(|item| item.queued.queued_at)
        };
        let position = (0..self.flows.len()).max_by_key(newest)?;
        let queued = self.flows[position].items.pop_back()?.queued;
        if self.flows[position].items.is_empty() {
            self.flows.remove(position);
        }
        self.length -= 1;
        Some(queued)
    }

    fn oldest(&self) -> Option<Moment> {
        let first = |flow: &Flow<T>| flow.items.iter().map(|item| item.queued.queued_at).min();
        self.flows.iter().filter_map(first).min()
    }

    fn take_where(&mut self, should_take: &impl Fn(&T) -> bool) -> Vec<QueuedItem<T>> {
        let mut taken = Vec::new();
        for flow in &mut self.flows {
            if !flow.items.iter().any(|item| should_take(&item.queued.item)) {
                continue;
            }
            let items = std::mem::take(&mut flow.items).into_iter();
            let (taken_items, kept) = items.partition(|item| should_take(&item.queued.item));
            flow.items = kept;
            let taken_items: VecDeque<OrderedItem<T>> = taken_items;
            taken.extend(taken_items.into_iter().map(|item| item.queued));
        }
        self.flows.retain(|flow| !flow.items.is_empty());
        self.length -= taken.len();
        taken
    }

    fn remove_where(&mut self, should_remove: &mut impl FnMut(&T) -> bool) -> usize {
        let before = self.length;
        for flow in &mut self.flows {
            flow.items.retain(|item| !should_remove(&item.queued.item));
        }
        self.flows.retain(|flow| !flow.items.is_empty());
        self.length = self.flows.iter().map(|flow| flow.items.len()).sum();
        before - self.length
    }
}

impl<T> OrderedItem<T> {
    /// Virtual time that the item takes.
    fn cost(&self) -> u64 {
        let work = UNIT_COST / 100 * u64::from(self.work_percent.max(1));
        work / u64::from(self.queued.weight.max(1))
    }
}
