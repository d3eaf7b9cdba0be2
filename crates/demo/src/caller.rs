//! One caller: sends a request, checks the answer, comes back as the answer says.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use bytes::{Bytes, BytesMut};
use lapismoor_edge::http::{Connection, ExchangeError};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Time for a connection to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Times that a caller sends a request.
const MAX_TRIES: usize = 12;
/// Longest wait before a caller comes back.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// What became of a request, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The whole answer, its own.
    Whole,
    /// An answer that belongs to another request.
    Foreign,
    /// An answer that ends early or repeats itself, and looks whole.
    Cut,
    /// A failure that was not told as documented.
    Malformed,
    /// The caller was told that it was not run.
    NotRun,
    /// The caller was told that the outcome is unknown.
    Unknown,
    /// No final answer in time.
    Lost,
}

/// What a caller reports.
#[derive(Debug, Clone)]
pub struct Report {
    /// Marker in the body.
    pub marker: String,
    /// What it saw in the end.
    pub outcome: RequestOutcome,
    /// Times it sent the request.
    pub tries: usize,
    /// Time from the last try to the first byte of the answer.
    pub first_byte: Duration,
    /// Why it was not whole, in the fleet's words.
    pub kind: String,
}

/// Balancer: hands out daemons in turn, leaving out those that fail the health check.
pub struct Balancer {
    addresses: RefCell<Vec<SocketAddr>>,
    next: RefCell<usize>,
}

impl Balancer {
    /// A balancer before these daemons.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Rc<Self> {
        Rc::new(Self {
            addresses: RefCell::new(addresses),
            next: RefCell::new(0),
        })
    }

    /// Replaces the daemons.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.borrow_mut() = addresses;
    }

    /// The next daemon.
    #[must_use]
    pub fn pick(&self) -> SocketAddr {
        let addresses = self.addresses.borrow();
        let mut next = self.next.borrow_mut();
        *next = (*next + 1) % addresses.len();
        addresses[*next]
    }
}

/// A caller of one workspace.
#[derive(Clone)]
pub struct Caller {
    balancer: Rc<Balancer>,
    key: String,
    /// The connection of the last answer, where connections are kept.
    open: Rc<RefCell<Option<(SocketAddr, Connection)>>>,
    caller_options: CallerOptions,
}

/// How a caller goes about its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerOptions {
    /// Whether it uses its connections again, until they are closed.
    pub reuses_connections: bool,
    /// How long it waits for an answer; longer than the deadline of its profiles.
    pub attempt_timeout: Duration,
}

impl Default for CallerOptions {
    fn default() -> Self {
        Self {
            reuses_connections: false,
            attempt_timeout: Duration::from_secs(75),
        }
    }
}

/// A request of a caller.
struct Sent {
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

/// One try of a request.
enum Try {
    Whole(Vec<u8>, Duration),
    Failed {
        outcome: RequestOutcome,
        kind: String,
        retry_after: Option<Duration>,
    },
    Unreachable,
}

impl Caller {
    /// A caller of a workspace of the example configurations.
    #[must_use]
    pub fn new(balancer: &Rc<Balancer>, workspace: &str, caller_options: CallerOptions) -> Self {
        Self {
            balancer: Rc::clone(balancer),
            key: format!("{workspace}-key"),
            open: Rc::default(),
            caller_options,
        }
    }

    /// Sends a turn of a chat until it is answered; checks that `tokens` come, its own, once.
    pub async fn chat(&self, profile: &str, chat: &str, marker: &str, tokens: usize) -> Report {
        let body = json!({
            "stream": true,
            "messages": [{"role": "user", "content": format!("marker:{marker} and so on")}],
        });
        let sent = Sent {
            path: "/v1/chat/completions".into(),
            headers: vec![
                ("x-profile", profile.to_owned()),
                ("x-chat-id", chat.to_owned()),
                ("content-type", "application/json".to_owned()),
            ],
            body: body.to_string().into(),
        };
        let check = |bytes: &[u8]| check_chat(bytes, marker, tokens);
        self.until_answered(marker, &sent, check, true).await
    }

    /// Makes a call that must not run twice, under a ticket; repeats it under the same ticket.
    pub async fn billed(&self, path: &str, marker: &str) -> Report {
        let Some(ticket) = self.ticket().await else {
            return Report {
                marker: marker.into(),
                outcome: RequestOutcome::NotRun,
                tries: 0,
                first_byte: Duration::ZERO,
                kind: "no ticket".into(),
            };
        };
        self.under("x-ticket", &ticket, path, marker).await
    }

    /// Makes a call that must not run twice, under the caller's own key.
    pub async fn keyed(&self, path: &str, marker: &str) -> Report {
        self.under("idempotency-key", marker, path, marker).await
    }

    async fn under(&self, header: &'static str, value: &str, path: &str, marker: &str) -> Report {
        let sent = Sent {
            path: format!("/v1/services/{path}"),
            headers: vec![(header, value.to_owned())],
            body: format!("marker:{marker} ok").into(),
        };
        let check = |bytes: &[u8]| check_call(bytes, marker);
        self.until_answered(marker, &sent, check, false).await
    }

    async fn ticket(&self) -> Option<String> {
        let sent = Sent {
            path: "/v1/tickets".into(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        for _ in 0..MAX_TRIES {
            if let Try::Whole(body, _) = self.send(self.balancer.pick(), &sent).await {
                let body: Value = serde_json::from_slice(&body).ok()?;
                return body["ticket"].as_str().map(str::to_owned);
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        None
    }

    async fn send(&self, address: SocketAddr, sent: &Sent) -> Try {
        let start = std::time::Instant::now();
        let sending = self.exchange(address, sent);
        match tokio::time::timeout(self.caller_options.attempt_timeout, sending).await {
            Err(_) => lost(),
            Ok(Err(_)) => Try::Unreachable,
            Ok(Ok(answer)) => answer.sort(start),
        }
    }

    async fn exchange(&self, address: SocketAddr, sent: &Sent) -> Result<Received, ExchangeError> {
        let kept = self.open.borrow_mut().take();
        let kept = kept.filter(|(known, _)| *known == address);
        let kept = kept.map(|(_, connection)| connection);
        let connection = match kept {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT).await?,
        };
        let head = self.head(address, sent);
        let (head, mut body) = connection
            .exchange(head, sent.body.clone(), |_| true)
            .await?;
        let first_byte_at = std::time::Instant::now();
        let mut whole = BytesMut::new();
        while let Some(bytes) = body.next().await? {
            whole.extend_from_slice(&bytes);
        }
        if self.caller_options.reuses_connections
            && let Some(connection) = body.into_connection()
        {
            *self.open.borrow_mut() = Some((address, connection));
        }
        let retry_after = head.headers().get(header::RETRY_AFTER);
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        Ok(Received {
            is_success: head.status.is_success(),
            retry_after: retry_after.map(Duration::from_secs),
            first_byte_at,
            body: whole.freeze(),
        })
    }

    fn head(&self, address: SocketAddr, sent: &Sent) -> RequestHead {
        let mut headers = HeaderMap::new();
        let mut add = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        add("host", &address.to_string());
        add("authorization", &format!("Bearer {}", self.key));
        if !self.caller_options.reuses_connections {
            add("connection", "close");
        }
        for (name, value) in &sent.headers {
            add(name, value);
        }
        let mut head = RequestHead::default();
        head.method = Method::POST;
        head.uri = sent.path.parse().unwrap_or(Uri::from_static("/"));
        head.headers = headers;
        head
    }

    /// Sends a request again where that is right: after "not run", after no connection, and,
    /// where running twice does no harm, after an unknown outcome.
    async fn until_answered(
        &self,
        marker: &str,
        sent: &Sent,
        check: impl Fn(&[u8]) -> RequestOutcome,
        may_run_twice: bool,
    ) -> Report {
        let mut report = Report {
            marker: marker.into(),
            outcome: RequestOutcome::Lost,
            tries: 0,
            first_byte: Duration::ZERO,
            kind: String::new(),
        };
        while report.tries < MAX_TRIES {
            report.tries += 1;
            let wait = match self.send(self.balancer.pick(), sent).await {
                Try::Whole(bytes, first_byte) => {
                    report.outcome = check(&bytes);
                    report.first_byte = first_byte;
                    return report;
                }
                Try::Failed {
                    outcome,
                    kind,
                    retry_after,
                } => {
                    report.outcome = outcome;
                    report.kind = kind;
                    if outcome == RequestOutcome::Malformed {
                        return report;
                    }
                    if outcome == RequestOutcome::Unknown && !may_run_twice && retry_after.is_none()
                    {
                        return report;
                    }
                    retry_after.unwrap_or(Duration::from_millis(200))
                }
                Try::Unreachable => {
                    report.outcome = RequestOutcome::Unknown;
                    report.kind = "no connection".into();
                    Duration::from_millis(200)
                }
            };
            tokio::time::sleep(wait.min(MAX_WAIT)).await;
        }
        report
    }
}

/// An answer of the fleet.
struct Received {
    is_success: bool,
    retry_after: Option<Duration>,
    first_byte_at: std::time::Instant,
    body: Bytes,
}

impl Received {
    fn sort(self, sent_at: std::time::Instant) -> Try {
        if self.is_success {
            return sort_body(&self.body, self.first_byte_at.duration_since(sent_at));
        }
        failed(&self.body, self.retry_after)
    }
}

/// A stream that was cut says so in its last event.
fn sort_body(body: &[u8], first_byte: Duration) -> Try {
    let text = String::from_utf8_lossy(body);
    if let Some((_, error)) = text.split_once("event: error\ndata: ") {
        return failed(error.trim().as_bytes(), None);
    }
    Try::Whole(body.to_vec(), first_byte)
}

fn failed(body: &[u8], retry_after: Option<Duration>) -> Try {
    let told = serde_json::from_slice::<Value>(body).map(|body| {
        let error = &body["error"];
        let kind = error["kind"].as_str().map(str::to_owned);
        (error["outcome"].as_str().map(str::to_owned), kind)
    });
    let (outcome, kind) = match told {
        Ok((Some(outcome), Some(kind))) if outcome == "not_run" => (RequestOutcome::NotRun, kind),
        Ok((Some(outcome), Some(kind))) if outcome == "unknown" => (RequestOutcome::Unknown, kind),
        _ => (
            RequestOutcome::Malformed,
            String::from_utf8_lossy(body).into_owned(),
        ),
    };
    Try::Failed {
        outcome,
        kind,
        retry_after,
    }
}

fn lost() -> Try {
    Try::Failed {
        outcome: RequestOutcome::Lost,
        kind: "no answer".into(),
        retry_after: None,
    }
}

fn check_chat(bytes: &[u8], marker: &str, tokens: usize) -> RequestOutcome {
    let text = String::from_utf8_lossy(bytes);
    let events: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    let contents = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let contents = contents.filter_map(|event| {
        let content = event["choices"][0]["delta"]["content"].as_str();
        content.map(str::to_owned)
    });
    let contents: Vec<String> = contents.collect();
    if contents.first().map(String::as_str) != Some(&format!("{marker} ")) {
        return RequestOutcome::Foreign;
    }
    let is_whole = contents.len() == tokens && events.last() == Some(&"[DONE]");
    if is_whole {
        RequestOutcome::Whole
    } else {
        RequestOutcome::Cut
    }
}

fn check_call(bytes: &[u8], marker: &str) -> RequestOutcome {
    let body = serde_json::from_slice::<Value>(bytes);
    match body {
        Ok(body) if body["done"].as_str() == Some(marker) => RequestOutcome::Whole,
        _ => RequestOutcome::Foreign,
    }
}
