//! What the default times add up to.

use std::time::Duration;

use lapismoor_edge::Tuning;

/// Shortest time within which a change must be in force in a fleet that reads through others.
const SHORTEST_BOUND: Duration = Duration::from_secs(3);
/// Time for a connection to a daemon that is not there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The reader that a daemon asks loses the store right after its last answer, then falls silent;
/// the second reader of the failure domain is gone as well, so that the store itself is asked.
#[test]
fn a_change_is_known_in_time_though_both_readers_are_lost() {
    let tuning = Tuning::default();
    let first_reader = tuning.mirror_age + tuning.mirror_wait + tuning.mirror_timeout;
    let actual = first_reader + CONNECT_TIMEOUT;
    assert!(
        actual + Duration::from_millis(400) <= SHORTEST_BOUND,
        "{actual:?}"
    );
}

/// What a reader knows must count for those who ask it as long as nothing fails.
#[test]
fn a_reader_is_fresh_enough_while_nothing_fails() {
    let tuning = Tuning::default();
    let gathering = SHORTEST_BOUND * tuning.reader_gather_percent / 100;
    assert!(tuning.reader_wait + gathering < tuning.mirror_age);
}
