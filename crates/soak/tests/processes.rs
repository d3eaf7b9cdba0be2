//! Runs the real programs under the faults of a few seeds and checks the callers' reports and the
//! targets' records. No times are checked except those that the users' requirements limit.

use std::path::PathBuf;

use soak::deployment::Deployment;
use soak::processes::{Additions, Fault, FaultPlan, FaultStep, ProcessCounts, run};
use test_case::test_case;

const COUNTS: ProcessCounts = ProcessCounts {
    daemons: 3,
    engines: 3,
    services: 2,
};

const PART: Additions = Additions {
    has_silences: false,
    has_crashing_part: true,
    has_limits: false,
    versions: 1,
};

const LIMITS: Additions = Additions {
    has_silences: false,
    has_crashing_part: false,
    has_limits: true,
    versions: 1,
};

const VERSIONS: Additions = Additions {
    has_silences: false,
    has_crashing_part: false,
    has_limits: false,
    versions: 2,
};

#[test_case(1, Additions::default())]
#[test_case(2, Additions::default())]
#[test_case(3, PART; "3 with a crashing prompt part")]
#[test_case(4, LIMITS; "4 with engines that name limits")]
#[test_case(5, VERSIONS; "5 with engines of two software versions")]
fn guarantees_hold_under_faults(seed: u64, additions: Additions) {
    let name = format!("lapismoor-soak-test-{}-{seed}", std::process::id());
    let directory: PathBuf = std::env::temp_dir().join(name);
    let program = PathBuf::from(env!("CARGO_BIN_EXE_soak"));
    let config = Deployment::by_name("midshire")
        .expect("the deployment is known and valid")
        .config;
    let run_future = run(&program, &directory, COUNTS, &config, seed, additions);
    let outcome = actix_web::rt::System::new().block_on(run_future);
    let outcome = outcome.expect("the run completes");
    assert_eq!(
        outcome.violations,
        Vec::<String>::new(),
        "{:?}",
        outcome.plan
    );
    assert!(outcome.requests > 100);
}

#[test]
fn fault_plan_is_reproducible_from_its_seed() {
    let first = FaultPlan::new(7, &COUNTS, 11);
    assert_eq!(first, FaultPlan::new(7, &COUNTS, 11));
    assert_ne!(first, FaultPlan::new(8, &COUNTS, 11));
    assert!(first.steps.is_sorted_by_key(|step| step.at));
}

/// Silences that are added must not change which other faults a seed injects, or when.
#[test_case(1)]
#[test_case(22)]
#[test_case(930_001)]
fn added_silences_leave_other_faults_of_a_seed_as_they_are(seed: u64) {
    let is_silence = |step: &FaultStep| matches!(step.fault, Fault::SilentTargets { .. });
    let without = FaultPlan::new(seed, &COUNTS, 11);
    let mut actual = without.clone().with_silences(seed, &COUNTS);
    assert_eq!(actual, without.clone().with_silences(seed, &COUNTS));
    assert!(actual.steps.is_sorted_by_key(|step| step.at));
    let silences: Vec<FaultStep> = actual
        .steps
        .extract_if(.., |step| is_silence(step))
        .collect();
    assert_eq!(actual, without);
    assert!(silences.len() >= 2);
    let is_a_second_or_so = |step: &FaultStep| (800..=1_600).contains(&step.duration.as_millis());
    assert!(silences.iter().all(is_a_second_or_so));
}

/// Requests with a crashing prompt part that are added must not change the faults or the other requests of a seed.
#[test]
fn added_crashing_part_leaves_the_rest_of_a_seed_as_it_is() {
    let without = FaultPlan::new(7, &COUNTS, 11);
    let mut actual = without.clone().with_crashing_part(7, &COUNTS);
    assert!(actual.sharing_part.is_sorted_by_key(|send| send.at));
    assert!(actual.sharing_part.len() > 5);
    actual.sharing_part.clear();
    assert_eq!(actual, without);
}

/// Limits that are added must not change which other faults a seed injects, or when.
#[test]
fn added_limits_leave_other_faults_of_a_seed_as_they_are() {
    let is_limit = |step: &FaultStep| matches!(step.fault, Fault::LimitedEngines { .. });
    let without = FaultPlan::new(7, &COUNTS, 11);
    let mut actual = without.clone().with_limits(7, &COUNTS);
    let limits = actual.steps.extract_if(.., |step| is_limit(step)).count();
    assert!(limits >= 1);
    assert_eq!(actual, without);
}
