//! Stand-in of the platform's store, as PROTOCOL.md describes it. The operator and the engines write to it
//! directly.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Link, Message};
use crate::json::{Json, base64};

const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Items on one page of a list.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    /// Base64.
    value: String,
    /// Text of what an engine wrote, in which each daemon finds the address that it reaches.
    entry: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    revision: u64,
    key: String,
    /// `None` if the key was removed.
    item: Option<Item>,
}

/// How calls are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// No call is answered.
    Silent,
    /// Connections are closed at once.
    Refusing,
    /// All calls get 503.
    Busy,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Events up to this revision are gone.
    forgotten: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    mode: Mode,
    /// Doors whose callers get no answers.
    cut_off: Vec<usize>,
    doors: usize,
    /// Extra time of each answer.
    delay: Duration,
    era: u64,
    calls: u64,
    /// Addresses of engines by door, with the address that they write.
    addresses: Vec<(String, Vec<SocketAddr>)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            events: Vec::new(),
            forgotten: 100,
            leases: BTreeMap::new(),
            last_lease: 1000,
            mode: Mode::Up,
            cut_off: Vec::new(),
            doors: 0,
            delay: Duration::ZERO,
            era: 1,
            calls: 0,
            addresses: Vec::new(),
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    /// A further address of the store, for one daemon, so that it can be cut off. Returns the number of the
    /// door, from 0.
    pub fn open_door(&self, ip: IpAddr) -> (usize, SocketAddr) {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().expect("bound");
        let door = self.with(|state| {
            state.doors += 1;
            state.doors - 1
        });
        let accepting = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream, door));
            }
        });
        (door, address)
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let result = act(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
        result
    }

    pub fn set_mode(&self, mode: Mode) {
        self.with(|state| state.mode = mode);
    }

    pub fn set_delay(&self, delay: Duration) {
        self.with(|state| state.delay = delay);
    }

    /// Cuts off the daemons at these doors, and no others.
    pub fn cut_off(&self, doors: &[usize]) {
        self.with(|state| state.cut_off = doors.to_vec());
    }

    pub fn calls(&self) -> u64 {
        self.with(|state| state.calls)
    }

    /// Writes as the operator or an engine. Returns the moment of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.with(|state| {
            state.revision += 1;
            state.set(key, base64(value.as_bytes()), 0);
            if key.starts_with("servers/") {
                state.set_entry(key, value);
            }
            Instant::now()
        })
    }

    pub fn remove(&self, key: &str) -> Instant {
        self.with(|state| {
            state.revision += 1;
            state.remove(key);
            Instant::now()
        })
    }

    /// Lets the daemon at each door find an engine at an address of its own.
    pub fn set_addresses(&self, written: &str, by_door: &[SocketAddr]) {
        self.with(|state| state.addresses.push((written.to_owned(), by_door.to_vec())));
    }

    /// Forgets the history of changes.
    pub fn compact(&self) {
        self.with(|state| {
            state.forgotten = state.revision;
            state.events.clear();
        });
    }

    /// The state now, for [`Self::restore`].
    pub fn copy(&self) -> Copy {
        self.with(|state| Copy {
            revision: state.revision,
            items: state.items.clone(),
        })
    }

    /// Comes back from a copy: what was written since is gone, leases too.
    pub fn restore(&self, copy: &Copy) {
        self.with(|state| {
            state.revision = copy.revision;
            state.items = copy.items.clone();
            state.events.clear();
            state.forgotten = copy.revision;
            let kept: Vec<u64> = copy.items.values().map(|item| item.lease).collect();
            state.leases.retain(|lease, _| kept.contains(lease));
            state.era += 1;
        });
    }

    fn expire(&self) {
        self.with(|state| {
            if state.mode != Mode::Up {
                // Leases pause while the store is down.
                for (_, ends) in state.leases.values_mut() {
                    *ends += Duration::from_millis(50);
                }
                return;
            }
            let now = Instant::now();
            let ended: Vec<u64> = state
                .leases
                .iter()
                .filter(|(_, (_, ends))| *ends <= now)
                .map(|(lease, _)| *lease)
                .collect();
            for lease in ended {
                state.end_lease(lease);
            }
        });
    }

    fn serve(&self, stream: TcpStream, door: usize) {
        let mut link = Link::new(stream);
        loop {
            let until = Instant::now() + Duration::from_secs(60);
            let Ok(request) = link.read_message(until) else {
                return;
            };
            let (mode, is_cut_off, delay) = self.with(|state| {
                state.calls += 1;
                (state.mode, state.cut_off.contains(&door), state.delay)
            });
            thread::sleep(ANSWER_TIME + delay);
            if is_cut_off || mode == Mode::Silent {
                // No answer; the caller gives up.
                while link.fill(Instant::now() + Duration::from_secs(60)).is_ok() {}
                return;
            }
            let answer = match mode {
                Mode::Refusing => return,
                Mode::Busy => Some((503, String::new())),
                _ => self.answer(&request, door),
            };
            let Some((status, body)) = answer else {
                return;
            };
            let era = self.with(|state| state.era);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if link.send(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Status and body; `None` if the call is not answered.
    fn answer(&self, request: &Message, door: usize) -> Option<(u16, String)> {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let text = |name: &str| query.get(name).copied().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match (request.word(0), path) {
            ("GET", "/v1/kv-range") => {
                Some((200, self.with(|state| state.page(text("prefix"), text("after_rev"), door))))
            }
            ("GET", "/v1/kv-key") => Some(self.with(|state| {
                let found = state.items.get(text("key"));
                match found {
                    Some(item) => (200, state.item_json(text("key"), item, door)),
                    None => (404, "{}".to_owned()),
                }
            })),
            ("GET", "/v1/kv-watch") => {
                let after = text("after_rev").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                self.watch(text("prefix"), after, wait, door)
            }
            ("POST", "/v1/kv-txn") => Some(self.with(|state| state.transact(&body, door))),
            ("POST", "/v1/kv-lease") => Some(self.with(|state| {
                let asked = body.get("ttl_ms").map_or(0, Json::number);
                let ttl = Duration::from_millis(asked.clamp(1_000, 600_000));
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                let ttl_ms = ttl.as_millis();
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            })),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let lease = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                Some(self.with(|state| match state.leases.get_mut(&lease) {
                    Some((ttl, ends)) => {
                        *ends = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        door: usize,
    ) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        let era = state.era;
        loop {
            if state.cut_off.contains(&door) || state.mode == Mode::Silent {
                // The caller hears nothing more.
                drop(state);
                thread::sleep(Duration::from_secs(30));
                return None;
            }
            if state.era != era || state.mode != Mode::Up {
                return None;
            }
            if after < state.forgotten || after > state.revision {
                return Some((410, "{}".to_owned()));
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| match &event.item {
                    Some(item) => state.item_json(&event.key, item, door),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
                        event.key, event.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision;
                let events = events.join(",");
                return Some((200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}")));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// The contents of the store at some time.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

impl State {
    fn set_entry(&mut self, key: &str, entry: &str) {
        if let Some(item) = self.items.get_mut(key) {
            item.entry = Some(entry.to_owned());
            let item = item.clone();
            if let Some(event) = self.events.last_mut() {
                event.item = Some(item);
            }
        }
    }

    fn item_json(&self, key: &str, item: &Item, door: usize) -> String {
        let mut value = item.value.clone();
        if let Some(entry) = &item.entry {
            let mut entry = entry.clone();
            for (written, by_door) in &self.addresses {
                let written = format!("\"{written}\"");
                if let Some(address) = by_door.get(door) {
                    entry = entry.replace(&written, &format!("\"{address}\""));
                }
            }
            value = base64(entry.as_bytes());
        }
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{},\"created_rev\":{},\"lease\":{}}}",
            item.revision, item.created, item.lease
        )
    }

    fn set(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            entry: None,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            revision: self.revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event {
                revision: self.revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn page(&self, prefix: &str, after: &str, door: usize) -> String {
        let matching = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && (after.is_empty() || key.as_str() > after));
        let items: Vec<String> = matching
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| self.item_json(key, item, door))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        let items = items[..items.len().min(PAGE_ITEMS)].join(",");
        let as_of = self.revision;
        format!("{{\"items\":[{items}],\"more_pages\":{more},\"as_of\":{as_of}}}")
    }

    fn transact(&mut self, body: &Json, door: usize) -> (u16, String) {
        let list = |name: &str| body.get(name).map(Json::list).unwrap_or_default();
        let text = |entry: &Json, name: &str| {
            entry.get(name).map(Json::text).unwrap_or_default().to_owned()
        };
        let expected = list("expected_rev");
        let holds = expected.iter().all(|row| {
            let revision = self.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            revision == row.get("revision").map_or(0, Json::number)
        });
        if !holds {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = text(row, "key");
                    self.items.get(&key).map(|item| self.item_json(&key, item, door))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        for entry in list("set_keys") {
            let lease = entry.get("lease").map_or(0, Json::number);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        self.revision += 1;
        for entry in list("set_keys") {
            let lease = entry.get("lease").map_or(0, Json::number);
            self.set(&text(entry, "key"), text(entry, "value"), lease);
        }
        for key in list("remove") {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}
