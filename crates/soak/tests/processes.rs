//! Runs the real programs under the faults of a few seeds and checks the callers' reports and the
//! targets' records. No times are checked except those that the users' requirements limit.

use std::path::PathBuf;

use soak::deployment::Deployment;
use soak::processes::{FaultPlan, ProcessCounts, run};
use test_case::test_case;

const COUNTS: ProcessCounts = ProcessCounts {
    daemons: 3,
    engines: 3,
    services: 2,
};

#[test_case(1)]
#[test_case(2)]
fn guarantees_hold_under_faults(seed: u64) {
    let name = format!("lapismoor-soak-test-{}-{seed}", std::process::id());
    let directory: PathBuf = std::env::temp_dir().join(name);
    let program = PathBuf::from(env!("CARGO_BIN_EXE_soak"));
    let config = Deployment::by_name("midshire")
        .expect("the deployment is known and valid")
        .config;
    let run_future = run(&program, &directory, COUNTS, &config, seed);
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
