//! Generates the simulated traffic: requests of returning chats from all workspaces, two of which
//! surge periodically.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::config::PoolKind;
use lapismoor_core::ids::{ChatKey, ProfileId, WorkspaceId, chat_key};
use lapismoor_core::request::Class;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;

/// Number of chats in each workspace, for each engine.
const CHATS_PER_WORKSPACE_PER_ENGINE: usize = 8;
/// Mean request rate outside surges.
const REQUESTS_PER_SECOND_PER_ENGINE: f64 = 2.6;
/// Time from the start of a surge to the start of the next.
const SURGE_INTERVAL: Duration = Duration::from_secs(90);
/// Length of a surge.
const SURGE_DURATION: Duration = Duration::from_secs(12);
/// Number of workspaces that surge.
const SURGING_WORKSPACES: usize = 2;
/// Factor on the request rate of a surging workspace.
const SURGE_FACTOR: f64 = 10.0;

/// Properties of a request.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Workspace that sends it.
    pub workspace: WorkspaceId,
    /// Profile under which it runs.
    pub profile: ProfileId,
    /// Urgency class of the profile.
    pub class: Class,
    /// Chat that it continues or starts.
    pub chat: ChatKey,
    /// Whether the chat had a request before.
    pub is_returning: bool,
    /// Length of the answer in tokens.
    pub tokens: u32,
}

/// Generator of requests with exponentially distributed gaps.
pub struct Traffic {
    rng: ChaCha8Rng,
    workspaces: Vec<WorkspaceId>,
    profiles: Vec<(ProfileId, Class)>,
    chats_per_workspace: usize,
    requests_per_second: f64,
    /// Chats that had a request. Invariant: sorted.
    known_chats: Vec<ChatKey>,
}

impl Traffic {
    /// Creates the traffic of a deployment, scaled by its number of engines.
    #[must_use]
    pub fn new(deployment: &Deployment, seed: u64) -> Self {
        let pool = deployment.pool(&PoolKind::Engines);
        let config = &deployment.config;
        let profiles = config.profiles.iter().filter(|p| p.pool == pool.name);
        let engines = u32::try_from(deployment.engines).unwrap_or(1);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            workspaces: config.workspaces.iter().map(|w| w.name.clone()).collect(),
            profiles: profiles.map(|p| (p.name.clone(), p.class)).collect(),
            chats_per_workspace: CHATS_PER_WORKSPACE_PER_ENGINE * deployment.engines,
            requests_per_second: REQUESTS_PER_SECOND_PER_ENGINE * f64::from(engines),
            known_chats: Vec::new(),
        }
    }

    /// Returns the next request and the time until the one after it.
    pub fn next_request(&mut self, now: Moment) -> (RequestSpec, Duration) {
        let in_surge = is_surge(now);
        let workspace = self.pick_workspace(in_surge);
        let (profile, class) = self.profiles[self.rng.random_range(0..self.profiles.len())].clone();
        let chat = self.rng.random_range(0..self.chats_per_workspace);
        let chat = chat_key(&workspace, &chat.to_string());
        let found = self.known_chats.binary_search(&chat);
        if let Err(position) = found {
            self.known_chats.insert(position, chat);
        }
        let spec = RequestSpec {
            workspace,
            profile,
            class,
            chat,
            is_returning: found.is_ok(),
            tokens: self.rng.random_range(20..80),
        };
        let surging_share = to_f64(SURGING_WORKSPACES) / to_f64(self.workspaces.len());
        let rate_factor = if in_surge {
            1.0 - surging_share + surging_share * SURGE_FACTOR
        } else {
            1.0
        };
        let gap_s =
            -self.rng.random_range(1e-9..1.0f64).ln() / (self.requests_per_second * rate_factor);
        (spec, Duration::from_secs_f64(gap_s))
    }

    fn pick_workspace(&mut self, in_surge: bool) -> WorkspaceId {
        let count = self.workspaces.len();
        let weight = |index: usize| {
            if in_surge && index < SURGING_WORKSPACES {
                SURGE_FACTOR
            } else {
                1.0
            }
        };
        let total_weight: f64 = (0..count).map(weight).sum();
        let mut remaining = self.rng.random_range(0.0..total_weight);
        for index in 0..count {
            remaining -= weight(index);
            if remaining <= 0.0 {
                return self.workspaces[index].clone();
            }
        }
        self.workspaces[count - 1].clone()
    }
}

fn is_surge(now: Moment) -> bool {
    now.as_secs() % SURGE_INTERVAL.as_secs() < SURGE_DURATION.as_secs()
}

#[expect(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
