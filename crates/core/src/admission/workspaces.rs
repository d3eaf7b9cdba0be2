//! Limits of the workspaces at one daemon.

use std::time::Duration;

use crate::admission::RateLimit;
use crate::clock::Moment;
use crate::config::Workspace;
use crate::ids::WorkspaceId;

/// Burst of a workspace, in seconds of its rate.
const BURST_S: f64 = 2.0;
/// When to come back while too many requests are in flight; most end within it.
const CROWDED_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct WorkspaceUse {
    name: WorkspaceId,
    rate: RateLimit,
    in_flight: usize,
}

/// Use that the workspaces make of one daemon.
#[derive(Debug, Clone, Default)]
pub struct Workspaces {
    /// Invariant: sorted by name.
    uses: Vec<WorkspaceUse>,
}

impl Workspaces {
    /// Counts a request of a workspace. `share` is the part of the fleet's rate that falls to this
    /// daemon, from 0 to 1.
    ///
    /// # Errors
    /// When to come back, if the workspace is at a limit.
    pub fn begin(
        &mut self,
        now: Moment,
        workspace: &Workspace,
        share: f64,
    ) -> Result<(), Duration> {
        let per_second = workspace.requests_per_second * share;
        let burst = per_second * BURST_S;
        let position = match self.position(&workspace.name) {
            Ok(position) => position,
            Err(position) => {
                let new = WorkspaceUse {
                    name: workspace.name.clone(),
                    rate: RateLimit::new(now, per_second, burst),
                    in_flight: 0,
                };
                self.uses.insert(position, new);
                position
            }
        };
        let known = &mut self.uses[position];
        if known.in_flight >= workspace.concurrent_requests {
            return Err(CROWDED_RETRY_AFTER);
        }
        known.rate.set_rate(per_second, burst);
        known.rate.take(now)?;
        known.in_flight += 1;
        Ok(())
    }

    /// Counts the end of a request.
    pub fn end(&mut self, workspace: &str) {
        if let Ok(position) = self.position(workspace) {
            let known = &mut self.uses[position];
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.uses
            .binary_search_by(|known| known.name.as_str().cmp(name))
    }
}
