//! Judges a run by the targets' own records and the callers' reports.

use std::io;
use std::path::Path;

use lapismoor_adapter_standin::RunRecord;

use crate::caller::{RequestOutcome, RequestReport};

/// Window in which admissions above the bound are counted, by the users' rule on load.
const WINDOW_MS: u64 = 5_000;
/// Requests beside the multiple of the mean that an engine may hold, by the same rule.
const EXTRA: f64 = 3.0;
/// Admissions above the bound that a window may have, by the same rule.
const ALLOWED: usize = 20;
/// The same, in each hundred admissions of the window.
const ALLOWED_PERCENT: usize = 3;

/// The records of one target.
#[derive(Debug, Clone)]
pub struct TargetRecords {
    /// Name of the target.
    pub target: String,
    /// Its records, in order.
    pub records: Vec<RunRecord>,
    /// When it stopped taking part, in milliseconds since 1970.
    pub gone_at_ms: Option<u64>,
}

impl TargetRecords {
    /// Reads a target's records.
    ///
    /// # Errors
    /// When they cannot be read.
    pub fn read(target: &str, path: &Path, gone_at_ms: Option<u64>) -> io::Result<Self> {
        Ok(Self {
            target: target.to_owned(),
            records: lapismoor_adapter_standin::read_records(path)?,
            gone_at_ms,
        })
    }
}

/// Counts of what callers saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Whole answers.
    pub whole: usize,
    /// Answers of other requests.
    pub foreign: usize,
    /// Answers that were cut and looked whole.
    pub cut: usize,
    /// Failures that were not told as documented.
    pub malformed: usize,
    /// Requests told to be not run.
    pub not_run: usize,
    /// Requests with an unknown outcome.
    pub unknown: usize,
    /// Requests without a final answer.
    pub lost: usize,
}

impl OutcomeCounts {
    /// Counts reports.
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

/// Checks calls that must not run twice: told whole means run once, told not run means not run,
/// and no call ran twice. Returns the broken promises.
#[must_use]
pub fn at_most_once_violations(
    reports: &[RequestReport],
    targets: &[TargetRecords],
) -> Vec<String> {
    let mut begun: Vec<&str> = targets
        .iter()
        .flat_map(|target| &target.records)
        .filter(|record| record.what == "begin")
        .map(|record| record.marker.as_str())
        .collect();
    begun.sort_unstable();
    let mut broken = Vec::new();
    for report in reports {
        let first = begun.partition_point(|marker| *marker < report.marker.as_str());
        let after = begun.partition_point(|marker| *marker <= report.marker.as_str());
        let runs = after - first;
        let is_kept = match report.outcome {
            RequestOutcome::Whole => runs == 1,
            RequestOutcome::NotRun => runs == 0,
            _ => runs <= 1,
        };
        if !is_kept {
            let text = format!(
                "{} was told {:?} and ran {runs} times",
                report.marker, report.outcome
            );
            broken.push(text);
        }
    }
    broken
}

/// How uneven the load was.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Skew {
    /// Greatest ratio of a target's load to the mean, where the mean was at least 1; none if it never
    /// was.
    pub worst: Option<f64>,
    /// Median of the ratio of the most loaded target to the mean, as above.
    pub median: Option<f64>,
    /// Admissions above the bound.
    pub above: usize,
    /// Admissions looked at.
    pub admissions: usize,
    /// Windows with more admissions above the bound than the users' rule allows.
    pub broken: Vec<String>,
}

/// An admission: when, and whether its target held more than its bound.
struct Admission {
    time_ms: u64,
    is_above: bool,
}

struct Step<'a> {
    time_ms: u64,
    target: usize,
    record: &'a RunRecord,
}

/// Follows the true load of all targets, and judges it by the users' rule: in no five seconds do 20
/// or more, and more than 3 in 100, requests reach an engine that holds over `multiple × mean + 3`.
/// Unlike the rule, windows with faults count as well.
#[must_use]
pub fn skew(targets: &[TargetRecords], multiple: f64) -> Skew {
    let mut steps = Vec::new();
    for (target, known) in targets.iter().enumerate() {
        steps.extend(known.records.iter().map(|record| Step {
            time_ms: record.time_ms,
            target,
            record,
        }));
    }
    steps.sort_by_key(|step| step.time_ms);
    let mut loads = vec![0usize; targets.len()];
    let mut ratios = Vec::new();
    let mut admissions = Vec::new();
    for step in &steps {
        loads[step.target] = step.record.running;
        if step.record.what != "begin" {
            continue;
        }
        let mean = mean_load(targets, &loads, step.time_ms);
        admissions.push(Admission {
            time_ms: step.time_ms,
            is_above: ratio(step.record.running, 1.0) > multiple * mean + EXTRA,
        });
        let most = loads.iter().max().copied();
        if let Some(most) = most.filter(|_| mean >= 1.0) {
            ratios.push(ratio(most, mean));
        }
    }
    ratios.sort_by(f64::total_cmp);
    Skew {
        worst: ratios.last().copied(),
        median: ratios.get(ratios.len() / 2).copied(),
        above: admissions.iter().filter(|one| one.is_above).count(),
        admissions: admissions.len(),
        broken: broken_windows(&admissions),
    }
}

/// Windows that begin with an admission and have too many above the bound.
fn broken_windows(admissions: &[Admission]) -> Vec<String> {
    let mut broken = Vec::new();
    for (first, admission) in admissions.iter().enumerate() {
        let until = admission.time_ms + WINDOW_MS;
        let after = admissions.partition_point(|one| one.time_ms < until);
        let window = &admissions[first..after];
        let above = window.iter().filter(|one| one.is_above).count();
        if above >= ALLOWED && above * 100 > window.len() * ALLOWED_PERCENT {
            broken.push(format!(
                "{above} of {} admissions above the bound within 5 s from {} ms",
                window.len(),
                admission.time_ms
            ));
        }
    }
    broken
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

/// Share of returning turns whose context was cached: `(cached, returning)`.
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

/// Work that a leaving target took after its time, by its records.
#[must_use]
pub fn work_after(records: &TargetRecords, since_ms: u64) -> usize {
    let is_late = |record: &&RunRecord| record.what == "begin" && record.time_ms > since_ms;
    records.records.iter().filter(is_late).count()
}
