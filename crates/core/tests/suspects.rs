//! Detection of requests that crash targets, among other requests in flight at the same targets.

use std::time::Duration;

use lapismoor_core::admission::suspects::{CRASHES_ALLOWED, MAX_BAN, Suspects, Suspicion};

const CRASHING: u64 = 666;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Records an attempt that was interrupted by the crash of its target.
fn crash(suspects: &mut Suspects, at_ms: u64, fingerprint: u64, target: u64) -> Vec<Suspicion> {
    suspects.record_interrupted_attempt(ms(at_ms + 10), fingerprint, target, ms(at_ms));
    suspects.record_crash(ms(at_ms + 20), target)
}

/// The caller retries the request as soon as it has failed.
#[test]
fn request_is_banned_after_the_third_crash() {
    let mut suspects = Suspects::default();
    let mut crashes = 0;
    for target in 1..20 {
        let now = 1_000 * target;
        if suspects.ban(ms(now), CRASHING).is_some() {
            continue;
        }
        crashes += 1;
        crash(&mut suspects, now, CRASHING, target);
    }
    // The ban after the third crash ends after 10 s, which allows one more crash.
    assert_eq!(crashes, CRASHES_ALLOWED + 1);
    assert!(suspects.ban(ms(20_000) + MAX_BAN, CRASHING).is_none());
}

/// Ten other requests are in flight at each target that crashes. They are answered by other targets
/// and must not be banned.
#[test]
fn other_requests_at_crashed_targets_are_not_banned() {
    let mut suspects = Suspects::default();
    for target in 1..=3 {
        let now = 1_000 * target;
        for other in 0..10 {
            suspects.record_interrupted_attempt(ms(now + 5), other, target, ms(now - 500));
        }
        crash(&mut suspects, now, CRASHING, target);
        for other in 0..10 {
            assert_eq!(suspects.ban(ms(now + 30), other), None);
            suspects.clear(other);
        }
    }
    assert!(suspects.ban(ms(4_000), CRASHING).is_some());
}

/// A request is retried at further targets before the crash of the first one is detected. Each
/// crash must count.
#[test]
fn consecutive_attempts_count_before_the_crashes_are_detected() {
    let mut suspects = Suspects::default();
    suspects.record_interrupted_attempt(ms(1_010), CRASHING, 1, ms(1_000));
    suspects.record_interrupted_attempt(ms(1_030), CRASHING, 2, ms(1_011));
    suspects.record_interrupted_attempt(ms(1_050), CRASHING, 3, ms(1_031));
    for target in 1..=3 {
        suspects.record_crash(ms(3_000 + target), target);
    }
    assert!(suspects.ban(ms(3_100), CRASHING).is_some());
}

/// All targets of a service crash one after the other for another reason, each during an attempt of
/// the same call. Its ban must be short.
#[test]
fn first_ban_is_short_and_an_answer_clears_the_request() {
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

/// All targets of a service crash at the same time while the same call is in flight at each. The
/// crashes must count as one.
#[test]
fn simultaneous_crashes_count_once() {
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
fn interrupted_attempt_without_a_crash_does_not_count() {
    let mut suspects = Suspects::default();
    for target in 1..10 {
        suspects.record_interrupted_attempt(
            ms(1_000 * target),
            CRASHING,
            target,
            ms(1_000 * target - 10),
        );
        assert_eq!(
            suspects.record_crash(ms(1_000 * target + 10), 99),
            Vec::new()
        );
        let late = suspects.record_crash(ms(1_000 * target + 8_000), target);
        assert_eq!(
            late,
            Vec::new(),
            "the target kept running after the attempt"
        );
    }
    assert_eq!(suspects.ban(ms(20_000), CRASHING), None);
}

/// The caller retries at another daemon each time.
#[test]
fn crashes_are_counted_across_daemons() {
    let mut daemons = [Suspects::default(), Suspects::default()];
    assert!(!crash(&mut daemons[0], 1_000, CRASHING, 1)[0].is_shared());
    let shared = crash(&mut daemons[0], 2_000, CRASHING, 2);
    assert!(shared[0].is_shared());
    let received = Suspicion::from_key(&shared[0].record_key()).expect("the key of a suspicion");
    assert_eq!(received, shared[0]);
    daemons[1].merge(ms(2_500), &received);
    crash(&mut daemons[1], 3_000, CRASHING, 3);
    assert!(daemons[1].ban(ms(3_100), CRASHING).is_some());
}

#[test]
fn key_of_another_record_is_not_a_suspicion() {
    for key in [
        "lapismoor/suspects/x/1",
        "lapismoor/suspects/1f",
        "servers/i-1",
    ] {
        assert_eq!(Suspicion::from_key(key), None, "{key}");
    }
}
