//! Runs a fleet in which sound engines and service targets fall silent for about a second and go on,
//! and nothing else fails. Callers send each request once, so that a retry cannot hide a loss.

use std::cell::RefCell;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_web::http::Method;
use demo::checker::TargetRecords;
use demo::fleet::Fleet;
use demo::fleet_size::FleetSize;
use demo::sent_once::{self, RequestEnd, SentOnce};
use lapismoor_core::config::Config;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::plan::FaultPlan;
use super::proxy::Proxies;
use super::run::{ProcessCounts, inject_faults};

/// Upper limit of a caller's random pause after a request.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Tokens in a stream: most callers are in the middle of one when a silence begins.
const TOKENS: usize = 48;
/// Number of losses that are described.
const DESCRIBED_LOSSES: usize = 12;
/// Profiles of the streams.
const PROFILES: [&str; 2] = ["shop-counter", "drive-test"];

/// What a run does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CalmPlan {
    /// Seed of the silences and of the callers' pauses.
    pub seed: u64,
    /// Numbers of processes.
    pub counts: ProcessCounts,
    /// Callers of streams, through profiles.
    pub stream_callers: usize,
    /// Callers of plain services.
    pub service_callers: usize,
    /// Period in which requests are sent.
    pub period: Duration,
    /// Whether the configuration is changed meanwhile.
    pub has_changes: bool,
}

impl CalmPlan {
    /// 25 seconds with 4 daemons, 6 engines, 3 service targets and 140 callers, without changes of the
    /// configuration.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            counts: ProcessCounts {
                daemons: 4,
                engines: 6,
                services: 3,
            },
            stream_callers: 120,
            service_callers: 20,
            period: Duration::from_secs(25),
            has_changes: false,
        }
    }
}

/// Numbers of requests by their end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Complete responses.
    pub whole: usize,
    /// Responses with status 200 that ended too early.
    pub cut_off: usize,
    /// Connections that ended without a response.
    pub unanswered: usize,
    /// Refusals by status and whether they state that the request did not run. Invariant: sorted.
    pub refused: Vec<((u16, bool), usize)>,
}

impl EndCounts {
    fn of(sent: &[SentOnce]) -> Self {
        let mut counts = Self::default();
        for one in sent {
            match one.end {
                RequestEnd::Whole => counts.whole += 1,
                RequestEnd::CutOff => counts.cut_off += 1,
                RequestEnd::Unanswered => counts.unanswered += 1,
                RequestEnd::Refused { status, is_not_run } => {
                    let key = (status, is_not_run);
                    let found = counts.refused.binary_search_by_key(&key, |(key, _)| *key);
                    match found {
                        Ok(index) => counts.refused[index].1 += 1,
                        Err(index) => counts.refused.insert(index, (key, 1)),
                    }
                }
            }
        }
        counts
    }

    /// Number of requests that got neither a complete response nor a refusal.
    #[must_use]
    pub fn lost(&self) -> usize {
        self.cut_off + self.unanswered
    }
}

impl Display for EndCounts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let (cut_off, unanswered) = (self.cut_off, self.unanswered);
        write!(
            formatter,
            "{} lost ({cut_off} cut off, {unanswered} unanswered), {} whole",
            self.lost(),
            self.whole
        )?;
        for ((status, is_not_run), count) in &self.refused {
            let outcome = if *is_not_run { "not run" } else { "unknown" };
            write!(formatter, ", {status} {outcome}: {count}")?;
        }
        Ok(())
    }
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct CalmOutcome {
    /// Streams through profiles.
    pub streams: EndCounts,
    /// Calls of the plain service.
    pub calls: EndCounts,
    /// Descriptions of the violated guarantees; empty if the run passed.
    pub violations: Vec<String>,
    /// The silences and changes.
    pub plan: FaultPlan,
}

impl Display for CalmOutcome {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "streams: {}; calls: {}",
            self.streams, self.calls
        )
    }
}

#[derive(Debug, Default)]
struct AllSent {
    streams: Vec<SentOnce>,
    lookups: Vec<SentOnce>,
    billed: Vec<SentOnce>,
}

/// Runs a plan with the programs in the executable `program`; logs and records go to `directory`.
///
/// # Errors
/// If processes cannot be started, one of them ends, or records cannot be read.
pub async fn run_calm(
    program: &Path,
    directory: &Path,
    config: &Config,
    plan: &CalmPlan,
) -> io::Result<CalmOutcome> {
    let size = FleetSize {
        daemons: plan.counts.daemons,
        engines: plan.counts.engines,
        services: plan.counts.services,
        tokens: TOKENS,
        ..FleetSize::midshire()
    };
    let mut fleet = Fleet::start(program, directory, &size, config).await?;
    let faults = FaultPlan::only_silences(plan.seed, &plan.counts, plan.period, plan.has_changes);
    let sent = Rc::new(RefCell::new(AllSent::default()));
    let callers = start_callers(plan, &size, &fleet.caller_addresses(), &sent);
    inject_faults(&mut fleet, &Proxies::default(), config, &faults).await?;
    for caller in futures::future::join_all(callers).await {
        caller.map_err(io::Error::other)?;
    }
    fail_if_any_ended(&mut fleet)?;
    let sent = sent.take();
    let calls = [sent.lookups.as_slice(), &sent.billed].concat();
    Ok(CalmOutcome {
        streams: EndCounts::of(&sent.streams),
        calls: EndCounts::of(&calls),
        violations: violations(&fleet, &sent)?,
        plan: faults,
    })
}

fn start_callers(
    plan: &CalmPlan,
    size: &FleetSize,
    addresses: &[SocketAddr],
    sent: &Rc<RefCell<AllSent>>,
) -> Vec<actix_web::rt::task::JoinHandle<()>> {
    let end = Instant::now() + plan.period;
    let mut seeds = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut callers = Vec::new();
    for index in 0..plan.stream_callers + plan.service_callers {
        let mut rng = ChaCha8Rng::seed_from_u64(seeds.random());
        let addresses = addresses.to_vec();
        let sent = Rc::clone(sent);
        let streams = index < plan.stream_callers;
        let service = size.service_pool.clone();
        callers.push(actix_web::rt::spawn(async move {
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let address = addresses[rng.random_range(0..addresses.len())];
                let marker = format!("caller-{index}-{number}");
                if streams {
                    let profile = PROFILES[index % PROFILES.len()];
                    let chat = format!("chat-{index}");
                    let one = sent_once::stream(address, profile, &chat, &marker).await;
                    sent.borrow_mut().streams.push(one);
                } else if index.is_multiple_of(2) {
                    let path = format!("{service}/postcode");
                    let one = sent_once::call(address, Method::GET, &path, &marker).await;
                    sent.borrow_mut().lookups.push(one);
                } else {
                    let path = format!("{service}/billed/postcode");
                    let one = sent_once::call(address, Method::POST, &path, &marker).await;
                    sent.borrow_mut().billed.push(one);
                }
                tokio::time::sleep(MAX_PAUSE.mul_f64(rng.random())).await;
            }
        }));
    }
    callers
}

/// A process that ended is a fault that was not planned.
fn fail_if_any_ended(fleet: &mut Fleet) -> io::Result<()> {
    let daemons = fleet.daemons.iter_mut();
    let daemons = daemons.map(|daemon| (&daemon.name, &mut daemon.process));
    let targets = fleet.engines.iter_mut().chain(&mut fleet.services);
    let targets = targets.map(|target| (&target.name, &mut target.process));
    for (name, process) in daemons.chain(targets) {
        if process.has_ended() {
            return Err(io::Error::other(format!("{name} ended; check its log")));
        }
    }
    Ok(())
}

fn violations(fleet: &Fleet, sent: &AllSent) -> io::Result<Vec<String>> {
    let mut started = Vec::new();
    for target in fleet.engines.iter().chain(&fleet.services) {
        let records = TargetRecords::read(&target.name, &target.records_path, None)?.records;
        let records = records.into_iter().filter(|record| record.what == "begin");
        started.extend(records.map(|record| record.marker));
    }
    started.sort_unstable();
    let runs = |one: &SentOnce| {
        let first = started.partition_point(|marker| *marker < one.marker);
        started.partition_point(|marker| *marker <= one.marker) - first
    };
    let mut violations = Vec::new();
    let all = sent.streams.iter().chain(&sent.lookups).chain(&sent.billed);
    let is_lost = |one: &&SentOnce| matches!(one.end, RequestEnd::CutOff | RequestEnd::Unanswered);
    for one in all.clone().filter(is_lost).take(DESCRIBED_LOSSES) {
        violations.push(format!("lost: {one:?}"));
    }
    for one in all {
        let is_not_run = matches!(
            one.end,
            RequestEnd::Refused {
                is_not_run: true,
                ..
            }
        );
        if is_not_run && runs(one) > 0 {
            violations.push(format!("reported as not run, but a target ran it: {one:?}"));
        }
    }
    for one in &sent.billed {
        if runs(one) > 1 {
            violations.push(format!("ran {} times: {one:?}", runs(one)));
        }
    }
    Ok(violations)
}
