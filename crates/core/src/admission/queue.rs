//! Order in which waiting requests are served.
//!
//! Ranks go strictly by urgency; within a rank, workspaces share by weight. Once the oldest request
//! of the least urgent rank has waited for the age bound, every [`AGED_TURN`]th turn is its rank's.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::ids::WorkspaceId;

/// Turns of which one goes to the least urgent work that reached the age bound.
const AGED_TURN: u32 = 8;
/// Virtual cost of a request of a workspace of weight 1.
const UNIT_COST: u64 = 1 << 20;

/// A waiting item and what decides its turn.
#[derive(Debug, Clone)]
pub struct Waiting<T> {
    /// Urgency, 0 first.
    pub rank: u8,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Weight of the workspace.
    pub weight: u32,
    /// When it came.
    pub since: Moment,
    /// The item.
    pub item: T,
}

#[derive(Debug, Clone)]
struct Flow<T> {
    workspace: WorkspaceId,
    weight: u32,
    /// Virtual time at which the flow's next item is due.
    due: u64,
    items: VecDeque<Waiting<T>>,
}

#[derive(Debug, Clone)]
struct Lane<T> {
    rank: u8,
    /// Invariant: sorted by workspace; no flow is empty.
    flows: Vec<Flow<T>>,
    /// Virtual time of the item served last.
    virtual_time: u64,
    length: usize,
}

/// A queue.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    /// Invariant: sorted by rank.
    lanes: Vec<Lane<T>>,
    age_bound: Duration,
    turns_since_aged: u32,
}

impl<T> Queue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(age_bound: Duration) -> Self {
        Self {
            lanes: Vec::new(),
            age_bound,
            turns_since_aged: 0,
        }
    }

    /// Number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.length).sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Items that would be served before one more item of a workspace.
    #[must_use]
    pub fn ahead_of(&self, rank: u8, workspace: &str, weight: u32) -> usize {
        let lanes = self.lanes.iter().take_while(|lane| lane.rank <= rank);
        let ahead = lanes.map(|lane| {
            if lane.rank < rank {
                lane.length
            } else {
                lane.ahead_of(workspace, weight)
            }
        });
        ahead.sum()
    }

    /// Adds an item at the end of its workspace's flow.
    pub fn push(&mut self, waiting: Waiting<T>) {
        let found = self
            .lanes
            .binary_search_by_key(&waiting.rank, |lane| lane.rank);
        let position = found.unwrap_or_else(|position| {
            self.lanes.insert(position, Lane::new(waiting.rank));
            position
        });
        self.lanes[position].push(waiting);
    }

    /// Rank of the item whose turn it is.
    #[must_use]
    pub fn next_rank(&self, now: Moment) -> Option<u8> {
        let first = || self.lanes.iter().position(|lane| lane.length > 0);
        let lane = self.aged_lane(now).or_else(first)?;
        Some(self.lanes[lane].rank)
    }

    /// Takes the item whose turn it is.
    pub fn pop(&mut self, now: Moment) -> Option<Waiting<T>> {
        if let Some(lane) = self.aged_lane(now) {
            self.turns_since_aged = 0;
            return self.lanes[lane].pop();
        }
        self.turns_since_aged = self.turns_since_aged.saturating_add(1);
        self.lanes.iter_mut().find_map(Lane::pop)
    }

    /// Takes the newest item of the least urgent rank, if it is less urgent than `rank`.
    pub fn evict_below(&mut self, rank: u8) -> Option<Waiting<T>> {
        let lanes = self.lanes.iter_mut().rev();
        lanes
            .take_while(|lane| lane.rank > rank)
            .find_map(Lane::pop_newest)
    }

    /// Removes the items for which `is_gone` holds; returns how many.
    pub fn remove_where(&mut self, mut is_gone: impl FnMut(&T) -> bool) -> usize {
        let lanes = self.lanes.iter_mut();
        lanes.map(|lane| lane.remove_where(&mut is_gone)).sum()
    }

    fn aged_lane(&self, now: Moment) -> Option<usize> {
        if self.turns_since_aged + 1 < AGED_TURN {
            return None;
        }
        let least_urgent = self.lanes.iter().rposition(|lane| lane.length > 0)?;
        let oldest = self.lanes[least_urgent].oldest()?;
        (now.saturating_sub(oldest) >= self.age_bound).then_some(least_urgent)
    }
}

impl<T> Lane<T> {
    fn new(rank: u8) -> Self {
        Self {
            rank,
            flows: Vec::new(),
            virtual_time: 0,
            length: 0,
        }
    }

    /// For each turn of a workspace, each other one gets turns in proportion to its weight.
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

    fn push(&mut self, waiting: Waiting<T>) {
        let found = self
            .flows
            .binary_search_by(|flow| flow.workspace.cmp(&waiting.workspace));
        let position = found.unwrap_or_else(|position| {
            let flow = Flow {
                workspace: waiting.workspace.clone(),
                weight: waiting.weight,
                due: self.virtual_time + cost(waiting.weight),
                items: VecDeque::new(),
            };
            self.flows.insert(position, flow);
            position
        });
        self.length += 1;
        self.flows[position].items.push_back(waiting);
    }

    fn pop(&mut self) -> Option<Waiting<T>> {
        let due = |position: &usize| self.flows[*position].due;
        let position = (0..self.flows.len()).min_by_key(due)?;
        let flow = &mut self.flows[position];
        self.virtual_time = self.virtual_time.max(flow.due);
        let waiting = flow.items.pop_front()?;
        flow.due += cost(waiting.weight);
        if flow.items.is_empty() {
            self.flows.remove(position);
        }
        self.length -= 1;
        Some(waiting)
    }

    fn pop_newest(&mut self) -> Option<Waiting<T>> {
        let newest = |position: &usize| self.flows[*position].items.back().map(|w| w.since);
        let position = (0..self.flows.len()).max_by_key(newest)?;
        let waiting = self.flows[position].items.pop_back()?;
        if self.flows[position].items.is_empty() {
            self.flows.remove(position);
        }
        self.length -= 1;
        Some(waiting)
    }

    fn oldest(&self) -> Option<Moment> {
        let first = |flow: &Flow<T>| flow.items.front().map(|waiting| waiting.since);
        self.flows.iter().filter_map(first).min()
    }

    fn remove_where(&mut self, is_gone: &mut impl FnMut(&T) -> bool) -> usize {
        let before = self.length;
        for flow in &mut self.flows {
            flow.items.retain(|waiting| !is_gone(&waiting.item));
        }
        self.flows.retain(|flow| !flow.items.is_empty());
        self.length = self.flows.iter().map(|flow| flow.items.len()).sum();
        before - self.length
    }
}

fn cost(weight: u32) -> u64 {
    UNIT_COST / u64::from(weight.max(1))
}
