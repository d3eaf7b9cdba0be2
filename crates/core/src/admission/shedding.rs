//! Decides at one daemon which requests are turned away before they are sent, while the targets of a
//! service reject requests.
//!
//! Load pattern: a surge in a large fleet. Each daemon sends a few requests per second, so that none
//! waits at any daemon and no queue can order them; the targets reject what is urgent like the rest.
//! Each daemon therefore sends only part of what it gets, the most urgent first. All daemons see a
//! sample of the same answers, so that together they send what the targets take.

use std::time::Duration;

use crate::clock::Moment;
use crate::ids::ServiceId;

/// Time after the last rejection from which on the fraction grows without answers. A daemon of a
/// large fleet gets few.
const PRESSURE_TTL: Duration = Duration::from_secs(2);
/// Growth of the fraction per second from then on.
const RECOVERY_PER_S: f64 = 0.25;
/// Part by which the fraction of requests that are sent is decreased with a rejection.
const DECREASE: f64 = 0.1;
/// Increase of the fraction with an answer on time: about one of twenty requests is rejected, so
/// that more room is noticed.
const INCREASE: f64 = 0.005;
/// Least fraction of the requests of any rank that is sent, so that none starves.
const MIN_FRACTION: f64 = 0.1;
/// Time constant of the exponential decay of the demand.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Fractions of the requests that are sent, by service.
#[derive(Debug, Clone, Default)]
pub struct Shedding {
    /// Invariant: sorted by service.
    services: Vec<(ServiceId, ServiceDemand)>,
}

impl Shedding {
    /// Counts a request, and decides whether it is sent. `draw` is evenly distributed between 0 and
    /// 1. The most urgent rank is always sent.
    pub fn admit(&mut self, now: Moment, service: &ServiceId, rank: u8, draw: f64) -> bool {
        draw < self.count(now, service, rank)
    }

    /// Fraction of the requests of a rank that [`Self::admit`] would send, counting one more. Changes
    /// nothing.
    #[must_use]
    pub fn preview(&self, now: Moment, service: &ServiceId, rank: u8) -> f64 {
        self.clone().count(now, service, rank)
    }

    fn count(&mut self, now: Moment, service: &ServiceId, rank: u8) -> f64 {
        let demand = self.service(service);
        demand.count(now, rank);
        demand.fraction_of(now, rank)
    }

    /// Records that a target answered on time, or that it rejected a request or answered late.
    pub fn record(&mut self, now: Moment, service: &ServiceId, is_on_time: bool) {
        self.service(service).record(now, is_on_time);
    }

    fn service(&mut self, service: &ServiceId) -> &mut ServiceDemand {
        let found = self
            .services
            .binary_search_by(|(known, _)| known.cmp(service));
        let position = found.unwrap_or_else(|position| {
            self.services
                .insert(position, (service.clone(), ServiceDemand::default()));
            position
        });
        &mut self.services[position].1
    }
}

#[derive(Debug, Clone)]
struct ServiceDemand {
    /// Fraction of the demand that is sent until [`PRESSURE_TTL`] after `pressed_at`. Invariant: from
    /// [`MIN_FRACTION`] to 1.
    fraction: f64,
    /// When a target last rejected a request or answered late.
    pressed_at: Option<Moment>,
    /// Requests of each rank lately. Invariant: sorted by rank.
    ranks: Vec<(u8, f64)>,
    counted_at: Moment,
}

impl Default for ServiceDemand {
    fn default() -> Self {
        Self {
            fraction: 1.0,
            pressed_at: None,
            ranks: Vec::new(),
            counted_at: Moment::ZERO,
        }
    }
}

impl ServiceDemand {
    fn count(&mut self, now: Moment, rank: u8) {
        let elapsed = now.saturating_sub(self.counted_at);
        let decay = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for (_, requests) in &mut self.ranks {
            *requests *= decay;
        }
        self.counted_at = now;
        match self.ranks.binary_search_by_key(&rank, |(known, _)| *known) {
            Ok(position) => self.ranks[position].1 += 1.0,
            Err(position) => self.ranks.insert(position, (rank, 1.0)),
        }
    }

    fn record(&mut self, now: Moment, is_on_time: bool) {
        if is_on_time {
            self.fraction = (self.fraction + INCREASE).min(1.0);
        } else {
            self.fraction = (self.fraction_at(now) * (1.0 - DECREASE)).max(MIN_FRACTION);
            self.pressed_at = Some(now);
        }
    }

    /// Fraction of the demand that is sent.
    fn fraction_at(&self, now: Moment) -> f64 {
        let Some(pressed_at) = self.pressed_at else {
            return 1.0;
        };
        let calm = now.saturating_sub(pressed_at + PRESSURE_TTL);
        (self.fraction + RECOVERY_PER_S * calm.as_secs_f64()).min(1.0)
    }

    /// Fraction of the requests of a rank that is sent: what more urgent ones leave.
    fn fraction_of(&self, now: Moment, rank: u8) -> f64 {
        let more_urgent = self.ranks.iter().filter(|(known, _)| *known < rank);
        let more_urgent: f64 = more_urgent.map(|(_, requests)| requests).sum();
        let fraction = self.fraction_at(now);
        if fraction >= 1.0 || more_urgent == 0.0 {
            return 1.0;
        }
        let all: f64 = self.ranks.iter().map(|(_, requests)| requests).sum();
        let own = self.ranks.iter().filter(|(known, _)| *known == rank);
        let own: f64 = own.map(|(_, requests)| requests).sum();
        let left = fraction * all - more_urgent;
        (left / own).clamp(MIN_FRACTION, 1.0)
    }
}
