//! A planned stop under steady traffic: callers keep using open connections until the end.

use std::time::Duration;

use lapismoor_core::admission::{StopPhase, StopPlan};
use test_case::test_case;

const fn plan() -> StopPlan {
    StopPlan {
        accept_for: Duration::from_millis(2_500),
        exit_within: Duration::from_millis(7_500),
    }
}

#[test_case(0, 0, &StopPhase::Accepting; "the balancer does not know yet")]
#[test_case(2_499, 5, &StopPhase::Accepting; "just before the balancer knows")]
#[test_case(2_500, 5, &StopPhase::Draining; "streams in flight are waited for")]
#[test_case(2_500, 0, &StopPhase::Exiting; "nothing is in flight")]
#[test_case(7_499, 1, &StopPhase::Draining; "the last stream may still end")]
#[test_case(7_500, 1, &StopPhase::Exiting; "the process ends before it is killed")]
fn phases(since_ms: u64, in_flight: usize, expected: &StopPhase) {
    let began = Duration::from_secs(100);
    let actual = plan().phase(began + Duration::from_millis(since_ms), began, in_flight);
    assert_eq!(&actual, expected);
}

#[test]
fn a_request_on_an_open_connection_is_not_taken_late() {
    let began = Duration::from_secs(100);
    let actual = plan().accepts_requests(began + Duration::from_millis(5_690), began);
    assert!(!actual, "its stream would be cut off at the exit");
}
