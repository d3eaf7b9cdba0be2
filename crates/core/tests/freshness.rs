//! Revocation of API keys while a daemon cannot reach the store or its VM is suspended.

use std::time::Duration;

use lapismoor_core::membership::Freshness;
use test_case::test_case;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test_case(0, true, false; "just confirmed")]
#[test_case(3_000, true, false; "60 percent of the bound")]
#[test_case(3_001, true, true; "above 60 percent")]
#[test_case(4_849, true, true; "just below the clock margin")]
#[test_case(4_850, false, true; "within the clock margin")]
#[test_case(60_000, false, true; "after a long suspension")]
fn keys_are_refused_before_the_revocation_bound(age_ms: u64, may_accept: bool, is_stale: bool) {
    let mut freshness = Freshness::new(Some(at(5_000)));
    freshness.confirm(at(10_000));
    let now = at(10_000 + age_ms);
    assert_eq!(freshness.may_accept_keys(now), may_accept);
    assert_eq!(freshness.is_stale(now), is_stale);
}

#[test]
fn keys_are_refused_before_the_first_contact_with_the_store() {
    let freshness = Freshness::new(Some(at(5_000)));
    assert!(!freshness.may_accept_keys(at(1)));
    assert!(freshness.is_stale(at(1)));
}

#[test]
fn copy_never_becomes_stale_without_a_revocation_bound() {
    let mut freshness = Freshness::new(None);
    freshness.confirm(at(1));
    assert!(freshness.may_accept_keys(at(3_600_000)));
    assert!(!freshness.is_stale(at(3_600_000)));
}

#[test]
fn older_confirmation_does_not_increase_the_age() {
    let mut freshness = Freshness::new(Some(at(5_000)));
    freshness.confirm(at(10_000));
    freshness.confirm(at(4_000));
    assert_eq!(freshness.age(at(10_500)), Some(at(500)));
}
