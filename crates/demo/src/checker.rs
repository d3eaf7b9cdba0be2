//! Checks a run against the records of the targets and the reports of the callers.

use std::io;
use std::path::Path;

use lapismoor_adapter_standin::RunRecord;

use crate::caller::{RequestOutcome, RequestReport};

/// Length of the windows in which admissions above the load bound are counted, by the users' rule
/// on load.
const WINDOW_MS: u64 = 5_000;
/// Requests that an engine may hold in addition to the multiple of the mean, by the same rule.
const EXTRA_REQUESTS: f64 = 3.0;
/// A window violates the rule if it has at least this many admissions above the bound, and they are
/// more than [`MAX_ABOVE_BOUND_PERCENT`] of all its admissions.
const MIN_VIOLATING_ADMISSIONS: usize = 20;
/// Percentage of admissions above the bound that a window may have, by the same rule.
const MAX_ABOVE_BOUND_PERCENT: usize = 3;

/// Run records of one target.
#[derive(Debug, Clone)]
pub struct TargetRecords {
    /// Id under which the target is registered.
    pub target: String,
    /// Run records, oldest first.
    pub records: Vec<RunRecord>,
    /// When the target was killed or began to drain, in milliseconds since the Unix epoch; from
    /// then on it does not count towards the mean load.
    pub gone_at_ms: Option<u64>,
}

impl TargetRecords {
    /// Reads the records of a target from the file at `path`.
    ///
    /// # Errors
    /// If the file cannot be read or contains an invalid record.
    pub fn read(target: &str, path: &Path, gone_at_ms: Option<u64>) -> io::Result<Self> {
        Ok(Self {
            target: target.to_owned(),
            records: lapismoor_adapter_standin::read_records(path)?,
            gone_at_ms,
        })
    }
}

/// Number of requests with each [`RequestOutcome`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Complete responses.
    pub whole: usize,
    /// Responses that belong to another request.
    pub foreign: usize,
    /// Responses with missing or repeated tokens that do not report an error.
    pub cut: usize,
    /// Error responses that do not have the documented format.
    pub malformed: usize,
    /// Requests that the fleet reported as not run.
    pub not_run: usize,
    /// Requests with an unknown outcome.
    pub unknown: usize,
    /// Requests whose last attempt timed out.
    pub lost: usize,
}

impl OutcomeCounts {
    /// Counts the outcomes of `reports`.
    #[must_use]
    pub fn of(reports: &[RequestReport]) -> Self {
        let mut counts = Self::default();
        for report in reports {
            let count = match report.outcome {
                RequestOutcome::Whole => &mut counts.whole,
                RequestOutcome::Foreign => &mut counts.foreign,
                RequestOutcome::Cut => &mut counts.cut,
                RequestOutcome::Malformed => &mut counts.malformed,
                RequestOutcome::NotRun => &mut counts.not_run,
                RequestOutcome::Unknown => &mut counts.unknown,
                RequestOutcome::Lost => &mut counts.lost,
            };
            *count += 1;
        }
        counts
    }
}

/// Checks calls that must not run twice: a complete response requires that the call ran once, "not
/// run" that it did not run, and any other outcome that it ran at most once. Returns one text for
/// each violation.
#[must_use]
pub fn at_most_once_violations(
    reports: &[RequestReport],
    targets: &[TargetRecords],
) -> Vec<String> {
    let mut started: Vec<&str> = targets
        .iter()
        .flat_map(|target| &target.records)
        .filter(|record| record.what == "begin")
        .map(|record| record.marker.as_str())
        .collect();
    started.sort_unstable();
    let mut violations = Vec::new();
    for report in reports {
        let first = started.partition_point(|marker| *marker < report.marker.as_str());
        let after = started.partition_point(|marker| *marker <= report.marker.as_str());
        let runs = after - first;
        let is_consistent = match report.outcome {
            RequestOutcome::Whole => runs == 1,
            RequestOutcome::NotRun => runs == 0,
            _ => runs <= 1,
        };
        if !is_consistent {
            let text = format!(
                "{}: its caller observed {:?}, but it ran {runs} times",
                report.marker, report.outcome
            );
            violations.push(text);
        }
    }
    violations
}

/// Distribution of the load over the targets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Skew {
    /// Maximum ratio of the load of a target to the mean load, over the admissions at which the
    /// mean was at least 1; `None` if there were none.
    pub worst_ratio: Option<f64>,
    /// Median of the ratio of the most loaded target to the mean load, over the same admissions.
    pub median_ratio: Option<f64>,
    /// Number of admissions to a target that then held more requests than its bound.
    pub above_bound: usize,
    /// Number of all admissions.
    pub admissions: usize,
    /// Windows with more admissions above the bound than the users' rule on load allows.
    pub violations: Vec<String>,
}

/// Start of a request on a target.
struct Admission {
    time_ms: u64,
    /// Whether the target then held more requests than its bound.
    is_above_bound: bool,
}

/// Change of the load of a target.
struct LoadChange<'a> {
    time_ms: u64,
    target: usize,
    record: &'a RunRecord,
}

/// Replays the load of all targets from their records and checks it against the users' rule on
/// load: within any 5 seconds, fewer than 20 requests, or at most 3 % of them, may start on an
/// engine that then holds more than `multiple * mean + 3` requests. Unlike the rule, this also
/// counts windows during faults.
#[must_use]
pub fn skew(targets: &[TargetRecords], multiple: f64) -> Skew {
    let mut changes = Vec::new();
    for (target, history) in targets.iter().enumerate() {
        changes.extend(history.records.iter().map(|record| LoadChange {
            time_ms: record.time_ms,
            target,
            record,
        }));
    }
    changes.sort_by_key(|change| change.time_ms);
    let mut loads = vec![0usize; targets.len()];
    let mut ratios = Vec::new();
    let mut admissions = Vec::new();
    for change in &changes {
        loads[change.target] = change.record.running;
        if change.record.what != "begin" {
            continue;
        }
        let mean = mean_load(targets, &loads, change.time_ms);
        admissions.push(Admission {
            time_ms: change.time_ms,
            is_above_bound: ratio(change.record.running, 1.0) > multiple * mean + EXTRA_REQUESTS,
        });
        let max_load = loads.iter().max().copied();
        if let Some(max_load) = max_load.filter(|_| mean >= 1.0) {
            ratios.push(ratio(max_load, mean));
        }
    }
    ratios.sort_by(f64::total_cmp);
    Skew {
        worst_ratio: ratios.last().copied(),
        median_ratio: ratios.get(ratios.len() / 2).copied(),
        above_bound: admissions
            .iter()
            .filter(|admission| admission.is_above_bound)
            .count(),
        admissions: admissions.len(),
        violations: violating_windows(&admissions),
    }
}

/// Describes each window that begins with an admission and violates the users' rule on load.
fn violating_windows(admissions: &[Admission]) -> Vec<String> {
    let mut violations = Vec::new();
    for (first, admission) in admissions.iter().enumerate() {
        let end_ms = admission.time_ms + WINDOW_MS;
        let after = admissions.partition_point(|later| later.time_ms < end_ms);
        let window = &admissions[first..after];
        let above_bound = window
            .iter()
            .filter(|admission| admission.is_above_bound)
            .count();
        if above_bound >= MIN_VIOLATING_ADMISSIONS
            && above_bound * 100 > window.len() * MAX_ABOVE_BOUND_PERCENT
        {
            violations.push(format!(
                "{above_bound} of {} admissions above the bound within 5 s from {} ms",
                window.len(),
                admission.time_ms
            ));
        }
    }
    violations
}

#[expect(clippy::cast_precision_loss)]
fn ratio(load: usize, mean: f64) -> f64 {
    load as f64 / mean
}

fn mean_load(targets: &[TargetRecords], loads: &[usize], time_ms: u64) -> f64 {
    let is_live = |target: &TargetRecords| target.gone_at_ms.is_none_or(|gone| time_ms < gone);
    let live = targets
        .iter()
        .zip(loads)
        .filter(|(target, _)| is_live(target));
    let (count, sum) = live.fold((0usize, 0usize), |(count, sum), (_, load)| {
        (count + 1, sum + load)
    });
    if count == 0 {
        return 0.0;
    }
    ratio(sum, 1.0) / ratio(count, 1.0)
}

/// Counts the chat turns after the first of each chat: `(cached, all)`, where `cached` had their
/// context cached on the target that ran them.
#[must_use]
pub fn cache_reuse(targets: &[TargetRecords]) -> (usize, usize) {
    let records = targets.iter().flat_map(|target| &target.records);
    let returning = records
        .filter(|record| record.what == "begin" && record.marker.starts_with("chat-"))
        .filter(|record| !record.marker.ends_with("-0"));
    returning.fold((0, 0), |(cached, all), record| {
        (cached + usize::from(record.cached), all + 1)
    })
}

/// Number of requests that a target started after `since_ms`, in milliseconds since the Unix epoch.
#[must_use]
pub fn admissions_after(records: &TargetRecords, since_ms: u64) -> usize {
    let is_late = |record: &&RunRecord| record.what == "begin" && record.time_ms > since_ms;
    records.records.iter().filter(is_late).count()
}
