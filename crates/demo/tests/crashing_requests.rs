//! A request that ends every engine that runs it, sent again and again to a fleet of separate
//! processes. After the third end and the time in which the fleet must know of it, at most three
//! further engines may be reached.

use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use demo::crashing::{
    CRASH_ALTHOUGH_CANCELLED, CRASH_AT_ONCE, CRASH_WHILE_ANSWERING, CrashingAnswer, Identity,
    MAX_LATE_RUNS, false_refusals, late_runs, restart_ended_engines, runs, send_and_leave,
    send_text,
};
use demo::fleet::Fleet;
use demo::fleet_client::set_faults;
use demo::fleet_size::FleetSize;
use lapismoor_adapter_standin::Faults;
use lapismoor_core::config::Config;
use test_case::test_case;

/// Limits the tests to two fleets at a time, so that they do not overload a small machine.
static FLEET_SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];

const DAEMONS: usize = 4;
const MARKER: &str = "crashing";
/// Time after the end of an engine at which another one starts at its address.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(3_100);

/// Which daemons get the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Same,
    Turn,
    Pairs,
    All,
}

/// What else happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// The daemon that got the request is killed afterwards and starts again.
    KillDaemons,
    /// The store fails all calls from the second request on.
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
}

/// When engines that ended start again, under the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    Never,
    AtOnce,
    /// Before each request.
    Later,
}

struct Case {
    order: Order,
    trouble: Trouble,
    engines_return: Return,
    identity: Identity,
    text: &'static str,
    pause: Duration,
    tries: usize,
}

impl Case {
    fn new(order: Order, trouble: Trouble, engines_return: Return) -> Self {
        Self {
            order,
            trouble,
            engines_return,
            identity: Identity::None,
            text: CRASH_AT_ONCE,
            pause: Duration::from_millis(3_500),
            tries: 5,
        }
    }

    fn daemons(&self, number: usize) -> Vec<usize> {
        match self.order {
            Order::Same => vec![0],
            Order::Turn => vec![number % DAEMONS],
            Order::Pairs => vec![(2 * number) % DAEMONS, (2 * number + 1) % DAEMONS],
            Order::All => (0..DAEMONS).collect(),
        }
    }

    fn store_faults(&self, number: usize) -> Faults {
        Faults {
            down: self.trouble == Trouble::StoreDown && number > 0,
            slow_ms: if self.trouble == Trouble::StoreSlow {
                300
            } else {
                0
            },
            lose_answers: self.trouble == Trouble::StoreLosesAnswers,
            ..Faults::default()
        }
    }
}

async fn pause(fleet: &mut Fleet, case: &Case) {
    let end = Instant::now() + case.pause;
    while Instant::now() < end {
        if case.engines_return == Return::AtOnce {
            restart_ended_engines(fleet).expect("the engines restart");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if case.engines_return == Return::Later {
        restart_ended_engines(fleet).expect("the engines restart");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

fn fleet_size(engines: usize) -> FleetSize {
    FleetSize {
        daemons: DAEMONS,
        engines,
        services: 1,
        ..FleetSize::midshire()
    }
}

async fn start_fleet(name: &str, size: &FleetSize) -> Fleet {
    let directory = format!("lapismoor-test-{}-crashing-{name}", std::process::id());
    let directory: PathBuf = std::env::temp_dir().join(directory);
    let config = Config::parse(include_bytes!("../../../examples/midshire.json"));
    let config = config.expect("the example configuration is valid");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_demo"));
    let fleet = Fleet::start(&program, &directory, size, &config).await;
    fleet.expect("the fleet starts")
}

async fn play(name: &str, case: &Case) -> (Fleet, Vec<CrashingAnswer>) {
    let mut fleet = start_fleet(name, &fleet_size(14)).await;
    let mut answers = Vec::new();
    for number in 0..case.tries {
        let faults = set_faults(fleet.key_value_address, &case.store_faults(number)).await;
        faults.expect("the key-value service accepts the faults");
        let daemons = case.daemons(number);
        let addresses = fleet.caller_addresses();
        let sending = daemons
            .iter()
            .map(|daemon| send_text(addresses[*daemon], MARKER, case.text, case.identity));
        answers.extend(futures::future::join_all(sending).await);
        if case.trouble == Trouble::KillDaemons {
            for daemon in daemons {
                fleet.daemons[daemon].process.kill();
                fleet.restart_daemon(daemon).expect("the daemon restarts");
            }
        }
        pause(&mut fleet, case).await;
    }
    (fleet, answers)
}

fn check(name: &str, case: &Case) {
    let _slot = FLEET_SLOTS[name.len() % FLEET_SLOTS.len()].lock();
    let (fleet, answers) = actix::System::new().block_on(play(name, case));
    let runs = runs(&fleet, MARKER).expect("records");
    let late = late_runs(&runs);
    let times: Vec<u64> = runs
        .iter()
        .map(|run| run.time_ms - runs[0].time_ms)
        .collect();
    assert!(runs.len() >= 3, "the request was not tried: {answers:?}");
    assert!(
        late <= MAX_LATE_RUNS,
        "{late} runs of {} are late, at {times:?} ms: {answers:?}",
        runs.len()
    );
    assert_eq!(
        false_refusals(&answers, &runs),
        Vec::<&CrashingAnswer>::new()
    );
}

/// Guards against ends that are counted by one daemon only, or in the order of the engines' ids.
#[test_case("same", Order::Same, Return::Never)]
#[test_case("same-back", Order::Same, Return::AtOnce)]
#[test_case("turn", Order::Turn, Return::Never)]
#[test_case("turn-back", Order::Turn, Return::AtOnce)]
#[test_case("turn-later", Order::Turn, Return::Later)]
#[test_case("pairs", Order::Pairs, Return::Never)]
#[test_case("all-later", Order::All, Return::Later)]
fn request_that_ends_engines_is_stopped_at_every_daemon(
    name: &str,
    order: Order,
    engines_return: Return,
) {
    check(name, &Case::new(order, Trouble::None, engines_return));
}

/// Guards against evidence that is lost with the daemon that has it or with an answer of the store.
#[test_case("killed", Order::Turn, Trouble::KillDaemons)]
#[test_case("killed-same", Order::Same, Trouble::KillDaemons)]
#[test_case("store-down", Order::Turn, Trouble::StoreDown)]
#[test_case("store-slow", Order::Turn, Trouble::StoreSlow)]
#[test_case("store-loses", Order::Turn, Trouble::StoreLosesAnswers)]
fn request_that_ends_engines_is_stopped_under_faults(name: &str, order: Order, trouble: Trouble) {
    check(name, &Case::new(order, trouble, Return::Later));
}

/// Guards against requests that may run once only, of which each daemon sees one end at most.
#[test_case("keys-turn", Order::Turn)]
#[test_case("keys-all", Order::All)]
fn keyed_request_that_ends_engines_is_stopped(name: &str, order: Order) {
    let case = Case {
        identity: Identity::NewKey,
        tries: 6,
        ..Case::new(order, Trouble::None, Return::Later)
    };
    check(name, &case);
}

/// Guards against a stream that ends each engine that resumes it, after some tokens. Its request must
/// not be taken for one that was merely present for longer than the promise allows.
#[test_case("stream-turn", Order::Turn, Return::Later)]
#[test_case("stream-same", Order::Same, Return::AtOnce)]
#[test_case("stream-pairs", Order::Pairs, Return::Later)]
fn stream_that_ends_engines_midway_is_stopped(name: &str, order: Order, engines_return: Return) {
    let case = Case {
        text: CRASH_WHILE_ANSWERING,
        tries: 6,
        ..Case::new(order, Trouble::None, engines_return)
    };
    check(name, &case);
}

/// Checks that at most three runs of the request with [`MARKER`] are late. Each of them ends its engine.
fn check_runs(fleet: &Fleet) {
    let runs = runs(fleet, MARKER).expect("records");
    let late = late_runs(&runs);
    let times: Vec<u64> = runs
        .iter()
        .map(|run| run.time_ms - runs[0].time_ms)
        .collect();
    assert!(runs.len() >= 3, "the request reached engines at {times:?}");
    assert!(
        late <= MAX_LATE_RUNS,
        "{late} runs of {} are late, at {times:?} ms",
        runs.len()
    );
}

/// Guards against engines that end unseen because the caller left and the daemon closed the connection.
#[test_case("leave-same", Order::Same)]
#[test_case("leave-turn", Order::Turn)]
#[test_case("leave-all", Order::All)]
fn request_that_ends_engines_after_its_callers_left_is_stopped(name: &str, order: Order) {
    let _slot = FLEET_SLOTS[name.len() % FLEET_SLOTS.len()].lock();
    let case = Case {
        pause: Duration::from_secs(1),
        tries: 10,
        ..Case::new(order, Trouble::None, Return::Later)
    };
    let fleet = actix::System::new().block_on(async {
        let mut fleet = start_fleet(name, &fleet_size(14)).await;
        for number in 0..case.tries {
            let addresses = fleet.caller_addresses();
            let daemons = case.daemons(number);
            let sending = daemons
                .iter()
                .map(|daemon| send_and_leave(addresses[*daemon], MARKER, CRASH_ALTHOUGH_CANCELLED));
            futures::future::join_all(sending).await;
            pause(&mut fleet, &case).await;
        }
        fleet
    });
    check_runs(&fleet);
}

/// Guards against a successor, at the address of a listed target that ended, taken for that target.
#[test]
fn successor_at_the_same_address_does_not_clear_a_request() {
    let _slot = FLEET_SLOTS[1].lock();
    let fleet = actix::System::new().block_on(async {
        let size = FleetSize {
            heartbeat_ms: 2_000,
            ..fleet_size(6)
        };
        let mut fleet = start_fleet("successor", &size).await;
        let addresses = fleet.caller_addresses();
        let mut ended_at = [None; 6];
        let start = Instant::now();
        for number in 0..60 {
            let address = addresses[number % DAEMONS];
            send_text(address, MARKER, CRASH_AT_ONCE, Identity::None).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            for (index, ended_at) in ended_at.iter_mut().enumerate() {
                if !fleet.engines[index].process.has_ended() {
                    *ended_at = None;
                } else if ended_at.get_or_insert(Instant::now()).elapsed() >= SUCCESSOR_DELAY {
                    let id = format!("engine-{index}-{}", start.elapsed().as_millis());
                    fleet.replace_engine(index, &id).expect("an engine starts");
                }
            }
        }
        fleet
    });
    check_runs(&fleet);
}

/// Kills the engine of each new run of the request with [`MARKER`], after it has answered for a
/// while.
async fn kill_engines_of(fleet: &mut Fleet, count: usize) {
    let mut killed = 0;
    while killed < count {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for engine in &mut fleet.engines {
            let records = lapismoor_adapter_standin::read_records(&engine.records_path);
            let mut records = records.expect("records").into_iter();
            let runs = records.any(|record| record.marker == MARKER && record.what == "begin");
            if runs && !engine.process.has_ended() {
                engine.process.kill();
                killed += 1;
            }
        }
    }
}

/// A stream is at three engines that are killed for another reason. It must not be taken for the
/// cause: its caller's repeat is served at once, and then it is at all daemons.
#[test]
fn stream_that_was_at_three_killed_engines_is_served() {
    let _slot = FLEET_SLOTS[0].lock();
    let answers = actix::System::new().block_on(async {
        let size = FleetSize {
            tokens: 60,
            token_ms: 30,
            ..fleet_size(6)
        };
        let mut fleet = start_fleet("innocent", &size).await;
        let addresses = fleet.caller_addresses();
        let first = send_text(addresses[0], MARKER, "hello", Identity::None);
        let (first, ()) = futures::join!(first, kill_engines_of(&mut fleet, 3));
        // All daemons know of the three ends.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let second = send_text(addresses[1], MARKER, "hello", Identity::None).await;
        // All daemons know of the answer.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let third = send_text(addresses[2], MARKER, "hello", Identity::None).await;
        [first, second, third]
    });
    assert!(!answers[0].is_complete, "{answers:?}");
    assert!(answers[1].is_complete, "{answers:?}");
    assert!(answers[2].is_complete, "{answers:?}");
}
