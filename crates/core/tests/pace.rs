//! What is known of the pace of targets on shared hosts, which turn 2.5 times slower for parts of a
//! second.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::membership::{Directory, TargetEntry, TargetState};
use lapismoor_core::routing::pace::{PaceView, TypicalTime};
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

/// A figure that arrives late says less: the target may be as usual again.
#[test_case(100, 151; "one tenth of a second")]
#[test_case(500, 128; "half a second")]
#[test_case(2_000, 102; "two seconds")]
#[test_case(10_000, 100; "ten seconds")]
fn observation_counts_less_with_age(age_ms: u64, expected: u16) {
    let mut pace = PaceView::default();
    pace.record(at(20_000 - age_ms), 250);
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
fn answer_times_show_a_pace_once_the_typical_time_is_known() {
    let mut typical = TypicalTime::default();
    let actual: Vec<_> = (0..9).map(|_| typical.record(at(30))).collect();
    assert_eq!((actual[2], actual[3]), (None, Some(100)));
    assert_eq!(typical.record(at(75)), Some(250));
}

#[test]
fn new_incarnation_has_no_pace() {
    let mut directory = Directory::default();
    directory.apply(Moment::ZERO, entry(0));
    let load = &mut directory.get_mut(1).expect("listed").load;
    load.pace.record(at(100), 250);
    let mut restarted = entry(0);
    restarted.started_unix_ms = Some(2);
    directory.apply(at(200), restarted);
    let actual = directory.find("i-0").expect("listed");
    assert_eq!(actual.load.pace.percent(at(200)), None);
}
