//! Judges a run by what callers saw and targets recorded.

use std::io;
use std::time::Duration;

use demo::checker::{OutcomeCounts, TargetRecords, at_most_once_violations};
use demo::fleet::Fleet;
use demo::load::LoadReports;

use super::plan::{Fault, Step};

/// Time after which a leaving target gets no new work.
const LEAVING: Duration = Duration::from_secs(5);
/// Time around other faults within which a daemon may not have heard of a leaving target.
const CONTACT: Duration = Duration::from_secs(3);

/// The promises that a run broke.
pub(super) fn judge(
    fleet: &Fleet,
    reports: &LoadReports,
    steps: &[Step],
    began_ms: u64,
) -> io::Result<Vec<String>> {
    let mut services = Vec::new();
    for target in &fleet.services {
        services.push(TargetRecords::read(
            &target.name,
            &target.records_path,
            None,
        )?);
    }
    let mut broken = at_most_once_violations(&reports.billed, &services);
    for (what, counts) in [
        ("chats", OutcomeCounts::of(&reports.chats)),
        ("billed calls", OutcomeCounts::of(&reports.billed)),
    ] {
        let bad = counts.foreign + counts.cut + counts.lost;
        if bad > 0 {
            broken.push(format!(
                "{what}: {} cut, {} of others, {} lost",
                counts.cut, counts.foreign, counts.lost
            ));
        }
    }
    for step in steps {
        if let Fault::DrainEngine(engine) = step.fault
            && step.lasts > LEAVING
            && is_heard(step, steps)
        {
            broken.extend(late_work(fleet, engine, step, began_ms)?);
        }
    }
    Ok(broken)
}

/// Whether every daemon could hear of a leaving target: nothing else went on around it that the
/// users' rule excuses.
fn is_heard(drain: &Step, steps: &[Step]) -> bool {
    let from = drain.at.saturating_sub(CONTACT);
    let until = drain.at + drain.lasts;
    let touches = |step: &&Step| step.at < until && step.at + step.lasts > from;
    steps.iter().filter(touches).count() == 1
}

fn late_work(
    fleet: &Fleet,
    engine: usize,
    step: &Step,
    began_ms: u64,
) -> io::Result<Option<String>> {
    let target = &fleet.engines[engine];
    let records = TargetRecords::read(&target.name, &target.records_path, None)?;
    let since = began_ms + millis(step.at + LEAVING);
    let until = began_ms + millis(step.at + step.lasts);
    let is_late = |time_ms: u64| (since..until).contains(&time_ms);
    let late = records
        .records
        .iter()
        .filter(|record| record.what == "begin" && is_late(record.time_ms));
    let late = late.count();
    Ok((late > 0).then(|| format!("{} took {late} requests while leaving", target.name)))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
