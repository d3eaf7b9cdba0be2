//! Fleet-wide limits, split between daemons that do not coordinate.

use std::time::Duration;

use lapismoor_core::membership::TrafficShare;
use lapismoor_core::retry::{RetryBudget, RetryBudgetSettings};
use lapismoor_core::routing::idle_connection_limit;
use test_case::test_case;

/// Share that a daemon estimates under even load over `daemons` daemons.
fn share_of(daemons: u32, reports: u32) -> TrafficShare {
    let mut share = TrafficShare::default();
    for _ in 0..reports {
        share.record(1 + 2, 1 + 2 * daemons);
    }
    share
}

#[test_case(1)]
#[test_case(7)]
#[test_case(90)]
fn share_converges_to_the_reported_load(daemons: u32) {
    let actual = share_of(daemons, 3_000).get();
    let expected = 1.0 / f64::from(daemons);
    assert!(
        (actual / expected - 1.0).abs() < 0.1,
        "share is {actual}, expected {expected}"
    );
}

#[test]
fn single_request_does_not_change_the_share() {
    let mut share = TrafficShare::default();
    let expected = share.get();
    share.record(1, 1);
    assert!((share.get() - expected).abs() < f64::EPSILON);
}

/// Non-idempotent calls at 30 per second, each on its own connection, to three targets that accept
/// 96 connections from six daemons. Idle connections must not use up the connections that requests
/// need.
#[test]
fn idle_connections_of_the_fleet_leave_room_for_requests() {
    let daemons = 6;
    let idle_per_daemon = idle_connection_limit(96, &share_of(daemons, 3_000));
    let actual = idle_per_daemon * daemons as usize;
    assert!(actual <= 96 / 4, "{actual} of 96 would be idle");
    assert!(idle_per_daemon >= 1);
}

fn settings() -> RetryBudgetSettings {
    RetryBudgetSettings {
        ratio_percent: 20,
        window: Duration::from_secs(10),
        fleet_slack: 52,
    }
}

/// Every attempt fails under steady traffic. The retries of all daemons together must stay within
/// the fleet's budget in each window.
#[test_case(6, 74)]
#[test_case(90, 1_000)]
fn fleet_wide_retries_stay_within_the_budget(daemons: u32, requests_per_s: u32) {
    let share = share_of(daemons, 3_000);
    let mut budget = RetryBudget::new(settings());
    let mut retries = 0;
    let requests = requests_per_s * 10 / daemons;
    let interval = Duration::from_secs(10) / requests;
    for index in 0..requests {
        let now = interval * index;
        budget.count_request(now);
        while budget.take_retry(now, &share) {
            retries += 1;
        }
    }
    let allowed = f64::from(requests * daemons) * 0.2 + 52.0;
    let actual = f64::from(retries * daemons);
    assert!(actual <= allowed, "{actual} retries, {allowed} allowed");
    assert!(
        actual >= allowed * 0.5,
        "{actual} retries leave most of {allowed} unused"
    );
}

/// All daemons start at once, and every attempt fails from the first second on. Guards against a
/// share that is too large until targets have reported their load.
#[test_case(6, 74, 52)]
#[test_case(195, 670, 430)]
#[test_case(400, 6_000, 880)]
fn retries_stay_within_the_budget_from_the_start(daemons: u32, requests_per_s: u32, slack: u32) {
    let mut share = TrafficShare::default();
    share.expect_even(usize::try_from(daemons).expect("small"));
    let mut budget = RetryBudget::new(RetryBudgetSettings {
        fleet_slack: slack,
        ..settings()
    });
    let mut retries = 0;
    let requests = requests_per_s * 10 / daemons;
    let interval = Duration::from_secs(10) / requests;
    for index in 0..requests {
        let now = interval * index;
        budget.count_request(now);
        while budget.take_retry(now, &share) {
            retries += 1;
        }
        // An answer reports this request and one of another daemon.
        share.record(1, 2);
    }
    let allowed = f64::from(requests * daemons) * 0.2 + f64::from(slack);
    let actual = f64::from(retries * daemons);
    assert!(actual <= allowed, "{actual} retries, {allowed} allowed");
}

#[test]
fn retry_budget_recovers_after_the_window() {
    let share = TrafficShare::default();
    let mut budget = RetryBudget::new(settings());
    while budget.take_retry(Duration::ZERO, &share) {}
    assert!(!budget.take_retry(Duration::from_secs(10), &share));
    assert!(budget.take_retry(Duration::from_millis(10_001), &share));
}

/// All daemons are killed just after each has used its budget, and start again while every attempt
/// still fails. The retries of both incarnations must fit into one window of the fleet's budget.
#[test_case(7, 75)]
#[test_case(90, 1_000)]
fn retries_of_restarted_daemons_stay_within_the_budget(daemons: u32, requests_per_s: u32) {
    let requests = requests_per_s * 10 / daemons;
    let interval = Duration::from_secs(10) / requests;
    let share = share_of(daemons, 3_000);
    let mut before = RetryBudget::new(settings());
    for index in 0..requests {
        before.count_request(interval * index);
    }
    let killed_at = Duration::from_secs(10);
    let mut retries = 0;
    while before.take_retry(killed_at, &share) {
        retries += 1;
    }
    let mut after = RetryBudget::new(settings());
    after.follow_predecessor(killed_at);
    for index in 0..requests {
        let now = killed_at + interval * index;
        after.count_request(now);
        while after.take_retry(now, &share) {
            retries += 1;
        }
    }
    let allowed = f64::from(requests * daemons) * 0.2 + 52.0;
    let actual = f64::from(retries * daemons);
    assert!(actual <= allowed, "{actual} retries, {allowed} allowed");
    // The restriction ends with the window.
    let later = killed_at + Duration::from_secs(20);
    for index in 0..requests {
        after.count_request(later + interval * index);
    }
    let end = later + Duration::from_secs(10);
    let mut retries = 0;
    while after.take_retry(end, &share) {
        retries += 1;
    }
    assert!(f64::from(retries * daemons) >= allowed * 0.5);
}
