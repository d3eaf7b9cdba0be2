//! Divides a rate between classes of requests: by urgency, and fairly between workspaces.

use crate::admission::Priority;
use crate::ids::WorkspaceId;

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
