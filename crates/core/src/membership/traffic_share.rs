//! Estimates this daemon's share of the fleet's traffic from the load that targets report, so that
//! fleet-wide limits can be split without knowing the number of daemons.

/// Greatest share that is expected without observations, as in a fleet of eight daemons.
const MAX_EXPECTED_SHARE: f64 = 1.0 / 8.0;
/// Weight of the expected share, as a number of observed requests.
const EXPECTED_WEIGHT_REQUESTS: f64 = 40.0;
/// Observed requests after which earlier ones lose half of their weight.
const DECAY_REQUESTS: f64 = 2_000.0;

/// Estimate of the share; older observations decay.
#[derive(Debug, Clone)]
pub struct TrafficShare {
    /// Share before any observation.
    expected: f64,
    /// Weight of `expected`, as a number of observed requests; decays like the observations.
    expected_weight: f64,
    own: f64,
    /// Invariant: at least `own`; above zero together with `expected_weight`.
    total: f64,
}

impl Default for TrafficShare {
    fn default() -> Self {
        Self {
            expected: MAX_EXPECTED_SHARE,
            expected_weight: EXPECTED_WEIGHT_REQUESTS,
            own: 0.0,
            total: 0.0,
        }
    }
}

impl TrafficShare {
    /// Expects an even share of the traffic of `daemons` daemons. A large fleet whose daemons all
    /// start at once would otherwise split each limit into parts that add up to many times of it.
    pub fn expect_even(&mut self, daemons: usize) {
        let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
        self.expected = (1.0 / f64::from(daemons)).min(MAX_EXPECTED_SHARE);
    }

    /// Records the load that a target reported with an answer: `total` requests in flight there,
    /// `own` of them from this daemon. Both include the answered request, which is not counted
    /// because it carries no information about shares.
    pub fn record(&mut self, own: u32, total: u32) {
        let other_own = own.saturating_sub(1);
        let other_total = total.saturating_sub(1).max(other_own);
        self.own += f64::from(other_own);
        self.total += f64::from(other_total);
        if self.total > DECAY_REQUESTS {
            self.own *= 0.5;
            self.total *= 0.5;
            self.expected_weight *= 0.5;
        }
    }

    /// Estimated share, from 0 to 1.
    #[must_use]
    pub fn get(&self) -> f64 {
        let own = self.own + self.expected * self.expected_weight;
        own / (self.total + self.expected_weight)
    }

    /// This daemon's part of a fleet-wide limit.
    #[must_use]
    pub fn of(&self, limit: u32) -> f64 {
        f64::from(limit) * self.get()
    }
}
