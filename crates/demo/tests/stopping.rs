//! Daemons that are asked to stop while callers wait for answers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use actix_http::Method;
use demo::fleet::Fleet;
use demo::fleet_client::{set_faults, status};
use demo::fleet_size::FleetSize;
use demo::process::{Process, free_addresses};
use demo::role::Role;
use demo::sent_once::{RequestEnd, call_with};
use lapismoor_adapter_standin::{
    Action, ConfigSpec, Faults, RouteSpec, Store, Target, event_chunk, plain_answer, read_answer,
    stream_head, target_entry,
};
use lapismoor_core::config::Config;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// Duration of a call: longer than a stopping daemon accepts requests, shorter than its grace period.
const WORK: Duration = Duration::from_secs(5);
/// Delay of each answer of the store, within the daemons' timeout. A key is bound in two calls.
const STORE_DELAY: Duration = Duration::from_millis(600);
/// Time after which a request has reached the point at which it waits.
const UNTIL_WAITING: Duration = Duration::from_millis(300);
/// Time after the stop signal at which a request is still accepted, but a key not bound before a
/// daemon without requests exits.
const LATE: Duration = Duration::from_millis(1_600);

/// Time in which a daemon has written as much of an answer as the socket takes.
const UNTIL_WRITTEN: Duration = Duration::from_millis(150);
/// Number of events that no socket takes unread.
const MAX_EVENTS: u64 = 400_000;
/// Difference between the lengths of two streams.
const EVENTS_STEP: u64 = 200;
/// Number of lengths that are tried below the longest stream that was taken.
const STEPS: u64 = 8;

/// Number of daemons that stop at once.
const DAEMONS: usize = 16;

/// Requests that no target answers; a third one would wait for admission and be refused.
const CUT_OFF_IDS: [&str; 2] = ["r-1", "r-2"];

/// What a request waits for while no target has it from this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    TicketOwner,
    KeyBinding,
}

async fn start_fleet(name: &str) -> Fleet {
    let name = format!("lapismoor-test-{}-stopping-{name}", std::process::id());
    let directory: PathBuf = std::env::temp_dir().join(name);
    let config = Config::parse(include_bytes!("../../../examples/midshire.json"));
    let config = config.expect("the example configuration is valid");
    let size = FleetSize {
        daemons: 2,
        engines: 1,
        services: 1,
        work_ms: u64::try_from(WORK.as_millis()).expect("short"),
        ..FleetSize::midshire()
    };
    let program = PathBuf::from(env!("CARGO_BIN_EXE_demo"));
    let fleet = Fleet::start(&program, &directory, &size, &config).await;
    fleet.expect("the fleet starts")
}

/// A ticket of the daemon at `index`.
async fn ticket(fleet: &Fleet, index: usize) -> String {
    let address = fleet.daemons[index].caller_address;
    let request = awc::Client::default().post(format!("http://{address}/v1/tickets"));
    let request = request.insert_header(("authorization", "Bearer north-mobile-key"));
    let mut response = request.send().await.expect("an answer");
    let body: Value = response.json().await.expect("JSON");
    body["ticket"].as_str().expect("a ticket").to_owned()
}

async fn set_store_delay(fleet: &Fleet, delay: Duration) {
    let faults = Faults {
        slow_ms: u64::try_from(delay.as_millis()).expect("short"),
        ..Faults::default()
    };
    let set = set_faults(fleet.key_value_address, &faults).await;
    set.expect("the store accepts the faults");
}

/// Guards against a stopping daemon that exits, with most of its grace period left, under a request
/// that no target has from it: it waits for the owner of its ticket, or for the store to bind its key.
/// Its caller gets an answer, or a refusal if it was bound after the time for new requests.
#[test_case(Wait::TicketOwner, &[RequestEnd::Whole])]
#[test_case(Wait::KeyBinding, &[RequestEnd::Whole, RequestEnd::Refused { status: 503, is_not_run: true }])]
fn stopping_daemon_answers_requests_without_target(wait: Wait, expected: &[RequestEnd]) {
    let actual = actix::System::new().block_on(async {
        let fleet = start_fleet(&format!("{wait:?}")).await;
        let (header, call_after, stop_after) = match wait {
            Wait::TicketOwner => {
                let ticket = ticket(&fleet, 1).await;
                (("x-ticket", ticket), Duration::ZERO, UNTIL_WAITING)
            }
            Wait::KeyBinding => {
                set_store_delay(&fleet, STORE_DELAY).await;
                let key = "key-1".to_owned();
                (("idempotency-key", key), LATE, Duration::ZERO)
            }
        };
        let headers = [header];
        let calling = async {
            tokio::time::sleep(call_after).await;
            let path = "map-lookup/billed/postcode";
            let address = fleet.daemons[0].caller_address;
            call_with(address, Method::POST, path, "waiting", &headers).await
        };
        let stopping = async {
            tokio::time::sleep(stop_after).await;
            fleet.daemons[0].process.signal(Signal::SIGTERM);
        };
        futures::join!(calling, stopping).0
    });
    assert!(expected.contains(&actual.end), "{actual:?}");
}

/// A daemon as a process, with a store and a target in the test.
struct Site {
    daemon: Process,
    log: PathBuf,
    address: SocketAddr,
    operator_address: SocketAddr,
    _store: Store,
}

async fn start_site(name: &str, target: &Target, stop_grace: Duration) -> Site {
    let directory = format!("lapismoor-test-{}-stopping-{name}", std::process::id());
    let directory = std::env::temp_dir().join(directory);
    std::fs::create_dir_all(&directory).expect("a directory");
    let store = Store::start();
    let spec = ConfigSpec {
        version: 1,
        routes: [("/once/", "non_idempotent"), ("/stream/", "streaming")]
            .map(|(prefix, kind)| RouteSpec {
                prefix,
                kind,
                is_resumable: false,
                timeout_ms: 20_000,
                target_latency_ms: 5_000,
                max_attempts: 1,
            })
            .into(),
        keys: vec!["k-good"],
    };
    store.put("op/config", &spec.to_json());
    store.put("servers/i-0", &target_entry(target.address(), "ready", 1));
    let addresses = free_addresses(3).expect("free ports");
    let settings = json!({
        "core": {
            "daemon": "edge-1",
            "failure_domain": "east",
            "peer_address": addresses[0],
            "operator_address": addresses[1],
        },
        "caller_address": addresses[2],
        "platform": {"key_value_address": store.address()},
        "limits": {"stop_grace_ms": u64::try_from(stop_grace.as_millis()).expect("short")},
    });
    let path = directory.join("edge-1.json");
    std::fs::write(&path, settings.to_string()).expect("written");
    let log = directory.join("edge-1.log");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_demo"));
    let role = Role::Daemon { settings: path };
    let daemon = Process::start(&program, &role, &log).expect("the daemon starts");
    while status(addresses[1])
        .await
        .is_none_or(|status| status.config_version.is_none() || status.targets.is_empty())
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Site {
        daemon,
        log,
        address: addresses[2],
        operator_address: addresses[1],
        _store: store,
    }
}

/// Sends a request on a connection with a small receive buffer.
async fn send_slow_reader(address: SocketAddr, path: &str, id: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("set");
    let mut connection = socket.connect(address).await.expect("listening");
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: site.example\r\nLapismoor-Request-Id: {id}\r\n\
         Lapismoor-Request-Deadline: 20000\r\nLapismoor-Credential: k-good\r\n\r\n"
    );
    let sent = connection.write_all(request.as_bytes()).await;
    sent.expect("sent");
    connection
}

/// Guards against a stopping daemon that exits, with most of its grace period left, before the bytes of an
/// answer are handed to the socket: the answer is complete, but its caller reads slowly.
#[test]
fn stopping_daemon_delivers_answers_to_slow_readers() {
    let (actual, expected) = actix::System::new().block_on(async {
        // More than the socket takes from the daemon, less than the longest answer that is buffered.
        let body = "x".repeat(7_900_000);
        let expected = body.len();
        let target =
            Target::start(move |request| vec![Action::Send(plain_answer(request, 200, &body))])
                .await;
        let site = start_site("slow", &target, Duration::from_secs(30)).await;
        let connection = send_slow_reader(site.address, "/once/a", "r-slow").await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        site.daemon.signal(Signal::SIGTERM);
        tokio::time::sleep(Duration::from_secs(4)).await;
        let answer = read_answer(connection).await;
        (answer.body().len(), expected)
    });
    assert_eq!(actual, expected);
}

/// Opens a connection that does not read its stream of `events`; `None`, with the connection closed, if the
/// request stays in flight because the daemon cannot write the stream.
async fn unread_stream(site: &Site, events: u64) -> Option<TcpStream> {
    let connection = send_slow_reader(site.address, "/stream/a", &events.to_string()).await;
    tokio::time::sleep(UNTIL_WRITTEN).await;
    if in_flight(site).await == 0 {
        return Some(connection);
    }
    drop(connection);
    while in_flight(site).await > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    None
}

async fn in_flight(site: &Site) -> usize {
    let status = status(site.operator_address).await;
    status.expect("a status").in_flight
}

/// Guards against a daemon that counts a request as ended, and exits, while the last bytes of its answer
/// wait in the server's buffer because the socket takes no more. Searches for the longest streams whose
/// requests the daemon counts as ended although nobody reads them.
#[test]
fn requests_are_in_flight_until_the_last_bytes_are_written() {
    let cut_off = actix::System::new().block_on(async {
        let target = Target::start(|request| {
            let events = request.header("lapismoor-request-id");
            let events = events.and_then(|id| id.split('-').next()?.parse().ok());
            let stream = stream_head(request, "s1") + &event_chunk(1, events.unwrap_or(1));
            vec![Action::Send(stream + "0\r\n\r\n")]
        })
        .await;
        let mut site = start_site("last-bytes", &target, Duration::from_secs(30)).await;
        let (mut taken, mut stuck) = (1, MAX_EVENTS);
        while stuck - taken > EVENTS_STEP {
            let middle = taken.midpoint(stuck);
            match unread_stream(&site, middle).await {
                Some(_) => taken = middle,
                None => stuck = middle,
            }
        }
        let mut unread = Vec::new();
        for step in 0..STEPS {
            let events = taken.saturating_sub(step * EVENTS_STEP).max(1);
            let connection = unread_stream(&site, events).await;
            unread.extend(connection.map(|connection| (connection, events)));
        }
        assert!(!unread.is_empty(), "no stream was taken");
        site.daemon.signal(Signal::SIGTERM);
        wait_for_exit(&mut site).await;
        let mut cut_off = Vec::new();
        for (connection, events) in unread {
            let answer = read_answer(connection).await;
            if !answer.has_last_chunk() {
                cut_off.push((answer.event_ids().len(), events));
            }
        }
        cut_off
    });
    assert_eq!(cut_off, Vec::new());
}

async fn wait_for_exit(site: &mut Site) {
    while !site.daemon.has_ended() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn log_lines(site: &Site) -> Vec<Value> {
    let text = std::fs::read_to_string(&site.log).expect("a log");
    let lines = text.lines().map(serde_json::from_str);
    lines.collect::<Result<_, _>>().expect("each line is JSON")
}

/// Guards against a process that exits before its last log lines are written. Several daemons stop at
/// once, because the writer of one is seldom late.
#[test]
fn last_log_line_of_a_stopped_daemon_is_its_end() {
    let actual = actix::System::new().block_on(async {
        let target = Target::start(|_| Vec::new()).await;
        let names = (0..DAEMONS).map(|number| format!("end-{number}"));
        let names: Vec<String> = names.collect();
        let grace = Duration::from_secs(30);
        let starting = names.iter().map(|name| start_site(name, &target, grace));
        let mut sites = futures::future::join_all(starting).await;
        for site in &sites {
            site.daemon.signal(Signal::SIGTERM);
        }
        let mut ends = Vec::new();
        for site in &mut sites {
            wait_for_exit(site).await;
            let last = log_lines(site).pop();
            ends.push(last.expect("a line")["event"].clone());
        }
        ends
    });
    assert_eq!(actual, vec![Value::from("stopped"); DAEMONS]);
}

/// Guards against requests that end without a trace, or with a false one, when the process exits at the end
/// of its grace period while their callers don't read the answers.
#[test]
fn requests_that_the_exit_cuts_off_are_logged() {
    let lines = actix::System::new().block_on(async {
        // More than the socket takes from the daemon.
        let body = "x".repeat(7_900_000);
        let target =
            Target::start(move |request| vec![Action::Send(plain_answer(request, 200, &body))])
                .await;
        let (mut site, _connections) = start_with_requests("cut-off", &target).await;
        site.daemon.signal(Signal::SIGTERM);
        wait_for_exit(&mut site).await;
        log_lines(&site)
    });
    let with_event = |event: &str| lines_with(&lines, event);
    let actual = requests_with(&lines, "cut_off_by_exit");
    assert_eq!(actual, CUT_OFF_IDS);
    assert_eq!(with_event("caller_left"), Vec::<&Value>::new());
    let stopped = with_event("stopped");
    assert_eq!(stopped.len(), 1);
    assert_eq!(stopped[0]["in_flight"], CUT_OFF_IDS.len());
}

/// Guards against requests that end without a trace, or with a false one, when the daemon gives them up at
/// the end of its grace period.
#[test]
fn requests_that_are_given_up_at_the_exit_are_logged() {
    let lines = actix::System::new().block_on(async {
        let target = Target::start(|_| vec![Action::Wait(Duration::from_secs(30))]).await;
        let (mut site, connections) = start_with_requests("given-up", &target).await;
        site.daemon.signal(Signal::SIGTERM);
        for connection in connections {
            assert_eq!(read_answer(connection).await.status(), 504);
        }
        wait_for_exit(&mut site).await;
        log_lines(&site)
    });
    assert_eq!(requests_with(&lines, "failed"), CUT_OFF_IDS);
    for line in lines_with(&lines, "failed") {
        assert_eq!(line["cause"], "given_up_at_exit");
    }
    assert_eq!(requests_with(&lines, "caller_left"), Vec::<&str>::new());
    assert_eq!(requests_with(&lines, "cut_off_by_exit"), Vec::<&str>::new());
    let stopped = lines_with(&lines, "stopped");
    assert_eq!(stopped.len(), 1);
    assert_eq!(stopped[0]["in_flight"], 0);
}

/// Starts a site with the shortest grace period that leaves time for requests in flight after the last new
/// one, and sends it requests whose answers are not read.
async fn start_with_requests(name: &str, target: &Target) -> (Site, Vec<TcpStream>) {
    let site = start_site(name, target, Duration::from_secs(4)).await;
    let mut connections = Vec::new();
    for id in CUT_OFF_IDS {
        connections.push(send_slow_reader(site.address, "/once/a", id).await);
    }
    while in_flight(&site).await < CUT_OFF_IDS.len() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    (site, connections)
}

fn lines_with<'a>(lines: &'a [Value], event: &str) -> Vec<&'a Value> {
    let lines = lines.iter().filter(|line| line["event"] == event);
    lines.collect()
}

/// Sorted ids of the requests that lines with an event name.
fn requests_with<'a>(lines: &'a [Value], event: &str) -> Vec<&'a str> {
    let lines = lines_with(lines, event).into_iter();
    let mut ids: Vec<&str> = lines.filter_map(|line| line["request"].as_str()).collect();
    ids.sort_unstable();
    ids
}
