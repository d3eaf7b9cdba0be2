//! Maps requests that use the operators' profiles to routes, services and prompt parts.

use crate::config::{Config, Pool, PoolKind, Profile};
use crate::ids::{Region, hash_parts};
use crate::request::{Request, TokenCount, Work};
use crate::routing::{
    AffinityPreference, Backend, LoadBound, PromptPart, Route, RouteKind, Service,
};

/// Requests that a target may have on top of the multiple of the mean, as the users' requirement on
/// load states it.
const LOAD_EXTRA: u32 = 3;
/// Connections that an engine accepts, as a multiple of the requests that it batches.
const CONNECTIONS_PER_SLOT: u32 = 4;

/// Returns the route of a request, with the attempts that its profile allows.
#[must_use]
pub fn route(request: &Request, profile: &Profile) -> Route {
    Route {
        name: profile.name.clone(),
        host: compact_str::CompactString::default(),
        prefix: "/".into(),
        kind: kind(request),
        timeout: request.deadline,
        latency_objective: request.deadline,
        max_attempts: profile.attempts,
        rank: u8::try_from(request.class.rank()).unwrap_or(u8::MAX),
        is_public: false,
        is_sticky: matches!(request.work, Work::Chat { .. }),
        home_regions: sorted(&profile.home_regions),
        backends: vec![Backend {
            service: request.pool.clone(),
            weight: 1,
        }],
    }
}

/// Home regions of a profile or workspace, sorted.
#[must_use]
pub fn sorted(home_regions: &[Region]) -> Vec<Region> {
    let mut sorted = home_regions.to_vec();
    sorted.sort();
    sorted
}

fn kind(request: &Request) -> RouteKind {
    match request.work {
        Work::Chat { .. } => RouteKind::Stream {
            is_repeatable: request.idempotent,
            is_resumable: request.replayable,
        },
        Work::Call { .. } if request.idempotent => RouteKind::Idempotent,
        Work::Call { .. } => RouteKind::AtMostOnce,
    }
}

/// Returns the service of the pool `name`, if the configuration has such a pool.
#[must_use]
pub fn service(config: &Config, name: &str) -> Option<Service> {
    config.pool(name).map(pool_service)
}

fn pool_service(pool: &Pool) -> Service {
    Service {
        name: pool.name.clone(),
        max_connections: pool.slots_per_target * CONNECTIONS_PER_SLOT,
        has_engines: pool.kind == PoolKind::Engines,
        requests_per_target: Some(pool.slots_per_target),
        queue_limit: Some(pool.queue_limit),
        load_bound: Some(LoadBound {
            percent: percent(pool.load_multiple),
            extra: LOAD_EXTRA,
        }),
        cold: None,
    }
}

/// Returns the trade-off between cache reuse and even load for requests of `profile` to `service`.
#[must_use]
pub fn preference(profile: &Profile, service: &Service) -> AffinityPreference {
    AffinityPreference {
        reuse_weight: profile.reuse_weight,
        bound: service.load_bound.clone(),
    }
}

/// Returns the prompt parts of a request: one shared with earlier turns of the chat, then its own.
/// Empty for calls of plain services.
#[must_use]
pub fn prompt(request: &Request) -> Vec<PromptPart> {
    let Work::Chat { tokens, .. } = &request.work else {
        return Vec::new();
    };
    let TokenCount { earlier, last, .. } = *tokens;
    let own = request.fingerprint();
    let chat = request.chat.unwrap_or(own);
    let own = PromptPart {
        id: hash_parts(&[&own.to_le_bytes(), b"own"]),
        tokens: last,
    };
    let shared = PromptPart {
        id: chat,
        tokens: earlier,
    };
    vec![shared, own]
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn percent(multiple: f64) -> u32 {
    (multiple * 100.0).round() as u32
}
