//! Where a request would go, asked without sending it.
//!
//! Load pattern: operators ask while requests are served, and their questions change nothing.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{Admission, GateLimits};
use lapismoor_core::admission::{
    CostGate, Gate, LimitNotice, Priority, RequestNeed, RequestRate, Shedding,
};
use lapismoor_core::ids::{Region, ServiceId, TargetKey, WorkspaceId, version_hash};
use lapismoor_core::membership::{Directory, KnownTarget, LearnedFrom, TargetEntry, TargetState};
use lapismoor_core::routing::{
    AffinityPreference, Chooser, ColdLimit, Exclusion, Homes, LoadBound, PromptPart, Regions,
    ReportedLoad, TargetQuery,
};
use lapismoor_core::stream::VersionBinding;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const TARGETS: u16 = 9;
const SLOTS: u32 = 64;
const NOW: Moment = Duration::from_secs(5);
const ROUNDS: u64 = 60;
/// Failure domains and their regions.
const REGIONS: [(&str, &str); 3] = [("east", "sea"), ("west", "sea"), ("north", "land")];
const EVACUATE_WITHIN: Duration = Duration::from_secs(4);
const START: Duration = Duration::from_secs(3);

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
    fill(Directory::default())
}

/// Targets in regions, which take few requests while they are cold.
fn uneven_directory() -> Directory {
    let regions = REGIONS.map(|(domain, region)| (domain.into(), region.into()));
    let mut directory = fill(Directory::new(
        Regions::new(regions.to_vec()),
        EVACUATE_WITHIN,
    ));
    let rate = RequestRate::from_per_s(10.0).expect("a rate");
    directory.set_cold_limits(vec![("pool".into(), ColdLimit { start: START, rate })]);
    directory
}

fn fill(mut directory: Directory) -> Directory {
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

/// Targets of which some are cold, slow or in a failure domain that is being evacuated.
fn random_uneven_directory(rng: &mut ChaCha8Rng) -> Directory {
    let mut directory = uneven_directory();
    let keys: Vec<TargetKey> = directory.targets().iter().map(|one| one.key).collect();
    for key in keys {
        let target = directory.get_mut(key).expect("known");
        disturb(rng, target);
        match rng.random_range(0..5) {
            0 => make_cold(target, NOW),
            1 => fill_cold(target),
            2 => make_cold(target, NOW.saturating_sub(START)),
            _ => {}
        }
        target.load.pace.record(NOW, rng.random_range(60..400));
    }
    if rng.random_range(0..2) == 0 {
        let since = NOW.saturating_sub(Duration::from_millis(rng.random_range(0..4_000)));
        evacuate(&mut directory, since);
    }
    directory
}

/// Makes a target cold for a second.
fn make_cold(target: &mut KnownTarget, now: Moment) {
    target.warmth.record(now, now, Duration::from_secs(1));
}

fn fill_cold(target: &mut KnownTarget) {
    make_cold(target, NOW);
    let wait = Duration::from_millis(700);
    target.limit.close(NOW, &Priority::default(), wait);
}

fn evacuate(directory: &mut Directory, now: Moment) {
    let evacuations = &mut directory.evacuations;
    evacuations.begin(now, &"west".into(), LearnedFrom::Change, now);
}

fn random_parts(rng: &mut ChaCha8Rng) -> Vec<PromptPart> {
    let shared = rng.random_range(1..5);
    let parts = [(shared, 6_000), (rng.random_range(100..10_000), 100)];
    let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
    parts[..rng.random_range(0..3)].to_vec()
}

/// Guards against an explanation that differs from what is then done.
#[test_case(random_directory, &[]; "even fleet")]
#[test_case(random_uneven_directory, &[]; "uneven fleet")]
#[test_case(random_uneven_directory, &["sea"]; "uneven fleet with home regions")]
fn preview_equals_the_next_choice(
    random_directory: fn(&mut ChaCha8Rng) -> Directory,
    homes: &[&str],
) {
    let homes: Vec<Region> = homes.iter().map(|home| (*home).into()).collect();
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
            query.homes.route = &homes;
            let expected = chooser.preview(now, &directory, &query).choice;
            let actual = chooser.choose(now, &directory, &query);
            assert_eq!(actual, expected, "seed {seed}, step {step}");
            chosen += u32::from(actual.is_ok());
        }
    }
    assert!(chosen > 0, "no state allows a choice");
}

/// Guards against questions that count as requests, which would give a part more homes.
#[test_case(random_directory; "even fleet")]
#[test_case(random_uneven_directory; "uneven fleet")]
fn questions_do_not_change_choices(random_directory: fn(&mut ChaCha8Rng) -> Directory) {
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
#[test_case(random_directory, &[]; "even fleet")]
#[test_case(random_uneven_directory, &[]; "uneven fleet")]
#[test_case(random_uneven_directory, &["sea"]; "uneven fleet with home regions")]
fn chosen_targets_are_not_excluded(
    random_directory: fn(&mut ChaCha8Rng) -> Directory,
    homes: &[&str],
) {
    let homes: Vec<Region> = homes.iter().map(|home| (*home).into()).collect();
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let directory = random_directory(&mut rng);
        let parts = random_parts(&mut rng);
        let mut query = query(&parts, &[]);
        query.homes.route = &homes;
        let preview = chooser().preview(NOW, &directory, &query);
        let may_get = |exclusion| matches!(exclusion, None | Some(Exclusion::Failing));
        for target in &preview.targets {
            let is_barred = matches!(
                target.exclusion,
                Some(Exclusion::Leaving | Exclusion::OutsideHomes | Exclusion::Evacuated)
            );
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

#[test_case(
    |directory, key| with_target(directory, key, fill_cold),
    Some(Exclusion::Cold { left: Duration::from_millis(700) });
    "cold without room"
)]
#[test_case(
    |directory, key| with_target(directory, key, |one| make_cold(one, NOW)),
    None;
    "cold with room"
)]
#[test_case(
    |directory, key| with_target(directory, key, |one| one.entry.domain = "north".into()),
    Some(Exclusion::OutsideHomes);
    "outside of home regions"
)]
#[test_case(
    |directory, key| with_target(directory, key, |one| one.entry.domain = "unknown".into()),
    Some(Exclusion::OutsideHomes);
    "unknown region"
)]
#[test_case(
    |directory, key| {
        with_target(directory, key, |one| one.entry.domain = "west".into());
        evacuate(directory, NOW.saturating_sub(EVACUATE_WITHIN));
    },
    Some(Exclusion::Evacuated);
    "evacuated"
)]
fn each_exclusion_of_an_uneven_fleet_has_its_reason(
    change: fn(&mut Directory, TargetKey),
    expected: Option<Exclusion>,
) {
    let mut directory = uneven_directory();
    let keys: Vec<TargetKey> = directory.targets().iter().map(|one| one.key).collect();
    for key in &keys {
        with_target(&mut directory, *key, |one| one.entry.domain = "east".into());
    }
    change(&mut directory, keys[2]);
    let homes = ["sea".into()];
    let mut query = query(&[], &[]);
    query.homes.route = &homes;
    let preview = chooser().preview(NOW, &directory, &query);
    let actual: Vec<Option<Exclusion>> = preview.targets.iter().map(|one| one.exclusion).collect();
    let mut all = vec![None; usize::from(TARGETS)];
    all[2] = expected;
    assert_eq!(actual, all);
}

#[test]
fn target_that_takes_what_others_cannot_is_full_at_most_of_its_slots() {
    let mut directory = directory();
    let keys: Vec<TargetKey> = directory.targets().iter().map(|one| one.key).collect();
    for key in &keys {
        with_target(&mut directory, *key, |one| report_load(one, 1));
    }
    with_target(&mut directory, keys[0], fill_limit);
    with_target(&mut directory, keys[1], |one| report_load(one, SLOTS));
    let preview = chooser().preview(NOW, &directory, &query(&[], &[]));
    let exclusion = preview.targets[1].exclusion;
    assert!(matches!(exclusion, Some(Exclusion::Full { .. })));
    assert_eq!(preview.targets[2].exclusion, None);
}

/// Guards against a cold target that is said to be the home of a part that is placed elsewhere.
#[test]
fn cold_targets_are_homes_of_few_parts() {
    let mut directory = uneven_directory();
    let key = directory.targets()[2].key;
    with_target(&mut directory, key, |one| make_cold(one, NOW));
    let mut held_back = 0;
    for part in 0..200 {
        let parts = [(part, 6_000), (9_999, 100)].map(|(id, tokens)| PromptPart { id, tokens });
        let preview = chooser().preview(NOW, &directory, &query(&parts, &[]));
        let placement = preview.placement.expect("a shared part");
        if placement.cold == [key] {
            assert_eq!(placement.order.last(), Some(&key));
            held_back += 1;
        }
    }
    assert!((100..200).contains(&held_back), "{held_back}");
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

fn random_need(rng: &mut ChaCha8Rng, now: Moment) -> RequestNeed {
    let due_ms = rng.random_range(50..600);
    RequestNeed {
        priority: Priority {
            rank: rng.random_range(0..3),
            workspace: ["a", "b"][rng.random_range(0..2)].into(),
            weight: 1,
        },
        due_at: now + Duration::from_millis(due_ms),
        deadline: now + Duration::from_millis(due_ms + rng.random_range(0..2_000)),
        answer_time: Duration::from_millis(40),
        quick_answer_time: Duration::from_millis(20),
        work_percent: rng.random_range(25..400),
    }
}

/// Guards against an admission by cost that is foretold differently, or changed by the question.
#[test]
fn cost_gate_preview_equals_the_next_admission() {
    let mut decisions = [0; 4];
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut gate = CostGate::default();
        let limits = GateLimits {
            in_flight: rng.random_range(1..6),
            reserved: rng.random_range(0..2),
            queue_limit: rng.random_range(1..12),
        };
        let pause_ms = rng.random_range(5..60);
        for step in 0..120 {
            let now = NOW + Duration::from_millis(step * pause_ms);
            if rng.random_range(0..3) == 0 {
                gate.release(now, &limits, Duration::from_millis(60));
                continue;
            }
            let need = random_need(&mut rng, now);
            let before = format!("{gate:?}");
            let preview = gate.preview(now, &limits, &need);
            assert_eq!(format!("{gate:?}"), before, "seed {seed}, step {step}");
            let actual = gate.admit(now, &limits, &need);
            assert_eq!(actual, preview.admission, "seed {seed}, step {step}");
            let decision = match actual {
                Admission::Admit => 0,
                Admission::Wait { .. } => 1,
                Admission::Refuse { .. } => 2,
                Admission::QueueFull { .. } => 3,
            };
            decisions[decision] += 1;
        }
    }
    assert!(decisions.iter().all(|count| *count > 0), "{decisions:?}");
}

/// Guards against questions that count as demand while targets reject requests.
#[test]
fn shedding_preview_equals_the_next_decision() {
    const SERVICE: &ServiceId = &ServiceId::const_new("pool");
    for seed in 0..ROUNDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut shedding = Shedding::default();
        for step in 0..120 {
            let now = NOW + Duration::from_millis(step * 20);
            shedding.record(now, SERVICE, rng.random_range(0..3) > 0);
            let rank = rng.random_range(0..3);
            let before = format!("{shedding:?}");
            let sent_fraction = shedding.preview(now, SERVICE, rank);
            assert_eq!(format!("{shedding:?}"), before, "seed {seed}, step {step}");
            let draw = rng.random_range(0.0..1.0);
            let actual = shedding.admit(now, SERVICE, rank, draw);
            assert_eq!(actual, draw < sent_fraction, "seed {seed}, step {step}");
        }
    }
}
