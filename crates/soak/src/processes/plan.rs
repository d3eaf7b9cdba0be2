//! The faults of a run, drawn from its seed: in series and overlapping.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::run::Size;

/// Time over which faults begin.
pub const FAULTY: Duration = Duration::from_secs(12);
/// Least and greatest number of faults.
const FAULTS: std::ops::RangeInclusive<usize> = 6..=10;
/// Least and greatest length of a fault.
const LENGTH_MS: std::ops::RangeInclusive<u64> = 500..=8_000;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and starts again.
    KillDaemon(usize),
    /// A daemon gets SIGTERM, perhaps twice, and starts again when it has ended.
    StopDaemon {
        /// The daemon.
        daemon: usize,
        /// Whether it gets the signal twice.
        twice: bool,
    },
    /// A daemon is suspended.
    PauseDaemon(usize),
    /// An engine is killed and starts again.
    KillEngine(usize),
    /// An engine is suspended.
    PauseEngine(usize),
    /// An engine says that it leaves, and returns.
    DrainEngine(usize),
    /// A service target is killed and starts again.
    KillService(usize),
    /// Streams of an engine fall silent.
    SilentStreams(usize),
    /// The store refuses all calls.
    StoreDown,
    /// The store answers slowly.
    StoreSlow,
    /// The store does what it is told and loses the answers.
    StoreLosesAnswers,
    /// Two operators change the configuration at once.
    RacingOperators,
    /// Open connections of a way are reset.
    Reset(usize),
    /// Open connections of a way fall silent for good.
    Silence(usize),
    /// A way is slow.
    Delay(usize),
    /// Answers of a way are lost.
    OneWay(usize),
    /// A way is closed.
    Dark(usize),
}

/// A fault, when it begins and how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The faults of a run, in order of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Invariant: sorted by time.
    pub steps: Vec<Step>,
}

impl Plan {
    /// The faults of a seed, for a fleet of a size with so many ways.
    #[must_use]
    pub fn new(seed: u64, size: &Size, ways: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(FAULTS);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| Step {
                at: FAULTY.mul_f64(random.random()),
                lasts: Duration::from_millis(random.random_range(LENGTH_MS)),
                fault: fault(&mut random, size, ways),
            })
            .collect();
        steps.sort_by_key(|step| step.at);
        Self { steps }
    }
}

fn fault(random: &mut impl Rng, size: &Size, ways: usize) -> Fault {
    let daemon = random.random_range(0..size.daemons);
    let engine = random.random_range(0..size.engines);
    let service = random.random_range(0..size.services);
    let way = random.random_range(0..ways);
    match random.random_range(0..17) {
        0 => Fault::KillDaemon(daemon),
        1 => Fault::StopDaemon {
            daemon,
            twice: random.random(),
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
        11 => Fault::RacingOperators,
        12 => Fault::Reset(way),
        13 => Fault::Silence(way),
        14 => Fault::Delay(way),
        15 => Fault::OneWay(way),
        _ => Fault::Dark(way),
    }
}
