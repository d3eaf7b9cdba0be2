//! The time in which a target that is drained must not get requests.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use soak::processes::drained_time;
use test_case::test_case;

fn at(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(ms)
}

/// Guards against requests that are counted as late at a target that ended while it was drained, and was
/// started again as one that takes requests; and against a drain that is not checked for an earlier start.
#[test_case(&[100], 15_000, 18_000; "the whole drain")]
#[test_case(&[100, 9_999], 15_000, 18_000; "started again before the drain")]
#[test_case(&[100, 12_000], 15_000, 12_000; "started again before daemons must know of the drain")]
#[test_case(&[100, 16_000, 17_000], 15_000, 16_000; "started again later in the drain")]
#[test_case(&[100, 18_001], 15_000, 18_000; "started again after the drain")]
fn drain_is_checked_until_its_target_starts_again(started_ms: &[u64], from_ms: u64, until_ms: u64) {
    let started_at: Vec<SystemTime> = started_ms.iter().map(|ms| at(*ms)).collect();
    let actual = drained_time(at(10_000), Duration::from_secs(8), &started_at);
    assert_eq!(actual, (at(from_ms), at(until_ms)));
}
