//! Checks that the default timeouts together keep the limits of the fleet.

use std::time::Duration;

use lapismoor_edge::Tuning;

/// Shortest configurable time for a change to take effect where daemons read the store through
/// other daemons.
const SHORTEST_LIMIT: Duration = Duration::from_secs(3);
/// Timeout of a connection to a daemon that is gone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Guards against timeouts that delay a change beyond the limit when both readers of a failure
/// domain fail: the first loses the store right after its last answer and then stops answering, and
/// the second is gone, so that the daemon asks the store itself.
#[test]
fn change_is_read_within_limit_when_both_readers_fail() {
    let tuning = Tuning::default();
    let first_reader = tuning.max_mirror_age + tuning.mirror_wait + tuning.mirror_timeout;
    let actual = first_reader + CONNECT_TIMEOUT;
    assert!(
        actual + Duration::from_millis(400) <= SHORTEST_LIMIT,
        "{actual:?}"
    );
}

/// Guards against reader data that is rejected as stale although nothing fails: the time that
/// readers wait and gather changes must stay below the accepted age.
#[test]
fn reader_data_is_fresh_without_failures() {
    let tuning = Tuning::default();
    let gathering = SHORTEST_LIMIT * tuning.reader_gather_percent / 100;
    assert!(tuning.reader_wait + gathering < tuning.max_mirror_age);
}
