//! The targets that the store lists, through restarts, drains and outages of the store.

use std::time::Duration;

use lapismoor_core::membership::{Directory, DirectoryChange, Standing, TargetEntry, TargetState};
use test_case::test_case;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        started_unix_ms: Some(1_000),
        address: "10.0.0.1:80".parse().expect("an address"),
        service: "pool".into(),
        domain: "east".into(),
        slots: 4,
        state: TargetState::Ready,
        warmup_remaining: Duration::ZERO,
    }
}

fn in_use(directory: &Directory) -> Vec<&str> {
    let targets = directory.in_use("pool");
    targets.map(|target| target.entry.id.as_str()).collect()
}

fn with(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for id in ids {
        directory.apply(at(0), entry(id));
    }
    directory
}

#[test]
fn a_draining_target_gets_no_new_requests_and_stays_known() {
    let mut directory = with(&["a", "b"]);
    let mut draining = entry("a");
    draining.state = TargetState::Draining;
    let change = directory.apply(at(1), draining);
    assert_eq!(change, DirectoryChange::Leaving);
    assert_eq!(in_use(&directory), ["b"]);
    assert!(
        directory.find("a").is_some(),
        "its cache can still be fetched"
    );
}

#[test]
fn a_removed_target_gets_no_new_requests() {
    let mut directory = with(&["a", "b"]);
    assert!(directory.remove(at(1), "a").is_some());
    assert_eq!(in_use(&directory), ["b"]);
    assert!(
        directory.remove(at(2), "a").is_none(),
        "it is no news twice"
    );
}

/// The same name with another start is another run: what ran there and what it kept is lost.
#[test]
fn a_restart_under_the_same_name_is_a_new_run() {
    let mut directory = with(&["a"]);
    let before = directory.find("a").expect("listed").key;
    directory.get_mut(before).expect("listed").load.sent();
    let mut restarted = entry("a");
    restarted.started_unix_ms = Some(2_000);
    let change = directory.apply(at(1), restarted);
    assert_eq!(change, DirectoryChange::Restarted);
    let actual = directory.find("a").expect("listed");
    assert_ne!(actual.key, before);
    assert_eq!(actual.load.own(), 0);
}

#[test]
fn a_moved_target_is_a_new_run() {
    let mut directory = with(&["a"]);
    let mut moved = entry("a");
    moved.address = "10.0.0.2:80".parse().expect("an address");
    assert_eq!(directory.apply(at(1), moved), DirectoryChange::Restarted);
}

#[test]
fn a_heartbeat_changes_nothing() {
    let mut directory = with(&["a"]);
    assert_eq!(directory.apply(at(1), entry("a")), DirectoryChange::Same);
}

#[test]
fn an_unreadable_entry_names_no_target_and_the_others_hold() {
    let mut directory = with(&["a", "b"]);
    assert!(directory.reject(at(1), "a"));
    assert!(!directory.reject(at(1), "unknown"));
    assert_eq!(in_use(&directory), ["b"]);
}

/// All entries lapse while the store is away, and living targets are back soon after its return.
#[test]
fn entries_that_lapsed_with_the_store_are_waited_for() {
    let mut directory = with(&["a", "b"]);
    directory.store_recovered(at(5_000), at(4_000));
    directory.remove(at(5_001), "a");
    directory.remove(at(5_001), "b");
    assert_eq!(in_use(&directory), ["a", "b"], "both may live");
    directory.apply(at(6_000), entry("b"));
    let given_up = directory.sweep(at(7_000));
    assert_eq!(given_up, ["a"]);
    assert_eq!(in_use(&directory), ["b"]);
}

/// One lost answer is no outage: a removal seen right after it counts at once.
#[test_case(100, Standing::Leaving; "a lost answer")]
#[test_case(999, Standing::Leaving; "less than a heartbeat")]
#[test_case(1_000, Standing::Missing; "an outage")]
fn only_an_outage_delays_removals(outage_ms: u64, expected: Standing) {
    let mut directory = with(&["a"]);
    directory.store_recovered(at(1_000 + outage_ms), at(outage_ms));
    let removed = directory.remove(at(1_001 + outage_ms), "a");
    assert_eq!(removed.map(|target| target.standing), Some(expected));
}

#[test]
fn a_target_that_said_it_drains_is_out_even_while_the_store_is_away() {
    let mut directory = with(&["a"]);
    let mut draining = entry("a");
    draining.state = TargetState::Draining;
    directory.apply(at(1), draining);
    directory.store_recovered(at(4_000), at(3_998));
    assert!(in_use(&directory).is_empty());
}

#[test]
fn a_target_that_left_is_forgotten_after_a_while() {
    let mut directory = with(&["a"]);
    directory.remove(at(1), "a");
    directory.sweep(at(29_000));
    assert!(directory.find("a").is_some());
    directory.sweep(at(31_000));
    assert!(directory.find("a").is_none());
}
