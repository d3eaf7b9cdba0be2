//! Stand-in of an engine: plain answers and streams of events, as PROTOCOL.md describes them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Link, Message};
use crate::record::Record;
use crate::store::Store;

/// A request that an engine began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub engine: String,
    pub path: String,
    pub tenant: String,
    pub body: Vec<u8>,
    pub last_event: Option<u64>,
    /// The daemon that sent it.
    pub door: usize,
    pub began: Instant,
    /// When the engine stopped to work on it.
    pub ended: Option<Instant>,
    /// Whether it was answered to its end.
    pub is_whole: bool,
}

/// What an engine does with a request beside the usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    Usual,
    /// Runs it, then closes the connection without an answer.
    LoseAnswer,
    /// Runs it, then resets the connection without an answer.
    ResetAnswer,
    /// Turns it away without running it.
    Shed,
    /// Fails it after it ran.
    Fail,
    /// Breaks off in the middle of the answer.
    BreakOff,
    /// Sends a second answer after the first one.
    Extra,
    /// Answers without a length, and closes the connection at the end.
    Unframed,
    /// Answers before the body is read, and reads on.
    Early,
}

pub struct Traits {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub work: Duration,
    pub events: u64,
    pub gap: Duration,
    pub tells_load: bool,
}

pub struct Engine {
    pub traits: Traits,
    pub address: SocketAddr,
    store: Store,
    record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    choose: Box<dyn Fn(&Message) -> Act + Send + Sync>,
    is_leaving: AtomicBool,
    /// Whether its heartbeat runs.
    is_listed: AtomicBool,
    is_gone: AtomicBool,
    /// Whether nothing is sent for now.
    is_silent: AtomicBool,
    sequence: AtomicU64,
    running: AtomicU64,
    born: AtomicU64,
    /// Open connections, to be ended by a crash.
    open: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    says_leaving: AtomicBool,
    /// Doors that are cut: new connections are refused.
    cut: Mutex<Vec<usize>>,
    /// Doors whose connections hang.
    hanging: Mutex<Vec<usize>>,
}

impl Engine {
    pub fn start(
        traits: Traits,
        address: SocketAddr,
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
        doors: usize,
        choose: impl Fn(&Message) -> Act + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free port for an engine");
        let engine = Arc::new(Self {
            traits,
            address: listener.local_addr().expect("bound"),
            store: store.clone(),
            record: record.clone(),
            runs: Arc::clone(runs),
            choose: Box::new(choose),
            is_leaving: AtomicBool::new(false),
            is_listed: AtomicBool::new(true),
            is_gone: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            born: AtomicU64::new(crate::record::unix_ms()),
            open: Mutex::default(),
            is_down: AtomicBool::new(false),
            says_leaving: AtomicBool::new(false),
            cut: Mutex::default(),
            hanging: Mutex::default(),
        });
        let mut by_door = vec![engine.address];
        let mut listeners = vec![listener];
        for _ in 1..doors.max(1) {
            let listener = TcpListener::bind((engine.address.ip(), 0)).expect("a free port");
            by_door.push(listener.local_addr().expect("bound"));
            listeners.push(listener);
        }
        store.set_addresses(&engine.address.to_string(), &by_door);
        engine.beat();
        for (door, listener) in listeners.into_iter().enumerate() {
            let engine = Arc::clone(&engine);
            thread::spawn(move || engine.accept(listener, door));
        }
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            while !beating.is_gone.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1_200));
                if beating.is_listed.load(Ordering::SeqCst) {
                    beating.beat();
                }
            }
        });
        engine
    }

    fn key(&self) -> String {
        format!("servers/{}", self.traits.id)
    }

    /// Writes its entry.
    fn beat(&self) {
        let state = if self.is_leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let Traits { service, zone, .. } = &self.traits;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{},\"born\":{}}}",
            self.address,
            self.sequence.load(Ordering::SeqCst),
            self.born.load(Ordering::SeqCst)
        );
        self.store.put(&self.key(), &entry);
    }

    /// Reports that it drains. Returns the moment of the acknowledgement.
    pub fn drain(&self) -> Instant {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.beat();
        self.record.line(&format!("engine {} drains", self.traits.id));
        Instant::now()
    }

    /// Takes its entry away; it serves on.
    pub fn unlist(&self) -> Instant {
        self.is_listed.store(false, Ordering::SeqCst);
        self.record.line(&format!("engine {} is unlisted", self.traits.id));
        self.store.remove(&self.key())
    }

    /// Ends all connections, refuses new ones, and starts again under the same id after `down`.
    pub fn crash(&self, down: Duration) {
        self.record.line(&format!("engine {} crashes", self.traits.id));
        self.is_listed.store(false, Ordering::SeqCst);
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            crate::process::set_linger_zero(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        thread::sleep(down);
        self.born.store(crate::record::unix_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
        self.is_listed.store(true, Ordering::SeqCst);
        self.beat();
        self.record.line(&format!("engine {} is back", self.traits.id));
    }

    pub fn say_leaving(&self) -> Instant {
        self.says_leaving.store(true, Ordering::SeqCst);
        self.record.line(&format!("engine {} says that it leaves", self.traits.id));
        Instant::now()
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Cuts the path of the daemon at a door: new connections are refused, and those that are open live on, or
    /// hang.
    pub fn cut(&self, door: usize, hangs: bool) {
        self.cut.lock().unwrap().push(door);
        if hangs {
            self.hanging.lock().unwrap().push(door);
        }
    }

    pub fn heal(&self, door: usize) {
        self.cut.lock().unwrap().retain(|other| *other != door);
        self.hanging.lock().unwrap().retain(|other| *other != door);
    }

    fn is_cut(&self, door: usize) -> bool {
        self.cut.lock().unwrap().contains(&door)
    }

    fn accept(self: Arc<Self>, listener: TcpListener, door: usize) {
        let address = listener.local_addr().expect("bound");
        let mut listener = Some(listener);
        while !self.is_gone.load(Ordering::SeqCst) {
            if self.is_cut(door) || self.is_down.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(open) = &listener else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(stream) = stream.try_clone() {
                        self.open.lock().unwrap().push(stream);
                    }
                    let engine = Arc::clone(&self);
                    thread::spawn(move || engine.serve(stream, door));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn wait_while_silent(&self, door: usize) {
        while self.is_silent.load(Ordering::SeqCst) || self.hanging.lock().unwrap().contains(&door) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, stream: TcpStream, door: usize) {
        let mut link = Link::new(stream);
        link.door = door;
        loop {
            let until = Instant::now() + Duration::from_secs(5);
            let Ok(mut request) = link.read_head(until) else {
                return;
            };
            self.wait_while_silent(door);
            let act = (self.choose)(&request);
            let body_until = Instant::now() + Duration::from_secs(20);
            if act != Act::Early && link.read_body(&mut request, body_until).is_err() {
                return;
            }
            if !self.answer(&mut link, &mut request, act) {
                return;
            }
            if act == Act::Early && link.read_body(&mut request, body_until).is_err() {
                return;
            }
        }
    }

    /// Whether the connection can be used again.
    fn answer(&self, link: &mut Link, request: &mut Message, act: Act) -> bool {
        let id = request.header("lapismoor-request-id").unwrap_or_default().to_owned();
        let wanted = request.header("lapismoor-target-instance").unwrap_or_default();
        if !wanted.is_empty() && wanted != self.traits.id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nLapismoor-Request-Id: {id}\r\n\
                 Lapismoor-Instance-Id: {}\r\nLapismoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                self.traits.id
            );
            return link.send(head.as_bytes()).is_ok();
        }
        if matches!(act, Act::Shed | Act::Early) {
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nLapismoor-Request-Id: {id}\r\n\
                 Lapismoor-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
            );
            return link.send(head.as_bytes()).is_ok();
        }
        self.sequence.fetch_add(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let position = self.begin(&id, request, link.door);
        let is_stream = request.word(1).contains("/stream/");
        let (is_whole, is_open) = if request.word(1) == "/v1/chat/completions" {
            self.chat(link, &id)
        } else if is_stream {
            self.stream(link, request, &id, act, running)
        } else {
            self.plain(link, request, &id, act, running)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        let mut runs = self.runs.lock().unwrap();
        runs[position].ended = Some(Instant::now());
        runs[position].is_whole = is_whole;
        drop(runs);
        let how = if is_whole { "whole" } else { "not whole" };
        self.record.line(&format!("run ends request={id} engine={} {how}", self.traits.id));
        is_open
    }

    fn begin(&self, id: &str, request: &Message, door: usize) -> usize {
        let text = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let run = Run {
            request: id.to_owned(),
            engine: self.traits.id.clone(),
            path: request.word(1).to_owned(),
            tenant: text("lapismoor-tenant"),
            body: request.body.clone(),
            last_event: request.header("last-event-id").and_then(|text| text.parse().ok()),
            door,
            began: Instant::now(),
            ended: None,
            is_whole: false,
        };
        self.record.line(&format!(
            "run begins request={id} engine={} door={} {} {} deadline={} last_event={:?}",
            self.traits.id,
            door,
            request.word(0),
            run.path,
            text("lapismoor-request-deadline"),
            run.last_event
        ));
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn extra_headers(&self, running: u64) -> String {
        let mut headers = String::new();
        if self.traits.tells_load {
            headers += &format!("Lapismoor-Server-Load: {running},0,64\r\n");
        }
        if self.says_leaving.load(Ordering::SeqCst) {
            headers += "Server-Leaving: 1\r\n";
        }
        headers
    }

    /// Waits for the time of the work; false if the caller left meanwhile.
    fn work(&self, link: &mut Link, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(5).min(until - Instant::now().min(until)));
            if link.is_ended() {
                return false;
            }
        }
        self.wait_while_silent(link.door);
        true
    }

    /// Answers a chat with a short stream of events.
    fn chat(&self, link: &mut Link, id: &str) -> (bool, bool) {
        if !self.work(link, self.traits.work) {
            return (false, false);
        }
        let choice = |delta: &str, end: &str| {
            format!(
                "data: {{\"id\":\"c\",\"choices\":[{{\"index\":0,\"delta\":{{{delta}}},\"finish_reason\":{end}}}]}}\n\n"
            )
        };
        let text = choice("\"content\":\"dim the hall\"", "null");
        let end = choice("", "\"stop\"");
        let events = format!("id: 1\n{text}id: 2\n{end}id: 3\ndata: [DONE]\n\n");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nLapismoor-Request-Id: {id}\r\nLapismoor-Response-Seal: {}\r\n\
             Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{events}",
            checksum(events.as_bytes()),
            events.len()
        );
        let is_sent = link.send(answer.as_bytes()).is_ok();
        (is_sent, is_sent)
    }

    fn plain(
        &self,
        link: &mut Link,
        request: &Message,
        id: &str,
        act: Act,
        running: u64,
    ) -> (bool, bool) {
        if !self.work(link, self.traits.work) {
            return (false, false);
        }
        match act {
            Act::LoseAnswer => return (false, false),
            Act::ResetAnswer => {
                reset(link);
                return (false, false);
            }
            _ => {}
        }
        let body = format!("{}|{}|{}", request.word(1), id, checksum(&request.body));
        let status = if act == Act::Fail { "500 Error" } else { "200 OK" };
        let length = match act {
            Act::Unframed => "Connection: close\r\n".to_owned(),
            _ => format!("Content-Length: {}\r\nKeep-Alive: timeout=5\r\n", body.len()),
        };
        let seal = checksum(body.as_bytes());
        let load = self.extra_headers(running);
        let answer = format!(
            "HTTP/1.1 {status}\r\nLapismoor-Request-Id: {id}\r\nLapismoor-Response-Seal: {seal}\r\n\
             {load}{length}\r\n{body}"
        );
        let bytes = answer.as_bytes();
        if act == Act::BreakOff {
            let _ = link.send(&bytes[..bytes.len() - 3]);
            return (false, false);
        }
        let is_sent = link.send(bytes).is_ok();
        if act == Act::Extra {
            let _ = link.send(bytes);
        }
        (is_sent, is_sent && act != Act::Unframed)
    }

    fn stream(
        &self,
        link: &mut Link,
        request: &Message,
        id: &str,
        act: Act,
        running: u64,
    ) -> (bool, bool) {
        let path = request.word(1);
        let first = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
        let first = first.map_or(1, |last| last + 1);
        let deadline = request.header("lapismoor-request-deadline");
        let deadline = deadline.and_then(|text| text.parse().ok()).unwrap_or(60_000);
        let until = Instant::now() + Duration::from_millis(deadline);
        if !self.work(link, self.traits.work) {
            return (false, false);
        }
        let seal = checksum(path.as_bytes());
        let load = self.extra_headers(running);
        let head = format!(
            "HTTP/1.1 200 OK\r\nLapismoor-Request-Id: {id}\r\nLapismoor-Response-Seal: {seal}\r\n\
             Content-Type: text/event-stream\r\n{load}Transfer-Encoding: chunked\r\n\r\n"
        );
        if link.send(head.as_bytes()).is_err() {
            return (false, false);
        }
        for number in first..=self.traits.events {
            if Instant::now() >= until || !self.work(link, self.traits.gap) {
                return (false, false);
            }
            let event = event(path, number);
            // An event may arrive in two pieces, or with the beginning of the next one.
            let cut = (number as usize * 7) % event.len();
            let pieces = [&event.as_bytes()[..cut], &event.as_bytes()[cut..]];
            for piece in pieces.into_iter().filter(|piece| !piece.is_empty()) {
                let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
                chunk.extend_from_slice(piece);
                chunk.extend_from_slice(b"\r\n");
                if link.send(&chunk).is_err() {
                    return (false, false);
                }
            }
            let is_middle = number == self.traits.events / 2;
            match act {
                Act::BreakOff | Act::LoseAnswer if is_middle => return (false, false),
                Act::ResetAnswer if is_middle => {
                    reset(link);
                    return (false, false);
                }
                _ => {}
            }
        }
        let is_sent = link.send(b"0\r\n\r\n").is_ok();
        (is_sent, is_sent)
    }
}

/// The event of a stream with this number, the same at each engine.
pub fn event(path: &str, number: u64) -> String {
    format!("id: {number}\ndata: {path} piece {number}\n\n")
}

pub fn checksum(bytes: &[u8]) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    }
    format!("{hash:016x}")
}

/// Closes a connection so that the other end sees a reset.
fn reset(link: &Link) {
    crate::process::set_linger_zero(&link.stream);
}
