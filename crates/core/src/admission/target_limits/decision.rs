//! Decides on the permits that one daemon hands out.

use super::allocator::{Allocators, PermitDecision, Rates, is_allocator, is_cold_allocator};
use super::messages::{PermitAnswer, PermitRequest, PermitResult, TargetLimit};
use crate::clock::Moment;
use crate::membership::{DaemonRecord, KnownTarget};

/// The permits that one daemon hands out: for targets that name a limit, and for cold ones. A target
/// that is both takes no more than either allows.
#[derive(Debug, Clone, Default)]
pub struct PermitDesk {
    named: Allocators,
    cold: Allocators,
}

impl PermitDesk {
    /// Decides on a permit for one request, at the daemon `own` that lists `daemons`. A target that is
    /// not `known` here yet has the limit that the request tells, and gets nothing if it is cold.
    pub fn decide(
        &mut self,
        now: Moment,
        own: &str,
        daemons: &[DaemonRecord],
        known: Option<&KnownTarget>,
        request: &PermitRequest,
    ) -> PermitAnswer {
        let limit = known.and_then(|known| TargetLimit::of(now, known));
        let limit = limit.unwrap_or(request.limit);
        let target = request.limit.target;
        let is_cold = !request.limit.cold_left.is_zero()
            || known.is_some_and(|known| known.cold_rate(now).is_some());
        if is_cold {
            let cold_limit = known.and_then(|known| known.cold_limit);
            let cold_limit = cold_limit.filter(|_| is_cold_allocator(target, daemons, own));
            let Some(cold_limit) = cold_limit else {
                let result = PermitResult::NotAllocator;
                return PermitAnswer { result, limit };
            };
            let rates = Rates::part_of_cold(cold_limit.rate, daemons);
            let decision = self.cold.take(now, target, rates, &request.priority);
            if decision != PermitDecision::Granted || limit.rate.is_none() {
                let result = decision.into();
                return PermitAnswer { result, limit };
            }
        }
        let result = match limit.rate {
            None => PermitResult::Unlimited,
            Some(_) if !is_allocator(target, daemons, own) => PermitResult::NotAllocator,
            Some(rate) => {
                let rates = Rates::part_of(rate, daemons);
                let decision = self.named.take(now, target, rates, &request.priority);
                decision.into()
            }
        };
        PermitAnswer { result, limit }
    }

    /// Forgets the permits for targets that other daemons hand out now.
    pub fn update(&mut self, now: Moment, own: &str, daemons: &[DaemonRecord]) {
        self.named
            .retain(now, |target| is_allocator(target, daemons, own));
        self.cold
            .retain(now, |target| is_cold_allocator(target, daemons, own));
    }
}

impl From<PermitDecision> for PermitResult {
    fn from(decision: PermitDecision) -> Self {
        match decision {
            PermitDecision::Granted => Self::Granted,
            PermitDecision::Denied { wait } => Self::Denied { wait },
        }
    }
}
