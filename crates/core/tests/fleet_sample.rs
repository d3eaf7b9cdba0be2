//! What daemons tell each other of targets and requests, and how it is merged.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::Priority;
use lapismoor_core::membership::{Directory, TargetEntry, TargetState};
use lapismoor_core::routing::fleet_sample::{
    apply_sample, collected_observations, fleet_sample, merge_observations, take_observations,
};
use lapismoor_core::routing::{
    AffinityPreference, Choice, Chooser, Homes, LoadBound, Observations, PartRequests, PromptPart,
    Reason, ReportedLoad, TargetQuery,
};
use lapismoor_core::stream::VersionBinding;

struct Daemon {
    directory: Directory,
    chooser: Chooser,
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A daemon that knows `targets` targets, listed in the order of their names.
fn daemon(targets: u16) -> Daemon {
    let bound = LoadBound {
        percent: 200,
        extra: 3,
    };
    let mut daemon = Daemon {
        directory: Directory::default(),
        chooser: Chooser::new("east".into(), bound),
    };
    for number in 0..targets {
        daemon.directory.apply(at(0), entry(number, 1));
    }
    daemon
}

fn entry(number: u16, started_unix_ms: u64) -> TargetEntry {
    TargetEntry {
        id: format!("i-{number}").into(),
        started_unix_ms: Some(started_unix_ms),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        service: "pool".into(),
        domain: "east".into(),
        version: "v1".into(),
        slots: 64,
        state: TargetState::Ready,
        warmup_remaining: Duration::ZERO,
    }
}

fn report(daemon: &mut Daemon, now: Moment, id: &str, running: u32) {
    let key = daemon.directory.find(id).expect("listed").key;
    let target = daemon.directory.get_mut(key).expect("listed");
    let load = ReportedLoad {
        running,
        waiting: 0,
        slots: 64,
    };
    target.load.record_report(now, &load);
}

fn assert_load(daemon: &Daemon, now: Moment, id: &str, expected: f64) {
    let target = daemon.directory.find(id).expect("listed");
    let actual = target.load.estimate(now, 0.0);
    assert!((actual - expected).abs() < f64::EPSILON, "{actual}");
}

/// Chooses a target for a request with a shared part.
fn choose(daemon: &mut Daemon, now: Moment, part: u64) -> Choice {
    let parts = [(part, 6_000), (9_999, 100)].map(|(id, tokens)| PromptPart { id, tokens });
    let service = "pool".into();
    let query = TargetQuery {
        service: &service,
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
    let choice = daemon.chooser.choose(now, &daemon.directory, &query);
    choice.expect("a target")
}

/// Takes all observations of `from` since `since` and merges them into `to`.
fn send(from: &mut Daemon, to: &mut Daemon, now: Moment, since: Moment) -> Observations {
    let observations = take_observations(now, since, &from.directory, &mut from.chooser);
    merge_observations(now, &observations, &mut to.directory, &mut to.chooser);
    observations
}

fn answer(from: &mut Daemon, to: &mut Daemon, now: Moment, since: Moment) {
    let sample = fleet_sample(now, since, &from.directory, &mut from.chooser);
    apply_sample(now, sample, &mut to.directory, &mut to.chooser);
}

#[test]
fn load_that_one_daemon_saw_reaches_the_others_with_its_age() {
    let (mut first, mut collector, mut second) = (daemon(3), daemon(3), daemon(3));
    report(&mut first, at(1_000), "i-1", 12);
    send(&mut first, &mut collector, at(1_200), at(900));
    answer(&mut collector, &mut second, at(1_300), at(0));
    assert_load(&second, at(1_300), "i-1", 12.0);
    assert_load(&second, at(1_300), "i-2", 0.0);
    let key = second.directory.find("i-1").expect("listed").key;
    let age = second
        .directory
        .get(key)
        .expect("listed")
        .load
        .report_age(at(1_300));
    assert_eq!(age, Some(at(300)));
}

/// The answer of a collector crosses a newer answer of the target.
#[test]
fn older_report_does_not_replace_a_newer_one() {
    let (mut first, mut second) = (daemon(3), daemon(3));
    report(&mut first, at(1_000), "i-1", 12);
    report(&mut second, at(1_100), "i-1", 3);
    answer(&mut first, &mut second, at(1_200), at(0));
    assert_load(&second, at(1_200), "i-1", 3.0);
}

/// A target restarts between the report and its arrival. The new incarnation has no requests.
#[test]
fn load_of_a_previous_incarnation_is_dropped() {
    let (mut first, mut second) = (daemon(3), daemon(3));
    report(&mut first, at(1_000), "i-1", 12);
    second.directory.apply(at(1_100), entry(1, 2));
    answer(&mut first, &mut second, at(1_200), at(0));
    assert_load(&second, at(1_200), "i-1", 0.0);
}

#[test]
fn observations_are_sent_once() {
    let (mut first, mut collector) = (daemon(3), daemon(3));
    report(&mut first, at(1_000), "i-1", 12);
    choose(&mut first, at(1_000), 5);
    let sent = send(&mut first, &mut collector, at(1_100), at(0));
    assert_eq!((sent.loads.len(), sent.requests.len()), (1, 1));
    let again = send(&mut first, &mut collector, at(1_200), at(1_100));
    assert_eq!(again, Observations::default());
}

/// Loads that came from a collector must not be sent back to it as if they were new.
#[test]
fn received_loads_are_not_reported_as_own() {
    let (mut first, mut second) = (daemon(3), daemon(3));
    report(&mut first, at(1_000), "i-1", 12);
    answer(&mut first, &mut second, at(1_100), at(0));
    let sent = take_observations(at(1_200), at(0), &second.directory, &mut second.chooser);
    assert_eq!(sent, Observations::default());
    let relayed = collected_observations(at(1_200), at(0), &second.directory);
    assert_eq!(relayed.loads.len(), 1, "collectors pass them on");
}

/// Thirty daemons see one request for a part each, in the traffic of three hundred requests. None
/// of them can tell that the part is popular.
#[test]
fn part_that_is_popular_in_the_fleet_gets_further_homes_everywhere() {
    let mut collector = daemon(60);
    let mut daemons: Vec<Daemon> = (0..30).map(|_| daemon(60)).collect();
    for (number, one) in (0_u64..).zip(&mut daemons) {
        for request in 0..9 {
            choose(one, at(1_000), 1_000 + 10 * number + request);
        }
        assert_eq!(choose(one, at(1_000), 1).reason, Reason::Home);
        send(one, &mut collector, at(1_100), at(0));
    }
    // A target that is idle while all others are busy is chosen if it is a home of the part.
    let homes = (0..60).filter(|idle| {
        let mut other = daemon(60);
        answer(&mut collector, &mut other, at(1_200), at(0));
        for number in 0..60 {
            let running = if number == *idle { 0 } else { 2 };
            report(&mut other, at(1_300), &format!("i-{number}"), running);
        }
        let chosen = choose(&mut other, at(1_300), 1).target;
        let chosen = other.directory.get(chosen).expect("listed");
        chosen.entry.id == format!("i-{idle}")
    });
    assert!(homes.count() > 3);
}

/// A peer of another version may name services and targets that this daemon does not know.
#[test]
fn unknown_services_and_targets_are_ignored() {
    let mut one = daemon(3);
    let requests = vec![PartRequests {
        part: 5,
        requests: u32::MAX,
    }];
    let observations = Observations {
        loads: vec![lapismoor_core::routing::TargetLoad {
            target: 1,
            requests: 9,
            age: at(0),
        }],
        requests: vec![(1, requests)],
        limits: Vec::new(),
        streams: Vec::new(),
    };
    merge_observations(at(10), &observations, &mut one.directory, &mut one.chooser);
    for id in ["i-0", "i-1", "i-2"] {
        assert_load(&one, at(10), id, 0.0);
    }
}
