//! Estimates this daemon's share of the fleet's traffic from the load that targets report, so that
//! fleet-wide limits can be split without knowing the number of daemons.

/// Initial share, as in a fleet of eight daemons.
const INITIAL_SHARE: f64 = 1.0 / 8.0;
/// Weight of the initial share, as a number of observed requests.
const INITIAL_WEIGHT_REQUESTS: f64 = 40.0;
/// Observed requests after which earlier ones lose half of their weight.
const DECAY_REQUESTS: f64 = 2_000.0;

/// Estimate of the share; older observations decay.
#[derive(Debug, Clone)]
pub struct TrafficShare {
    own: f64,
    /// Invariant: at least `own`, and above zero.
    total: f64,
}

impl Default for TrafficShare {
    fn default() -> Self {
        Self {
            own: INITIAL_SHARE * INITIAL_WEIGHT_REQUESTS,
            total: INITIAL_WEIGHT_REQUESTS,
        }
    }
}

impl TrafficShare {
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
        }
    }

    /// Estimated share, from 0 to 1.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.own / self.total
    }

    /// This daemon's part of a fleet-wide limit.
    #[must_use]
    pub fn of(&self, limit: u32) -> f64 {
        f64::from(limit) * self.get()
    }
}
