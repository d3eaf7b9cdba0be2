//! Mirror of the store from which other daemons read.

use bytes::Bytes;
use lapismoor_core::membership::{Mirror, StoreItem};

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
    mirror.replace(vec![item("b", "1"), item("a", "1")], 10);
    let actual = mirror.replace(vec![item("b", "2")], 20);
    assert_eq!(actual, Some(vec![removed("a"), item("b", "2")]));
    assert_eq!(mirror.items(), [item("b", "2")]);
}

/// Another daemon's mirror may be behind this one.
#[test]
fn older_list_and_changes_are_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", "2")], 20);
    assert_eq!(mirror.replace(vec![item("a", "1")], 10), None);
    mirror.apply(vec![removed("a")], 15);
    assert_eq!(mirror.items(), [item("a", "2")]);
    assert_eq!(mirror.revision(), Some(20));
}

#[test]
fn changes_are_applied_and_kept_in_the_history() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", "1")], 10);
    mirror.apply(vec![item("b", "1")], 11);
    mirror.apply(vec![removed("a"), item("b", "2")], 13);
    assert_eq!(mirror.items(), [item("b", "2")]);
    assert_eq!(
        mirror.changes_since(11),
        Some(vec![removed("a"), item("b", "2")])
    );
    assert_eq!(mirror.changes_since(13), Some(vec![]));
    assert_eq!(
        mirror.changes_since(9),
        None,
        "the history starts at revision 10"
    );
}

/// A burst of configurations causes more changes than the history holds.
#[test]
fn truncated_history_is_not_returned() {
    let mut mirror = Mirror::default();
    mirror.replace(Vec::new(), 1);
    for revision in 2..3_000 {
        mirror.apply(vec![item(&format!("k{}", revision % 7), "v")], revision);
    }
    assert_eq!(mirror.changes_since(2), None);
    let recent = mirror.changes_since(2_990).expect("kept");
    assert_eq!(recent.len(), 7, "one change per key");
}

/// Configurations with a thousand routes each follow in quick succession. Superseded ones must not
/// be sent.
#[test]
fn only_the_last_change_of_each_key_is_returned() {
    let mut mirror = Mirror::default();
    mirror.replace(Vec::new(), 1);
    let first = mirror.apply(vec![item("c", "1"), item("t", "1"), item("c", "2")], 2);
    assert_eq!(first, [item("t", "1"), item("c", "2")]);
    mirror.apply(vec![item("c", "3")], 3);
    assert_eq!(
        mirror.changes_since(1),
        Some(vec![item("t", "1"), item("c", "3")])
    );
}
