//! Claims trials of requests that were interrupted at several targets.

use lapismoor_core::admission::TrialRecord;
use lapismoor_core::admission::suspects::{MAX_BAN, TrialClaim, TrialClaimStep};

use super::records;
use super::suspects::LEASE_ROTATION;
use crate::context::Edge;

/// Result of the claim of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimResult {
    /// This daemon may run the trial.
    Claimed,
    /// Another daemon claimed it.
    Taken,
    /// The store did not answer.
    Unanswered,
}

/// Claims a trial, and records it if any daemon has claimed it.
pub(crate) async fn claim(edge: &Edge, trial: TrialRecord) -> ClaimResult {
    let result = write_claim(edge, trial).await;
    if result != ClaimResult::Unanswered {
        let now = edge.now();
        edge.state.borrow_mut().suspects.record_trial(now, trial);
    }
    result
}

async fn write_claim(edge: &Edge, trial: TrialRecord) -> ClaimResult {
    let ttl = MAX_BAN + LEASE_ROTATION;
    let lease = match edge.suspects_lease.get(edge, ttl, LEASE_ROTATION).await {
        Ok(lease) => lease,
        Err(failure) => {
            log::warn!(reason:% = failure.reason; "suspects_lease_not_granted");
            return ClaimResult::Unanswered;
        }
    };
    let mut claim = TrialClaim::new(trial, rand::random(), lease);
    let mut call = claim.begin();
    loop {
        let result = records::call(edge, call).await;
        match claim.next(&result) {
            TrialClaimStep::Call(next) => call = next,
            TrialClaimStep::Claimed => return ClaimResult::Claimed,
            TrialClaimStep::Taken => return ClaimResult::Taken,
            TrialClaimStep::LeaseGone => {
                edge.suspects_lease.forget();
                return ClaimResult::Unanswered;
            }
            TrialClaimStep::Unanswered => return ClaimResult::Unanswered,
        }
    }
}
