//! Generates load: chats of several turns and billed service calls, from several workspaces.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::config::Config;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::caller::{Balancer, Caller, CallerOptions, RequestReport};
use crate::fleet_size::FleetSize;

/// Parameters of the generated load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Names of the workspaces; the first two send at least half of the load.
    pub workspaces: Vec<String>,
    /// Names of the chat profiles, assigned to the chats in turn.
    pub profiles: Vec<String>,
    /// Prefix of the markers of chats and billed calls, to tell apart several loads on one fleet.
    pub prefix: String,
    /// Number of chats.
    pub chats: usize,
    /// Number of turns in each chat.
    pub turns: usize,
    /// Period over which the starts of chats and billed calls are distributed at random.
    pub ramp_up: Duration,
    /// Upper limit of the random pause after each turn.
    pub max_think_time: Duration,
    /// Number of service calls that must not run twice.
    pub billed_calls: usize,
    /// Path of the billed calls: the name of the service, then the path within it.
    pub billed_path: String,
    /// Number of tokens that a complete chat response has.
    pub tokens: usize,
    /// Seed of the random start times and pauses.
    pub seed: u64,
    /// Settings of every caller.
    pub caller_options: CallerOptions,
}

impl LoadPlan {
    /// 60 chats of one turn within a minute, over all workspaces and chat profiles of `config`; no
    /// billed calls.
    #[must_use]
    pub fn new(config: &Config, size: &FleetSize) -> Self {
        let workspaces = config.workspaces.iter();
        let profiles = config.profiles.iter();
        let profiles = profiles.filter(|profile| profile.pool == size.engine_pool);
        Self {
            workspaces: workspaces
                .map(|workspace| workspace.name.to_string())
                .collect(),
            profiles: profiles.map(|profile| profile.name.to_string()).collect(),
            prefix: String::new(),
            chats: 60,
            turns: 1,
            ramp_up: Duration::from_mins(1),
            max_think_time: Duration::ZERO,
            billed_calls: 0,
            billed_path: format!("{}/billed/postcode", size.service_pool),
            tokens: size.tokens,
            seed: 1,
            caller_options: CallerOptions::default(),
        }
    }
}

/// Reports on all requests, in order of completion.
#[derive(Debug, Clone, Default)]
pub struct LoadReports {
    /// Reports on chat turns.
    pub chats: Vec<RequestReport>,
    /// Reports on billed calls, which must not run twice.
    pub billed: Vec<RequestReport>,
}

/// Running callers and the reports so far.
pub struct LoadGenerator {
    reports: Rc<RefCell<LoadReports>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    completed: Rc<Cell<usize>>,
    total: usize,
}

impl LoadGenerator {
    /// Starts a task for each chat and billed call of `plan`, on the current actix system.
    #[must_use]
    pub fn start(plan: &LoadPlan, balancer: &Rc<Balancer>) -> Self {
        let mut load = Self {
            reports: Rc::default(),
            tasks: Vec::new(),
            completed: Rc::default(),
            total: plan.chats * plan.turns + plan.billed_calls,
        };
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        for index in 0..plan.chats {
            let delay = plan.ramp_up.mul_f64(random.random());
            load.start_chat(plan, balancer, index, delay, random.random());
        }
        for index in 0..plan.billed_calls {
            let delay = plan.ramp_up.mul_f64(random.random());
            load.start_billed(plan, balancer, index, delay);
        }
        load
    }

    fn start_chat(
        &mut self,
        plan: &LoadPlan,
        balancer: &Rc<Balancer>,
        index: usize,
        delay: Duration,
        seed: u64,
    ) {
        let caller = Caller::new(
            balancer,
            assigned_workspace(plan, index),
            plan.caller_options,
        );
        let profile = plan.profiles[index % plan.profiles.len()].clone();
        let prefix = plan.prefix.clone();
        let (turns, tokens, max_think_time) = (plan.turns, plan.tokens, plan.max_think_time);
        let (reports, completed) = (Rc::clone(&self.reports), Rc::clone(&self.completed));
        self.tasks.push(actix::spawn(async move {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            tokio::time::sleep(delay).await;
            for turn in 0..turns {
                let chat = format!("{prefix}chat-{index}");
                let marker = format!("{chat}-{turn}");
                let report = caller.chat(&profile, &chat, &marker, tokens).await;
                reports.borrow_mut().chats.push(report);
                completed.set(completed.get() + 1);
                tokio::time::sleep(max_think_time.mul_f64(random.random())).await;
            }
        }));
    }

    fn start_billed(
        &mut self,
        plan: &LoadPlan,
        balancer: &Rc<Balancer>,
        index: usize,
        delay: Duration,
    ) {
        let caller = Caller::new(
            balancer,
            assigned_workspace(plan, index),
            plan.caller_options,
        );
        let path = plan.billed_path.clone();
        let prefix = plan.prefix.clone();
        let (reports, completed) = (Rc::clone(&self.reports), Rc::clone(&self.completed));
        self.tasks.push(actix::spawn(async move {
            tokio::time::sleep(delay).await;
            let marker = format!("{prefix}billed-{index}");
            let report = if index.is_multiple_of(3) {
                caller.call_with_idempotency_key(&path, &marker).await
            } else {
                caller.call_with_ticket(&path, &marker).await
            };
            reports.borrow_mut().billed.push(report);
            completed.set(completed.get() + 1);
        }));
    }

    /// Number of completed requests and of all requests.
    #[must_use]
    pub fn progress(&self) -> (usize, usize) {
        (self.completed.get(), self.total)
    }

    /// Whether all requests have completed.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(tokio::task::JoinHandle::is_finished)
    }

    /// Waits for all requests to complete.
    pub async fn finish(self) -> LoadReports {
        futures::future::join_all(self.tasks).await;
        self.reports.take()
    }
}

/// Assigns a workspace so that the first two send at least half of the load.
fn assigned_workspace(plan: &LoadPlan, index: usize) -> &str {
    let position = if index.is_multiple_of(2) {
        (index / 2) % 2
    } else {
        index % plan.workspaces.len()
    };
    &plan.workspaces[position.min(plan.workspaces.len() - 1)]
}
