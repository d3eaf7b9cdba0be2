//! Surge of plain calls to twice the capacity of three targets.
//!
//! Each target runs six calls of 60 ms concurrently. Without a gate all calls queue at the targets,
//! all are late, and the targets reset connections above their limit. With a gate, as many calls as
//! the targets can handle are answered on time, and the others are refused at once with a time to
//! retry after.

use std::collections::BTreeMap;
use std::time::Duration;

use lapismoor_core::admission::Priority;
use lapismoor_core::admission::gate::{Admission, Gate, GateLimits, max_wait};
use test_case::test_case;

const SLOTS: usize = 18;
const SERVICE_TIME: Duration = Duration::from_millis(60);
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(300);

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    on_time: usize,
    late: usize,
    refused: usize,
    most_in_flight: usize,
}

fn limits(in_flight: usize) -> GateLimits {
    GateLimits {
        in_flight,
        reserved: 0,
        queue_limit: usize::MAX,
    }
}

/// Passes a call of the only workspace to the gate.
fn admit(gate: &mut Gate, now: Duration, limit: usize, rank: u8, max_wait: Duration) -> Admission {
    let priority = Priority {
        rank,
        workspace: "crew".into(),
        weight: 1,
    };
    gate.admit(now, &limits(limit), &priority, max_wait)
}

/// Simulates five seconds of evenly spaced calls to targets that answer in order of arrival.
fn simulate(per_s: u32, limit: usize) -> Outcome {
    let mut gate = Gate::default();
    let mut outcome = Outcome::default();
    let mut slots = vec![Duration::ZERO; SLOTS];
    // Calls in flight: (end time, sequence number) to (time of admission, time of receipt).
    let mut ends: BTreeMap<(Duration, u64), (Duration, Duration)> = BTreeMap::new();
    let mut queued: BTreeMap<u64, Duration> = BTreeMap::new();
    let mut number = 0;
    let mut start = |now: Duration, received: Duration, ends: &mut BTreeMap<_, _>| {
        slots.sort();
        let end = slots[0].max(now) + SERVICE_TIME;
        slots[0] = end;
        number += 1;
        ends.insert((end, number), (now, received));
    };
    let gap = Duration::from_secs(1) / per_s;
    for call in 0..per_s * 5 {
        let now = gap * call;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((end, _), (admitted_at, received)) = entry.remove_entry();
            if end.saturating_sub(received) <= LATENCY_OBJECTIVE {
                outcome.on_time += 1;
            } else {
                outcome.late += 1;
            }
            for ticket in gate.release(end, &limits(limit), end.saturating_sub(admitted_at)) {
                let received = queued.remove(&ticket).expect("it was queued");
                start(end, received, &mut ends);
            }
        }
        match admit(
            &mut gate,
            now,
            limit,
            2,
            max_wait(LATENCY_OBJECTIVE, now, now),
        ) {
            Admission::Admit => start(now, now, &mut ends),
            Admission::Wait { ticket, .. } => {
                queued.insert(ticket, now);
            }
            Admission::Refuse { retry_after } => {
                assert!(retry_after >= Duration::from_millis(250));
                outcome.refused += 1;
            }
            Admission::QueueFull { .. } => panic!("the queue has no limit"),
        }
        outcome.most_in_flight = outcome.most_in_flight.max(gate.in_flight());
    }
    outcome
}

#[test]
fn surge_is_answered_on_time_up_to_capacity() {
    let capacity = 5 * 300;
    let actual = simulate(600, 2 * SLOTS);
    assert!(actual.on_time * 100 >= capacity * 90, "{actual:?}");
    assert!(actual.late * 100 <= capacity * 2, "{actual:?}");
    assert_eq!(actual.most_in_flight, 2 * SLOTS);
}

/// Shows that the limit of the gate is what keeps the surge on time: with a limit that is never
/// reached, most calls are late.
#[test]
fn surge_without_a_limit_is_answered_late() {
    let actual = simulate(600, 100_000);
    assert!(actual.late > actual.on_time, "{actual:?}");
}

#[test_case(43; "far below capacity")]
#[test_case(250; "close to capacity")]
fn no_call_is_refused_below_capacity(per_s: u32) {
    let actual = simulate(per_s, 2 * SLOTS);
    assert_eq!((actual.refused, actual.late), (0, 0));
}

#[test]
fn most_urgent_calls_are_admitted_first() {
    let mut gate = Gate::default();
    let long = Duration::from_mins(1);
    let now = Duration::ZERO;
    assert_eq!(admit(&mut gate, now, 1, 1, long), Admission::Admit);
    let tickets: Vec<Admission> = [2, 0, 1, 0]
        .map(|rank| admit(&mut gate, now, 1, rank, long))
        .into();
    let mut order = Vec::new();
    for _ in 0..4 {
        let admitted = gate.release(now, &limits(1), SERVICE_TIME).into_iter();
        order.extend(admitted.map(|ticket| Admission::Wait {
            ticket,
            evicted: None,
        }));
    }
    let expected = [1, 3, 2, 0].map(|position| tickets[position].clone());
    assert_eq!(order, expected);
}

#[test]
fn canceled_call_leaves_the_queue() {
    let mut gate = Gate::default();
    let long = Duration::from_mins(1);
    let now = Duration::ZERO;
    admit(&mut gate, now, 1, 0, long);
    let Admission::Wait { ticket, .. } = admit(&mut gate, now, 1, 0, long) else {
        panic!("the call must be queued");
    };
    assert!(gate.cancel(ticket));
    assert!(gate.release(now, &limits(1), SERVICE_TIME).is_empty());
    assert_eq!((gate.in_flight(), gate.queued()), (0, 0));
    assert!(!gate.cancel(ticket));
}
