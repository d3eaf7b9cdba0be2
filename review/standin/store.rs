//! Stand-in of the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{serve, Request, Response};
use crate::json::{base64, quote, Json};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Contents of the store at one moment.
#[derive(Debug, Clone)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

struct State {
    /// Whether each call gets 503.
    is_down: bool,
    era: u64,
    revision: u64,
    history_from: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision and the event as JSON, with its key.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created_rev\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.events
            .push((self.revision, key.into(), item_json(key, &item)));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                "{{\"key\":{},\"revision\":{},\"removed\":true}}",
                quote(key),
                self.revision
            );
            self.events.push((self.revision, key.into(), event));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Answers to a watch: none while there is nothing to tell.
    fn changes(&self, prefix: &str, after: u64, is_last: bool) -> Option<Response> {
        if after < self.history_from || after > self.revision {
            return Some(Response::new(410, "{}"));
        }
        let events = self
            .events
            .iter()
            .filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
        let text = format!(
            "{{\"events\":[{}],\"as_of\":{}}}",
            events.join(","),
            self.revision
        );
        (is_last || !events.is_empty()).then(|| Response::new(200, text))
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = State {
            is_down: false,
            era: 1,
            revision: 1,
            history_from: 0,
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let for_calls = store.clone();
        serve(
            listener,
            Arc::new(move |request| Some(for_calls.answer(&request))),
        );
        let for_leases = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(100));
            for_leases.change(|state| {
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, (_, until))| *until <= now);
                let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                ended.into_iter().for_each(|id| state.end_lease(id));
            });
        });
        store
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.state.0.lock().expect("not poisoned"));
        self.state.1.notify_all();
        result
    }

    /// Writes a key as the operator or an engine does, also while the daemons get no answers.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, base64(value.as_bytes()), 0));
    }

    /// Puts the store out of service for all calls, or back.
    pub fn set_down(&self, is_down: bool) {
        self.change(|state| state.is_down = is_down);
    }

    pub fn copy(&self) -> Copy {
        self.change(|state| Copy {
            revision: state.revision,
            items: state.items.clone(),
            leases: state.leases.clone(),
        })
    }

    /// Comes back from a copy: what was written since is gone, leases too, and revisions are given out
    /// again.
    pub fn restore(&self, copy: &Copy) {
        self.change(|state| {
            state.era += 1;
            state.revision = copy.revision;
            state.history_from = copy.revision;
            state.items = copy.items.clone();
            state.events.clear();
            state.leases.retain(|id, _| copy.leases.contains_key(id));
        });
    }

    fn answer(&self, request: &Request) -> Response {
        std::thread::sleep(ANSWER_TIME);
        let is_down = self.change(|state| state.is_down);
        let response = if is_down {
            Response::new(503, "{}")
        } else {
            self.call(request)
        };
        let era = self.change(|state| state.era);
        let response = response.with("Store-Era", &era.to_string());
        response.with("Content-Type", "application/json")
    }

    fn call(&self, request: &Request) -> Response {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let field = |name: &str| -> String {
            let found = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = found
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned());
            found.last().unwrap_or_default()
        };
        let body = std::str::from_utf8(&request.body)
            .ok()
            .and_then(Json::parse);
        let body = body.unwrap_or(Json::Null);
        match (request.method.as_str(), path) {
            ("GET", "/v1/kv-key") => self.change(|state| match state.items.get(&field("key")) {
                Some(item) => Response::new(200, item_json(&field("key"), item)),
                None => Response::new(404, "{}"),
            }),
            ("GET", "/v1/kv-range") => self.change(|state| {
                let prefix = field("prefix");
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix));
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                let (items, as_of) = (items.join(","), state.revision);
                Response::new(
                    200,
                    format!("{{\"items\":[{items}],\"more_pages\":false,\"as_of\":{as_of}}}"),
                )
            }),
            ("GET", "/v1/kv-watch") => self.watch(&field),
            ("POST", "/v1/kv-lease") => self.change(|state| {
                state.last_lease += 1;
                let ttl_ms = body.number("ttl_ms").max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                state
                    .leases
                    .insert(state.last_lease, (ttl, Instant::now() + ttl));
                Response::new(
                    200,
                    format!("{{\"lease\":{},\"ttl_ms\":{ttl_ms}}}", state.last_lease),
                )
            }),
            ("POST", "/v1/kv-txn") => self.change(|state| transact(state, &body)),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.change(|state| {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        Response::new(200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => Response::new(404, "{}"),
                }
            }),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => self.change(|state| {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                state.end_lease(id);
                Response::new(200, "{}")
            }),
            _ => Response::new(404, "{}"),
        }
    }

    fn watch(&self, field: &dyn Fn(&str) -> String) -> Response {
        let after = field("after_rev").parse().unwrap_or(0);
        let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
        let (prefix, until) = (field("prefix"), Instant::now() + wait);
        let mut state = self.state.0.lock().expect("not poisoned");
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if state.is_down {
                return Response::new(503, "{}");
            }
            if let Some(response) = state.changes(&prefix, after, left.is_zero()) {
                return response;
            }
            state = self
                .state
                .1
                .wait_timeout(state, left)
                .expect("not poisoned")
                .0;
        }
    }
}

fn transact(state: &mut State, body: &Json) -> Response {
    let sets = body.list("set_keys");
    let has_lease =
        |set: &Json| set.number("lease") == 0 || state.leases.contains_key(&set.number("lease"));
    if !sets.iter().all(has_lease) {
        return Response::new(404, "{}");
    }
    let expected = body.list("expected_rev");
    let current = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    if !expected
        .iter()
        .all(|row| current(row.text("key")) == row.number("revision"))
    {
        let items = expected
            .iter()
            .filter_map(|row| state.items.get_key_value(row.text("key")));
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        return Response::new(412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    for set in sets {
        state.put(
            set.text("key"),
            set.text("value").into(),
            set.number("lease"),
        );
    }
    for key in body.list("remove") {
        if let Json::Text(key) = key {
            state.remove(key);
        }
    }
    Response::new(200, format!("{{\"revision\":{}}}", state.revision))
}
