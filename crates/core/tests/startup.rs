//! Load pattern: all daemons start again at once while callers keep calling.

use std::time::Duration;

use lapismoor_core::admission::wait_for_configuration;
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test_case(0, 700; "at the start")]
#[test_case(450, 700; "while a large configuration arrives")]
#[test_case(1_000, 500; "near the end of the startup")]
#[test_case(1_500, 0; "a daemon that has lost the store refuses at once")]
#[test_case(60_000, 0; "long after the start")]
fn request_waits_for_the_configuration_only_during_the_startup(age_ms: u64, expected_ms: u64) {
    let started_at = ms(5_000);
    let actual = wait_for_configuration(started_at + ms(age_ms), started_at);
    assert_eq!(actual, ms(expected_ms));
}
