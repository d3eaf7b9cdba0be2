//! Keys that are taken away while a daemon cannot reach the store, or stands still.

use std::time::Duration;

use lapismoor_core::membership::Freshness;
use test_case::test_case;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test_case(0, true, false; "just heard")]
#[test_case(3_000, true, false; "three fifths of the bound")]
#[test_case(3_001, true, true; "beyond: callers are led elsewhere")]
#[test_case(4_849, true, true; "up to the margin")]
#[test_case(4_850, false, true; "a key may have been taken away")]
#[test_case(60_000, false, true; "after a long freeze")]
fn keys_are_refused_before_the_bound(age_ms: u64, may_accept: bool, is_stale: bool) {
    let mut freshness = Freshness::new(Some(at(5_000)));
    freshness.confirm(at(10_000));
    let now = at(10_000 + age_ms);
    assert_eq!(freshness.may_accept_keys(now), may_accept);
    assert_eq!(freshness.is_stale(now), is_stale);
}

#[test]
fn nothing_is_accepted_before_the_store_was_reached() {
    let freshness = Freshness::new(Some(at(5_000)));
    assert!(!freshness.may_accept_keys(at(1)));
    assert!(freshness.is_stale(at(1)));
}

#[test]
fn keys_stay_where_they_are_never_taken_away() {
    let mut freshness = Freshness::new(None);
    freshness.confirm(at(1));
    assert!(freshness.may_accept_keys(at(3_600_000)));
    assert!(!freshness.is_stale(at(3_600_000)));
}

#[test]
fn an_older_word_does_not_make_knowledge_older() {
    let mut freshness = Freshness::new(Some(at(5_000)));
    freshness.confirm(at(10_000));
    freshness.confirm(at(4_000));
    assert_eq!(freshness.age(at(10_500)), Some(at(500)));
}
