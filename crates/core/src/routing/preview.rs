//! Where a request would go now, and why. Nothing is counted and no permit is taken.

use crate::clock::Moment;
use crate::ids::TargetKey;
use crate::membership::{Directory, KnownTarget};
use crate::routing::candidates::Candidate;
use crate::routing::choice::{Choice, NoTarget, TargetQuery};
use crate::routing::exclusion::{Exclusion, bar, obstacle};

/// A target of the service, as one request sees it.
#[derive(Debug, Clone)]
pub struct TargetPreview<'a> {
    /// The target.
    pub target: &'a KnownTarget,
    /// Estimated requests in flight; `None` for targets that cannot get the request at all.
    pub load: Option<f64>,
    /// Why it does not get the request, or only if no other can.
    pub exclusion: Option<Exclusion>,
}

/// Homes of the shared part by which a request is placed.
#[derive(Debug, Clone, PartialEq)]
pub struct PartPlacement {
    /// Identifier of the part.
    pub part: u64,
    /// Number of homes that the part has; more than one if it draws much traffic.
    pub homes: usize,
    /// Targets in the order in which they are homes of the part, first those that are.
    pub order: Vec<TargetKey>,
    /// Targets that are last in the order because they are cold: only a share of the parts is homed
    /// there until they are warm.
    pub cold: Vec<TargetKey>,
    /// Load at which a home no longer gets the request, in requests in flight.
    pub bound: f64,
}

/// Where a request would go now.
#[derive(Debug, Clone)]
pub struct Preview<'a> {
    /// All known targets of the service, sorted by id.
    pub targets: Vec<TargetPreview<'a>>,
    /// Homes of the shared part; `None` if the request is not placed by a part.
    pub placement: Option<PartPlacement>,
    /// The choice, if no permit is denied.
    pub choice: Result<Choice, NoTarget>,
}

/// The known targets of the service, and why each does not get the request.
pub(super) fn targets<'a>(
    now: Moment,
    directory: &'a Directory,
    query: &TargetQuery<'_>,
    candidates: &[Candidate<'a>],
    moves_first: bool,
) -> Vec<TargetPreview<'a>> {
    let targets = directory.targets().iter();
    let of_service = targets.filter(|target| target.entry.service == *query.service);
    let to_preview = |target: &'a KnownTarget| {
        let mut candidates = candidates.iter();
        let candidate = candidates.find(|one| one.target.key == target.key);
        let exclusion = match candidate {
            Some(candidate) => obstacle(now, candidate, query),
            None => bar(now, directory, target, query, moves_first),
        };
        TargetPreview {
            target,
            load: candidate.map(|candidate| candidate.load),
            exclusion,
        }
    };
    of_service.map(to_preview).collect()
}
