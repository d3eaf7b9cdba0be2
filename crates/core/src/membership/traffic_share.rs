//! This daemon's share of the fleet's traffic, worked out from what targets tell, so that limits
//! of the whole fleet can be split without asking anybody how many daemons there are.

/// Share that is assumed before anything was told: one of eight daemons.
const ASSUMED_SHARE: f64 = 1.0 / 8.0;
/// Requests for which the assumption counts.
const ASSUMED_WEIGHT: f64 = 40.0;
/// Requests that are remembered.
const MEMORY: f64 = 2_000.0;

/// Share of the traffic.
#[derive(Debug, Clone)]
pub struct TrafficShare {
    own: f64,
    /// Invariant: at least `own`, and above zero.
    total: f64,
}

impl Default for TrafficShare {
    fn default() -> Self {
        Self {
            own: ASSUMED_SHARE * ASSUMED_WEIGHT,
            total: ASSUMED_WEIGHT,
        }
    }
}

impl TrafficShare {
    /// Takes what a target told with an answer: `total` requests in flight there, `own` of this
    /// daemon. Both count the answered request, which says nothing about shares.
    pub fn note(&mut self, own: u32, total: u32) {
        let others_own = own.saturating_sub(1);
        let others = total.saturating_sub(1).max(others_own);
        self.own += f64::from(others_own);
        self.total += f64::from(others);
        if self.total > MEMORY {
            self.own *= 0.5;
            self.total *= 0.5;
        }
    }

    /// The share, from 0 to 1.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.own / self.total
    }

    /// This daemon's part of a limit of the whole fleet.
    #[must_use]
    pub fn of(&self, limit: u32) -> f64 {
        f64::from(limit) * self.get()
    }
}
