//! Chats of legal size, and the memory of the daemons that parse them.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::config::Config;
use crate::engine::{Act, Engine, Run, Traits};
use crate::http::Link;
use crate::lost_owner::{SHOP_KEY, SHOP_KEY_SHA256, apply_profiles};
use crate::process::{Daemon, Place, free_port, machine_address};
use crate::record::Record;
use crate::store::Store;

/// The machine's memory for the process: `memory_mb` of its settings.
const MEMORY_KB: u64 = 260 * 1024;
/// Limit of a chat's body: `max_body_bytes` of callers, by default.
const BODY_BYTES: usize = 2_097_152;
const ROUNDS: usize = 3;
const DAEMONS: usize = 2;

pub fn run(folder: &Path, scratch: &Path, trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    match play(&record, scratch, trouble) {
        Ok(kills) => {
            record.say(&format!("processes that exceeded their memory and were killed: {kills:?} times"));
            let is_broken = kills.iter().all(|kills| *kills >= ROUNDS);
            record.say(if is_broken { "the rule was broken" } else { "the rule held" });
            i32::from(is_broken)
        }
        Err(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            2
        }
    }
}

fn play(record: &Record, scratch: &Path, trouble: bool) -> Result<Vec<usize>, String> {
    let store = Store::start();
    let doors: Vec<SocketAddr> = (0..=DAEMONS).map(|_| store.open_door(machine_address(250)).1).collect();
    let profiles = format!(
        "{{\"workspaces\":[{{\"name\":\"shop\",\"key_sha256\":\"{SHOP_KEY_SHA256}\",\"weight\":1,\
         \"requests_per_second\":400}}],\"pools\":[{{\"name\":\"pool\",\"kind\":\"engines\",\
         \"models\":[\"scene-composer\"],\"slots_per_target\":16}}],\"profiles\":[{{\"name\":\"evening\",\
         \"pool\":\"pool\",\"model\":\"scene-composer\",\"class\":\"normal\",\"deadline_ms\":5000,\
         \"replayable\":false}}]}}"
    );
    apply_profiles(record, scratch, doors[DAEMONS], &profiles)?;
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
            service: "pool".into(),
            zone: "zone-a".into(),
            work: Duration::from_millis(20),
            events: 0,
            gap: Duration::ZERO,
            tells_load: false,
        };
        let address = SocketAddr::new(ip, free_port(ip));
        Engine::start(traits, address, &store, record, &runs, DAEMONS, |_| Act::Usual);
    }
    let mut kills = Vec::new();
    for number in 1..=DAEMONS {
        let zone = ["zone-a", "zone-b"][number - 1];
        let place = Place { number: number as u8, zone, folder: scratch, store: doors[number - 1] };
        let mut daemon = Daemon::start(&place);
        let mut ends = 0;
        for round in 1..=ROUNDS {
            if !daemon.wait_until_ready(Duration::from_secs(20)) {
                return Err("a daemon is not ready".into());
            }
            let before = daemon.peak_kb();
            let is_done = Arc::new(AtomicBool::new(false));
            let (front, done, for_call) = (daemon.front, Arc::clone(&is_done), record.clone());
            let caller = thread::spawn(move || {
                let answer = call(front, trouble);
                for_call.line(&format!("caller: a chat of {BODY_BYTES} bytes at most: {answer}"));
                done.store(true, Ordering::SeqCst);
            });
            // The platform looks at the memory of its processes.
            let mut is_killed = false;
            while !is_done.load(Ordering::SeqCst) && !is_killed {
                is_killed = end_if_exceeded(record, &mut daemon, before);
                thread::sleep(Duration::from_millis(2));
            }
            is_killed = is_killed || end_if_exceeded(record, &mut daemon, before);
            let _ = caller.join();
            if is_killed {
                ends += 1;
                thread::sleep(Duration::from_millis(500));
                daemon.restart();
            } else {
                let peak = daemon.peak_kb() / 1024;
                record.say(&format!("{}, round {round}: peak {peak} MB", daemon.name));
            }
        }
        kills.push(ends);
    }
    Ok(kills)
}

/// Kills a process that has exceeded its memory, as the platform does.
fn end_if_exceeded(record: &Record, daemon: &mut Daemon, before_kb: u64) -> bool {
    let peak_kb = daemon.peak_kb();
    if peak_kb <= MEMORY_KB {
        return false;
    }
    daemon.kill();
    record.say(&format!(
        "platform: {} is killed: peak {} MB of {} MB, {} MB before the chat",
        daemon.name,
        peak_kb / 1024,
        MEMORY_KB / 1024,
        before_kb / 1024
    ));
    true
}

/// Sends one chat. Its text is one string, or with `many_parts` a list of small parts of the same length.
fn call(front: SocketAddr, many_parts: bool) -> String {
    let begin = "{\"messages\":[{\"role\":\"user\",\"content\":";
    let end = "}]}";
    let room = BODY_BYTES - begin.len() - end.len() - 4;
    let content = if many_parts {
        format!("[{}0]", "{\"a\":1},".repeat(room / 8 - 1))
    } else {
        format!("\"{}\"", "a".repeat(room))
    };
    let body = format!("{begin}{content}{end}");
    let Ok(mut link) = Link::open(front, Duration::from_secs(1)) else {
        return "not connected".into();
    };
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer {SHOP_KEY}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    if link.send(head.as_bytes()).is_err() || link.send(body.as_bytes()).is_err() {
        return "the connection ended while it was sent".into();
    }
    match link.read_message(Instant::now() + Duration::from_secs(8)) {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body).chars().take(120).collect::<String>();
            format!("{} {text}", answer.status())
        }
        Err(short) => format!("no answer ({short:?})"),
    }
}
