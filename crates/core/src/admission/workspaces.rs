//! Rate and concurrency limits of workspaces at one daemon.

use std::time::Duration;

use crate::admission::RateLimit;
use crate::clock::Moment;
use crate::config::Workspace;
use crate::ids::WorkspaceId;

/// Burst of a workspace, in seconds at its rate.
const BURST_S: f64 = 2.0;
/// Delay before a retry at the concurrency limit. Most requests in flight end within it.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct WorkspaceUsage {
    name: WorkspaceId,
    rate: RateLimit,
    in_flight: usize,
}

/// Requests in flight and rate of each workspace at one daemon.
#[derive(Debug, Clone, Default)]
pub struct Workspaces {
    /// Invariant: sorted by name.
    usages: Vec<WorkspaceUsage>,
}

impl Workspaces {
    /// Counts a new request of a workspace. `share` is this daemon's fraction of the fleet's rate,
    /// from 0 to 1.
    ///
    /// # Errors
    /// The delay before a retry, if the workspace has reached a limit.
    pub fn begin_request(
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
                let new = WorkspaceUsage {
                    name: workspace.name.clone(),
                    rate: RateLimit::new(now, per_second, burst),
                    in_flight: 0,
                };
                self.usages.insert(position, new);
                position
            }
        };
        let usage = &mut self.usages[position];
        if usage.in_flight >= workspace.concurrent_requests {
            return Err(CONCURRENCY_RETRY_AFTER);
        }
        usage.rate.set_rate(per_second, burst);
        usage.rate.take_token(now)?;
        usage.in_flight += 1;
        Ok(())
    }

    /// Counts the end of a request that [`Workspaces::begin_request`] accepted.
    pub fn end_request(&mut self, workspace: &str) {
        if let Ok(position) = self.position(workspace) {
            let usage = &mut self.usages[position];
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.usages
            .binary_search_by(|usage| usage.name.as_str().cmp(name))
    }
}
