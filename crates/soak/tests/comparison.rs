//! What the daemons' decisions are worth against other ways, on the same seeded traffic: returning
//! chats of ten workspaces, two of which surge ten times over.

use soak::compare::{self, Summary};
use soak::deployment::Deployment;
use test_case::test_case;

fn summaries(name: &str) -> Vec<Summary> {
    let deployment = Deployment::named(name).expect("a deployment");
    let policies = compare::all(&deployment, 1).into_iter();
    policies
        .map(|mut policy| compare::run(&deployment, &mut policy, 1))
        .collect()
}

#[test_case("midshire")]
#[test_case("kerbrat")]
fn surges_of_returning_chats(name: &str) {
    let summaries = summaries(name);
    let of = |name: &str| summaries.iter().find(|s| s.name == name).expect("a policy");
    let ours = of("ours");
    // The users' rule on load: at most 3 in 100 requests reach an engine above the bound.
    assert!(
        ours.over_bound * 100 <= ours.requests * 3,
        "{}",
        ours.over_bound
    );
    assert!(ours.reuse_percent() >= 0.95 * of("all-knowing").reuse_percent());
    let first_come = of("ours, first come").urgent_wait_at(99);
    assert!(ours.urgent_wait_at(99) * 5 <= first_come);
}
