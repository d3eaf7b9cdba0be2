//! Admission: order by urgency, fair sharing between workspaces, limits and early refusal.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{Admission, GateLimits, Ticket};
use lapismoor_core::admission::queue::{Queue, QueuedItem};
use lapismoor_core::admission::{Gate, Priority, RateLimit, Workspaces};
use lapismoor_core::config::{Config, Workspace};
use test_case::test_case;

const URGENT: u8 = 0;
const NORMAL: u8 = 1;
const BACKGROUND: u8 = 2;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn queued_item(rank: u8, workspace: &str, weight: u32, item: u32) -> QueuedItem<u32> {
    QueuedItem {
        rank,
        workspace: workspace.into(),
        weight,
        queued_at: Moment::ZERO,
        item,
    }
}

fn drain(queue: &mut Queue<u32>, now: Moment) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(now).map(|queued| queued.item)).collect()
}

#[test]
fn urgent_requests_are_served_first() {
    let mut queue = Queue::new(ms(10_000));
    queue.push(queued_item(BACKGROUND, "a", 1, 1));
    queue.push(queued_item(NORMAL, "a", 1, 2));
    queue.push(queued_item(URGENT, "a", 1, 3));
    assert_eq!(drain(&mut queue, ms(1)), vec![3, 2, 1]);
}

#[test]
fn workspaces_share_turns_by_weight() {
    let mut queue = Queue::new(ms(10_000));
    for item in 0..30 {
        queue.push(queued_item(NORMAL, "large", 2, 100 + item));
        queue.push(queued_item(NORMAL, "small", 1, 200 + item));
    }
    let first = drain(&mut queue, ms(1));
    let small = first[..15].iter().filter(|item| **item >= 200).count();
    assert_eq!(small, 5);
}

#[test]
fn backlog_of_one_workspace_does_not_delay_another() {
    let mut queue = Queue::new(ms(10_000));
    for item in 0..1_000 {
        queue.push(queued_item(NORMAL, "flood", 1, item));
    }
    assert!(queue.ahead_of(NORMAL, "quiet", 1) <= 1);
    assert_eq!(queue.ahead_of(NORMAL, "flood", 1), 1_000);
    assert_eq!(queue.ahead_of(BACKGROUND, "quiet", 1), 1_000);
    queue.push(queued_item(NORMAL, "quiet", 1, 5_000));
    let position = drain(&mut queue, ms(1))
        .iter()
        .position(|item| *item == 5_000);
    assert!(position.is_some_and(|position| position <= 1));
}

/// A request is admitted by its expected position in the queue, so it must not be served later than
/// that.
#[test_case("large", 4, 3)]
#[test_case("small", 1, 2)]
#[test_case("new", 1, 0)]
fn request_is_served_no_later_than_expected(workspace: &str, weight: u32, own: u32) {
    let mut queue = Queue::new(ms(10_000));
    for item in 0..40 {
        queue.push(queued_item(NORMAL, "large", 4, item));
        queue.push(queued_item(NORMAL, "small", 1, 100 + item));
    }
    for item in 0..own {
        queue.push(queued_item(NORMAL, workspace, weight, 200 + item));
    }
    let expected = queue.ahead_of(NORMAL, workspace, weight);
    queue.push(queued_item(NORMAL, workspace, weight, 1_000));
    let order = drain(&mut queue, ms(1));
    let actual = order.iter().position(|item| *item == 1_000);
    assert!(
        actual.is_some_and(|actual| actual <= expected),
        "position {actual:?}, expected {expected} at most"
    );
}

#[test]
fn aged_background_request_gets_the_eighth_turn() {
    let mut queue = Queue::new(ms(10_000));
    queue.push(queued_item(BACKGROUND, "a", 1, 9_999));
    for item in 0..100 {
        queue.push(queued_item(URGENT, "a", 1, item));
    }
    let before_threshold = queue.clone().pop(ms(9_000)).map(|queued| queued.item);
    assert_eq!(before_threshold, Some(0));
    let position = drain(&mut queue, ms(10_000))
        .iter()
        .position(|item| *item == 9_999);
    assert_eq!(position, Some(7));
}

fn priority(rank: u8, workspace: &str) -> Priority {
    Priority {
        rank,
        workspace: workspace.into(),
        weight: 1,
    }
}

const ONE_IN_FLIGHT: GateLimits = GateLimits {
    in_flight: 1,
    reserved: 0,
    queue_limit: 3,
};

/// Gate with one request in flight and `queued` more in its queue.
fn full_gate(queued: usize, rank: u8) -> (Gate, Vec<Ticket>) {
    let mut gate = Gate::default();
    assert_eq!(
        gate.admit(
            Moment::ZERO,
            &ONE_IN_FLIGHT,
            &priority(rank, "a"),
            ms(60_000)
        ),
        Admission::Admit
    );
    let mut tickets = Vec::new();
    for _ in 0..queued {
        let admission = gate.admit(
            Moment::ZERO,
            &ONE_IN_FLIGHT,
            &priority(rank, "a"),
            ms(60_000),
        );
        if let Admission::Wait { ticket, .. } = admission {
            tickets.push(ticket);
        }
    }
    (gate, tickets)
}

#[test]
fn released_slot_goes_to_the_urgent_request() {
    let (mut gate, _) = full_gate(1, BACKGROUND);
    let urgent = gate.admit(ms(3), &ONE_IN_FLIGHT, &priority(URGENT, "a"), ms(60_000));
    let Admission::Wait { ticket, evicted } = urgent else {
        panic!("the request must be queued");
    };
    assert_eq!(evicted, None);
    assert_eq!(gate.release(ms(4), &ONE_IN_FLIGHT, ms(50)), vec![ticket]);
}

#[test]
fn full_queue_evicts_its_least_urgent_request_for_a_more_urgent_one() {
    let (mut gate, tickets) = full_gate(3, BACKGROUND);
    let same = gate.admit(
        ms(1),
        &ONE_IN_FLIGHT,
        &priority(BACKGROUND, "b"),
        ms(60_000),
    );
    assert!(matches!(same, Admission::QueueFull { .. }));
    let urgent = gate.admit(ms(1), &ONE_IN_FLIGHT, &priority(URGENT, "b"), ms(60_000));
    let Admission::Wait { evicted, .. } = urgent else {
        panic!("the request must be queued");
    };
    assert_eq!(evicted, tickets.last().copied());
    assert_eq!(gate.queued(), 3);
}

#[test]
fn unmeetable_deadline_is_refused_at_once_with_a_retry_delay() {
    let limits = GateLimits {
        in_flight: 1,
        reserved: 0,
        queue_limit: 1_000,
    };
    let mut gate = Gate::default();
    for _ in 0..100 {
        gate.admit(ms(1), &limits, &priority(NORMAL, "a"), ms(60_000));
    }
    let actual = gate.admit(ms(2), &limits, &priority(NORMAL, "a"), ms(100));
    assert!(matches!(actual, Admission::Refuse { retry_after } if !retry_after.is_zero()));
}

/// Background requests fill a pool. The reserved part of the limit must go to urgent requests only.
#[test]
fn reserved_slots_go_to_urgent_requests_only() {
    let limits = GateLimits {
        in_flight: 4,
        reserved: 1,
        queue_limit: 100,
    };
    let mut gate = Gate::default();
    let mut admit = |rank| gate.admit(ms(1), &limits, &priority(rank, "a"), ms(60_000));
    let admitted = (0..4).filter(|_| admit(BACKGROUND) == Admission::Admit);
    assert_eq!(admitted.count(), 3);
    assert_eq!(admit(URGENT), Admission::Admit);
    assert!(matches!(admit(URGENT), Admission::Wait { .. }));
    let released = gate.release(ms(2), &limits, ms(50));
    assert_eq!(released.len(), 1, "the urgent request is admitted");
    let released = gate.release(ms(3), &limits, ms(50));
    assert_eq!(released.len(), 0, "the freed slot is reserved");
    let released = gate.release(ms(3), &limits, ms(50));
    assert_eq!(released.len(), 1);
}

/// One workspace fills the queue beyond the time that any of its further requests may wait.
#[test]
fn workspace_is_queued_while_another_is_refused() {
    let limits = GateLimits {
        in_flight: 1,
        reserved: 0,
        queue_limit: 1_000,
    };
    let mut gate = Gate::default();
    for _ in 0..100 {
        gate.admit(ms(1), &limits, &priority(NORMAL, "flood"), ms(60_000));
    }
    let flood = gate.admit(ms(2), &limits, &priority(NORMAL, "flood"), ms(400));
    assert!(matches!(flood, Admission::Refuse { .. }));
    let quiet = gate.admit(ms(2), &limits, &priority(NORMAL, "quiet"), ms(400));
    assert!(matches!(quiet, Admission::Wait { .. }));
}

fn workspace(name: &str) -> Workspace {
    let text = include_bytes!("../../../examples/midshire.json");
    let config = Config::parse(text).expect("the example is valid");
    config.workspace(name).expect("listed").clone()
}

#[test]
fn workspace_limit_does_not_affect_others() {
    let mut workspaces = Workspaces::default();
    let (busy, other) = (workspace("north-mobile"), workspace("peak-mobile"));
    let accepted = (0..400).filter(|_| workspaces.begin_request(ms(0), &busy, 1.0 / 6.0).is_ok());
    let accepted = accepted.count();
    assert!(accepted < 400);
    let wait = workspaces.begin_request(ms(0), &busy, 1.0 / 6.0);
    assert!(wait.is_err_and(|wait| !wait.is_zero()));
    assert!(workspaces.begin_request(ms(0), &other, 1.0 / 6.0).is_ok());
}

#[test]
fn concurrency_limit_counts_requests_until_they_end() {
    let mut workspaces = Workspaces::default();
    let mut limited = workspace("north-mobile");
    limited.concurrent_requests = 2;
    assert!(workspaces.begin_request(ms(0), &limited, 1.0).is_ok());
    assert!(workspaces.begin_request(ms(0), &limited, 1.0).is_ok());
    assert!(workspaces.begin_request(ms(0), &limited, 1.0).is_err());
    workspaces.end_request(&limited.name);
    assert!(workspaces.begin_request(ms(0), &limited, 1.0).is_ok());
}

#[test_case(10.0, 10, 10; "burst")]
#[test_case(10.0, 15, 10; "more than the burst")]
fn rate_limit_accepts_a_burst(per_second: f64, attempts: u32, expected: u32) {
    let mut limit = RateLimit::new(Moment::ZERO, per_second, 10.0);
    let actual = (0..attempts)
        .filter(|_| limit.take_token(Moment::ZERO).is_ok())
        .count();
    assert_eq!(u32::try_from(actual), Ok(expected));
    assert!(limit.take_token(ms(1_000)).is_ok());
}
