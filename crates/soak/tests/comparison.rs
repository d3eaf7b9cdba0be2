//! Compares the daemons' placement with the baselines on the same seeded traffic: returning chats
//! of ten workspaces, two of which surge to ten times their rate.

use soak::compare::{self, Summary};
use soak::deployment::Deployment;
use test_case::test_case;

fn simulate_all(name: &str) -> Vec<Summary> {
    let deployment = Deployment::by_name(name).expect("the deployment is known and valid");
    let policies = compare::all_policies(&deployment, 1).into_iter();
    policies
        .map(|mut policy| compare::simulate(&deployment, &mut policy, 1))
        .collect()
}

#[test_case("midshire")]
#[test_case("kerbrat")]
fn load_bound_cache_reuse_and_urgent_waits_hold_in_surges(name: &str) {
    let all_summaries = simulate_all(name);
    let summary_of = |name: &str| {
        all_summaries
            .iter()
            .find(|s| s.name == name)
            .expect("the policy is known")
    };
    let ours = summary_of("ours");
    // The users' load requirement: at most 3 of 100 requests go to an engine above the bound.
    assert!(
        ours.over_bound * 100 <= ours.requests * 3,
        "{}",
        ours.over_bound
    );
    assert!(ours.reuse_percent() >= 0.95 * summary_of("all-knowing").reuse_percent());
    let fifo_wait = summary_of("ours, first come").urgent_wait_percentile(99);
    assert!(ours.urgent_wait_percentile(99) * 5 <= fifo_wait);
}
