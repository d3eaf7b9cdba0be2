//! Measures the cost of decisions as their tables grow; `docs/CAPACITY.md` uses the slopes.

mod paths;
mod permits;
mod streams;

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::format_compact;
use lapismoor_core::Moment;
use lapismoor_core::admission::Priority;
use lapismoor_core::ids::StoreRevision;
use lapismoor_core::membership::{
    DaemonRecord, Directory, Mirror, Sources, StoreItem, TargetEntry, TargetState,
};
use lapismoor_core::routing::{
    AffinityPreference, Chooser, Homes, LoadBound, PromptPart, TargetQuery,
};
use lapismoor_core::stream::VersionBinding;

/// Number of decisions averaged for a point.
const DECISIONS_PER_POINT: u32 = 2_000;
/// Load bound of the target choice, as on the users' platform.
const LOAD_BOUND: LoadBound = LoadBound {
    percent: 200,
    extra: 3,
};

/// One measured point.
struct Point {
    /// Number of entries in the table.
    size: f64,
    /// Measured time, in the unit of its series.
    value: f64,
}

/// Fits a least-squares line; returns its value at size 0 and its slope.
fn fit_line(points: &[Point]) -> (f64, f64) {
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

fn format_series(title: &str, unit: &str, points: &[Point]) -> String {
    let values: Vec<String> = points
        .iter()
        .map(|point| format!("{}: {:.3}", point.size, point.value))
        .collect();
    let (intercept, slope) = fit_line(points);
    format!(
        "{title} [{unit}]\n  {}\n  fit: {intercept:.4} + {slope:.6} per unit\n",
        values.join(", ")
    )
}

/// Measures all series and formats them with their fitted lines.
#[must_use]
pub fn report() -> String {
    let target_choices = [10, 25, 50, 150, 600].map(measure_target_choice);
    let source_choices = [7, 30, 90, 400].map(measure_source_choice);
    let full_lists = [100, 600, 3_000].map(measure_full_list);
    let permit_costs = [6, 12, 85, 195, 400].map(|daemons| (daemons, permits::measure(daemons)));
    let permit_series = |value: fn(&permits::PermitCost) -> f64| {
        let points = permit_costs.iter().map(|(daemons, cost)| Point {
            size: f64::from(*daemons),
            value: value(cost),
        });
        points.collect::<Vec<Point>>()
    };
    let stream_costs = [6, 12, 85, 195, 400].map(|daemons| (daemons, streams::measure(daemons)));
    let stream_series = |value: fn(&streams::StreamCost) -> f64| {
        let points = stream_costs.iter().map(|(daemons, cost)| Point {
            size: f64::from(*daemons),
            value: value(cost),
        });
        points.collect::<Vec<Point>>()
    };
    let others = [
        format_series(
            "target choice for a chat, by engines",
            "us",
            &target_choices,
        ),
        format_series("mirror source choice, by daemons", "us", &source_choices),
        format_series("applying a full list, by targets", "ms", &full_lists),
        format_series(
            "calls for permits by a daemon while all targets have limits, by daemons",
            "calls/s",
            &permit_series(|cost| cost.calls_per_s),
        ),
        format_series(
            "calls for permits that the busiest daemon answers, by daemons",
            "calls/s",
            &permit_series(|cost| cost.most_answered_per_s),
        ),
        format_series(
            "daemons that a daemon asks for permits, by daemons",
            "daemons",
            &permit_series(|cost| cost.peers),
        ),
        format_series(
            "part of the limits that is used, by daemons",
            "of 1",
            &permit_series(|cost| cost.used),
        ),
        format_series(
            "streams that a daemon tells others while versions differ, by daemons",
            "streams/s",
            &stream_series(|cost| cost.told_per_s),
        ),
        format_series(
            "streams that the daemon is told that gets most, by daemons",
            "streams/s",
            &stream_series(|cost| cost.most_told_per_s),
        ),
        format_series(
            "daemons that hold where streams began, by daemons",
            "daemons",
            &stream_series(|cost| cost.peers),
        ),
        format_series(
            "deriving the holders of a stream, by daemons",
            "us",
            &stream_series(|cost| cost.derive_us),
        ),
        format_series(
            "records of streams that all daemons write, by daemons",
            "writes/s",
            &stream_series(|cost| cost.records_per_s),
        ),
    ];
    others.concat() + &path_report()
}

/// Series of the connections that daemons forward for others.
fn path_report() -> String {
    let path_costs = [6, 12, 85, 195, 400].map(|daemons| (daemons, paths::measure(daemons)));
    let path_series = |value: fn(&paths::PathCost) -> f64| {
        let points = path_costs.iter().map(|(daemons, cost)| Point {
            size: f64::from(*daemons),
            value: value(cost),
        });
        points.collect::<Vec<Point>>()
    };
    let series = [
        format_series(
            "calls for a forwarded connection while two thirds have lost their paths, by daemons",
            "calls",
            &path_series(|cost| cost.calls_per_connection),
        ),
        format_series(
            "connections of the daemon that forwards most, by daemons",
            "of the mean",
            &path_series(|cost| cost.most_forwarded),
        ),
        format_series(
            "probes of a daemon that has lost its paths, by daemons",
            "probes/s",
            &path_series(|cost| cost.probes_per_s),
        ),
        format_series(
            "ranking the daemons to ask for a connection, by daemons",
            "us",
            &path_series(|cost| cost.rank_us),
        ),
        format_series(
            "looking a path up at a daemon that has lost its paths, by daemons",
            "us",
            &path_series(|cost| cost.look_up_us),
        ),
    ];
    series.concat()
}

fn target_entry(number: u16) -> TargetEntry {
    TargetEntry {
        id: format_compact!("engine-{number:04}"),
        started_unix_ms: Some(1),
        address: ([10, 0, 0, 1], number).into(),
        service: "pool".into(),
        domain: "one".into(),
        version: "v1".into(),
        slots: 64,
        state: TargetState::Ready,
        warmup_remaining: Duration::ZERO,
    }
}

fn measure_target_choice(engines: u16) -> Point {
    let mut directory = Directory::default();
    for number in 0..engines {
        directory.apply(Moment::ZERO, target_entry(number));
    }
    let mut chooser = Chooser::new("one".into(), LOAD_BOUND);
    let service = "pool".into();
    let mean = mean_time(|round| {
        let parts = [u64::from(round % 500), u64::from(round) << 32];
        let parts = parts.map(|id| PromptPart { id, tokens: 100 });
        let demand = TargetQuery {
            service: &service,
            parts: &parts,
            version: VersionBinding::Free,
            request: round.into(),
            tried: &[],
            may_repeat_target: false,
            preference: AffinityPreference::default(),
            priority: &Priority::default(),
            homes: Homes::default(),
            permits_denied: 0,
        };
        black_box(chooser.choose(Duration::from_millis(round.into()), &directory, &demand)).ok();
    });
    Point {
        size: engines.into(),
        value: as_micros(mean),
    }
}

fn daemon_record(number: u16) -> DaemonRecord {
    DaemonRecord {
        id: format_compact!("entry-{number}"),
        domain: format_compact!("domain-{}", number % 5),
        incarnation: 1,
        address: ([10, 0, 0, 1], number).into(),
        caller_address: None,
        operator_address: None,
        link_mbps: 10,
    }
}

fn measure_source_choice(daemons: u16) -> Point {
    let daemon_records: Vec<DaemonRecord> = (0..daemons).map(daemon_record).collect();
    let mut sources = Sources::new("entry-0".into(), "domain-0".into());
    let mean = mean_time(|_| {
        black_box(sources.choose(Moment::ZERO, &daemon_records));
    });
    Point {
        size: daemons.into(),
        value: as_micros(mean),
    }
}

fn measure_full_list(targets: u16) -> Point {
    let item = |number: u16| StoreItem {
        key: format_compact!("servers/engine-{number:04}"),
        value: Some(Bytes::from_static(&[b'x'; 200])),
    };
    let items: Vec<StoreItem> = (0..targets).map(item).collect();
    let start = Instant::now();
    let mut mirror = Mirror::default();
    black_box(mirror.replace(items, StoreRevision { era: 1, number: 1 }));
    let mut directory = Directory::default();
    for number in 0..targets {
        directory.apply(Moment::ZERO, target_entry(number));
    }
    black_box(&directory);
    Point {
        size: targets.into(),
        value: as_micros(start.elapsed()) / 1_000.0,
    }
}

fn mean_time(mut decide: impl FnMut(u32)) -> Duration {
    let start = Instant::now();
    for round in 0..DECISIONS_PER_POINT {
        decide(round);
    }
    start.elapsed() / DECISIONS_PER_POINT
}

fn as_micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
