//! Evacuated failure domains: what daemons that learn of them at different times do with them, and
//! what their requests do to the other domains.

mod common;

use std::time::Duration;

use common::fleet::{EVACUATE_WITHIN, Fleet, Traffic};
use lapismoor_core::Moment;
use lapismoor_core::admission::Priority;
use lapismoor_core::ids::version_hash;
use lapismoor_core::membership::{Directory, Evacuations, LearnedFrom, TargetEntry, TargetState};
use lapismoor_core::routing::{
    AffinityPreference, Choice, Chooser, Homes, LoadBound, NoTarget, PromptPart, Regions,
    TargetQuery,
};
use lapismoor_core::stream::VersionBinding;
use test_case::test_case;

/// The users' limit for requests to targets above the bound.
const MAX_OVER_BOUND: f64 = 0.03;
const DOMAINS: [&str; 3] = ["east", "west", "north"];

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

/// Nine targets in three domains; those in the last one have another version.
fn directory() -> Directory {
    let mut directory = Directory::new(Regions::default(), EVACUATE_WITHIN);
    for number in 0..9_u16 {
        let domain = DOMAINS[usize::from(number) % 3];
        let entry = TargetEntry {
            id: format!("i-{number}").into(),
            started_unix_ms: None,
            address: ([10, 0, 0, 1], 8_000 + number).into(),
            service: "pool".into(),
            domain: domain.into(),
            version: if domain == "north" { "v2" } else { "v1" }.into(),
            slots: 64,
            state: TargetState::Ready,
            warmup_remaining: Duration::ZERO,
        };
        directory.apply(at(0), entry);
    }
    directory
}

fn begin(directory: &mut Directory, now: Moment, domain: &str, learned_from: LearnedFrom) -> bool {
    let evacuations = &mut directory.evacuations;
    evacuations.begin(now, &domain.into(), learned_from, now)
}

fn choose(
    directory: &Directory,
    now: Moment,
    part: u64,
    version: VersionBinding,
) -> Result<Choice, NoTarget> {
    let bound = LoadBound {
        percent: 200,
        extra: 3,
    };
    let parts = [(part, 2_000), (part + 50_000, 100)].map(|(id, tokens)| PromptPart { id, tokens });
    let query = TargetQuery {
        service: &"pool".into(),
        parts: &parts,
        version,
        request: 7,
        tried: &[],
        may_repeat_target: true,
        preference: AffinityPreference::default(),
        priority: &Priority::default(),
        homes: Homes::default(),
        permits_denied: 0,
    };
    Chooser::new("east".into(), bound).choose(now, directory, &query)
}

fn domain_of(directory: &Directory, key: u64) -> &str {
    let target = directory.get(key).expect("known");
    target.entry.domain.as_str()
}

/// The version that two domains serve.
fn older() -> VersionBinding {
    VersionBinding::Only(version_hash("v1"))
}

/// Parts of streams at that version with a first home in `domain`.
fn parts_of(domain: &str) -> Vec<u64> {
    let directory = directory();
    let is_home = |part: &u64| {
        let choice = choose(&directory, at(0), *part, older()).expect("a target");
        domain_of(&directory, choice.target) == domain
    };
    (1..200).filter(is_home).collect()
}

/// A daemon that has just learned of it: parts leave one after another, fetch their caches from
/// their old homes, and all have left at half of the time allowed at the latest.
#[test]
fn parts_leave_one_after_another_and_fetch_from_their_old_homes() {
    let parts = parts_of("west");
    let mut directory = directory();
    assert!(begin(
        &mut directory,
        at(1_000),
        "west",
        LearnedFrom::Change
    ));
    let left_by = |ms: u64| {
        let left = parts.iter().filter(|part| {
            let choice = choose(&directory, at(ms), **part, older());
            let choice = choice.expect("a target");
            let has_left = domain_of(&directory, choice.target) != "west";
            if has_left {
                let source = choice.fetch_from.expect("its old home");
                assert_eq!(domain_of(&directory, source), "west");
            }
            has_left
        });
        left.count()
    };
    let counts: Vec<usize> = [1_000, 1_250, 1_500, 1_750, 2_000].map(left_by).to_vec();
    assert!(counts.is_sorted_by(|one, next| one < next), "{counts:?}");
    assert_eq!(counts[4], parts.len());
}

/// Daemons with copies of different age: a daemon whose copy was old leaves sooner, and one that
/// starts or was cut off for long leaves at once.
#[test_case(LearnedFrom::Change, 0, 1_000; "current copy")]
#[test_case(LearnedFrom::Change, 2_000, 500; "copy two seconds old")]
#[test_case(LearnedFrom::Change, 9_000, 0; "cut off")]
#[test_case(LearnedFrom::RestoredList, 9_000, 0; "restored")]
#[test_case(LearnedFrom::FirstList, 0, 0; "starts")]
fn domain_is_left_in_time(learned_from: LearnedFrom, age_ms: u64, left_after_ms: u64) {
    let mut evacuations = Evacuations::new(EVACUATE_WITHIN);
    let now = at(10_000);
    evacuations.begin(
        now,
        &"west".into(),
        learned_from,
        now.saturating_sub(at(age_ms)),
    );
    let left_at = now + at(left_after_ms);
    assert!(evacuations.has_left(left_at, "west"));
    assert!(left_after_ms == 0 || !evacuations.has_left(left_at.saturating_sub(at(1)), "west"));
    for order in 0..100 {
        assert!(evacuations.has_moved(left_at, "west", order));
    }
}

/// A stream at a version that serves only in the evacuated domain is refused for the evacuation, and
/// not as if the version were gone.
#[test]
fn refusal_names_the_evacuation() {
    let mut directory = directory();
    begin(&mut directory, at(0), "north", LearnedFrom::FirstList);
    let newer = VersionBinding::Only(version_hash("v2"));
    let gone = VersionBinding::Only(version_hash("v3"));
    assert_eq!(
        choose(&directory, at(0), 1, newer),
        Err(NoTarget::Evacuated)
    );
    assert_eq!(
        choose(&directory, at(0), 1, gone),
        Err(NoTarget::NoneOfVersion)
    );
    begin(&mut directory, at(0), "east", LearnedFrom::FirstList);
    for part in 0..100 {
        let choice = choose(&directory, at(0), part, VersionBinding::Free).expect("a target");
        assert_eq!(domain_of(&directory, choice.target), "west");
    }
    begin(&mut directory, at(0), "west", LearnedFrom::FirstList);
    let all = choose(&directory, at(0), 1, VersionBinding::Free);
    assert_eq!(all, Err(NoTarget::Evacuated));
    directory
        .evacuations
        .end(at(1), "west", LearnedFrom::Change)
        .expect("it was evacuated");
    choose(&directory, at(1), 1, VersionBinding::Free).expect("a target");
}

/// The copy was made before the evacuation: it holds for a while, and ends unless the operator
/// writes it again.
#[test_case(None, false; "not written again")]
#[test_case(Some(LearnedFrom::Change), true; "written again")]
#[test_case(Some(LearnedFrom::List), true; "listed again")]
fn evacuation_lost_in_a_restore_is_not_taken_back_by_it(again: Option<LearnedFrom>, holds: bool) {
    let mut directory = directory();
    begin(&mut directory, at(0), "west", LearnedFrom::Change);
    let evacuations = &mut directory.evacuations;
    let ended = evacuations.end(at(5_000), "west", LearnedFrom::RestoredList);
    assert_eq!(ended, None);
    if let Some(again) = again {
        evacuations.begin(at(9_000), &"west".into(), again, at(8_000));
    }
    evacuations.sweep(at(30_000));
    assert!(evacuations.contains("west"));
    evacuations.sweep(at(60_000));
    assert_eq!(evacuations.contains("west"), holds);
    evacuations.end(at(61_000), "west", LearnedFrom::Change);
    assert!(!evacuations.contains("west"));
}

/// The copy was made during the evacuation, which the operator has taken back: it returns for a
/// while, and not with the lists after that. A new evacuation holds.
#[test]
fn evacuation_that_a_restore_brings_back_ends() {
    let mut directory = directory();
    begin(&mut directory, at(0), "west", LearnedFrom::Change);
    let evacuations = &mut directory.evacuations;
    evacuations.end(at(3_000), "west", LearnedFrom::Change);
    let west = "west".into();
    evacuations.begin(at(5_000), &west, LearnedFrom::RestoredList, at(4_000));
    evacuations.begin(at(10_000), &west, LearnedFrom::List, at(9_000));
    assert!(evacuations.contains("west"), "it may be a new one");
    assert_eq!(evacuations.sweep(at(60_000)).len(), 1);
    assert!(!evacuations.begin(at(70_000), &west, LearnedFrom::List, at(69_000)));
    assert!(!evacuations.contains("west"));
    assert!(evacuations.begin(at(80_000), &west, LearnedFrom::Change, at(79_000)));
    assert!(evacuations.sweep(at(200_000)).is_empty());
    assert!(evacuations.contains("west"));
}

/// One or two of five domains are evacuated while daemons follow at different times, some of them
/// start, and some are cut off for two seconds. The targets that remain are within the users' load
/// bound, and nothing reaches the domains after the time allowed.
#[test_case(6, 60, &[1]; "small fleet")]
#[test_case(82, 60, &[1]; "medium fleet")]
#[test_case(195, 150, &[1]; "large fleet")]
#[test_case(6, 60, &[1, 2]; "small fleet, two domains")]
#[test_case(82, 60, &[1, 2]; "medium fleet, two domains")]
#[test_case(195, 150, &[1, 2]; "large fleet, two domains")]
fn remaining_targets_stay_within_the_load_bound(daemons: u32, targets: u16, domains: &[u32]) {
    let traffic = Traffic::even(u32::from(targets) * 5);
    let begun_at = at(4_000);
    let mut fleet = Fleet::new(daemons, targets, 7);
    for domain in domains {
        fleet.evacuate(begun_at, *domain, at(1_000), at(2_000));
    }
    let outcome = fleet.run(&traffic);
    let late = outcome.to_evacuated.iter();
    let late = late.filter(|arrived_at| **arrived_at >= begun_at + EVACUATE_WITHIN);
    assert_eq!(late.count(), 0);
    let worst = outcome.worst_over_bound();
    assert!(worst <= MAX_OVER_BOUND, "{worst}");
}
