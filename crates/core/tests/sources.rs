//! Selection of the daemons that read the store, for all fleet sizes and during failures of daemons
//! or of the store.

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

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The number of calls to the store must not grow with the fleet.
#[test_case(7, 7; "all daemons of a small fleet")]
#[test_case(30, 8)]
#[test_case(90, 8)]
#[test_case(400, 8)]
fn number_of_readers_is_bounded(size: u16, expected: usize) {
    let fleet = fleet(size);
    let chosen = sources(&fleet)
        .into_iter()
        .map(|mut one| one.choose(ms(0), &fleet));
    let actual = chosen.filter(|source| *source == Source::Store).count();
    assert_eq!(actual, expected);
}

/// What one collector knows must reach all daemons, over at most two others.
#[test_case(7, 0; "a small fleet has no collectors")]
#[test_case(90, 8)]
#[test_case(400, 8)]
fn collectors_are_connected(size: u16, expected: usize) {
    let fleet = fleet(size);
    let all = sources(&fleet);
    let peers = |one: &Sources| one.collectors(&fleet);
    let collectors: Vec<usize> = (0..all.len())
        .filter(|position| !peers(&all[*position]).is_empty())
        .collect();
    assert_eq!(collectors.len(), expected);
    for start in &collectors {
        let mut reached = vec![fleet[*start].clone()];
        for _ in 0..3 {
            let next = collectors.iter().filter(|position| {
                let asks = peers(&all[**position]);
                asks.iter().any(|peer| reached.contains(peer))
            });
            let next: Vec<DaemonRecord> = next.map(|position| fleet[*position].clone()).collect();
            let answered = reached.iter().flat_map(|one| {
                let position = fleet.iter().position(|known| known == one);
                peers(&all[position.expect("in the fleet")])
            });
            let answered: Vec<DaemonRecord> = answered.collect();
            reached.extend(next.into_iter().chain(answered));
        }
        let is_reached = |position: &usize| reached.contains(&fleet[*position]);
        assert!(collectors.iter().all(is_reached));
    }
}

#[test]
fn readers_know_that_others_read_from_them() {
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
fn daemons_spread_over_the_readers_of_their_failure_domain() {
    let fleet = fleet(90);
    let mut clients_of_readers: Vec<(String, usize)> = Vec::new();
    for (own, mut one) in fleet.iter().zip(sources(&fleet)) {
        if let Source::Daemon(reader) = one.choose(ms(0), &fleet) {
            assert_eq!(reader.domain, own.domain);
            match clients_of_readers
                .iter_mut()
                .find(|(id, _)| *id == reader.id.as_str())
            {
                Some((_, count)) => *count += 1,
                None => clients_of_readers.push((reader.id.to_string(), 1)),
            }
        }
    }
    assert_eq!(clients_of_readers.len(), 8);
    assert!(
        clients_of_readers
            .iter()
            .all(|(_, count)| (4..=18).contains(count)),
        "{clients_of_readers:?}"
    );
}

/// Both readers of a failure domain fail at once.
#[test]
fn daemon_reads_the_store_until_a_failed_reader_may_be_used_again() {
    let fleet = fleet(90);
    let mut all = sources(&fleet);
    let reads_from_other = |one: &mut Sources| one.choose(ms(0), &fleet) != Source::Store;
    let position = all
        .iter_mut()
        .position(reads_from_other)
        .expect("most daemons read from another");
    let one = &mut all[position];
    let first = one.choose(ms(0), &fleet);
    one.record_failure(ms(0), first.clone());
    let second = one.choose(ms(1), &fleet);
    assert_ne!(second, first);
    one.record_failure(ms(1), second);
    assert_eq!(one.choose(ms(2), &fleet), Source::Store);
    assert_eq!(one.choose(ms(1_000), &fleet), first);
}

/// The store rejects this daemon and serves the others.
#[test]
fn daemon_reads_from_others_while_the_store_rejects_it() {
    let fleet = fleet(7);
    let mut one = sources(&fleet).remove(0);
    one.record_failure(ms(0), Source::Store);
    let actual = one.choose(ms(1), &fleet);
    assert!(matches!(&actual, Source::Daemon(other) if other.id != fleet[0].id));
    assert_eq!(one.choose(ms(1_000), &fleet), Source::Store);
}

#[test]
fn single_daemon_reads_the_store_even_after_a_failure() {
    let mut one = Sources::new("edge-1".into(), "east".into());
    assert_eq!(one.choose(ms(0), &[]), Source::Store);
    one.record_failure(ms(0), Source::Store);
    assert_eq!(
        one.choose(ms(1), &[]),
        Source::Store,
        "there is no other source"
    );
}

/// Two VMs of each failure domain have twenty times the bandwidth of the others.
#[test]
fn vms_with_the_highest_bandwidth_are_the_readers() {
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

/// All 300 daemons were killed and start again. 37 request a list of 3,000 targets (1 MB) from each
/// reader over links of 10 Mbit/s, and the last transfer takes longer than the maximum age of
/// changes.
#[test_case(true, true; "full list")]
#[test_case(false, false; "changes")]
fn only_a_full_list_may_exceed_the_maximum_age(is_list: bool, expected: bool) {
    let (mirror_age, list_timeout) = (ms(1_500), ms(4_000));
    let transfer = ms(3_700);
    let actual = transfer <= max_source_age(mirror_age, list_timeout, is_list);
    assert_eq!(actual, expected);
}
