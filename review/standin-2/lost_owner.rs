//! A keyed command whose daemon is killed while the store is about to come back from a copy.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::config::Config;
use crate::engine::{Act, Engine, Run, Traits};
use crate::http::Link;
use crate::process::{Daemon, Place, free_port, machine_address};
use crate::record::Record;
use crate::store::{Mode, Store};

const COMMANDS: usize = 6;
/// Key of the workspace `shop` and its SHA-256.
pub const SHOP_KEY: &str = "key-shop";
pub const SHOP_KEY_SHA256: &str = "0c21e3e42e4e7f8e5804de6e2b86484e5248f6ccae2e4f8bfe962f2f0f621006";
const WORK: Duration = Duration::from_millis(900);
/// Time in which a caller repeats a command whose outcome is not known.
const PATIENCE: Duration = Duration::from_secs(14);

/// Which of the two disruptions take place.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    pub has_kill: bool,
    pub has_drill: bool,
}

pub fn run(folder: &Path, scratch: &Path, trouble: Trouble) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("{trouble:?}"));
    match play(&record, scratch, trouble) {
        Ok(twice) => {
            record.say(&format!("{twice} of {COMMANDS} commands with an idempotency key ran more than once"));
            record.say(if twice > 0 { "the rule was broken" } else { "the rule held" });
            i32::from(twice > 0)
        }
        Err(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            2
        }
    }
}

fn play(record: &Record, scratch: &Path, trouble: Trouble) -> Result<usize, String> {
    let store = Store::start();
    let mut doors = Vec::new();
    for _ in 0..4 {
        doors.push(store.open_door(machine_address(250)).1);
    }
    let profiles = format!(
        "{{\"workspaces\":[{{\"name\":\"shop\",\"key_sha256\":\"{SHOP_KEY_SHA256}\",\"weight\":1,\
         \"requests_per_second\":400}}],\"pools\":[{{\"name\":\"desk\",\"kind\":\"service\",\
         \"slots_per_target\":16}}],\"profiles\":[{{\"name\":\"panel\",\"pool\":\"desk\",\
         \"class\":\"normal\",\"deadline_ms\":3000}}]}}"
    );
    apply_profiles(record, scratch, doors[3], &profiles)?;
    let config = Config {
        version: 7,
        tenants: vec![("ten".into(), vec!["key-a".into()])],
        more: Vec::new(),
    };
    store.put("op/config", &config.text());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for number in 0..2u8 {
        let ip = machine_address(100 + number);
        let traits = Traits {
            id: format!("i-00{number}"),
            service: "desk".into(),
            zone: "zone-a".into(),
            work: WORK,
            events: 0,
            gap: Duration::ZERO,
            tells_load: false,
        };
        let address = SocketAddr::new(ip, free_port(ip));
        Engine::start(traits, address, &store, record, &runs, 3, |_| Act::Usual);
    }
    let mut daemons = Vec::new();
    for number in 1..=3u8 {
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) - 1];
        let door = doors[usize::from(number) - 1];
        daemons.push(Daemon::start(&Place { number, zone, folder: scratch, store: door }));
    }
    if !daemons.iter().all(|daemon| daemon.wait_until_ready(Duration::from_secs(20))) {
        return Err("a daemon is not ready".into());
    }
    record.line("3 daemons are ready");
    thread::sleep(Duration::from_secs(2));
    let copy = store.copy();
    record.line("store: the copy is made");
    thread::sleep(Duration::from_millis(500));
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let callers: Vec<_> = (0..COMMANDS)
        .map(|number| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || caller(&record, &fronts, number))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if trouble.has_kill {
        daemons[0].kill();
        record.line("edge-1 is killed");
        thread::sleep(Duration::from_millis(500));
        daemons[0].restart();
        record.line("edge-1 starts again");
    } else {
        thread::sleep(Duration::from_millis(500));
    }
    if trouble.has_drill {
        store.set_mode(Mode::Refusing);
        record.line("store: away");
        thread::sleep(Duration::from_secs(1));
        store.restore(&copy);
        store.put("op/config", &config.text());
        store.set_mode(Mode::Up);
        record.line("store: back from the copy");
    } else {
        thread::sleep(Duration::from_secs(1));
    }
    for caller in callers {
        let _ = caller.join();
    }
    // Repeats that may still run.
    thread::sleep(Duration::from_secs(2));
    let runs = runs.lock().unwrap();
    let count = |number: usize| runs.iter().filter(|run| run.body == body(number).as_bytes()).count();
    if (0..COMMANDS).any(|number| count(number) == 0) {
        return Err("a command did not run at all".into());
    }
    Ok((0..COMMANDS).filter(|number| count(*number) > 1).count())
}

fn body(number: usize) -> String {
    format!("shutter-{number}")
}

/// Sends a command to the first daemon. While its outcome is not known, repeats it with the same key at the
/// others; a caller that got its answer asks for it once more, as after a crash of its own.
fn caller(record: &Record, fronts: &[SocketAddr], number: usize) {
    let began = Instant::now();
    let mut asked = 0;
    let mut has_answer = false;
    while began.elapsed() < PATIENCE {
        let front = if asked == 0 { fronts[0] } else { fronts[1 + (number + asked) % 2] };
        let status = call(front, number);
        record.line(&format!("caller {number}: try {} at {front}: {status}", asked + 1));
        asked += 1;
        if status.starts_with("200") {
            if has_answer || asked > 1 {
                return;
            }
            has_answer = true;
        }
        thread::sleep(Duration::from_secs(1));
    }
}

/// The status and the beginning of the answer.
fn call(front: SocketAddr, number: usize) -> String {
    let Ok(mut link) = Link::open(front, Duration::from_secs(1)) else {
        return "not connected".into();
    };
    let body = body(number);
    let request = format!(
        "POST /v1/services/desk/shutter/7 HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer {SHOP_KEY}\r\n\
         Content-Type: text/plain\r\nIdempotency-Key: order-{number}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if link.send(request.as_bytes()).is_err() {
        return "not sent".into();
    }
    match link.read_message(Instant::now() + Duration::from_secs(4)) {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body).chars().take(160).collect::<String>();
            format!("{} {text}", answer.status())
        }
        Err(short) => format!("no answer ({short:?})"),
    }
}

/// Applies a profile configuration as operators do.
pub fn apply_profiles(
    record: &Record,
    scratch: &Path,
    store: SocketAddr,
    text: &str,
) -> Result<(), String> {
    let file = scratch.join("profiles.json");
    std::fs::write(&file, text).map_err(|error| error.to_string())?;
    let output = Command::new("target/release/lapismoorctl")
        .args(["--key-value", &store.to_string(), "config", "apply"])
        .arg(&file)
        .output()
        .map_err(|error| error.to_string())?;
    record.line(&format!("operator: config apply: {}", output.status));
    if output.status.success() {
        return Ok(());
    }
    Err(String::from_utf8_lossy(&output.stderr).into_owned())
}
