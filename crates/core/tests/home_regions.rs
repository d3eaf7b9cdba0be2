//! Requests whose route or workspace has home regions.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::{Priority, Refusal};
use lapismoor_core::ids::Region;
use lapismoor_core::membership::{Directory, TargetEntry, TargetState};
use lapismoor_core::routing::{
    AffinityPreference, Choice, Chooser, Homes, LoadBound, NoTarget, PromptPart, Regions,
    TargetQuery,
};
use lapismoor_core::stream::VersionBinding;
use test_case::test_case;

const NOW: Moment = Duration::ZERO;
/// Failure domains and their regions; the region of `lost` is not known.
const DOMAINS: [(&str, Option<&str>); 4] = [
    ("leeds-a", Some("north")),
    ("leeds-b", Some("north")),
    ("dover-a", Some("south")),
    ("lost", None),
];

fn regions() -> Regions {
    let known = DOMAINS.iter();
    let known = known.filter_map(|(domain, region)| Some(((*domain).into(), (*region)?.into())));
    Regions::new(known.collect())
}

/// Twelve targets, three in each domain.
fn directory() -> Directory {
    let mut directory = Directory::new(regions(), Duration::ZERO);
    for number in 0..12_u16 {
        let entry = TargetEntry {
            id: format!("i-{number}").into(),
            started_unix_ms: None,
            address: ([10, 0, 0, 1], 8_000 + number).into(),
            service: "pool".into(),
            domain: DOMAINS[usize::from(number) % 4].0.into(),
            version: "v1".into(),
            slots: 8,
            state: TargetState::Ready,
            warmup_remaining: Duration::ZERO,
        };
        directory.apply(NOW, entry);
    }
    directory
}

fn choose(
    directory: &Directory,
    homes: Homes<'_>,
    parts: &[PromptPart],
) -> Result<Choice, NoTarget> {
    let bound = LoadBound {
        percent: 200,
        extra: 3,
    };
    let query = TargetQuery {
        service: &"pool".into(),
        parts,
        version: VersionBinding::Free,
        request: 7,
        tried: &[],
        may_repeat_target: false,
        preference: AffinityPreference::default(),
        priority: &Priority::default(),
        homes,
        permits_denied: 0,
    };
    Chooser::new("dover-a".into(), bound).choose(NOW, directory, &query)
}

fn names(regions: &[&str]) -> Vec<Region> {
    regions.iter().map(|region| Region::from(*region)).collect()
}

/// Where both have home regions, both bind. The caller is near the targets in the south throughout.
#[test_case(&["north"], &[], &["leeds-a", "leeds-b"]; "route")]
#[test_case(&[], &["north"], &["leeds-a", "leeds-b"]; "workspace")]
#[test_case(&["north", "south"], &["south"], &["dover-a"]; "both")]
#[test_case(&[], &[], &["leeds-a", "leeds-b", "dover-a", "lost"]; "neither")]
fn requests_and_fetches_stay_in_the_home_regions(
    route: &[&str],
    workspace: &[&str],
    allowed: &[&str],
) {
    let directory = directory();
    let (route, workspace) = (names(route), names(workspace));
    let homes = Homes {
        route: &route,
        workspace: &workspace,
    };
    let domain_of = |key| directory.get(key).expect("known").entry.domain.clone();
    for part in 0..100 {
        let parts =
            [(part, 2_000), (part + 500, 100)].map(|(id, tokens)| PromptPart { id, tokens });
        for parts in [&parts[..], &[]] {
            let choice = choose(&directory, homes, parts).expect("a target");
            let used = [Some(choice.target), choice.fetch_from];
            for target in used.into_iter().flatten() {
                assert!(allowed.contains(&domain_of(target).as_str()));
            }
        }
    }
}

#[test_case(&["north"], &["south"]; "no region is a home of both")]
#[test_case(&["west"], &[]; "region without targets")]
fn request_without_target_at_home_is_refused(route: &[&str], workspace: &[&str]) {
    let (route, workspace) = (names(route), names(workspace));
    let homes = Homes {
        route: &route,
        workspace: &workspace,
    };
    let chosen = choose(&directory(), homes, &[]);
    assert_eq!(chosen, Err(NoTarget::NoneInHomes));
    let refusal = Refusal::NoHomeTarget;
    assert_eq!((refusal.name(), refusal.status()), ("no_home_target", 503));
    assert!(refusal.retry_after().is_some());
}

/// Relays between daemons: to a home region, or within the region to which the caller connected.
#[test_case(&["north"], "dover-a", "leeds-a", true; "to a home")]
#[test_case(&["north"], "dover-a", "dover-a", true; "to the same domain")]
#[test_case(&["south"], "leeds-a", "leeds-b", true; "within the own region")]
#[test_case(&["north"], "leeds-a", "dover-a", false; "to another region")]
#[test_case(&["north"], "leeds-a", "lost", false; "to an unknown region")]
#[test_case(&["north"], "lost", "dover-a", false; "from an unknown region")]
#[test_case(&[], "leeds-a", "lost", true; "without homes")]
fn body_is_relayed_inside_the_homes_and_the_own_region(
    homes: &[&str],
    own: &str,
    other: &str,
    expected: bool,
) {
    let homes = names(homes);
    let homes = Homes {
        route: &homes,
        workspace: &[],
    };
    assert_eq!(homes.allow_body(&regions(), own, other), expected);
}
