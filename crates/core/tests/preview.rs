//! Where a request would go, asked without sending it.
//!
//! Load pattern: operators ask while requests are served, and their questions change nothing.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::GateLimits;
use lapismoor_core::admission::{Gate, LimitNotice, Priority, RequestRate};
use lapismoor_core::ids::{ServiceId, TargetKey, WorkspaceId, version_hash};
use lapismoor_core::membership::{Directory, KnownTarget, TargetEntry, TargetState};
use lapismoor_core::routing::{
    AffinityPreference, Chooser, Exclusion, Homes, LoadBound, PromptPart, ReportedLoad, TargetQuery,
};
use lapismoor_core::stream::VersionBinding;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const TARGETS: u16 = 9;
const SLOTS: u32 = 64;
const NOW: Moment = Duration::from_secs(5);
const ROUNDS: u64 = 60;

fn entry(number: u16) -> TargetEntry {
    TargetEntry {
        id: format!("i-{number}").into(),
        service: "pool".into(),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        domain: ["east", "west", "north"][usize::from(number) % 3].into(),
        version: "v1".into(),
        slots: SLOTS,
        state: TargetState::Ready,
        started_unix_ms: None,
        warmup_remaining: Duration::ZERO,
    }
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    for number in 0..TARGETS {
        directory.apply(Moment::ZERO, entry(number));
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

fn query<'a>(parts: &'a [PromptPart], tried: &'a [TargetKey]) -> TargetQuery<'a> {
    const SERVICE: &ServiceId = &ServiceId::const_new("pool");
    const PRIORITY: &Priority = &Priority {
        rank: 0,
        workspace: WorkspaceId::const_new(""),
        weight: 0,
    };
    TargetQuery {
        service: SERVICE,
        parts,
        version: VersionBinding::Free,
        request: 7,
        tried,
        may_repeat_target: false,
        preference: AffinityPreference::default(),
        priority: PRIORITY,
        homes: Homes::default(),
        permits_denied: 0,
    }
}

fn name_limit(target: &mut KnownTarget) {
    let notice = LimitNotice {
        rate: RequestRate::from_per_s(2.0),
        sent_at: NOW,
        received_at: NOW,
    };
    target.limit.record(NOW, notice);
}

fn fill_limit(target: &mut KnownTarget) {
    name_limit(target);
    let wait = Duration::from_millis(700);
    target.limit.close(NOW, &Priority::default(), wait);
}

fn fail_often(target: &mut KnownTarget) {
    for _ in 0..10 {
        target.breaker.record_answer(NOW, true);
    }
}

fn report_load(target: &mut KnownTarget, running: u32) {
    let load = ReportedLoad {
        running,
        waiting: 0,
        slots: SLOTS,
    };
    target.load.record_report(NOW, &load);
}

/// A target in a state drawn at random.
fn disturb(rng: &mut ChaCha8Rng, target: &mut KnownTarget) {
    report_load(target, rng.random_range(0..40));
    match rng.random_range(0..8) {
        0 => {
            target.breaker.record_unreachable(NOW);
        }
        1 => {
            target.pause.record(NOW, Duration::from_secs(1));
        }
        2 => fail_often(target),
        3 => name_limit(target),
        4 => fill_limit(target),
        _ => {}
    }
}

fn random_directory(rng: &mut ChaCha8Rng) -> Directory {
    let mut directory = directory();
    let keys: Vec<TargetKey> = directory.targets().iter().map(|one| one.key).collect();
    for key in keys {
        disturb(rng, directory.get_mut(key).expect("known"));
        if rng.random_range(0..8) == 0 {
            directory.record_said_leaving(NOW, key);
        }
    }
    directory
}

fn random_parts(rng: &mut ChaCha8Rng) -> Vec<PromptPart> {
    let shared = rng.random_range(1..5);
    let parts = [(shared, 6_000), (rng.random_range(100..10_000), 100)];
    let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
    parts[..rng.random_range(0..3)].to_vec()
}

/// Guards against an explanation that differs from what is then done.
#[test]
fn preview_equals_the_next_choice() {
    let mut chosen = 0;
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let directory = random_directory(&mut rng);
        let mut chooser = chooser();
        for step in 0..40 {
            let now = NOW + Duration::from_millis(step * 20);
            let parts = random_parts(&mut rng);
            let keys: Vec<TargetKey> = directory.targets().iter().map(|one| one.key).collect();
            let tried = &keys[..rng.random_range(0..3)];
            let mut query = query(&parts, tried);
            query.may_repeat_target = rng.random_range(0..2) == 0;
            query.permits_denied = rng.random_range(0..6);
            let expected = chooser.preview(now, &directory, &query).choice;
            let actual = chooser.choose(now, &directory, &query);
            assert_eq!(actual, expected, "seed {seed}, step {step}");
            chosen += u32::from(actual.is_ok());
        }
    }
    assert!(chosen > 0, "no state allows a choice");
}

/// Guards against questions that count as requests, which would give a part more homes.
#[test]
fn questions_do_not_change_choices() {
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let directory = random_directory(&mut rng);
        let (mut asked, mut unasked) = (chooser(), chooser());
        for step in 0..40 {
            let now = NOW + Duration::from_millis(step * 20);
            let parts = random_parts(&mut rng);
            let query = query(&parts, &[]);
            let before = format!("{asked:?} {directory:?}");
            for _ in 0..3 {
                drop(asked.preview(now, &directory, &query));
            }
            assert_eq!(format!("{asked:?} {directory:?}"), before, "seed {seed}");
            let actual = asked.choose(now, &directory, &query);
            let expected = unasked.choose(now, &directory, &query);
            assert_eq!(actual, expected, "seed {seed}, step {step}");
        }
    }
}

/// Guards against a target that is said to be excluded and gets the request, or the reverse.
#[test]
fn chosen_targets_are_not_excluded() {
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let directory = random_directory(&mut rng);
        let parts = random_parts(&mut rng);
        let preview = chooser().preview(NOW, &directory, &query(&parts, &[]));
        let may_get = |exclusion| matches!(exclusion, None | Some(Exclusion::Failing));
        for target in &preview.targets {
            let is_barred = target.exclusion == Some(Exclusion::Leaving);
            assert_eq!(target.load.is_none(), is_barred, "seed {seed}");
        }
        if let Ok(choice) = &preview.choice {
            let mut targets = preview.targets.iter();
            let chosen = targets.find(|one| one.target.key == choice.target);
            let exclusion = chosen.expect("listed").exclusion;
            assert!(may_get(exclusion), "seed {seed}: {exclusion:?}");
        } else {
            let mut targets = preview.targets.iter();
            assert!(!targets.any(|one| may_get(one.exclusion)), "seed {seed}");
        }
    }
}

fn leave(directory: &mut Directory, key: TargetKey) {
    directory.record_said_leaving(NOW, key);
}

fn with_target(directory: &mut Directory, key: TargetKey, change: impl FnOnce(&mut KnownTarget)) {
    change(directory.get_mut(key).expect("known"));
}

#[test_case(|_, _| {}, None; "in use")]
#[test_case(leave, Some(Exclusion::Leaving); "leaving")]
#[test_case(
    |directory, key| with_target(directory, key, |one| one.version = version_hash("v2")),
    Some(Exclusion::OtherVersion);
    "other version"
)]
#[test_case(
    |directory, key| {
        with_target(directory, key, |one| {
            one.breaker.record_unreachable(NOW);
        });
    },
    Some(Exclusion::Unreachable);
    "unreachable"
)]
#[test_case(
    |directory, key| {
        with_target(directory, key, |one| {
            one.pause.record(NOW, Duration::from_secs(1));
        });
    },
    Some(Exclusion::Paused { left: Duration::from_secs(1) });
    "paused"
)]
#[test_case(
    |directory, key| with_target(directory, key, fill_limit),
    Some(Exclusion::Limited { left: Duration::from_millis(700) });
    "limited"
)]
#[test_case(
    |directory, key| with_target(directory, key, fail_often),
    Some(Exclusion::Failing);
    "failing"
)]
fn each_exclusion_has_its_reason(
    change: fn(&mut Directory, TargetKey),
    expected: Option<Exclusion>,
) {
    let mut directory = directory();
    let key = directory.targets()[2].key;
    change(&mut directory, key);
    let mut query = query(&[], &[]);
    query.version = VersionBinding::Only(version_hash("v1"));
    let chooser = chooser();
    let preview = chooser.preview(NOW, &directory, &query);
    let actual: Vec<Option<Exclusion>> = preview.targets.iter().map(|one| one.exclusion).collect();
    let mut all = vec![None; usize::from(TARGETS)];
    all[2] = expected;
    assert_eq!(actual, all);
}

#[test]
fn tried_targets_are_excluded_unless_they_may_get_the_request_again() {
    let directory = directory();
    let keys: Vec<TargetKey> = directory.targets().iter().map(|one| one.key).collect();
    let chooser = chooser();
    let exclusions = |query: &TargetQuery<'_>| -> Vec<Option<Exclusion>> {
        let preview = chooser.preview(NOW, &directory, query);
        preview.targets.iter().map(|one| one.exclusion).collect()
    };
    let actual = exclusions(&query(&[], &keys[..1]));
    assert_eq!(actual[..2], [Some(Exclusion::Tried), None]);
    let mut query = query(&[], &keys);
    query.may_repeat_target = true;
    assert_eq!(exclusions(&query), vec![None; keys.len()]);
}

#[test]
fn homes_are_listed_in_the_order_of_later_choices() {
    let mut directory = directory();
    let parts = [(3, 6_000), (9_999, 100)].map(|(id, tokens)| PromptPart { id, tokens });
    let preview = chooser().preview(NOW, &directory, &query(&parts, &[]));
    let placement = preview.placement.expect("a shared part");
    assert_eq!((placement.part, placement.homes), (3, 1));
    for expected in placement.order {
        let actual = chooser().choose(NOW, &directory, &query(&parts, &[]));
        assert_eq!(actual.map(|choice| choice.target), Ok(expected));
        let home = directory.get_mut(expected).expect("known");
        home.breaker.record_unreachable(NOW);
    }
}

/// Guards against an admission that is foretold differently, or changed by the question.
#[test]
fn gate_preview_equals_the_next_admission() {
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut gate = Gate::default();
        let limits = GateLimits {
            in_flight: rng.random_range(1..6),
            reserved: rng.random_range(0..2),
            queue_limit: rng.random_range(0..6),
        };
        for step in 0..60 {
            let now = NOW + Duration::from_millis(step * 10);
            if rng.random_range(0..3) == 0 {
                gate.release(now, &limits, Duration::from_millis(200));
                continue;
            }
            let priority = Priority {
                rank: rng.random_range(0..3),
                workspace: ["a", "b"][rng.random_range(0..2)].into(),
                weight: 1,
            };
            let max_wait = Duration::from_millis(rng.random_range(0..900));
            let before = format!("{gate:?}");
            let preview = gate.preview(now, &limits, &priority, max_wait);
            assert_eq!(format!("{gate:?}"), before, "seed {seed}, step {step}");
            let actual = gate.admit(now, &limits, &priority, max_wait);
            assert_eq!(actual, preview.admission, "seed {seed}, step {step}");
        }
    }
}
