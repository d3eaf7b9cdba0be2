//! Plain services that get more than their targets can answer on time.

mod common;

use std::time::Duration;

use common::overload::{Load, Policy, Stream, Tally, play};

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Requests per second that the targets of [`load`] can answer.
const ROOM_PER_S: f64 = 18.0 / 0.03;

fn stream(name: &'static str, rank: u8, per_s: f64) -> Stream {
    Stream {
        name,
        rank,
        per_s,
        work: Duration::from_millis(30),
        objective: Duration::from_millis(200),
        deadline: Duration::from_millis(1500),
        surge: None,
        impatient_percent: 0,
    }
}

fn load(daemons: usize, streams: Vec<Stream>) -> Load {
    Load {
        daemons,
        targets: 3,
        slots: 6,
        target_queue: 24,
        streams,
        length: secs(20),
        gone: None,
        seed: 7,
    }
}

fn sum(tallies: &[Tally]) -> Tally {
    let mut sum = Tally::default();
    for one in tallies {
        sum.asked += one.asked;
        sum.on_time += one.on_time;
        sum.late += one.late;
        sum.unserved += one.unserved;
        sum.refusals += one.refusals;
    }
    sum
}

#[test]
fn figures() {
    for daemons in [6, 76, 195] {
        for demand in [0.8, 1.0, 1.2, 1.5] {
            let streams = vec![
                stream("a", 0, ROOM_PER_S * demand * 0.2),
                stream("b", 1, ROOM_PER_S * demand * 0.4),
                stream("c", 2, ROOM_PER_S * demand * 0.4),
            ];
            let load = load(daemons, streams);
            for policy in [Policy::ByUrgency, Policy::ByCost] {
                let tallies = play(&load, policy);
                println!(
                    "{daemons} {demand} {policy:?} {:?} ranks {:?}",
                    sum(&tallies),
                    tallies
                        .iter()
                        .map(|one| (one.on_time_percent(), one.served_percent()))
                        .collect::<Vec<_>>()
                );
            }
        }
    }
}
