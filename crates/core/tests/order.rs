//! Urgent first, fairness between workspaces, limits, early refusal.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{Admission, GateLimits, Ticket};
use lapismoor_core::admission::queue::{Queue, Waiting};
use lapismoor_core::admission::{Gate, Priority, RateLimit, Workspaces};
use lapismoor_core::config::{Config, Workspace};
use test_case::test_case;

const URGENT: u8 = 0;
const NORMAL: u8 = 1;
const BACKGROUND: u8 = 2;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn waiting(rank: u8, workspace: &str, weight: u32, item: u32) -> Waiting<u32> {
    Waiting {
        rank,
        workspace: workspace.into(),
        weight,
        since: Moment::ZERO,
        item,
    }
}

fn drain(queue: &mut Queue<u32>, now: Moment) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(now).map(|waiting| waiting.item)).collect()
}

#[test]
fn urgent_work_goes_before_all_other() {
    let mut queue = Queue::new(ms(10_000));
    queue.push(waiting(BACKGROUND, "a", 1, 1));
    queue.push(waiting(NORMAL, "a", 1, 2));
    queue.push(waiting(URGENT, "a", 1, 3));
    assert_eq!(drain(&mut queue, ms(1)), vec![3, 2, 1]);
}

#[test]
fn workspaces_share_by_weight() {
    let mut queue = Queue::new(ms(10_000));
    for item in 0..30 {
        queue.push(waiting(NORMAL, "large", 2, 100 + item));
        queue.push(waiting(NORMAL, "small", 1, 200 + item));
    }
    let first = drain(&mut queue, ms(1));
    let small = first[..15].iter().filter(|item| **item >= 200).count();
    assert_eq!(small, 5);
}

#[test]
fn a_flood_of_one_workspace_does_not_drown_another() {
    let mut queue = Queue::new(ms(10_000));
    for item in 0..1_000 {
        queue.push(waiting(NORMAL, "flood", 1, item));
    }
    assert!(queue.ahead_of(NORMAL, "quiet", 1) <= 1);
    assert_eq!(queue.ahead_of(NORMAL, "flood", 1), 1_000);
    assert_eq!(queue.ahead_of(BACKGROUND, "quiet", 1), 1_000);
    queue.push(waiting(NORMAL, "quiet", 1, 5_000));
    let position = drain(&mut queue, ms(1))
        .iter()
        .position(|item| *item == 5_000);
    assert!(position.is_some_and(|position| position <= 1));
}

/// What a request is told of its turn is what comes about.
#[test_case("large", 4, 3)]
#[test_case("small", 1, 2)]
#[test_case("new", 1, 0)]
fn the_turn_that_is_foreseen_is_not_sooner_than_the_turn(workspace: &str, weight: u32, own: u32) {
    let mut queue = Queue::new(ms(10_000));
    for item in 0..40 {
        queue.push(waiting(NORMAL, "large", 4, item));
        queue.push(waiting(NORMAL, "small", 1, 100 + item));
    }
    for item in 0..own {
        queue.push(waiting(NORMAL, workspace, weight, 200 + item));
    }
    let foreseen = queue.ahead_of(NORMAL, workspace, weight);
    queue.push(waiting(NORMAL, workspace, weight, 1_000));
    let order = drain(&mut queue, ms(1));
    let actual = order.iter().position(|item| *item == 1_000);
    assert!(
        actual.is_some_and(|actual| actual <= foreseen),
        "{actual:?} {foreseen}"
    );
}

#[test]
fn aged_background_work_gets_a_turn_among_urgent_work() {
    let mut queue = Queue::new(ms(10_000));
    queue.push(waiting(BACKGROUND, "a", 1, 9_999));
    for item in 0..100 {
        queue.push(waiting(URGENT, "a", 1, item));
    }
    let young = queue.clone().pop(ms(9_000)).map(|waiting| waiting.item);
    assert_eq!(young, Some(0));
    let position = drain(&mut queue, ms(10_000))
        .iter()
        .position(|item| *item == 9_999);
    assert_eq!(position, Some(7));
}

fn claim(rank: u8, workspace: &str) -> Priority {
    Priority {
        rank,
        workspace: workspace.into(),
        weight: 1,
    }
}

const ONE: GateLimits = GateLimits {
    in_flight: 1,
    reserved: 0,
    waiting: 3,
};

/// A gate with one request in flight and `waiting` behind it.
fn full_gate(waiting: usize, rank: u8) -> (Gate, Vec<Ticket>) {
    let mut gate = Gate::default();
    assert_eq!(
        gate.admit(Moment::ZERO, &ONE, &claim(rank, "a"), ms(60_000)),
        Admission::Admit
    );
    let mut tickets = Vec::new();
    for _ in 0..waiting {
        let entry = gate.admit(Moment::ZERO, &ONE, &claim(rank, "a"), ms(60_000));
        if let Admission::Wait { ticket, .. } = entry {
            tickets.push(ticket);
        }
    }
    (gate, tickets)
}

#[test]
fn a_freed_slot_goes_to_the_urgent_request() {
    let (mut gate, _) = full_gate(1, BACKGROUND);
    let urgent = gate.admit(ms(3), &ONE, &claim(URGENT, "a"), ms(60_000));
    let Admission::Wait { ticket, evicted } = urgent else {
        panic!("it waits");
    };
    assert_eq!(evicted, None);
    assert_eq!(gate.release(ms(4), &ONE, ms(50)), vec![ticket]);
}

#[test]
fn a_full_queue_gives_up_its_least_urgent_request_for_a_more_urgent_one() {
    let (mut gate, tickets) = full_gate(3, BACKGROUND);
    let same = gate.admit(ms(1), &ONE, &claim(BACKGROUND, "b"), ms(60_000));
    assert!(matches!(same, Admission::QueueFull { .. }));
    let urgent = gate.admit(ms(1), &ONE, &claim(URGENT, "b"), ms(60_000));
    let Admission::Wait { evicted, .. } = urgent else {
        panic!("it waits");
    };
    assert_eq!(evicted, tickets.last().copied());
    assert_eq!(gate.waiting(), 3);
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once_with_a_time_to_come_back() {
    let limits = GateLimits {
        in_flight: 1,
        reserved: 0,
        waiting: 1_000,
    };
    let mut gate = Gate::default();
    for _ in 0..100 {
        gate.admit(ms(1), &limits, &claim(NORMAL, "a"), ms(60_000));
    }
    let actual = gate.admit(ms(2), &limits, &claim(NORMAL, "a"), ms(100));
    assert!(matches!(actual, Admission::Refuse { retry_after } if !retry_after.is_zero()));
}

/// Background work fills a pool; what is kept free goes to urgent requests alone.
#[test]
fn places_that_are_kept_free_go_to_urgent_requests() {
    let limits = GateLimits {
        in_flight: 4,
        reserved: 1,
        waiting: 100,
    };
    let mut gate = Gate::default();
    let mut arrive = |rank| gate.admit(ms(1), &limits, &claim(rank, "a"), ms(60_000));
    let entered = (0..4).filter(|_| arrive(BACKGROUND) == Admission::Admit);
    assert_eq!(entered.count(), 3);
    assert_eq!(arrive(URGENT), Admission::Admit);
    assert!(matches!(arrive(URGENT), Admission::Wait { .. }));
    let called = gate.release(ms(2), &limits, ms(50));
    assert_eq!(called.len(), 1, "the urgent one enters");
    let called = gate.release(ms(3), &limits, ms(50));
    assert_eq!(called.len(), 0, "what is left is kept free");
    let called = gate.release(ms(3), &limits, ms(50));
    assert_eq!(called.len(), 1);
}

/// The flood of one workspace fills the queue for longer than anybody can wait.
#[test]
fn a_quiet_workspace_is_taken_while_another_floods() {
    let limits = GateLimits {
        in_flight: 1,
        reserved: 0,
        waiting: 1_000,
    };
    let mut gate = Gate::default();
    for _ in 0..100 {
        gate.admit(ms(1), &limits, &claim(NORMAL, "flood"), ms(60_000));
    }
    let flood = gate.admit(ms(2), &limits, &claim(NORMAL, "flood"), ms(400));
    assert!(matches!(flood, Admission::Refuse { .. }));
    let quiet = gate.admit(ms(2), &limits, &claim(NORMAL, "quiet"), ms(400));
    assert!(matches!(quiet, Admission::Wait { .. }));
}

fn workspace(name: &str) -> Workspace {
    let text = include_bytes!("../../../examples/midshire.json");
    let config = Config::parse(text).expect("the example is valid");
    config.workspace(name).expect("listed").clone()
}

#[test]
fn a_workspace_at_its_limit_is_refused_and_others_are_not() {
    let mut workspaces = Workspaces::default();
    let (busy, other) = (workspace("north-mobile"), workspace("peak-mobile"));
    let taken = (0..400).filter(|_| workspaces.begin(ms(0), &busy, 1.0 / 6.0).is_ok());
    let taken = taken.count();
    assert!(taken < 400);
    let wait = workspaces.begin(ms(0), &busy, 1.0 / 6.0);
    assert!(wait.is_err_and(|wait| !wait.is_zero()));
    assert!(workspaces.begin(ms(0), &other, 1.0 / 6.0).is_ok());
}

#[test]
fn requests_in_flight_count_until_they_end() {
    let mut workspaces = Workspaces::default();
    let mut limited = workspace("north-mobile");
    limited.concurrent_requests = 2;
    assert!(workspaces.begin(ms(0), &limited, 1.0).is_ok());
    assert!(workspaces.begin(ms(0), &limited, 1.0).is_ok());
    assert!(workspaces.begin(ms(0), &limited, 1.0).is_err());
    workspaces.end(&limited.name);
    assert!(workspaces.begin(ms(0), &limited, 1.0).is_ok());
}

#[test_case(10.0, 10, 10; "a burst")]
#[test_case(10.0, 15, 10; "more than a burst")]
fn a_rate_limit_lets_a_burst_through(per_second: f64, asked: u32, expected: u32) {
    let mut limit = RateLimit::new(Moment::ZERO, per_second, 10.0);
    let actual = (0..asked)
        .filter(|_| limit.take(Moment::ZERO).is_ok())
        .count();
    assert_eq!(u32::try_from(actual), Ok(expected));
    assert!(limit.take(ms(1_000)).is_ok());
}
