//! Mirror of the store from which other daemons read.

use bytes::Bytes;
use lapismoor_core::ids::StoreRevision;
use lapismoor_core::membership::{Mirror, StoreItem};

/// A revision of the first era.
fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

fn item(key: &str, value: &str) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
    }
}

fn removed(key: &str) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: None,
    }
}

#[test]
fn list_reports_the_keys_removed_since_the_previous_one() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("b", "1"), item("a", "1")], at(10));
    let actual = mirror.replace(vec![item("b", "2")], at(20));
    assert_eq!(actual, Some(vec![removed("a"), item("b", "2")]));
    assert_eq!(mirror.items(), [item("b", "2")]);
}

/// Another daemon's mirror may be behind this one.
#[test]
fn older_list_and_changes_are_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", "2")], at(20));
    assert_eq!(mirror.replace(vec![item("a", "1")], at(10)), None);
    mirror.apply(vec![removed("a")], at(15));
    assert_eq!(mirror.items(), [item("a", "2")]);
    assert_eq!(mirror.revision(), Some(at(20)));
}

#[test]
fn changes_are_applied_and_kept_in_the_history() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", "1")], at(10));
    mirror.apply(vec![item("b", "1")], at(11));
    mirror.apply(vec![removed("a"), item("b", "2")], at(13));
    assert_eq!(mirror.items(), [item("b", "2")]);
    assert_eq!(
        mirror.changes_since(at(11)),
        Some(vec![removed("a"), item("b", "2")])
    );
    assert_eq!(mirror.changes_since(at(13)), Some(vec![]));
    assert_eq!(
        mirror.changes_since(at(9)),
        None,
        "the history starts at revision 10"
    );
}

/// A burst of configurations causes more changes than the history holds.
#[test]
fn truncated_history_is_not_returned() {
    let mut mirror = Mirror::default();
    mirror.replace(Vec::new(), at(1));
    for revision in 2..3_000 {
        mirror.apply(vec![item(&format!("k{}", revision % 7), "v")], at(revision));
    }
    assert_eq!(mirror.changes_since(at(2)), None);
    let recent = mirror.changes_since(at(2_990)).expect("kept");
    assert_eq!(recent.len(), 7, "one change per key");
}

/// Configurations with a thousand routes each follow in quick succession. Superseded ones must not
/// be sent.
#[test]
fn only_the_last_change_of_each_key_is_returned() {
    let mut mirror = Mirror::default();
    mirror.replace(Vec::new(), at(1));
    let first = mirror.apply(vec![item("c", "1"), item("t", "1"), item("c", "2")], at(2));
    assert_eq!(first, [item("t", "1"), item("c", "2")]);
    mirror.apply(vec![item("c", "3")], at(3));
    assert_eq!(
        mirror.changes_since(at(1)),
        Some(vec![item("t", "1"), item("c", "3")])
    );
}

/// The store is restored from a copy and gives out the revisions after it again.
#[test]
fn list_of_a_later_era_replaces_the_copy_although_its_number_is_lower() {
    let later = |number| StoreRevision { era: 2, number };
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", "2"), item("b", "1")], at(20));
    assert_eq!(mirror.apply(vec![item("a", "1")], later(21)), Vec::new());
    let listed = mirror.replace(vec![item("a", "1")], later(10));
    assert_eq!(listed, Some(vec![removed("b"), item("a", "1")]));
    assert_eq!(
        mirror.changes_since(at(20)),
        None,
        "it must be listed again"
    );
    assert_eq!(
        mirror.changes_since(at(10)),
        None,
        "another state than before"
    );
    mirror.apply(vec![item("b", "3")], later(11));
    assert_eq!(mirror.changes_since(later(10)), Some(vec![item("b", "3")]));
}

/// A daemon that has not noticed the restore answers one that has, and the other way round.
#[test]
fn list_and_changes_of_an_earlier_era_are_ignored() {
    let later = |number| StoreRevision { era: 2, number };
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", "1")], later(10));
    assert_eq!(mirror.replace(vec![item("a", "2")], at(20)), None);
    assert_eq!(mirror.apply(vec![item("a", "2")], at(21)), Vec::new());
    assert_eq!(mirror.items(), [item("a", "1")]);
    let mut behind = Mirror::default();
    behind.replace(vec![item("a", "2")], at(20));
    assert_eq!(behind.changes_since(later(10)), None);
}
