//! Placement while some targets of a service have limits and no room within them.
//!
//! Load pattern: most targets take a few requests per second each, and the others carry the rest.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::{LimitNotice, Priority, RequestRate};
use lapismoor_core::ids::TargetKey;
use lapismoor_core::membership::{Directory, TargetEntry, TargetState};
use lapismoor_core::routing::{
    AffinityPreference, Choice, Chooser, Homes, LoadBound, NoTarget, PromptPart, ReportedLoad,
    TargetQuery,
};
use lapismoor_core::stream::VersionBinding;

const TARGETS: usize = 9;
const SLOTS: u32 = 64;
const NOW: Moment = Duration::from_secs(5);

fn directory() -> Directory {
    let mut directory = Directory::default();
    for number in 0..TARGETS {
        let address = format!("127.0.0.1:{}", 9_000 + number);
        let entry = TargetEntry {
            id: format!("i-{number}").into(),
            service: "pool".into(),
            address: address.parse().expect("an address"),
            domain: "east".into(),
            version: "v1".into(),
            slots: SLOTS,
            state: TargetState::Ready,
            started_unix_ms: None,
            warmup_remaining: Duration::ZERO,
        };
        directory.apply(Moment::ZERO, entry);
    }
    directory
}

fn chooser() -> Chooser {
    let bound = LoadBound {
        percent: 200,
        extra: 3,
    };
    Chooser::new("east".into(), bound)
}

fn keys(directory: &Directory) -> Vec<TargetKey> {
    directory
        .targets()
        .iter()
        .map(|target| target.key)
        .collect()
}

/// Lets a target name a limit, with room within it or not.
fn limit(directory: &mut Directory, key: TargetKey, has_room: bool) {
    let known = directory.get_mut(key).expect("known");
    let notice = LimitNotice {
        rate: RequestRate::from_per_s(2.0),
        sent_at: NOW,
        received_at: NOW,
    };
    known.limit.record(NOW, notice);
    if !has_room {
        known
            .limit
            .close(NOW, &Priority::default(), Duration::from_millis(700));
    }
}

fn set_load(directory: &mut Directory, key: TargetKey, requests: u32) {
    let known = directory.get_mut(key).expect("known");
    let load = ReportedLoad {
        running: requests,
        waiting: 0,
        slots: SLOTS,
    };
    known.load.record_report(NOW, &load);
}

fn choose(chooser: &mut Chooser, directory: &Directory, part: u64) -> Result<Choice, NoTarget> {
    let parts = [(part, 6_000), (9_999, 100)].map(|(id, tokens)| PromptPart { id, tokens });
    let query = TargetQuery {
        service: &"pool".into(),
        parts: &parts,
        version: VersionBinding::Free,
        request: 7,
        tried: &[],
        may_repeat_target: false,
        preference: AffinityPreference::default(),
        priority: &Priority::default(),
        homes: Homes::default(),
        permits_denied: 0,
    };
    chooser.choose(NOW, directory, &query)
}

/// Guards against a part that is read at one target after another, whichever has room just then.
#[test]
fn requests_without_room_at_their_home_share_the_next_home_without_a_limit() {
    for part in 0..50 {
        let mut directory = directory();
        let home = choose(&mut chooser(), &directory, part)
            .expect("a target")
            .target;
        let limited: Vec<TargetKey> = keys(&directory)
            .into_iter()
            .filter(|key| *key != home)
            .take(5)
            .collect();
        limit(&mut directory, home, false);
        let next = choose(&mut chooser(), &directory, part).expect("a target");
        assert_eq!(next.limited, Some(home), "it says why it is not the home");
        for key in &limited {
            limit(&mut directory, *key, true);
        }
        let second = choose(&mut chooser(), &directory, part)
            .expect("a target")
            .target;
        assert!(second != home && !limited.contains(&second));
        // Others' room does not change it.
        for key in &limited {
            limit(&mut directory, *key, false);
        }
        let again = choose(&mut chooser(), &directory, part)
            .expect("a target")
            .target;
        assert_eq!(again, second);
    }
}

/// Guards against a load bound that falls with the load of targets that take little: the targets
/// that carry the rest would be above it.
#[test]
fn load_bound_follows_the_targets_without_a_limit() {
    let mut directory = directory();
    for (position, key) in keys(&directory).into_iter().enumerate() {
        let is_limited = position < 6;
        if is_limited {
            limit(&mut directory, key, false);
        }
        set_load(&mut directory, key, if is_limited { 1 } else { 12 });
    }
    let mut second = Vec::new();
    for part in 0..40 {
        let choice = choose(&mut chooser(), &directory, part).expect("a target");
        assert!(choice.bound > 12.0, "{}", choice.bound);
        second.push(choice.target);
    }
    second.sort_unstable();
    second.dedup();
    assert_eq!(second.len(), 3);
}

/// Guards against the last target without a limit that gets all that the others don't take, until it
/// answers nothing on time.
#[test]
fn target_without_a_limit_gets_no_more_than_it_can_serve() {
    let mut directory = directory();
    let keys = keys(&directory);
    for key in &keys[1..] {
        limit(&mut directory, *key, false);
    }
    set_load(&mut directory, keys[0], SLOTS / 4);
    let choice = choose(&mut chooser(), &directory, 1).expect("a target");
    assert_eq!(choice.target, keys[0]);
    set_load(&mut directory, keys[0], SLOTS);
    let refused = choose(&mut chooser(), &directory, 1);
    assert!(
        matches!(refused, Err(NoTarget::Limited { .. })),
        "{refused:?}"
    );
}

/// Without limits, a full target still gets requests: its own queue orders them.
#[test]
fn full_targets_are_used_if_none_has_a_limit() {
    let mut directory = directory();
    for key in keys(&directory) {
        set_load(&mut directory, key, 2 * SLOTS);
    }
    assert!(choose(&mut chooser(), &directory, 1).is_ok());
}
