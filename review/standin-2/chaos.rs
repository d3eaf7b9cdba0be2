//! Random requests beside random disruptions, to look for broken rules.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Ending, Request};
use crate::config::Config;
use crate::engine::{Act, Engine, Run, Traits, checksum, event};
use crate::http::Short;
use crate::process::{Daemon, Place, SIGCONT, SIGSTOP, SIGTERM, free_port, machine_address};
use crate::record::Record;
use crate::store::{Mode, Store};
use std::net::SocketAddr;

#[derive(Clone)]
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn roll(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 8
    }
    pub fn below(&mut self, limit: u64) -> u64 {
        self.roll() % limit
    }
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

const EVENTS: u64 = 20;

struct Sent {
    request: Request,
    ending: Ending,
    sent_at: Instant,
    ended_at: Instant,
    /// Whether the connection had been used before.
    kept: bool,
    daemon: SocketAddr,
    gave_up: bool,
}

pub fn run(folder: &Path, seed: u64, trouble: bool) -> i32 {
    let _ = std::fs::create_dir_all(folder);
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::start();
    let mut config = Config {
        version: 7,
        tenants: vec![("ten".into(), vec!["key-a".into(), "key-b".into()])],
        more: vec![],
    };
    store.put("op/config", &config.text());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let faulty = Arc::new(AtomicU64::new(0));
    let mut engines = Vec::new();
    for number in 0..8u8 {
        let is_pool = number < 4;
        let ip = machine_address(100 + number);
        let address = SocketAddr::new(ip, free_port(ip));
        let faulty = Arc::clone(&faulty);
        let dice = Mutex::new(Dice::new(seed * 1000 + u64::from(number)));
        let traits = Traits {
            id: format!("i-{seed:04x}{number:04x}"),
            service: if is_pool { "pool" } else { "desk" }.into(),
            zone: ["zone-a", "zone-b", "zone-c"][number as usize % 3].into(),
            work: Duration::from_millis(20),
            events: EVENTS,
            gap: Duration::from_millis(25),
            tells_load: is_pool,
        };
        engines.push(Engine::start(traits, address, &store, &record, &runs, 3, move |_| {
            let percent = faulty.load(Ordering::SeqCst);
            let mut dice = dice.lock().unwrap();
            if !dice.chance(percent) {
                return Act::Usual;
            }
            [
                Act::LoseAnswer,
                Act::ResetAnswer,
                Act::Shed,
                Act::Fail,
                Act::BreakOff,
                Act::Extra,
                Act::Unframed,
                Act::Early,
            ][dice.below(8) as usize]
        }));
    }
    let mut daemons: Vec<Daemon> = Vec::new();
    for number in 1..=3u8 {
        let zone = ["zone-a", "zone-b", "zone-c"][number as usize - 1];
        let (_, door) = store.open_door(machine_address(250));
        let place = Place { number, zone, folder, store: door };
        daemons.push(Daemon::start(&place));
    }
    for daemon in &daemons {
        if !daemon.wait_until_ready(Duration::from_secs(10)) {
            record.say("a daemon is not ready");
            return 2;
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let mut threads = Vec::new();
    for number in 0..40u64 {
        let (stop, sent, fronts) = (Arc::clone(&stop), Arc::clone(&sent), fronts.clone());
        threads.push(thread::spawn(move || client(number, seed, &fronts, &stop, &sent)));
    }
    let mut dice = Dice::new(seed);
    let relays = std::env::var("RELAYS").is_ok();
    let began = Instant::now();
    let mut revoked_at = None;
    let mut drained: Vec<(String, Instant)> = Vec::new();
    let mut left: Vec<(String, Instant)> = Vec::new();
    let length = Duration::from_secs(60);
    let mut copy = store.copy();
    let mut copied_at = Instant::now();
    while began.elapsed() < length {
        thread::sleep(Duration::from_millis(100 + dice.below(700)));
        if !trouble {
            continue;
        }
        if copied_at.elapsed() > Duration::from_secs(3) {
            copy = store.copy();
            copied_at = Instant::now();
        }
        faulty.store([0, 3, 8, 25][dice.below(4) as usize], Ordering::SeqCst);
        let daemon = dice.below(3) as usize;
        match dice.below(if relays { 21 } else { 13 }) {
            0 => {
                record.line(&format!("TERM {daemon}"));
                daemons[daemon].signal(SIGTERM);
                daemons[daemon].wait(Duration::from_secs(8));
                daemons[daemon].restart();
                daemons[daemon].wait_until_ready(Duration::from_secs(5));
                thread::sleep(Duration::from_secs(2));
            }
            1 => {
                record.line(&format!("KILL {daemon}"));
                daemons[daemon].kill();
                daemons[daemon].restart();
            }
            2 | 3 => {
                record.line(&format!("STOP {daemon}"));
                daemons[daemon].signal(SIGSTOP);
                thread::sleep(Duration::from_millis(200 + dice.below(3500)));
                daemons[daemon].signal(SIGCONT);
                record.line(&format!("CONT {daemon}"));
            }
            4 | 5 => {
                let engine = &engines[dice.below(8) as usize];
                record.line(&format!("silent {}", engine.traits.id));
                engine.set_silent(true);
                thread::sleep(Duration::from_millis(600 + dice.below(1400)));
                engine.set_silent(false);
            }
            6 => {
                let mode = [Mode::Silent, Mode::Refusing, Mode::Busy][dice.below(3) as usize];
                record.line(&format!("store {mode:?}"));
                store.set_mode(mode);
                thread::sleep(Duration::from_millis(500 + dice.below(4000)));
                store.set_mode(Mode::Up);
                record.line("store up");
            }
            7 => {
                record.line("compact");
                store.compact();
            }
            8 => {
                record.line("restore");
                store.set_mode(Mode::Refusing);
                thread::sleep(Duration::from_millis(300));
                store.restore(&copy);
                store.put("op/config", &config.text());
                for (id, _) in &drained {
                    store.remove(&format!("servers/{id}"));
                }
                store.set_mode(Mode::Up);
                copy = store.copy();
                copied_at = Instant::now();
            }
            9 if drained.len() < 2 => {
                let engine = &engines[[0usize, 4][drained.len()]];
                let at = if dice.chance(50) { engine.drain() } else { engine.unlist() };
                drained.push((engine.traits.id.clone(), at));
            }
            10 if revoked_at.is_none() && began.elapsed() > Duration::from_secs(20) => {
                config.version += 3;
                config.tenants[0].1.retain(|key| key != "key-b");
                revoked_at = Some(store.put("op/config", &config.text()));
                record.line("revoked key-b");
            }
            11 => {
                config.version += 2;
                config.more.push(format!("more{}", config.version));
                store.put("op/config", &config.text());
                record.line("config");
            }
            13..=16 => {
                let hangs = dice.chance(50);
                record.line(&format!("no engines {daemon} hangs={hangs}"));
                for engine in &engines {
                    engine.cut(daemon, hangs);
                }
                thread::sleep(Duration::from_millis(1000 + dice.below(3000)));
                let other = (daemon + 1 + dice.below(2) as usize) % 3;
                match dice.below(4) {
                    0 => {
                        record.line(&format!("TERM helper {other}"));
                        daemons[other].signal(SIGTERM);
                        daemons[other].wait(Duration::from_secs(8));
                        daemons[other].restart();
                    }
                    1 => {
                        record.line(&format!("KILL helper {other}"));
                        daemons[other].kill();
                        daemons[other].restart();
                    }
                    2 => {
                        record.line(&format!("STOP helper {other}"));
                        daemons[other].signal(SIGSTOP);
                        thread::sleep(Duration::from_millis(500 + dice.below(2500)));
                        daemons[other].signal(SIGCONT);
                        record.line("CONT helper");
                    }
                    _ => {}
                }
                thread::sleep(Duration::from_millis(dice.below(6000)));
                for engine in &engines {
                    engine.heal(daemon);
                }
                record.line("engines back");
            }
            17..=19 => {
                let engine = Arc::clone(&engines[dice.below(8) as usize]);
                let down = Duration::from_millis(50 + dice.below(3000));
                thread::spawn(move || engine.crash(down));
            }
            20 => {
                let engine = &engines[dice.below(8) as usize];
                left.push((engine.traits.id.clone(), engine.say_leaving()));
            }
            _ => {
                record.line(&format!("cut off {daemon}"));
                store.cut_off(&[daemon]);
                thread::sleep(Duration::from_millis(1000 + dice.below(5000)));
                store.cut_off(&[]);
                record.line("cut ends");
            }
        }
    }
    faulty.store(0, Ordering::SeqCst);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(Duration::from_millis(500));
    for daemon in &mut daemons {
        if !daemon.is_running() {
            record.say(&format!("BROKEN: {} ended by itself", daemon.name));
        }
        daemon.kill();
    }
    check(&record, &sent.lock().unwrap(), &runs.lock().unwrap(), revoked_at, &drained)
}

fn client(
    number: u64,
    seed: u64,
    fronts: &[SocketAddr],
    stop: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
) {
    let mut dice = Dice::new(seed * 7919 + number + 1);
    let mut client = Client::new(fronts[number as usize % fronts.len()]);
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("{number:04x}{count:06x}{seed:04x}");
        let kind = dice.below(5);
        let (method, path) = match kind {
            0 => ("POST", format!("/once/{id}")),
            1 => ("GET", format!("/safe/{id}")),
            2 => ("POST", format!("/safe/{id}")),
            3 => ("POST", format!("/stream/resumed/{id}")),
            _ => ("POST", format!("/stream/single/{id}")),
        };
        let length = if method == "GET" { 0 } else { [1 + dice.below(20_000), 1 + dice.below(400_000)][usize::from(dice.chance(10))] };
        let body: Vec<u8> = (0..length).map(|at| (at * 31 + number) as u8).collect();
        let request = Request {
            id: id.clone(),
            method,
            path,
            key: if dice.chance(30) { "key-b" } else { "key-a" },
            deadline: Duration::from_millis(if kind < 3 { 1_500 } else { 5_000 }),
            body,
            last_event: None,
            is_chunked: dice.chance(30),
        };
        if dice.chance(15) {
            client.forget_connection();
        }
        let leaves_at = dice.chance(if std::env::var("LEAVE").is_ok() { 40 } else { 5 }).then(|| dice.below(600) as usize);
        let slow = dice.chance(5);
        let mut gave_up = false;
        let kept = client.has_connection();
        let daemon = client.daemon;
        let sent_at = Instant::now();
        let ending = client.send(&request, &mut |body| {
            if slow {
                thread::sleep(Duration::from_millis(150));
            }
            gave_up = leaves_at.is_some_and(|at| body.len() > at);
            !gave_up
        });
        if !ending.is_connected || ending.status() == 503 {
            client.forget_connection();
            client.daemon = fronts[dice.below(fronts.len() as u64) as usize];
            thread::sleep(Duration::from_millis(50));
        }
        sent.lock().unwrap().push(Sent {
            request,
            ending,
            sent_at,
            ended_at: Instant::now(),
            kept,
            daemon,
            gave_up,
        });
        thread::sleep(Duration::from_millis(20 + dice.below(150)));
    }
}

fn check(
    record: &Record,
    sent: &[Sent],
    runs: &[Run],
    revoked_at: Option<Instant>,
    drained: &[(String, Instant)],
) -> i32 {
    let mut broken = 0;
    let mut tell = |rule: &str, text: String| {
        broken += 1;
        record.say(&format!("BROKEN {rule}: {text}"));
    };
    let mut by_id: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_id.entry(&run.request).or_default().push(run);
    }
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for one in sent {
        let request = &one.request;
        let id = request.id.as_str();
        let own: &[&Run] = by_id.get(id).map_or(&[], |runs| runs.as_slice());
        let status = one.ending.status();
        let whole = one.ending.is_whole();
        let kind = request.path.split(&id).next().unwrap_or_default();
        let how = match one.ending.short {
            None => "whole",
            Some(Short::Closed) => "closed",
            Some(Short::Reset) => "reset",
            Some(Short::TimedOut) if one.gave_up => "left",
            Some(Short::TimedOut) => "timed out",
        };
        *counts.entry(format!("{kind} {status} {how} runs={}", own.len())).or_default() += 1;
        if status == 401 && (request.key == "key-a" || revoked_at.is_none_or(|at| one.sent_at < at)) {
            tell("DENIED", format!("{id} 401"));
        }
        if status == 404 || status == 400 { tell("DENIED", format!("{id} {status}")); }
        let is_single = kind == "/once/" || kind == "/stream/single/";
        if is_single && own.len() > 1 {
            tell("TWICE", format!("{id} ran {} times", own.len()));
        }
        if is_single && matches!(status, 429 | 503 | 408 | 421) && !own.is_empty() {
            tell("REFUSED", format!("{id} answered {status} and ran"));
        }
        if whole && status == 200 {
            if kind.starts_with("/stream/") {
                let expected: String = (1..=EVENTS).map(|n| event(&request.path, n)).collect();
                if one.ending.body != expected.as_bytes() {
                    tell("ORDER", format!("{id}: {} bytes of {}", one.ending.body.len(), expected.len()));
                }
            } else {
                let expected = format!("{}|{}|{}", request.path, id, checksum(&request.body));
                if one.ending.body != expected.as_bytes() {
                    tell("MIXED", format!("{id}: another body"));
                }
            }
        } else if status == 200 && kind.starts_with("/stream/") {
            let expected: String = (1..=EVENTS).map(|n| event(&request.path, n)).collect();
            if !expected.as_bytes().starts_with(&one.ending.body) {
                tell("ORDER", format!("{id}: not a beginning"));
            }
        }
        for run in own {
            if run.path != request.path || run.body != request.body || run.tenant != "ten" {
                tell("UNASKED", format!("{id} changed"));
            }
        }
        if let Some(at) = revoked_at
            && request.key == "key-b"
            && one.sent_at > at + Duration::from_millis(5_000)
            && !own.is_empty()
        {
            tell("CONFIG", format!("{id} ran {:?} after the revocation", one.sent_at - at));
        }
        if how == "timed out" {
            record.say(&format!("timed out: {id} {kind} status {status} runs {} took {:?}", own.len(), one.ended_at - one.sent_at));
        }
        if one.ending.is_connected && !whole && !one.gave_up {
            record.line(&format!(
                "no answer: {id} {kind} {} status {status} {how} kept={} runs={} sent at {:.3} after {:.3}",
                one.daemon.ip(),
                one.kept,
                own.len(),
                record.seconds(one.sent_at),
                (one.ended_at - one.sent_at).as_secs_f64()
            ));
        }
    }
    let known: Vec<&str> = sent.iter().map(|one| one.request.id.as_str()).collect();
    let known: std::collections::BTreeSet<&str> = known.into_iter().collect();
    for run in runs {
        if !known.contains(run.request.as_str()) {
            tell("UNASKED", format!("{} was not sent", run.request));
        }
        for (id, at) in drained {
            if run.engine == *id && run.began > *at + Duration::from_millis(2_200) {
                tell("DRAIN", format!("{} reached {id} {:?} after", run.request, run.began - *at));
            }
        }
    }
    let mut late = 0;
    let mut left = 0;
    for one in sent.iter().filter(|one| one.gave_up) {
        let own: &[&Run] = by_id.get(one.request.id.as_str()).map_or(&[], |runs| runs.as_slice());
        for run in own {
            left += 1;
            let is_late = run.ended.is_none_or(|ended| ended > one.ended_at + Duration::from_millis(500));
            let begins_late = run.began > one.ended_at + Duration::from_millis(500);
            if is_late || begins_late {
                late += 1;
                record.line(&format!("gone: {} at {:.3} run {:.3} begins late {begins_late}", run.request, record.seconds(one.ended_at), record.seconds(run.began)));
            }
        }
    }
    record.say(&format!("{late} of {left} runs went on after the client had left"));
    for (what, count) in &counts {
        record.say(&format!("{count:6} {what}"));
    }
    record.say(&format!("{} sent, {} run, {broken} broken", sent.len(), runs.len()));
    i32::from(broken > 0)
}
