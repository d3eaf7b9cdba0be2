//! Claims trials of requests that were interrupted at several targets.

use lapismoor_core::admission::suspects::{MAX_BAN, TrialClaim, TrialClaimStep};
use lapismoor_core::admission::{TrialRecord, Verdict};

use super::records;
use super::suspects::{LEASE_ROTATION, is_ranked_within};
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
    /// The store did not answer, and this daemon tries the prompt part for all.
    WithoutStore,
}

/// Takes the trial of a prompt part that the store did not answer for, if this daemon is the one that does so
/// without it. A part that is suspected by mistake would otherwise be refused until the store is back.
pub(crate) fn take_without_store(edge: &Edge, trial: TrialRecord) -> bool {
    let now = edge.now();
    let expected = Verdict::Trial {
        number: trial.number,
    };
    if !is_ranked_within(edge, &trial.record_key(), 1) {
        return false;
    }
    let suspects = &mut edge.state.borrow_mut().suspects;
    // Another request may have taken it while this one waited for the store.
    let is_free = suspects.verdict(now, trial.fingerprint) == expected;
    if is_free {
        suspects.record_trial(now, trial);
    }
    is_free
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
