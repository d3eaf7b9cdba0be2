//! What the decisions cost as their tables grow: slopes that `docs/CAPACITY.md` works with.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::format_compact;
use lapismoor_core::Moment;
use lapismoor_core::membership::{
    DaemonRecord, Directory, Mirror, Sources, StoreItem, TargetEntry, TargetState,
};
use lapismoor_core::routing::{AffinityPreference, Chooser, LoadBound, PromptPart, TargetQuery};

/// Decisions that a point is the mean of.
const ROUNDS: u32 = 2_000;
/// Bound of the choice measured, as on the users' platform.
const BOUND: LoadBound = LoadBound {
    percent: 200,
    extra: 3,
};

/// One measured point.
struct Point {
    /// Size of the table.
    size: f64,
    /// What was measured there.
    value: f64,
}

/// Least-squares line through points: value at size 0, and slope.
fn fit(points: &[Point]) -> (f64, f64) {
    let count = points.iter().map(|_| 1.0).sum::<f64>().max(1.0);
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean_value))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    (mean_value - slope * mean_size, slope)
}

fn line(title: &str, unit: &str, points: &[Point]) -> String {
    let listed: Vec<String> = points
        .iter()
        .map(|point| format!("{}: {:.3}", point.size, point.value))
        .collect();
    let (base, slope) = fit(points);
    format!(
        "{title} [{unit}]\n  {}\n  fit: {base:.4} + {slope:.6} per unit\n",
        listed.join(", ")
    )
}

/// All slopes, as text.
#[must_use]
pub fn report() -> String {
    let choices = [10, 25, 50, 150, 600].map(choice);
    let sources = [7, 30, 90, 400].map(source);
    let lists = [100, 600, 3_000].map(list);
    [
        line("a chat's target, by engines", "us", &choices),
        line("whom to ask, by daemons", "us", &sources),
        line("a list of everything taken in, by targets", "ms", &lists),
    ]
    .concat()
}

fn entry(number: u16) -> TargetEntry {
    TargetEntry {
        id: format_compact!("engine-{number:04}"),
        started_unix_ms: Some(1),
        address: ([10, 0, 0, 1], number).into(),
        service: "pool".into(),
        domain: "one".into(),
        slots: 64,
        state: TargetState::Ready,
        warmup_remaining: Duration::ZERO,
    }
}

fn choice(engines: u16) -> Point {
    let mut directory = Directory::default();
    for number in 0..engines {
        directory.apply(Moment::ZERO, entry(number));
    }
    let mut chooser = Chooser::new("one".into(), BOUND);
    let service = "pool".into();
    let mean = mean_time(|round| {
        let parts = [u64::from(round % 500), u64::from(round) << 32];
        let parts = parts.map(|id| PromptPart { id, tokens: 100 });
        let demand = TargetQuery {
            service: &service,
            parts: &parts,
            request: round.into(),
            tried: &[],
            may_repeat_target: false,
            preference: AffinityPreference::default(),
        };
        black_box(chooser.choose(Duration::from_millis(round.into()), &directory, &demand)).ok();
    });
    Point {
        size: engines.into(),
        value: micros(mean),
    }
}

fn source(daemons: u16) -> Point {
    let record = |number: u16| DaemonRecord {
        id: format_compact!("entry-{number}"),
        domain: format_compact!("domain-{}", number % 5),
        incarnation: 1,
        address: ([10, 0, 0, 1], number).into(),
        caller_address: None,
        operator_address: None,
        link_mbps: 10,
    };
    let fleet: Vec<DaemonRecord> = (0..daemons).map(record).collect();
    let mut sources = Sources::new("entry-0".into(), "domain-0".into());
    let mean = mean_time(|_| {
        black_box(sources.choose(Moment::ZERO, &fleet));
    });
    Point {
        size: daemons.into(),
        value: micros(mean),
    }
}

fn list(targets: u16) -> Point {
    let item = |number: u16| StoreItem {
        key: format_compact!("servers/engine-{number:04}"),
        value: Some(Bytes::from_static(&[b'x'; 200])),
    };
    let items: Vec<StoreItem> = (0..targets).map(item).collect();
    let start = Instant::now();
    let mut mirror = Mirror::default();
    black_box(mirror.replace(items, 1));
    let mut directory = Directory::default();
    for number in 0..targets {
        directory.apply(Moment::ZERO, entry(number));
    }
    black_box(&directory);
    Point {
        size: targets.into(),
        value: micros(start.elapsed()) / 1_000.0,
    }
}

fn mean_time(mut decide: impl FnMut(u32)) -> Duration {
    let start = Instant::now();
    for round in 0..ROUNDS {
        decide(round);
    }
    start.elapsed() / ROUNDS
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
