//! Load pattern: hundreds of daemons with a few requests per second each send the same shared parts
//! to the same targets.
//!
//! A daemon gets an answer of a target every half minute and sees a part once in minutes, so alone
//! it knows neither the load of a home nor which parts are popular. Guards against homes above the
//! users' bound (at most three in a hundred requests to a target that holds over twice the mean and
//! three), and against a part that is processed at many targets because one daemon saw it once.

mod common;

use std::time::Duration;

use common::fleet::{Fleet, HotPart, Outcome, Traffic};
use test_case::test_case;

/// The users' limit for requests to targets above the bound.
const MAX_OVER_BOUND: f64 = 0.03;
/// Reads of a shared part beyond the first one, per request: one in ten requests moves to another
/// target than the home of its part.
const MAX_REPEATED_PER_REQUEST: f64 = 0.1;

fn play(daemons: u32, targets: u16, traffic: &Traffic) -> Vec<Outcome> {
    let play = |seed| Fleet::new(daemons, targets, seed).run(traffic);
    (1..=3).map(play).collect()
}

fn assert_balanced(outcomes: &[Outcome]) {
    for outcome in outcomes {
        let actual = (outcome.worst_over_bound(), outcome.repeated_per_request());
        assert!(actual.0 <= MAX_OVER_BOUND, "{actual:?}");
        assert!(actual.1 <= MAX_REPEATED_PER_REQUEST, "{actual:?}");
    }
}

/// The daemons know nothing yet when traffic starts, as after all of them were killed.
#[test_case(6, 9, 54; "small fleet")]
#[test_case(90, 90, 690; "grown fleet")]
#[test_case(195, 117, 700; "large fleet")]
#[test_case(400, 240, 1_500; "four hundred daemons")]
fn homes_stay_within_the_load_bound_from_the_start(daemons: u32, targets: u16, per_s: u32) {
    assert_balanced(&play(daemons, targets, &Traffic::even(per_s)));
}

/// One part of a kind with long answers draws a twentieth of all traffic within a second, which one
/// daemon of a large fleet sees as one request in five seconds.
#[test_case(6, 9, 54; "small fleet")]
#[test_case(90, 90, 690; "grown fleet")]
#[test_case(195, 117, 700; "large fleet")]
fn part_that_becomes_popular_gets_further_homes(daemons: u32, targets: u16, per_s: u32) {
    let traffic = Traffic {
        hot: Some(HotPart {
            kind: 2,
            percent: 20,
            from: Duration::from_secs(4),
            until: Duration::from_secs(9),
        }),
        ..Traffic::even(per_s)
    };
    assert_balanced(&play(daemons, targets, &traffic));
}
