//! Divides a rate between classes of requests: by urgency, and fairly between workspaces.

use std::time::Duration;

use crate::admission::Priority;
use crate::clock::Moment;
use crate::ids::WorkspaceId;

/// Time constant of the exponential decay of demand and use.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Demand, as a part of the rate, from which on classes are held to their shares.
const CONTENDED_FRACTION: f64 = 0.9;
/// Turns that a rank may have due at most: those that it could not take.
const MAX_DUE: f64 = 2.0;
/// Turns that are due to a new rank, so that it is neither first nor last.
const FIRST_DUE: f64 = 0.5;
/// Rate by which a workspace may exceed its share of a rank. A single turn counts as half of a
/// request per second at once, and many workspaces ask for less.
const CLASS_MARGIN_PER_S: f64 = 0.25;
/// Demand below which a class is forgotten, in requests per second.
const MIN_DEMAND_PER_S: f64 = 0.01;

/// Part of a rate that goes to ranks in order of urgency. The rest is divided by demand, so that no
/// rank goes without.
const URGENT_FRACTION: f64 = 0.6;

/// Demand of the requests of one rank and workspace.
#[derive(Debug, Clone)]
pub(super) struct ClassDemand {
    pub(super) rank: u8,
    pub(super) workspace: WorkspaceId,
    /// Weight of the workspace.
    pub(super) weight: u32,
    /// Requests per second that are asked for.
    pub(super) per_s: f64,
}

impl ClassDemand {
    pub(super) fn new(priority: &Priority) -> Self {
        Self {
            rank: priority.rank,
            workspace: priority.workspace.clone(),
            weight: priority.weight,
            per_s: 0.0,
        }
    }
}

/// Divides `rate_per_s` between `classes`, which are sorted by rank. Returns the requests per second
/// of each one.
pub(super) fn divide(rate_per_s: f64, classes: &[ClassDemand]) -> Vec<f64> {
    let total: f64 = classes.iter().map(|class| class.per_s).sum();
    if total <= rate_per_s {
        return classes.iter().map(|class| class.per_s).collect();
    }
    let by_demand = (1.0 - URGENT_FRACTION) * rate_per_s / total;
    let mut left_per_s = URGENT_FRACTION * rate_per_s;
    let mut shares = Vec::with_capacity(classes.len());
    for rank in classes.chunk_by(|left, right| left.rank == right.rank) {
        let demand: f64 = rank.iter().map(|class| class.per_s).sum();
        let base = by_demand * demand;
        let more = (demand - base).min(left_per_s);
        left_per_s -= more;
        shares.extend(divide_fairly(base + more, rank));
    }
    shares
}

/// Divides the rate of a rank between workspaces by weight. What one of them does not need goes to
/// the others.
fn divide_fairly(rate_per_s: f64, classes: &[ClassDemand]) -> Vec<f64> {
    let weight = |class: &ClassDemand| f64::from(class.weight.max(1));
    let mut order: Vec<usize> = (0..classes.len()).collect();
    let need = |position: &usize| classes[*position].per_s / weight(&classes[*position]);
    order.sort_by(|left, right| need(left).total_cmp(&need(right)));
    let mut left_per_s = rate_per_s;
    let mut left_weight: f64 = classes.iter().map(weight).sum();
    let mut shares = vec![0.0; classes.len()];
    for position in order {
        let class = &classes[position];
        let share = class
            .per_s
            .min(left_per_s * weight(class) / left_weight.max(1.0));
        shares[position] = share;
        left_per_s -= share;
        left_weight -= weight(class);
    }
    shares
}

/// Requests of one rank.
#[derive(Debug, Clone)]
struct Rank {
    rank: u8,
    /// Sum of the admitted fractions of its requests. A turn is due from one on, and is taken off.
    due: f64,
}

/// Requests of one rank and workspace.
#[derive(Debug, Clone)]
struct Class {
    demand: ClassDemand,
    /// Turns per second that it took lately.
    used_per_s: f64,
}

/// Whether it is the turn of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Turn {
    pub(super) is_due: bool,
    /// Time until it may be, in seconds.
    pub(super) due_in_s: f64,
}

/// What a class and its rank may take of a rate.
#[derive(Debug, Clone, Copy)]
struct Shares {
    /// Fraction of the requests of the rank, from 0 to 1.
    of_rank: f64,
    /// Requests per second of the class.
    class_per_s: f64,
}

/// Demand and use of all classes that share a rate.
#[derive(Debug, Clone, Default)]
pub(super) struct ShareBook {
    /// Invariant: sorted by rank and workspace.
    classes: Vec<Class>,
    /// Invariant: sorted by rank; those of `classes`.
    ranks: Vec<Rank>,
    updated_at: Moment,
}

impl ShareBook {
    /// Counts a request, and tells whether it is its turn if all share `rate_per_s`. The most
    /// urgent rank leaves to the others only what is due to them.
    pub(super) fn ask(&mut self, now: Moment, rate_per_s: f64, priority: &Priority) -> Turn {
        self.update(now);
        let class = self.class(priority);
        self.classes[class].demand.per_s += 1.0 / DECAY_TIME.as_secs_f64();
        let shares = self.shares(class, rate_per_s);
        let rank = self.rank(priority.rank);
        let due = &mut self.ranks[rank].due;
        *due = (*due + shares.of_rank).min(MAX_DUE);
        let is_rank_due = rank == 0 || *due >= 1.0;
        let is_due = is_rank_due && self.classes[class].used_per_s < shares.class_per_s;
        Turn {
            is_due,
            due_in_s: if is_due {
                0.0
            } else {
                1.0 / shares.class_per_s
            },
        }
    }

    /// Counts that a request took its turn, or one that nobody else used.
    pub(super) fn take(&mut self, priority: &Priority) {
        let class = self.class(priority);
        self.classes[class].used_per_s += 1.0 / DECAY_TIME.as_secs_f64();
        let rank = self.rank(priority.rank);
        let due = &mut self.ranks[rank].due;
        *due = (*due - 1.0).max(0.0);
    }

    /// Requests per second that are asked for, as of the last request.
    pub(super) fn demand_per_s(&self) -> f64 {
        self.classes.iter().map(|class| class.demand.per_s).sum()
    }

    /// What a class and its rank may take: all that they ask for, unless the rate is contended.
    fn shares(&self, class: usize, rate_per_s: f64) -> Shares {
        let demands: Vec<ClassDemand> = self.classes.iter().map(|one| one.demand.clone()).collect();
        if self.demand_per_s() <= CONTENDED_FRACTION * rate_per_s {
            return Shares {
                of_rank: 1.0,
                class_per_s: f64::INFINITY,
            };
        }
        let shares = divide(rate_per_s, &demands);
        let rank = demands[class].rank;
        let in_rank = demands.iter().zip(&shares);
        let in_rank = in_rank.filter(|(demand, _)| demand.rank == rank);
        let (demand_per_s, share_per_s) = in_rank
            .fold((0.0, 0.0), |(all, shared), (demand, share)| {
                (all + demand.per_s, shared + share)
            });
        Shares {
            of_rank: share_per_s / demand_per_s,
            class_per_s: shares[class] + CLASS_MARGIN_PER_S,
        }
    }

    /// Lets demand and use decay.
    fn update(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let decay = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for class in &mut self.classes {
            class.demand.per_s *= decay;
            class.used_per_s *= decay;
        }
        self.classes
            .retain(|class| class.demand.per_s >= MIN_DEMAND_PER_S);
        let classes = &self.classes;
        self.ranks
            .retain(|known| classes.iter().any(|one| one.demand.rank == known.rank));
    }

    /// Position of the class of a request.
    fn class(&mut self, priority: &Priority) -> usize {
        let found = self.classes.binary_search_by(|class| {
            let key = (class.demand.rank, &class.demand.workspace);
            key.cmp(&(priority.rank, &priority.workspace))
        });
        found.unwrap_or_else(|position| {
            let class = Class {
                demand: ClassDemand::new(priority),
                used_per_s: 0.0,
            };
            self.classes.insert(position, class);
            position
        })
    }

    /// Position of a rank.
    fn rank(&mut self, rank: u8) -> usize {
        let found = self.ranks.binary_search_by_key(&rank, |known| known.rank);
        found.unwrap_or_else(|position| {
            let due = FIRST_DUE;
            self.ranks.insert(position, Rank { rank, due });
            position
        })
    }
}
