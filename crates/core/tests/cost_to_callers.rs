//! What waiting and refusals cost callers, and the order that follows.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{Admission, Gate, GateLimits, Ticket, max_wait};
use lapismoor_core::admission::{CostGate, Priority, Prospect, RequestNeed};
use test_case::test_case;

const ONE_IN_FLIGHT: GateLimits = GateLimits {
    in_flight: 1,
    reserved: 0,
    queue_limit: usize::MAX,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Needs 50 ms, is due in `due_ms` and has a deadline of 1,500 ms.
fn need(rank: u8, workspace: &str, due_ms: u64) -> RequestNeed {
    RequestNeed {
        priority: Priority {
            rank,
            workspace: workspace.into(),
            weight: 1,
        },
        due_at: ms(due_ms),
        deadline: ms(1_500),
        answer_time: ms(50),
        quick_answer_time: ms(50),
        work_percent: 100,
    }
}

fn queued(gate: &mut CostGate, now: Moment, need: &RequestNeed) -> Ticket {
    match gate.admit(now, &ONE_IN_FLIGHT, need) {
        Admission::Wait { ticket, .. } => ticket,
        other => panic!("the request must be queued: {other:?}"),
    }
}

fn busy_gate() -> CostGate {
    let mut gate = CostGate::default();
    let first = gate.admit(Moment::ZERO, &ONE_IN_FLIGHT, &need(0, "a", 200));
    assert_eq!(first, Admission::Admit);
    gate
}

fn drain(gate: &mut CostGate, now: Moment) -> Vec<Ticket> {
    let mut order = Vec::new();
    loop {
        let admitted = gate.release(now, &ONE_IN_FLIGHT, ms(50));
        if admitted.is_empty() {
            return order;
        }
        order.extend(admitted);
    }
}

#[test_case(0, 100)]
#[test_case(150, 100)]
#[test_case(151, 50)]
#[test_case(1_450, 50)]
#[test_case(1_451, 0)]
fn answer_is_worth_less_the_later_it_starts(starts_ms: u64, expected_percent: u64) {
    let actual = need(0, "a", 200).prospect(ms(starts_ms));
    assert_eq!(actual.worth_percent(), expected_percent);
}

#[test]
fn refusal_of_more_work_costs_less() {
    let small = need(0, "a", 200);
    let large = RequestNeed {
        work_percent: 400,
        ..small.clone()
    };
    assert!(large.cost_of_refusal(Moment::ZERO) < small.cost_of_refusal(Moment::ZERO));
}

/// The gate by urgency refuses a request that would wait for more than half of its objective,
/// although it can be answered.
#[test]
fn request_that_can_only_be_late_waits() {
    let mut by_urgency = Gate::default();
    let priority = need(0, "a", 200).priority;
    let patience = max_wait(ms(200), Moment::ZERO, Moment::ZERO);
    for _ in 0..3 {
        by_urgency.admit(Moment::ZERO, &ONE_IN_FLIGHT, &priority, patience);
    }
    let before = by_urgency.admit(Moment::ZERO, &ONE_IN_FLIGHT, &priority, patience);
    assert!(matches!(before, Admission::Refuse { .. }));
    let mut gate = busy_gate();
    for _ in 0..3 {
        queued(&mut gate, Moment::ZERO, &need(0, "a", 200));
    }
}

#[test]
fn request_that_must_start_sooner_goes_first() {
    let mut gate = busy_gate();
    let later = queued(&mut gate, Moment::ZERO, &need(0, "a", 400));
    let sooner = queued(&mut gate, Moment::ZERO, &need(0, "a", 300));
    assert_eq!(drain(&mut gate, ms(1)), vec![sooner, later]);
}

#[test]
fn more_urgent_rank_goes_before_an_earlier_due_time() {
    let mut gate = busy_gate();
    let sooner = queued(&mut gate, Moment::ZERO, &need(1, "a", 200));
    let urgent = queued(&mut gate, Moment::ZERO, &need(0, "a", 400));
    assert_eq!(drain(&mut gate, ms(1)), vec![urgent, sooner]);
}

/// An urgent request that can only be late would take the room of one that can be on time.
#[test]
fn request_that_can_be_on_time_goes_before_an_urgent_late_one() {
    let mut gate = busy_gate();
    let late = queued(&mut gate, Moment::ZERO, &need(0, "a", 160));
    let on_time = queued(&mut gate, Moment::ZERO, &need(1, "a", 600));
    assert_eq!(drain(&mut gate, ms(200)), vec![on_time, late]);
}

#[test]
fn late_request_with_less_work_goes_first() {
    let mut gate = busy_gate();
    let with_work = |work_percent| RequestNeed {
        work_percent,
        ..need(0, "a", 160)
    };
    let large = queued(&mut gate, Moment::ZERO, &with_work(300));
    let small = queued(&mut gate, Moment::ZERO, &with_work(30));
    assert_eq!(drain(&mut gate, ms(200)), vec![small, large]);
}

#[test]
fn request_that_can_no_longer_be_answered_is_dropped_at_once() {
    let mut gate = busy_gate();
    let ticket = queued(&mut gate, Moment::ZERO, &need(0, "a", 200));
    assert_eq!(gate.take_dropped(), Vec::<Ticket>::new());
    assert_eq!(drain(&mut gate, ms(1_460)), Vec::<Ticket>::new());
    assert_eq!(gate.take_dropped(), vec![ticket]);
    assert_eq!(gate.queued(), 0);
}

/// As much arrives as the targets answer: what can only be late would wait until its deadline.
#[test]
fn request_without_room_before_its_deadline_is_refused_at_once() {
    let mut gate = busy_gate();
    let admissions = (0..60).map(|_| gate.admit(Moment::ZERO, &ONE_IN_FLIGHT, &need(0, "a", 200)));
    let refused = admissions.filter(|one| matches!(one, Admission::Refuse { .. }));
    assert!(refused.count() > 30);
}

#[test]
fn full_queue_evicts_what_costs_least() {
    let limits = GateLimits {
        queue_limit: 2,
        ..ONE_IN_FLIGHT
    };
    let mut gate = busy_gate();
    let large = RequestNeed {
        work_percent: 300,
        ..need(1, "a", 400)
    };
    let large = queued(&mut gate, Moment::ZERO, &large);
    queued(&mut gate, Moment::ZERO, &need(1, "a", 400));
    let urgent = gate.admit(Moment::ZERO, &limits, &need(0, "a", 400));
    let Admission::Wait { evicted, .. } = urgent else {
        panic!("the request must be queued");
    };
    assert_eq!(evicted, Some(large));
}

/// A request of the recorded load.
#[derive(Debug, Clone)]
struct Recorded {
    at: Moment,
    need: RequestNeed,
    work: Duration,
}

/// Two seconds of load above the room of one slot: short urgent requests, short ones of two
/// workspaces, and long ones.
fn recorded_load() -> Vec<Recorded> {
    let mut load = Vec::new();
    let mut add = |gap_ms: u64, rank: u8, workspace: &str, due_ms: u64, work_ms: u64| {
        for at in (gap_ms / 2..2_000).step_by(usize::try_from(gap_ms).expect("small")) {
            let mut need = need(rank, workspace, at + due_ms);
            need.deadline = ms(at + 1_500);
            need.answer_time = ms(work_ms);
            need.quick_answer_time = ms(work_ms);
            need.work_percent = u32::try_from(work_ms * 5).expect("small");
            load.push(Recorded {
                at: ms(at),
                need,
                work: ms(work_ms),
            });
        }
    };
    add(100, 0, "a", 150, 20);
    add(50, 1, "b", 200, 20);
    add(60, 1, "c", 200, 20);
    add(200, 2, "c", 600, 80);
    load.sort_by_key(|one| one.at);
    load
}

/// Position of a waiting request; the smallest one is served first.
type Order = Box<dyn Fn(Moment, &Recorded) -> (u64, u64)>;

/// Sum of the worth of the answers, and of those on time, if `pick` chooses the next of the waiting
/// requests.
fn serve(pick: &mut dyn FnMut(Moment, &[Recorded]) -> Option<usize>) -> (u64, usize) {
    let mut coming = recorded_load().into_iter().peekable();
    let mut waiting: Vec<Recorded> = Vec::new();
    let (mut now, mut worth, mut on_time) = (Moment::ZERO, 0, 0);
    loop {
        while let Some(next) = coming.next_if(|one| one.at <= now) {
            waiting.push(next);
        }
        let Some(position) = pick(now, &waiting).filter(|_| !waiting.is_empty()) else {
            let Some(next) = coming.peek() else {
                return (worth, on_time);
            };
            now = next.at;
            waiting.clear();
            continue;
        };
        let next = waiting.remove(position);
        let prospect = next.need.prospect(now);
        on_time += usize::from(prospect == Prospect::OnTime);
        worth += prospect.worth_percent();
        now += next.work;
    }
}

/// The order of the gate against the orders that were weighed, on one load.
#[test]
fn order_by_cost_is_worth_most_of_the_orders_weighed() {
    let first = |key: &dyn Fn(Moment, &Recorded) -> (u64, u64), now, waiting: &[Recorded]| {
        (0..waiting.len()).min_by_key(|position| key(now, &waiting[*position]))
    };
    let micros = |at: Moment| u64::try_from(at.as_micros()).expect("small");
    let rank = |one: &Recorded| u64::from(one.need.priority.rank);
    let orders: [(&str, Order); 4] = [
        (
            "strict rank",
            Box::new(move |_, one| (rank(one), micros(one.at))),
        ),
        (
            "earliest deadline",
            Box::new(move |_, one| (micros(one.need.latest_on_time_start()), 0)),
        ),
        (
            "worth per work",
            Box::new(move |now, one| (u64::MAX - one.need.cost_of_refusal(now), 0)),
        ),
        (
            "by cost",
            Box::new(move |now, one| match one.need.prospect(now) {
                Prospect::OnTime => (rank(one), micros(one.need.latest_on_time_start())),
                Prospect::Late => (1_000 + rank(one), u64::from(one.need.work_percent)),
                Prospect::Lost => (u64::MAX, 0),
            }),
        ),
    ];
    let results = orders.map(|(name, key)| {
        let result = serve(&mut |now, waiting| first(&key, now, waiting));
        println!("{name}: worth {}, {} on time", result.0, result.1);
        result
    });
    let by_cost = results[3];
    assert!(by_cost.0 >= results[0].0, "strict rank");
    assert!(by_cost.0 >= results[1].0, "earliest deadline");
}
