//! Load: returning chats and billed calls of several workspaces.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::config::Config;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::caller::{Balancer, Caller, CallerOptions, RequestReport};
use crate::fleet_size::FleetSize;

/// Load of a run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Workspaces, the large ones first.
    pub workspaces: Vec<String>,
    /// Chat profiles, taken in turn.
    pub profiles: Vec<String>,
    /// What the names of chats and calls begin with.
    pub prefix: String,
    /// Chats.
    pub chats: usize,
    /// Turns of each chat.
    pub turns: usize,
    /// Time over which the chats begin.
    pub ramp_up: Duration,
    /// Longest pause between two turns.
    pub max_think_time: Duration,
    /// Calls that must not run twice.
    pub billed_calls: usize,
    /// Path of those calls: service and path.
    pub billed_path: String,
    /// Tokens of an answer.
    pub tokens: usize,
    /// Seed of pauses and order.
    pub seed: u64,
    /// How callers go about their requests.
    pub caller_options: CallerOptions,
}

impl LoadPlan {
    /// A chat each second for a minute by all workspaces and chat profiles of a configuration.
    #[must_use]
    pub fn new(config: &Config, size: &FleetSize) -> Self {
        let workspaces = config.workspaces.iter();
        let profiles = config.profiles.iter();
        let profiles = profiles.filter(|profile| profile.pool == size.engine_pool);
        Self {
            workspaces: workspaces.map(|one| one.name.to_string()).collect(),
            profiles: profiles.map(|one| one.name.to_string()).collect(),
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

/// Reports of the callers.
#[derive(Debug, Clone, Default)]
pub struct LoadReports {
    /// Turns of chats.
    pub chats: Vec<RequestReport>,
    /// Calls that must not run twice.
    pub billed: Vec<RequestReport>,
}

/// A load on its way.
pub struct LoadGenerator {
    reports: Rc<RefCell<LoadReports>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    done: Rc<Cell<usize>>,
    total: usize,
}

impl LoadGenerator {
    /// Starts all callers.
    #[must_use]
    pub fn start(plan: &LoadPlan, balancer: &Rc<Balancer>) -> Self {
        let mut load = Self {
            reports: Rc::default(),
            tasks: Vec::new(),
            done: Rc::default(),
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
        let caller = Caller::new(balancer, workspace(plan, index), plan.caller_options);
        let profile = plan.profiles[index % plan.profiles.len()].clone();
        let prefix = plan.prefix.clone();
        let (turns, tokens, max_think_time) = (plan.turns, plan.tokens, plan.max_think_time);
        let (reports, done) = (Rc::clone(&self.reports), Rc::clone(&self.done));
        self.tasks.push(actix::spawn(async move {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            tokio::time::sleep(delay).await;
            for turn in 0..turns {
                let chat = format!("{prefix}chat-{index}");
                let marker = format!("{chat}-{turn}");
                let report = caller.chat(&profile, &chat, &marker, tokens).await;
                reports.borrow_mut().chats.push(report);
                done.set(done.get() + 1);
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
        let caller = Caller::new(balancer, workspace(plan, index), plan.caller_options);
        let path = plan.billed_path.clone();
        let prefix = plan.prefix.clone();
        let (reports, done) = (Rc::clone(&self.reports), Rc::clone(&self.done));
        self.tasks.push(actix::spawn(async move {
            tokio::time::sleep(delay).await;
            let marker = format!("{prefix}billed-{index}");
            let report = if index.is_multiple_of(3) {
                caller.call_with_idempotency_key(&path, &marker).await
            } else {
                caller.call_with_ticket(&path, &marker).await
            };
            reports.borrow_mut().billed.push(report);
            done.set(done.get() + 1);
        }));
    }

    /// Requests answered so far, and all of them.
    #[must_use]
    pub fn progress(&self) -> (usize, usize) {
        (self.done.get(), self.total)
    }

    /// Whether all callers are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(tokio::task::JoinHandle::is_finished)
    }

    /// Waits for all callers.
    pub async fn finish(self) -> LoadReports {
        futures::future::join_all(self.tasks).await;
        self.reports.take()
    }
}

/// Half of the load comes from the first two workspaces.
fn workspace(plan: &LoadPlan, index: usize) -> &str {
    let position = if index.is_multiple_of(2) {
        (index / 2) % 2
    } else {
        index % plan.workspaces.len()
    };
    &plan.workspaces[position.min(plan.workspaces.len() - 1)]
}
