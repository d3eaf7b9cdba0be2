//! Graceful shutdown under steady traffic, when callers keep using open connections until the exit.

use std::time::Duration;

use lapismoor_core::admission::{StopPhase, StopPlan};
use test_case::test_case;

const fn plan() -> StopPlan {
    StopPlan {
        accept_for: Duration::from_millis(2_500),
        answer_within: Duration::from_millis(7_200),
        exit_within: Duration::from_millis(7_500),
    }
}

#[test_case(0, 0, &StopPhase::Accepting; "the load balancer still sends requests")]
#[test_case(2_499, 5, &StopPhase::Accepting; "just before the end of acceptance")]
#[test_case(2_500, 5, &StopPhase::Draining; "waits for streams in flight")]
#[test_case(2_500, 0, &StopPhase::Exiting; "exits without requests in flight")]
#[test_case(7_199, 1, &StopPhase::Draining; "just before the rest is answered")]
#[test_case(7_200, 1, &StopPhase::Answering; "answers a stream in flight")]
#[test_case(7_200, 0, &StopPhase::Exiting; "all are answered")]
#[test_case(7_499, 1, &StopPhase::Answering; "just before the exit timeout")]
#[test_case(7_500, 1, &StopPhase::Exiting; "exits at the timeout with a stream in flight")]
fn phase_follows_from_time_and_requests_in_flight(
    since_ms: u64,
    in_flight: usize,
    expected: &StopPhase,
) {
    let started_at = Duration::from_secs(100);
    let actual = plan().phase(
        started_at + Duration::from_millis(since_ms),
        started_at,
        in_flight,
    );
    assert_eq!(&actual, expected);
}

/// Guards against requests that are given up, or an exit, before the whole grace period is used.
#[test_case(7_499, 1, &StopPhase::Draining; "just before the exit timeout")]
#[test_case(7_500, 1, &StopPhase::Exiting; "at the exit timeout")]
fn requests_drain_until_the_exit_without_a_time_to_answer(
    since_ms: u64,
    in_flight: usize,
    expected: &StopPhase,
) {
    let plan = StopPlan {
        answer_within: plan().exit_within,
        ..plan()
    };
    let started_at = Duration::from_secs(100);
    let now = started_at + Duration::from_millis(since_ms);
    assert_eq!(&plan.phase(now, started_at, in_flight), expected);
}

#[test]
fn request_on_an_open_connection_is_refused_while_draining() {
    let started_at = Duration::from_secs(100);
    let actual = plan().accepts_requests(started_at + Duration::from_millis(5_690), started_at);
    assert!(!actual, "the exit would interrupt its stream");
}

/// Guards against requests that are passed on late in the grace period and then cut off: those in the queue, and
/// repeats of others.
#[test_case(None, 7_200; "no answer is known")]
#[test_case(Some(100), 7_100; "quick answers")]
#[test_case(Some(3_000), 4_200; "slow answers")]
#[test_case(Some(6_000), 1_200; "answers that take most of the grace")]
#[test_case(Some(60_000), 0; "answers that take longer than the grace")]
fn request_is_sent_only_while_its_answer_can_arrive(expected_ms: Option<u64>, within_ms: u64) {
    let expected = expected_ms.map(Duration::from_millis);
    assert_eq!(
        plan().send_within(expected),
        Duration::from_millis(within_ms)
    );
}
