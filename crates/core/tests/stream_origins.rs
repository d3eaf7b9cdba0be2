//! Streams whose callers come back at another daemon, while targets of several versions serve.

use std::time::Duration;

use lapismoor_core::membership::versions::service_hash;
use lapismoor_core::membership::{
    DaemonRecord, Directory, Mark, PossibleVersions, ServiceVersion, TargetEntry, TargetState,
    VersionHistory,
};
use lapismoor_core::stream::origins::{decode_streams, encode_streams};
use lapismoor_core::stream::{
    OriginSource, StreamOrigin, StreamOrigins, origin_holders, stream_lifetime,
};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const STREAMS: u64 = 1_000;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn daemons(count: usize, domains: usize) -> Vec<DaemonRecord> {
    let record = |number: usize| DaemonRecord {
        id: format!("edge-{number:03}").into(),
        domain: format!("d-{}", number % domains).into(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().expect("an address"),
        caller_address: None,
        operator_address: None,
        link_mbps: 1_000,
    };
    (0..count).map(record).collect()
}

/// Share of the streams of which some daemon that is asked knows where they began, if each daemon
/// fails with the probability `failing` after the stream has begun. The list of those that ask
/// lacks `missing` daemons.
fn share_found(fleet: &[DaemonRecord], failing: f64, missing: usize, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut found = 0_u32;
    for _ in 0..STREAMS {
        let stream = random.random();
        let told = origin_holders(stream, fleet);
        let mut listed = fleet.to_vec();
        listed.shuffle(&mut random);
        listed.truncate(fleet.len() - missing);
        listed.sort_by(|left, right| left.id.cmp(&right.id));
        let asked = origin_holders(stream, &listed);
        let mut answers = asked.iter().filter(|one| told.contains(one));
        found += u32::from(answers.any(|_| !random.random_bool(failing)));
    }
    f64::from(found) / f64::from(u32::try_from(STREAMS).expect("few"))
}

/// Guards against origins that are lost with the daemon that began the stream.
#[test_case(2, 1; "two")]
#[test_case(6, 3; "small")]
#[test_case(85, 3; "large")]
#[test_case(195, 3; "larger")]
#[test_case(195, 1; "in one domain")]
#[test_case(400, 12; "in many domains")]
fn stream_is_found_after_its_daemon_has_failed(count: usize, domains: usize) {
    let fleet = daemons(count, domains);
    let without_failure = share_found(&fleet, 0.0, 0, 1);
    assert!(
        (without_failure - 1.0).abs() < f64::EPSILON,
        "{without_failure}"
    );
    let restarting = share_found(&fleet, 0.1, count / 10, 2);
    assert!(restarting >= 0.85, "{restarting}");
}

/// Guards against messages and connections that grow with the fleet.
#[test_case(13, 3, 3, 6)]
#[test_case(85, 3, 3, 6)]
#[test_case(195, 3, 3, 15)]
#[test_case(400, 3, 3, 27)]
#[test_case(400, 12, 3, 36)]
fn stream_is_told_to_few_daemons(count: usize, domains: usize, told: usize, connections: usize) {
    let fleet = daemons(count, domains);
    let mut all: Vec<&str> = Vec::new();
    for stream in 0..STREAMS {
        let holders = origin_holders(stream, &fleet);
        assert_eq!(holders.len(), told);
        all.extend(holders.iter().map(|holder| holder.id.as_str()));
    }
    all.sort_unstable();
    let per_holder: Vec<usize> = all
        .chunk_by(|left, right| left == right)
        .map(<[_]>::len)
        .collect();
    assert!(
        per_holder.len() <= connections,
        "{} holders",
        per_holder.len()
    );
    let most = per_holder.iter().max().expect("holders");
    assert!(
        most * per_holder.len() < 2 * all.len(),
        "even: {per_holder:?}"
    );
}

fn origin(stream: u64, version: u64, lifetime: Duration) -> StreamOrigin {
    StreamOrigin {
        stream,
        version,
        lifetime,
    }
}

/// Guards against a later report that replaces the version that began a stream.
#[test]
fn origin_does_not_change_and_ends_with_its_lifetime() {
    let mut origins = StreamOrigins::default();
    origins.record(at(0), &origin(7, 1, at(20)), OriginSource::Own);
    origins.record(at(1), &origin(7, 2, at(25)), OriginSource::Told);
    origins.record(at(1), &origin(3, 2, at(25)), OriginSource::Told);
    assert_eq!(origins.find(at(25), 7), Some(1));
    assert_eq!(origins.find(at(1), 8), None);
    let own: Vec<u64> = origins.own(at(1)).iter().map(|own| own.stream).collect();
    assert_eq!(own, [7]);
    assert_eq!(origins.find(at(26), 7), None);
    origins.sweep(at(26));
    assert!(origins.own(at(0)).is_empty());
}

#[test_case(Duration::ZERO, at(15); "no timeout")]
#[test_case(at(20), at(25); "until after the deadline")]
#[test_case(Duration::MAX, at(600); "without end")]
fn lifetime_follows_the_timeout(timeout: Duration, expected: Duration) {
    assert_eq!(stream_lifetime(timeout), expected);
}

fn version(number: u64) -> ServiceVersion {
    ServiceVersion::new("pool", number)
}

/// Guards against a version that is forgotten while its streams can be taken up.
#[test]
fn version_counts_until_its_streams_have_ended() {
    let lifetime = at(20);
    let mut history = VersionHistory::default();
    let possible =
        |history: &VersionHistory, now| history.possible(now, service_hash("pool"), lifetime);
    assert_eq!(possible(&history, at(0)), PossibleVersions::None);
    assert!(history.record(at(0), version(1)));
    assert!(!history.record(at(10), version(1)));
    assert_eq!(possible(&history, at(10)), PossibleVersions::One(1));
    history.record(at(10), ServiceVersion::new("other", 2));
    assert_eq!(possible(&history, at(10)), PossibleVersions::One(1));
    assert!(history.set_mark(at(10), version(2), Mark::Ending));
    assert_eq!(possible(&history, at(10)), PossibleVersions::Several);
    history.record(at(60), version(2));
    assert_eq!(possible(&history, at(60)), PossibleVersions::One(2));
    history.set_mark(at(60), version(1), Mark::Serving);
    assert_eq!(possible(&history, at(90)), PossibleVersions::Several);
    history.set_mark(at(91), version(1), Mark::Missing);
    history.record(at(91), version(2));
    assert_eq!(possible(&history, at(91)), PossibleVersions::One(2));
}

/// Guards against marks that outlive their version, or end before it.
#[test]
fn mark_of_a_version_that_left_is_to_end() {
    let mut history = VersionHistory::default();
    history.set_mark(at(0), version(1), Mark::Serving);
    history.set_mark(at(0), version(2), Mark::Serving);
    history.set_mark(at(0), version(3), Mark::Ending);
    let mut directory = Directory::default();
    let entry = TargetEntry {
        id: "i-1".into(),
        started_unix_ms: None,
        address: "10.0.0.1:80".parse().expect("an address"),
        service: "pool".into(),
        domain: "east".into(),
        version: "v2".into(),
        slots: 8,
        state: TargetState::Ready,
        warmup_remaining: Duration::ZERO,
    };
    directory.apply(at(0), entry);
    history.record_listed(at(5), &directory);
    let listed = directory.find("i-1").expect("known").version;
    history.set_mark(at(5), version(listed), Mark::Serving);
    assert_eq!(history.left_since(at(4)), [version(1), version(2)]);
    directory.remove(at(6), "i-1");
    history.record_listed(at(9), &directory);
    assert_eq!(history.left_since(at(6)).len(), 3);
}

#[test_case("lapismoor/versions/0000000000000001/00000000000000ff", Some((1, 255)))]
#[test_case("lapismoor/versions/1", None; "incomplete")]
#[test_case("lapismoor/evidence/1/2", None; "another record")]
fn mark_key_is_parsed(key: &str, expected: Option<(u64, u64)>) {
    let actual = ServiceVersion::from_mark_key(key);
    let expected = expected.map(|(service, version)| ServiceVersion { service, version });
    assert_eq!(actual, expected);
    if let Some(version) = actual {
        assert_eq!(version.mark_key(), key);
    }
}

#[test]
fn mark_is_read() {
    let ending = br#"{"service":"pool","version":"v1","is_ending":true}"#;
    assert_eq!(ServiceVersion::read_mark(Some(ending)), Mark::Ending);
    assert_eq!(ServiceVersion::read_mark(Some(b"{}")), Mark::Serving);
    assert_eq!(ServiceVersion::read_mark(None), Mark::Missing);
}

/// Guards against records that hold finished streams, or lack relayed ones.
#[test]
fn record_holds_the_unfinished_streams_of_this_daemon_and_those_relayed_to_it() {
    let mut origins = StreamOrigins::default();
    origins.record(at(0), &origin(1, 9, at(20)), OriginSource::Own);
    origins.record(at(0), &origin(2, 9, at(20)), OriginSource::Own);
    origins.record(at(0), &origin(3, 9, at(20)), OriginSource::Told);
    origins.record(at(0), &origin(4, 9, at(20)), OriginSource::Relayed);
    origins.finish(1);
    let streams = |now| {
        let unfinished = origins.unfinished(now);
        unfinished
            .iter()
            .map(|origin| origin.stream)
            .collect::<Vec<u64>>()
    };
    assert_eq!(streams(Duration::from_millis(999)), [2, 4]);
    assert_eq!(streams(at(1)), [2], "the daemon relays it no more");
    assert_eq!(
        origins.find(at(1), 1),
        Some(9),
        "its caller may not have got all of it"
    );
}

#[test]
fn record_of_streams_is_decoded() {
    let streams = [
        origin(3, 1, at(20)),
        origin(u64::MAX, 1, at(20)),
        origin(0, u64::MAX, at(600)),
    ];
    let value = encode_streams(&streams);
    assert_eq!(decode_streams(&value).expect("valid"), streams);
    assert_eq!(decode_streams(&value[..value.len() - 1]), None);
    assert_eq!(decode_streams(&[]), Some(Vec::new()));
}
