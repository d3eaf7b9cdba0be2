//! Requests that crash the targets that run them, among innocent neighbours.

use std::time::Duration;

use lapismoor_core::admission::suspects::{CRASHES_ALLOWED, MAX_BAN, Suspects, Suspicion};

const POISON: u64 = 666;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An attempt of a request that broke off with the crash of its target.
fn crash(suspects: &mut Suspects, at_ms: u64, fingerprint: u64, target: u64) -> Vec<Suspicion> {
    suspects.record_interrupted_attempt(ms(at_ms + 10), fingerprint, target, ms(at_ms));
    suspects.record_crash(ms(at_ms + 20), target)
}

/// Its caller sends it again as soon as it failed.
#[test]
fn a_request_that_crashes_each_target_is_refused_after_the_third() {
    let mut suspects = Suspects::default();
    let mut crashes = 0;
    for target in 1..20 {
        let now = 1_000 * target;
        if suspects.ban(ms(now), POISON).is_some() {
            continue;
        }
        crashes += 1;
        crash(&mut suspects, now, POISON, target);
    }
    // The tenth second after the third crash allows one more.
    assert_eq!(crashes, CRASHES_ALLOWED + 1);
    assert!(suspects.ban(ms(20_000) + MAX_BAN, POISON).is_none());
}

/// Ten requests run on each target that the poisonous one crashes; they are served elsewhere.
#[test]
fn its_neighbours_are_served_and_cleared() {
    let mut suspects = Suspects::default();
    for target in 1..=3 {
        let now = 1_000 * target;
        for neighbour in 0..10 {
            suspects.record_interrupted_attempt(ms(now + 5), neighbour, target, ms(now - 500));
        }
        crash(&mut suspects, now, POISON, target);
        for neighbour in 0..10 {
            assert_eq!(suspects.ban(ms(now + 30), neighbour), None);
            suspects.clear(neighbour);
        }
    }
    assert!(suspects.ban(ms(4_000), POISON).is_some());
}

/// A request is tried at two targets before anybody knows that the first one crashed.
#[test]
fn tries_of_one_request_count_each() {
    let mut suspects = Suspects::default();
    suspects.record_interrupted_attempt(ms(1_010), POISON, 1, ms(1_000));
    suspects.record_interrupted_attempt(ms(1_030), POISON, 2, ms(1_011));
    suspects.record_interrupted_attempt(ms(1_050), POISON, 3, ms(1_031));
    for target in 1..=3 {
        suspects.record_crash(ms(3_000 + target), target);
    }
    assert!(suspects.ban(ms(3_100), POISON).is_some());
}

/// All targets of a service are down for a while, and each call broke off at one after the other.
#[test]
fn a_call_that_a_whole_pool_failed_is_tried_again_soon() {
    let mut suspects = Suspects::default();
    for target in 1..=3 {
        crash(&mut suspects, 1_000 * target, 7, target);
    }
    assert!(suspects.ban(ms(4_000), 7).is_some());
    assert_eq!(suspects.ban(ms(14_000), 7), None);
    suspects.clear(7);
    crash(&mut suspects, 15_000, 7, 1);
    assert_eq!(suspects.ban(ms(15_100), 7), None);
}

/// All targets of a service crash at the same moment, and the same call was in flight at each.
#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut suspects = Suspects::default();
    for target in 1..=4 {
        suspects.record_interrupted_attempt(ms(1_000 + target), 7, target, ms(900));
    }
    for target in 1..=4 {
        suspects.record_crash(ms(1_100 + target), target);
    }
    assert_eq!(suspects.ban(ms(1_200), 7), None);
}

#[test]
fn a_break_without_a_crash_says_nothing() {
    let mut suspects = Suspects::default();
    for target in 1..10 {
        suspects.record_interrupted_attempt(
            ms(1_000 * target),
            POISON,
            target,
            ms(1_000 * target - 10),
        );
        assert_eq!(
            suspects.record_crash(ms(1_000 * target + 10), 99),
            Vec::new()
        );
        let late = suspects.record_crash(ms(1_000 * target + 8_000), target);
        assert_eq!(late, Vec::new(), "it ran for long after that");
    }
    assert_eq!(suspects.ban(ms(20_000), POISON), None);
}

/// The caller reaches another daemon with each try.
#[test]
fn daemons_tell_each_other() {
    let mut daemons = [Suspects::default(), Suspects::default()];
    assert!(!crash(&mut daemons[0], 1_000, POISON, 1)[0].is_shared());
    let told = crash(&mut daemons[0], 2_000, POISON, 2);
    assert!(told[0].is_shared());
    let read = Suspicion::from_key(&told[0].record_key()).expect("its own key");
    assert_eq!(read, told[0]);
    daemons[1].merge(ms(2_500), &read);
    crash(&mut daemons[1], 3_000, POISON, 3);
    assert!(daemons[1].ban(ms(3_100), POISON).is_some());
}

#[test]
fn keys_of_other_records_are_no_suspicion() {
    for key in [
        "lapismoor/suspects/x/1",
        "lapismoor/suspects/1f",
        "servers/i-1",
    ] {
        assert_eq!(Suspicion::from_key(key), None, "{key}");
    }
}
