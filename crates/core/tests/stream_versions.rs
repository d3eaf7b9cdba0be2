//! Where streams go on while targets of several software versions serve side by side.

use std::time::Duration;

use lapismoor_core::admission::Priority;
use lapismoor_core::ids::{TargetKey, VersionHash, version_hash};
use lapismoor_core::membership::{
    Directory, DirectoryChange, PossibleVersions, TargetEntry, TargetState,
};
use lapismoor_core::routing::{
    AffinityPreference, Choice, Chooser, Homes, LoadBound, NoTarget, PromptPart, TargetQuery,
};
use lapismoor_core::stream::{ResumedStream, VersionBinding};
use test_case::test_case;

const NOW: Duration = Duration::from_secs(100);

fn entry(number: u16, version: &str) -> TargetEntry {
    TargetEntry {
        id: format!("i-{number}").into(),
        started_unix_ms: Some(1),
        address: ([10, 0, 0, 1], 80 + number).into(),
        service: "pool".into(),
        domain: "east".into(),
        version: version.into(),
        slots: 8,
        state: TargetState::Ready,
        warmup_remaining: Duration::ZERO,
    }
}

/// A directory of targets with these versions.
fn directory(versions: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for (number, version) in (0..).zip(versions) {
        directory.apply(NOW, entry(number, version));
    }
    directory
}

fn choose(
    directory: &Directory,
    part: u64,
    version: VersionBinding,
    tried: &[TargetKey],
) -> Result<Choice, NoTarget> {
    let bound = LoadBound {
        percent: 200,
        extra: 3,
    };
    let parts = [(part, 6_000), (9_999, 100)].map(|(id, tokens)| PromptPart { id, tokens });
    let query = TargetQuery {
        service: &"pool".into(),
        parts: &parts,
        version,
        request: 7,
        tried,
        may_repeat_target: false,
        preference: AffinityPreference::default(),
        priority: &Priority::default(),
        homes: Homes::default(),
        permits_denied: 0,
    };
    Chooser::new("east".into(), bound).choose(NOW, directory, &query)
}

fn version_of(directory: &Directory, target: TargetKey) -> VersionHash {
    directory.get(target).expect("known").version
}

/// Guards against streams that change the version by the home of their prompt or after retries.
#[test]
fn stream_goes_on_only_at_targets_of_its_version() {
    let directory = directory(&["v1", "v1.1", "v1.10", "v1", "v1.1", "v1"]);
    let wanted = version_hash("v1.1");
    for part in 0..64 {
        let mut tried = Vec::new();
        while let Ok(choice) = choose(&directory, part, VersionBinding::Only(wanted), &tried) {
            assert_eq!(version_of(&directory, choice.target), wanted);
            tried.push(choice.target);
        }
        assert_eq!(tried.len(), 2, "both targets of the version get it");
    }
}

/// Guards against caches that are read at one version and used at another.
#[test]
fn cache_is_fetched_from_the_same_version() {
    let directory = directory(&["v1", "v2", "v1", "v2", "v3"]);
    for part in 0..64 {
        let choice = choose(&directory, part, VersionBinding::Free, &[]).expect("a target");
        let source = choice
            .fetch_from
            .map(|source| version_of(&directory, source));
        let own = version_of(&directory, choice.target);
        assert!(source.is_none_or(|source| source == own));
        assert_eq!(source.is_none(), own == version_hash("v3"));
    }
}

#[test_case(VersionBinding::Only(version_hash("v2")), NoTarget::NoneOfVersion; "a version that is gone")]
#[test_case(VersionBinding::Unknown, NoTarget::NoneOfVersion; "an unknown version")]
fn stream_that_cannot_go_on_gets_no_target(version: VersionBinding, expected: NoTarget) {
    let directory = directory(&["v1", "v3"]);
    let actual = choose(&directory, 1, version, &[]);
    assert_eq!(actual, Err(expected));
}

#[test]
fn stream_stays_bound_to_the_version_of_its_first_event() {
    let bound = VersionBinding::Free.bind(Some(1));
    assert_eq!(bound, VersionBinding::Only(1));
    assert_eq!(bound.bind(Some(2)), VersionBinding::Only(1));
    let unknown = VersionBinding::Free.bind(None);
    assert_eq!(unknown.bind(Some(2)), VersionBinding::Unknown);
}

/// Guards against targets that are taken for what they were before their last start.
#[test]
fn target_with_other_software_is_another_incarnation() {
    let mut directory = directory(&["v1"]);
    let before = directory.find("i-0").expect("known").key;
    let change = directory.apply(NOW, entry(0, "v1.1"));
    assert_eq!(change, DirectoryChange::Restarted);
    assert!(directory.get(before).is_none());
}

fn resumed(asked: usize, answered: usize, is_list_current: bool) -> ResumedStream {
    ResumedStream {
        origin: None,
        possible: PossibleVersions::One(version_hash("v1")),
        has_events: true,
        asked,
        answered,
        others_know_several: false,
        is_list_current,
    }
}

/// Guards against streams that go on at another version at daemons that were cut off together while
/// targets of a new version joined: they answer each other, and none of them knows that version.
#[test_case(3, 1, false, false; "cut off together with one of three")]
#[test_case(3, 0, false, false; "cut off from all")]
#[test_case(3, 0, true, false; "nobody answers")]
#[test_case(0, 0, false, false; "alone, with an old list")]
#[test_case(3, 3, false, true; "all answer while the store is away")]
#[test_case(3, 1, true, true; "one of three answers, with a current list")]
#[test_case(0, 0, true, true; "alone, with a current list")]
fn stream_of_unknown_origin_goes_on_only_where_its_version_is_certain(
    asked: usize,
    answered: usize,
    is_list_current: bool,
    goes_on: bool,
) {
    let resumed = resumed(asked, answered, is_list_current);
    assert_eq!(resumed.version().is_some(), goes_on);
    assert_eq!(resumed.bind(|_| true).is_ok(), goes_on);
}
