//! Requests of one chat, each with a content of its own, whose shared context ends every engine that answers on it.
//! After the fifth end and the time in which the fleet must know of it, at most three further engines may be
//! reached, while sound chats are served.

use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;

use demo::crashing::{
    CrashingAnswer, ENDS_OF_A_PART, Identity, MAX_LATE_RUNS, false_refusals, restart_ended_engines,
    runs_after, runs_with_prefix, send_in_chat, send_text,
};
use demo::fleet::Fleet;
use demo::fleet_client::set_faults;
use demo::fleet_size::FleetSize;
use lapismoor_adapter_standin::Faults;
use lapismoor_core::config::Config;
use test_case::test_case;

/// Limits the tests to one fleet at a time, so that they do not overload a small machine.
static FLEET_SLOT: Mutex<()> = Mutex::new(());

const DAEMONS: usize = 4;
const CHAT: &str = "part";
const ROUNDS: usize = 16;
/// Time between two rounds of requests.
const PAUSE: Duration = Duration::from_millis(1_200);
/// Rounds in which the requirement lets sound requests fail: up to 6 s after the fifth end.
const DISTURBED_ROUNDS: usize = 10;

/// What else happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// The daemons are killed one after the other and start again.
    KillDaemons,
    /// The store fails all calls from the second round on.
    StoreDown,
}

async fn start_fleet(name: &str) -> Fleet {
    let directory = format!("lapismoor-test-{}-part-{name}", std::process::id());
    let directory: PathBuf = std::env::temp_dir().join(directory);
    let config = Config::parse(include_bytes!("../../../examples/midshire.json"));
    let config = config.expect("the example configuration is valid");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_demo"));
    let size = FleetSize {
        daemons: DAEMONS,
        engines: 10,
        services: 1,
        ..FleetSize::midshire()
    };
    let fleet = Fleet::start(&program, &directory, &size, &config).await;
    fleet.expect("the fleet starts")
}

/// Sends the requests of the crashing chat and sound ones; returns the answers to the former, and to the sound
/// ones of each round.
async fn play(fleet: &mut Fleet, trouble: Trouble) -> (Vec<CrashingAnswer>, Vec<CrashingAnswer>) {
    let (mut answers, mut sound) = (Vec::new(), Vec::new());
    let addresses = fleet.caller_addresses();
    for round in 0..ROUNDS {
        let daemon = round % DAEMONS;
        let marker = format!("{CHAT}-{round}");
        let other = format!("sound-{round}");
        let sound_address = addresses[(round + 2) % DAEMONS];
        let (answer, sound_answer) = futures::join!(
            send_in_chat(addresses[daemon], CHAT, &marker),
            send_text(sound_address, &other, "hello", Identity::None),
        );
        answers.push(answer);
        sound.push(sound_answer);
        if trouble == Trouble::KillDaemons {
            fleet.daemons[daemon].process.kill();
            fleet.restart_daemon(daemon).expect("the daemon restarts");
        }
        let faults = Faults {
            down: trouble == Trouble::StoreDown,
            ..Faults::default()
        };
        let faults = set_faults(fleet.key_value_address, &faults).await;
        faults.expect("the key-value service accepts the faults");
        tokio::time::sleep(PAUSE).await;
        restart_ended_engines(fleet).expect("the engines restart");
    }
    (answers, sound)
}

/// Guards against requests of one chat that are counted one by one, as no two of them are alike, at daemons that see
/// some of the ends, start again in between, or can't write to the store.
#[test_case("turn", Trouble::None)]
#[test_case("killed", Trouble::KillDaemons)]
#[test_case("store-down", Trouble::StoreDown)]
fn requests_of_a_chat_that_ends_engines_are_stopped(name: &str, trouble: Trouble) {
    let _slot = FLEET_SLOT.lock();
    let (fleet, answers, sound) = actix::System::new().block_on(async {
        let mut fleet = start_fleet(name).await;
        let (answers, sound) = play(&mut fleet, trouble).await;
        (fleet, answers, sound)
    });
    let runs = runs_with_prefix(&fleet, CHAT).expect("records");
    let late = runs_after(&runs, ENDS_OF_A_PART);
    let times: Vec<u64> = runs
        .iter()
        .map(|run| run.time_ms - runs[0].time_ms)
        .collect();
    assert!(runs.len() >= 3, "the chat was not tried: {answers:?}");
    assert!(
        late <= MAX_LATE_RUNS,
        "{late} runs of {} are late, at {times:?} ms",
        runs.len()
    );
    assert_eq!(
        false_refusals(&answers, &runs),
        Vec::<&CrashingAnswer>::new()
    );
    let later = &sound[DISTURBED_ROUNDS..];
    let served = later.iter().filter(|answer| answer.is_complete).count();
    assert!(
        2 * served >= later.len(),
        "{served} are served of {sound:?}"
    );
}
