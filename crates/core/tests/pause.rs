//! Pauses that targets ask for.

use std::time::Duration;

use lapismoor_core::retry::{MAX_PAUSE, Pause};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn pause_ends_after_the_requested_time() {
    let mut pause = Pause::default();
    assert_eq!(pause.left(ms(0)), ms(0));
    assert_eq!(pause.record(ms(100), ms(1_500)), ms(1_500));
    assert_eq!(pause.left(ms(1_599)), ms(1));
    assert_eq!(pause.left(ms(1_600)), ms(0));
}

/// Requests that were on the way get a shorter time than the first one.
#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let mut pause = Pause::default();
    pause.record(ms(0), ms(5_000));
    assert_eq!(pause.record(ms(100), ms(10)), ms(4_900));
    assert_eq!(pause.record(ms(200), ms(6_000)), ms(6_000));
}

#[test]
fn pause_is_bounded() {
    let mut pause = Pause::default();
    assert_eq!(pause.record(ms(0), Duration::MAX), MAX_PAUSE);
}
