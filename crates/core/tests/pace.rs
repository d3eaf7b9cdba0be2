//! What is known of the pace of targets on shared hosts, which turn 2.5 times slower for parts of a
//! second.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::membership::{Directory, TargetEntry, TargetState};
use lapismoor_core::routing::fleet_sample::{
    apply_sample, fleet_sample, merge_observations, take_observations,
};
use lapismoor_core::routing::pace::{PaceView, TypicalTime};
use lapismoor_core::routing::{Chooser, LoadBound, ReportedLoad};
use test_case::test_case;

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn entry(number: u16) -> TargetEntry {
    TargetEntry {
        id: format!("i-{number}").into(),
        started_unix_ms: Some(1),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        service: "pool".into(),
        domain: "east".into(),
        version: "v1".into(),
        slots: 6,
        state: TargetState::Ready,
        warmup_remaining: Duration::ZERO,
    }
}

struct Daemon {
    directory: Directory,
    chooser: Chooser,
}

impl Daemon {
    fn new(targets: u16) -> Self {
        let bound = LoadBound {
            percent: 200,
            extra: 3,
        };
        let mut directory = Directory::default();
        for number in 0..targets {
            directory.apply(Moment::ZERO, entry(number));
        }
        Self {
            directory,
            chooser: Chooser::new("east".into(), bound),
        }
    }
}

/// A figure that arrives late says less: the target may be as usual again.
#[test_case(100, 151; "one tenth of a second")]
#[test_case(500, 128; "half a second")]
#[test_case(2_000, 102; "two seconds")]
#[test_case(10_000, 100; "ten seconds")]
fn observation_counts_less_with_age(age_ms: u64, expected: u16) {
    let mut pace = PaceView::default();
    pace.record_relayed(at(20_000), at(20_000 - age_ms), 250);
    assert_eq!(pace.percent(at(20_000)), Some(expected));
}

/// A spell of slowness must be seen within its 600 ms, and forgotten soon after.
#[test]
fn spell_of_slowness_is_seen_and_forgotten() {
    let mut pace = PaceView::default();
    for ms in (0..15_000).step_by(100) {
        pace.record(at(ms), if ms < 14_400 { 100 } else { 250 });
    }
    assert!(pace.factor(at(15_000)) > 1.5);
    assert!(pace.factor(at(17_500)) < 1.1);
}

#[test]
fn liar_neither_empties_a_target_nor_draws_all_requests() {
    for (percent, least, most) in [(1, 0.5, 1.0), (u16::MAX, 1.0, 4.0)] {
        let mut pace = PaceView::default();
        for ms in 0..100 {
            pace.record(at(ms), percent);
        }
        let actual = pace.factor(at(100));
        assert!((least..=most).contains(&actual), "{percent}: {actual}");
    }
}

#[test]
fn older_observation_of_another_daemon_is_ignored() {
    let mut pace = PaceView::default();
    pace.record(at(1_000), 100);
    pace.record_relayed(at(1_100), at(600), 250);
    assert!((pace.factor(at(1_100)) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn answer_times_show_a_pace_once_the_typical_time_is_known() {
    let mut typical = TypicalTime::default();
    let actual: Vec<_> = (0..9).map(|_| typical.record(at(30))).collect();
    assert_eq!((actual[2], actual[3]), (None, Some(100)));
    assert_eq!(typical.record(at(75)), Some(250));
}

#[test]
fn pace_is_told_with_the_load_and_alone() {
    let (mut from, mut to) = (Daemon::new(3), Daemon::new(3));
    let report = ReportedLoad {
        running: 5,
        waiting: 1,
        slots: 6,
    };
    let load = &mut from.directory.get_mut(1).expect("listed").load;
    load.record_report(at(100), &report);
    load.pace.record(at(100), 250);
    let load = &mut from.directory.get_mut(2).expect("listed").load;
    load.pace.record(at(100), 300);
    let told = take_observations(at(200), at(0), &from.directory, &mut from.chooser);
    let actual: Vec<_> = told
        .loads
        .iter()
        .map(|one| (one.requests, one.pace_percent))
        .collect();
    assert_eq!(actual, [(6, Some(250)), (0, Some(300))]);
    merge_observations(at(200), &told, &mut to.directory, &mut to.chooser);
    let target = |key| &to.directory.get(key).expect("listed").load;
    assert!(target(1).pace.factor(at(200)) > 1.2 && target(2).pace.factor(at(200)) > 1.2);
    assert!(target(1).report_age(at(200)).is_some() && target(2).report_age(at(200)).is_none());
}

#[test]
fn new_incarnation_has_no_pace() {
    let mut daemon = Daemon::new(1);
    let load = &mut daemon.directory.get_mut(1).expect("listed").load;
    load.pace.record(at(100), 250);
    let mut restarted = entry(0);
    restarted.started_unix_ms = Some(2);
    daemon.directory.apply(at(200), restarted);
    let actual = daemon.directory.find("i-0").expect("listed");
    assert_eq!(actual.load.pace.percent(at(200)), None);
}

/// Answer times of a daemon that gets few requests say little; a collector merges those of many.
#[test]
fn pace_that_several_daemons_saw_reaches_one_that_saw_none() {
    let (mut collector, mut last) = (Daemon::new(1), Daemon::new(1));
    for number in 0..5 {
        let mut daemon = Daemon::new(1);
        let known = daemon.directory.get_mut(1).expect("listed");
        known.load.pace.record(at(100 + 10 * number), 250);
        let told = take_observations(at(200), at(0), &daemon.directory, &mut daemon.chooser);
        let (directory, chooser) = (&mut collector.directory, &mut collector.chooser);
        merge_observations(at(200), &told, directory, chooser);
    }
    let (directory, chooser) = (&collector.directory, &mut collector.chooser);
    let sample = fleet_sample(at(250), at(0), directory, chooser);
    apply_sample(at(250), sample, &mut last.directory, &mut last.chooser);
    let actual = last
        .directory
        .get(1)
        .expect("listed")
        .load
        .pace
        .factor(at(250));
    assert!(actual > 1.5, "{actual}");
}
