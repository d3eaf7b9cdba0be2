//! Who reads the store, in fleets of any size and while daemons or the store fail.

use std::time::Duration;

use lapismoor_core::membership::{DaemonRecord, Source, Sources, max_source_age};
use test_case::test_case;

const DOMAINS: [&str; 4] = ["east", "west", "north", "south"];

fn fleet(size: u16) -> Vec<DaemonRecord> {
    let record = |number: u16| DaemonRecord {
        id: format!("edge-{number:03}").into(),
        domain: DOMAINS[usize::from(number) % 4].into(),
        incarnation: 0,
        address: ([10, 0, 0, 1], 7_000 + number).into(),
        caller_address: None,
        operator_address: None,
        link_mbps: 10,
    };
    (0..size).map(record).collect()
}

fn sources(fleet: &[DaemonRecord]) -> Vec<Sources> {
    let sources = fleet
        .iter()
        .map(|one| Sources::new(one.id.clone(), one.domain.clone()));
    sources.collect()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The store's calls stay the same as the fleet grows.
#[test_case(7, 7; "small fleets read by themselves")]
#[test_case(30, 8)]
#[test_case(90, 8)]
#[test_case(400, 8)]
fn readers(size: u16, expected: usize) {
    let fleet = fleet(size);
    let chosen = sources(&fleet)
        .into_iter()
        .map(|mut one| one.choose(at(0), &fleet));
    let actual = chosen.filter(|source| *source == Source::Store).count();
    assert_eq!(actual, expected);
}

#[test]
fn those_who_are_asked_know_it() {
    for (size, expected) in [(7, 0), (90, 8)] {
        let fleet = fleet(size);
        let all = sources(&fleet);
        let actual = all
            .iter()
            .filter(|one| one.reads_for_others(&fleet))
            .count();
        assert_eq!(actual, expected);
    }
}

#[test]
fn those_who_ask_stay_in_their_failure_domain_and_spread_over_its_readers() {
    let fleet = fleet(90);
    let mut asked: Vec<(String, usize)> = Vec::new();
    for (own, mut one) in fleet.iter().zip(sources(&fleet)) {
        if let Source::Daemon(reader) = one.choose(at(0), &fleet) {
            assert_eq!(reader.domain, own.domain);
            match asked.iter_mut().find(|(id, _)| *id == reader.id.as_str()) {
                Some((_, count)) => *count += 1,
                None => asked.push((reader.id.to_string(), 1)),
            }
        }
    }
    assert_eq!(asked.len(), 8);
    assert!(
        asked.iter().all(|(_, count)| (4..=18).contains(count)),
        "{asked:?}"
    );
}

/// Both readers of a failure domain are lost at once.
#[test]
fn when_all_readers_fail_a_daemon_reads_the_store_itself_and_returns_later() {
    let fleet = fleet(90);
    let mut all = sources(&fleet);
    let asks = |one: &mut Sources| one.choose(at(0), &fleet) != Source::Store;
    let position = all.iter_mut().position(asks).expect("most ask");
    let one = &mut all[position];
    let first = one.choose(at(0), &fleet);
    one.failed(at(0), first.clone());
    let second = one.choose(at(1), &fleet);
    assert_ne!(second, first);
    one.failed(at(1), second);
    assert_eq!(one.choose(at(2), &fleet), Source::Store);
    assert_eq!(one.choose(at(1_000), &fleet), first);
}

/// The store turns this daemon away and serves the others.
#[test]
fn a_daemon_that_is_cut_from_the_store_asks_others() {
    let fleet = fleet(7);
    let mut one = sources(&fleet).remove(0);
    one.failed(at(0), Source::Store);
    let actual = one.choose(at(1), &fleet);
    assert!(matches!(&actual, Source::Daemon(other) if other.id != fleet[0].id));
    assert_eq!(one.choose(at(1_000), &fleet), Source::Store);
}

#[test]
fn a_daemon_that_knows_no_others_reads_the_store() {
    let mut one = Sources::new("edge-1".into(), "east".into());
    assert_eq!(one.choose(at(0), &[]), Source::Store);
    one.failed(at(0), Source::Store);
    assert_eq!(
        one.choose(at(1), &[]),
        Source::Store,
        "there is nobody else"
    );
}

/// Two VMs of each failure domain have twenty times the bandwidth of the others.
#[test]
fn the_largest_vms_read_for_the_others() {
    let mut fleet = fleet(90);
    let large: Vec<usize> = (0..8).map(|number| number + 40).collect();
    for position in &large {
        fleet[*position].link_mbps = 200;
    }
    let all = sources(&fleet);
    let readers = all
        .iter()
        .enumerate()
        .filter(|(_, one)| one.reads_for_others(&fleet));
    let actual: Vec<usize> = readers.map(|(position, _)| position).collect();
    assert_eq!(actual, large);
}

/// All of 300 daemons were killed; 37 ask each reader for a list of 3,000 targets, 1 MB, over links of
/// 10 Mbit/s, and the last of them has it after more than the greatest age of news.
#[test_case(true, true; "a list of everything")]
#[test_case(false, false; "news")]
fn what_took_long_to_arrive(is_list: bool, expected: bool) {
    let (mirror_age, list_timeout) = (at(1_500), at(4_000));
    let transfer = at(3_700);
    let actual = transfer <= max_source_age(mirror_age, list_timeout, is_list);
    assert_eq!(actual, expected);
}
