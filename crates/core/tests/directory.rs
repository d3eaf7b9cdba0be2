//! Directory of targets during restarts, drains and outages of the store.

use std::time::Duration;

use lapismoor_core::membership::{Directory, DirectoryChange, Standing, TargetEntry, TargetState};
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        started_unix_ms: Some(1_000),
        address: "10.0.0.1:80".parse().expect("an address"),
        service: "pool".into(),
        domain: "east".into(),
        version: "v1".into(),
        slots: 4,
        state: TargetState::Ready,
        warmup_remaining: Duration::ZERO,
    }
}

fn in_use(directory: &Directory) -> Vec<&str> {
    let targets = directory.in_use("pool");
    targets.map(|target| target.entry.id.as_str()).collect()
}

fn directory_with(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for id in ids {
        directory.apply(ms(0), entry(id));
    }
    directory
}

#[test]
fn draining_target_gets_no_new_requests_but_stays_known() {
    let mut directory = directory_with(&["a", "b"]);
    let mut draining = entry("a");
    draining.state = TargetState::Draining;
    let change = directory.apply(ms(1), draining);
    assert_eq!(change, DirectoryChange::Leaving);
    assert_eq!(in_use(&directory), ["b"]);
    assert!(
        directory.find("a").is_some(),
        "its cache can still be fetched"
    );
}

/// Guards against one log line for each heartbeat of a target whose entry another writer spoiled.
#[test]
fn unreadable_entry_is_reported_once_until_it_can_be_read_again() {
    let mut directory = directory_with(&["a", "b"]);
    assert!(directory.record_unreadable("a"));
    assert!(directory.record_unreadable("never-listed"));
    assert!(!directory.record_unreadable("a") && !directory.record_unreadable("never-listed"));
    assert!(directory.reject(ms(2), "a"));
    assert_eq!(in_use(&directory), ["b"]);
    assert_eq!(
        directory.apply(ms(3), entry("a")),
        DirectoryChange::Returned
    );
    assert_eq!(in_use(&directory), ["a", "b"]);
    assert!(directory.record_unreadable("a"));
    for number in 0..1_000 {
        directory.record_unreadable(&format!("x-{number}"));
    }
    assert!(!directory.record_unreadable("x-999"), "the log is bounded");
}

#[test]
fn removed_target_gets_no_new_requests() {
    let mut directory = directory_with(&["a", "b"]);
    assert!(directory.remove(ms(1), "a").is_some());
    assert_eq!(in_use(&directory), ["b"]);
    assert!(
        directory.remove(ms(2), "a").is_none(),
        "the second removal changes nothing"
    );
}

/// The same name with a different start time is a new incarnation. Requests in flight at the
/// previous one and its cache are lost.
#[test]
fn restart_under_the_same_name_is_a_new_incarnation() {
    let mut directory = directory_with(&["a"]);
    let before = directory.find("a").expect("known").key;
    directory.get_mut(before).expect("known").load.record_sent();
    let mut restarted = entry("a");
    restarted.started_unix_ms = Some(2_000);
    let change = directory.apply(ms(1), restarted);
    assert_eq!(change, DirectoryChange::Restarted);
    let actual = directory.find("a").expect("known");
    assert_ne!(actual.key, before);
    assert_eq!(actual.load.own_requests(), 0);
}

#[test]
fn changed_address_is_a_new_incarnation() {
    let mut directory = directory_with(&["a"]);
    let mut moved = entry("a");
    moved.address = "10.0.0.2:80".parse().expect("an address");
    assert_eq!(directory.apply(ms(1), moved), DirectoryChange::Restarted);
}

#[test]
fn heartbeat_is_not_a_change() {
    let mut directory = directory_with(&["a"]);
    assert_eq!(directory.apply(ms(1), entry("a")), DirectoryChange::Same);
}

#[test]
fn unparseable_entry_removes_only_its_target() {
    let mut directory = directory_with(&["a", "b"]);
    assert!(directory.reject(ms(1), "a"));
    assert!(!directory.reject(ms(1), "unknown"));
    assert_eq!(in_use(&directory), ["b"]);
}

/// All entries expire during an outage of the store. Live targets are listed again soon after it.
#[test]
fn entries_expired_in_a_store_outage_get_a_grace_period() {
    let mut directory = directory_with(&["a", "b"]);
    directory.store_recovered(ms(5_000), ms(4_000));
    directory.remove(ms(5_001), "a");
    directory.remove(ms(5_001), "b");
    assert_eq!(in_use(&directory), ["a", "b"], "both may be alive");
    directory.apply(ms(6_000), entry("b"));
    let not_relisted = directory.sweep(ms(7_000));
    assert_eq!(not_relisted, ["a"]);
    assert_eq!(in_use(&directory), ["b"]);
}

/// A single lost answer is not an outage: a removal seen right after it takes effect at once.
#[test_case(100, Standing::Leaving; "lost answer")]
#[test_case(999, Standing::Leaving; "shorter than a heartbeat interval")]
#[test_case(1_000, Standing::Missing; "outage")]
fn only_an_outage_delays_removals(outage_ms: u64, expected: Standing) {
    let mut directory = directory_with(&["a"]);
    directory.store_recovered(ms(1_000 + outage_ms), ms(outage_ms));
    let removed = directory.remove(ms(1_001 + outage_ms), "a");
    assert_eq!(removed.map(|target| target.standing), Some(expected));
}

#[test]
fn draining_target_stays_out_of_use_after_a_store_outage() {
    let mut directory = directory_with(&["a"]);
    let mut draining = entry("a");
    draining.state = TargetState::Draining;
    directory.apply(ms(1), draining);
    directory.store_recovered(ms(4_000), ms(3_998));
    assert!(in_use(&directory).is_empty());
}

#[test]
fn target_is_dropped_30_s_after_it_left() {
    let mut directory = directory_with(&["a"]);
    directory.remove(ms(1), "a");
    directory.sweep(ms(29_000));
    assert!(directory.find("a").is_some());
    directory.sweep(ms(31_000));
    assert!(directory.find("a").is_none());
}

/// Guards against requests to a target that crashed and whose successor, under another id, has its
/// address: the old entry is listed until its lease expires.
#[test]
fn listed_target_whose_address_another_one_has_has_ended() {
    let mut directory = directory_with(&["a"]);
    let mut elsewhere = entry("b");
    elsewhere.address = "10.0.0.2:80".parse().expect("an address");
    directory.apply(ms(0), elsewhere);
    directory.apply(ms(3_000), entry("c"));
    let ended = directory.end_predecessors(ms(3_000), "c");
    assert_eq!(ended, [entry("a").incarnation()]);
    assert_eq!(in_use(&directory), ["b", "c"]);
    assert!(!directory.is_listed(&entry("a").incarnation()));
    let again = directory.end_predecessors(ms(3_001), "c");
    assert_eq!(again, [], "it has ended once");
    assert!(
        directory.remove(ms(3_600), "a").is_none(),
        "its entry expires later"
    );
}

#[test]
fn target_that_left_before_its_successor_started_did_not_crash() {
    let mut directory = directory_with(&["a"]);
    let mut draining = entry("a");
    draining.state = TargetState::Draining;
    directory.apply(ms(1), draining);
    directory.apply(ms(3_000), entry("c"));
    assert_eq!(directory.end_predecessors(ms(3_000), "c"), []);
}

/// Guards against a running target that is taken out of use: a daemon that was cut off learns of it and of
/// its predecessor in one update, in the order of their names.
#[test]
fn of_two_targets_that_are_listed_together_none_has_ended() {
    let mut directory = Directory::default();
    directory.apply(ms(5_300), entry("c"));
    directory.apply(ms(5_300), entry("d"));
    assert_eq!(directory.end_predecessors(ms(5_300), "d"), []);
    assert_eq!(in_use(&directory), ["c", "d"]);
}
