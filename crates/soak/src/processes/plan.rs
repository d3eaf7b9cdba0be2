//! Draws the faults of a run from its seed; faults may overlap.
//!
//! Silences are drawn from a generator of their own and only on request, so that each seed keeps its
//! other faults, and a run without them injects what it always did.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::run::ProcessCounts;

/// Period at the start of a run in which faults begin.
pub const FAULT_PERIOD: Duration = Duration::from_secs(12);
/// Number of faults in a run.
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 6..=10;
/// Time for which the crashing request is repeated after the last fault began.
const CRASHING_TAIL: Duration = Duration::from_secs(8);
/// Time between its repeats.
const CRASHING_PAUSE_MS: std::ops::RangeInclusive<u64> = 200..=4_500;
/// Duration of a fault.
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 500..=8_000;
/// Stream of the generator that silences are drawn from; the other faults are drawn from stream 0.
const SILENCE_STREAM: u64 = 1;
/// Number of silence faults in a run.
const SILENCE_FAULT_COUNT: std::ops::RangeInclusive<usize> = 1..=3;
/// Stream of the generator that requests with a crashing prompt part are drawn from.
const CRASHING_PART_STREAM: u64 = 2;
/// Stream of the generator that limits of engines are drawn from.
const LIMIT_STREAM: u64 = 3;
/// Number of limit faults in a run.
const LIMIT_FAULT_COUNT: std::ops::RangeInclusive<usize> = 1..=3;
/// Duration of a limit; the users count from the third second on.
const LIMIT_DURATION_MS: std::ops::RangeInclusive<u64> = 5_000..=10_000;
/// Requests per second that an engine names.
const LIMITS_PER_S: std::ops::RangeInclusive<u32> = 0..=4;
/// Number of silences in one such fault.
const SILENCE_COUNT: std::ops::RangeInclusive<usize> = 2..=4;
/// Duration of a silence: the users' sound servers may be silent "for a second or so".
const SILENCE_DURATION_MS: std::ops::RangeInclusive<u64> = 800..=1_600;
/// Time between the silences of a fault.
const SILENCE_PAUSE_MS: std::ops::RangeInclusive<u64> = 300..=2_500;
/// Time between silences if there are no other faults: targets are in use again before the next one.
const CALM_PAUSE_MS: std::ops::RangeInclusive<u64> = 1_500..=3_500;
/// Time between two configuration changes in a run with silences only.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_500);

/// A fault, with the index of the process or proxy that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and restarted.
    KillDaemon(usize),
    /// A daemon gets SIGTERM and is restarted after it exits.
    StopDaemon {
        /// Index of the daemon.
        daemon: usize,
        /// Whether it gets SIGTERM twice.
        twice: bool,
    },
    /// A daemon is suspended with SIGSTOP.
    PauseDaemon(usize),
    /// An engine is killed and restarted.
    KillEngine(usize),
    /// An engine is suspended with SIGSTOP.
    PauseEngine(usize),
    /// An engine drains and becomes ready again.
    DrainEngine(usize),
    /// A target of a plain service is killed and restarted.
    KillService(usize),
    /// An engine stops sending on its streams and leaves them open.
    SilentStreams(usize),
    /// Sound targets are suspended with SIGSTOP for a moment; none of them ends or leaves. Its end
    /// also resumes engines that an overlapping fault suspended.
    SilentTargets {
        /// The engines.
        engines: TargetRange,
        /// The targets of a plain service.
        services: TargetRange,
    },
    /// Engines name a limit in their answers.
    LimitedEngines {
        /// The engines.
        engines: TargetRange,
        /// Requests per second that each of them takes.
        per_s: u32,
    },
    /// The store fails all calls before they have an effect.
    StoreDown,
    /// The store delays all calls.
    StoreSlow,
    /// The store executes calls and loses their answers.
    StoreLosesAnswers,
    /// Two operators change the configuration at the same time.
    ConcurrentConfigChanges,
    /// A proxy resets its open connections.
    ResetConnections(usize),
    /// A proxy stops forwarding on its open connections for good and leaves them open.
    StallConnections(usize),
    /// A proxy delays traffic.
    DelayTraffic(usize),
    /// A proxy drops the answers and forwards the requests.
    DropAnswers(usize),
    /// A proxy resets new connections, and open ones with their next bytes.
    RejectConnections(usize),
}

/// Targets of one kind, by index: `count` of them from `first` on, continuing at index 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetRange {
    /// Index of the first.
    pub first: usize,
    /// Number of targets.
    pub count: usize,
}

impl TargetRange {
    const NONE: Self = Self { first: 0, count: 0 };

    /// The indices of the targets out of `total`.
    pub fn indices(self, total: usize) -> impl Iterator<Item = usize> {
        (0..self.count).map(move |offset| (self.first + offset) % total)
    }

    /// Draws all of `total` targets half of the time, and else any number of them.
    fn random(rng: &mut impl Rng, total: usize) -> Self {
        let first = rng.random_range(0..total);
        let part = rng.random_range(1..=total);
        let count = if rng.random() { total } else { part };
        Self { first, count }
    }
}

/// A fault with its schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultStep {
    /// Start of the fault, from the start of the run.
    pub at: Duration,
    /// Time until the fault is removed; unused by faults that happen at one moment.
    pub duration: Duration,
    /// Kind of the fault and what it affects.
    pub fault: Fault,
}

/// When a request that ends its engines is sent, and to which daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashingSend {
    /// Time from the start of the run.
    pub at: Duration,
    /// Index of the daemon.
    pub daemon: usize,
    /// Whether it has a new idempotency key, so that one engine at most runs it.
    pub has_key: bool,
}

/// The faults of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultPlan {
    /// Invariant: sorted by start.
    pub steps: Vec<FaultStep>,
    /// Repeats of one request that ends every engine that runs it. Invariant: sorted by time.
    pub crashing: Vec<CrashingSend>,
    /// Repeats of another one, whose callers leave when its answer has begun. Invariant: sorted by time.
    pub abandoned: Vec<CrashingSend>,
    /// Requests that share a prompt part that ends engines, no two alike. Invariant: sorted by time.
    pub sharing_part: Vec<CrashingSend>,
}

impl FaultPlan {
    /// Draws the faults of a seed for a fleet with these numbers of processes and proxies.
    #[must_use]
    pub fn new(seed: u64, counts: &ProcessCounts, proxies: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(FAULT_COUNT);
        let mut steps: Vec<FaultStep> = (0..count)
            .map(|_| FaultStep {
                at: FAULT_PERIOD.mul_f64(rng.random()),
                duration: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)),
                fault: random_fault(&mut rng, counts, proxies),
            })
            .collect();
        steps.sort_by_key(|step| step.at);
        let crashing = crashing_sends(&mut rng, counts);
        let abandoned = crashing_sends(&mut rng, counts);
        Self {
            steps,
            crashing,
            abandoned,
            sharing_part: Vec::new(),
        }
    }

    /// Adds requests that share a prompt part that ends engines, which leave the faults of the seed as
    /// they are.
    #[must_use]
    pub fn with_crashing_part(mut self, seed: u64, counts: &ProcessCounts) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(CRASHING_PART_STREAM);
        self.sharing_part = crashing_sends(&mut rng, counts);
        self
    }

    /// Adds silences of engines, which leave the other faults of the seed as they are.
    #[must_use]
    pub fn with_silences(mut self, seed: u64, counts: &ProcessCounts) -> Self {
        let mut rng = silence_rng(seed);
        for _ in 0..rng.random_range(SILENCE_FAULT_COUNT) {
            let fault = Fault::SilentTargets {
                engines: TargetRange::random(&mut rng, counts.engines),
                services: TargetRange::NONE,
            };
            let mut at = FAULT_PERIOD.mul_f64(rng.random());
            for _ in 0..rng.random_range(SILENCE_COUNT) {
                let duration = Duration::from_millis(rng.random_range(SILENCE_DURATION_MS));
                self.steps.push(FaultStep {
                    at,
                    duration,
                    fault,
                });
                let pause = Duration::from_millis(rng.random_range(SILENCE_PAUSE_MS));
                at += duration + pause;
            }
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds limits of engines, which leave the other faults of the seed as they are.
    #[must_use]
    pub fn with_limits(mut self, seed: u64, counts: &ProcessCounts) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(LIMIT_STREAM);
        for _ in 0..rng.random_range(LIMIT_FAULT_COUNT) {
            self.steps.push(FaultStep {
                at: FAULT_PERIOD.mul_f64(rng.random()),
                duration: Duration::from_millis(rng.random_range(LIMIT_DURATION_MS)),
                fault: Fault::LimitedEngines {
                    engines: TargetRange::random(&mut rng, counts.engines),
                    per_s: rng.random_range(LIMITS_PER_S),
                },
            });
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Draws silences of engines and service targets throughout `period`, as the only faults. With
    /// `has_changes`, the configuration is changed meanwhile.
    #[must_use]
    pub fn only_silences(
        seed: u64,
        counts: &ProcessCounts,
        period: Duration,
        has_changes: bool,
    ) -> Self {
        let mut rng = silence_rng(seed);
        let mut steps = Vec::new();
        let mut at = Duration::from_millis(rng.random_range(CALM_PAUSE_MS));
        while at < period {
            let duration = Duration::from_millis(rng.random_range(SILENCE_DURATION_MS));
            let fault = Fault::SilentTargets {
                engines: TargetRange::random(&mut rng, counts.engines),
                services: TargetRange::random(&mut rng, counts.services),
            };
            steps.push(FaultStep {
                at,
                duration,
                fault,
            });
            let pause = Duration::from_millis(rng.random_range(CALM_PAUSE_MS));
            at += duration + pause;
        }
        let mut at = CHANGE_INTERVAL;
        while has_changes && at < period {
            steps.push(FaultStep {
                at,
                duration: Duration::ZERO,
                fault: Fault::ConcurrentConfigChanges,
            });
            at += CHANGE_INTERVAL;
        }
        steps.sort_by_key(|step| step.at);
        Self {
            steps,
            crashing: Vec::new(),
            abandoned: Vec::new(),
            sharing_part: Vec::new(),
        }
    }
}

fn silence_rng(seed: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(SILENCE_STREAM);
    rng
}

/// Draws the repeats after the other faults, which stay the same for each seed that ever failed.
fn crashing_sends(rng: &mut impl Rng, counts: &ProcessCounts) -> Vec<CrashingSend> {
    let mut sends = Vec::new();
    let mut at = FAULT_PERIOD.mul_f64(rng.random::<f64>() / 2.0);
    while at < FAULT_PERIOD + CRASHING_TAIL {
        // Several daemons may get it at once.
        for _ in 0..rng.random_range(1..=2) {
            sends.push(CrashingSend {
                at,
                daemon: rng.random_range(0..counts.daemons),
                has_key: rng.random_range(0..3) == 0,
            });
        }
        at += Duration::from_millis(rng.random_range(CRASHING_PAUSE_MS));
    }
    sends
}

fn random_fault(rng: &mut impl Rng, counts: &ProcessCounts, proxies: usize) -> Fault {
    let daemon = rng.random_range(0..counts.daemons);
    let engine = rng.random_range(0..counts.engines);
    let service = rng.random_range(0..counts.services);
    let proxy = rng.random_range(0..proxies);
    match rng.random_range(0..17) {
        0 => Fault::KillDaemon(daemon),
        1 => Fault::StopDaemon {
            daemon,
            twice: rng.random(),
        },
        2 => Fault::PauseDaemon(daemon),
        3 => Fault::KillEngine(engine),
        4 => Fault::PauseEngine(engine),
        5 => Fault::DrainEngine(engine),
        6 => Fault::KillService(service),
        7 => Fault::SilentStreams(engine),
        8 => Fault::StoreDown,
        9 => Fault::StoreSlow,
        10 => Fault::StoreLosesAnswers,
        11 => Fault::ConcurrentConfigChanges,
        12 => Fault::ResetConnections(proxy),
        13 => Fault::StallConnections(proxy),
        14 => Fault::DelayTraffic(proxy),
        15 => Fault::DropAnswers(proxy),
        _ => Fault::RejectConnections(proxy),
    }
}
