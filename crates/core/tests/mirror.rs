//! A copy of the store that other daemons read.

use bytes::Bytes;
use lapismoor_core::membership::{Mirror, StoreItem};

fn item(key: &str, value: &str) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
    }
}

fn gone(key: &str) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: None,
    }
}

#[test]
fn a_list_tells_what_is_gone_since_the_last_one() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("b", "1"), item("a", "1")], 10);
    let actual = mirror.replace(vec![item("b", "2")], 20);
    assert_eq!(actual, Some(vec![gone("a"), item("b", "2")]));
    assert_eq!(mirror.items(), [item("b", "2")]);
}

/// A daemon asks another one that is behind.
#[test]
fn an_older_list_is_refused() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", "2")], 20);
    assert_eq!(mirror.replace(vec![item("a", "1")], 10), None);
    mirror.apply(vec![gone("a")], 15);
    assert_eq!(mirror.items(), [item("a", "2")]);
    assert_eq!(mirror.revision(), Some(20));
}

#[test]
fn changes_are_applied_and_told_on() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", "1")], 10);
    mirror.apply(vec![item("b", "1")], 11);
    mirror.apply(vec![gone("a"), item("b", "2")], 13);
    assert_eq!(mirror.items(), [item("b", "2")]);
    assert_eq!(mirror.since(11), Some(vec![gone("a"), item("b", "2")]));
    assert_eq!(mirror.since(13), Some(vec![]));
    assert_eq!(mirror.since(9), None, "the history begins at 10");
}

/// Many more changes than are kept, as in a storm of configurations.
#[test]
fn a_history_that_is_no_longer_complete_is_not_told() {
    let mut mirror = Mirror::default();
    mirror.replace(Vec::new(), 1);
    for revision in 2..3_000 {
        mirror.apply(vec![item(&format!("k{}", revision % 7), "v")], revision);
    }
    assert_eq!(mirror.since(2), None);
    let recent = mirror.since(2_990).expect("kept");
    assert_eq!(recent.len(), 7, "one of each key");
}

/// Configurations come in quick succession, each with a thousand routes.
#[test]
fn only_the_last_of_several_configurations_is_told_on() {
    let mut mirror = Mirror::default();
    mirror.replace(Vec::new(), 1);
    let first = mirror.apply(vec![item("c", "1"), item("t", "1"), item("c", "2")], 2);
    assert_eq!(first, [item("t", "1"), item("c", "2")]);
    mirror.apply(vec![item("c", "3")], 3);
    assert_eq!(mirror.since(1), Some(vec![item("t", "1"), item("c", "3")]));
}
