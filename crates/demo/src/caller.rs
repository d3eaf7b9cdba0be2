//! A caller: sends requests, retries them as the responses direct and checks what it receives.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use bytes::{Bytes, BytesMut};
use lapismoor_edge::http::{Connection, ExchangeError};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Timeout for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum attempts of a request.
const MAX_ATTEMPTS: usize = 12;
/// Maximum delay before a retry, also if the response asks for a longer one.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Outcome of a request as observed by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// A complete response that belongs to the request.
    Whole,
    /// A response that belongs to another request.
    Foreign,
    /// A response with missing or repeated tokens that does not report an error.
    Cut,
    /// An error response that does not have the documented format.
    Malformed,
    /// The fleet reported that the request did not run.
    NotRun,
    /// It is unknown whether the request ran: the fleet reported so, or the connection failed.
    Unknown,
    /// The last attempt timed out.
    Lost,
}

/// An attempt that got no response within its timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnansweredAttempt {
    /// Address that it was sent to.
    pub address: SocketAddr,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its caller gave up.
    pub given_up_at: Instant,
}

/// Result of one request, over all its attempts.
#[derive(Debug, Clone)]
pub struct RequestReport {
    /// Identifier in the request body, which the target writes to its records.
    pub marker: String,
    /// Outcome of the last attempt.
    pub outcome: RequestOutcome,
    /// Number of attempts.
    pub attempts: usize,
    /// Time from the start of the last attempt to the response head; zero if no attempt succeeded.
    pub time_to_first_byte: Duration,
    /// Reason of the last failure: the fleet's error kind, the body of a malformed error response,
    /// or a text of the caller; empty if no attempt failed.
    pub error_kind: String,
    /// Attempts without a response, those to get a ticket among them.
    pub unanswered: Vec<UnansweredAttempt>,
}

/// Round-robin load balancer. Its owner removes daemons that fail the health check.
pub struct Balancer {
    addresses: RefCell<Vec<SocketAddr>>,
    position: RefCell<usize>,
}

impl Balancer {
    /// Creates a balancer for the daemons at `addresses`, which must not be empty.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Rc<Self> {
        Rc::new(Self {
            addresses: RefCell::new(addresses),
            position: RefCell::new(0),
        })
    }

    /// Replaces the daemons; `addresses` must not be empty.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.borrow_mut() = addresses;
    }

    /// Returns the address of the next daemon in turn.
    #[must_use]
    pub fn next_address(&self) -> SocketAddr {
        let addresses = self.addresses.borrow();
        let mut position = self.position.borrow_mut();
        *position = (*position + 1) % addresses.len();
        addresses[*position]
    }
}

/// A caller that belongs to one workspace.
#[derive(Clone)]
pub struct Caller {
    balancer: Rc<Balancer>,
    api_key: String,
    /// Idle connection of the last response, if connections are reused.
    idle_connection: Rc<RefCell<Option<(SocketAddr, Connection)>>>,
    options: CallerOptions,
}

/// Connection and timeout settings of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerOptions {
    /// Whether connections are reused until the daemon closes them.
    pub reuses_connections: bool,
    /// Timeout of one attempt; must be longer than the deadline of the profiles in use.
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

/// An HTTP request, sent unchanged in each attempt.
struct OutgoingRequest {
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

/// Result of one attempt.
enum Attempt {
    /// Body of a successful response, and the time to its head.
    Succeeded(Vec<u8>, Duration),
    Failed {
        outcome: RequestOutcome,
        error_kind: String,
        retry_after: Option<Duration>,
    },
    /// The connection could not be opened, broke before the end of the response, or carried a
    /// response that is not valid HTTP.
    ConnectionFailed,
}

impl Caller {
    /// Creates a caller of `workspace` with the API key that the example configurations give it.
    #[must_use]
    pub fn new(balancer: &Rc<Balancer>, workspace: &str, options: CallerOptions) -> Self {
        Self {
            balancer: Rc::clone(balancer),
            api_key: format!("{workspace}-key"),
            idle_connection: Rc::default(),
            options,
        }
    }

    /// Sends a chat turn, with retries; checks that the response has exactly `tokens` tokens and
    /// belongs to this request.
    pub async fn chat(
        &self,
        profile: &str,
        chat: &str,
        marker: &str,
        tokens: usize,
    ) -> RequestReport {
        let body = json!({
            "stream": true,
            "messages": [{"role": "user", "content": format!("marker:{marker} and so on")}],
        });
        let request = OutgoingRequest {
            path: "/v1/chat/completions".into(),
            headers: vec![
                ("x-profile", profile.to_owned()),
                ("x-chat-id", chat.to_owned()),
                ("content-type", "application/json".to_owned()),
            ],
            body: body.to_string().into(),
        };
        let check = |bytes: &[u8]| check_chat(bytes, marker, tokens);
        self.send_with_retries(marker, &request, check, true).await
    }

    /// Makes a service call that must not run twice, with a new ticket that its retries reuse.
    pub async fn call_with_ticket(&self, path: &str, marker: &str) -> RequestReport {
        let (ticket, unanswered) = self.request_ticket().await;
        let Some(ticket) = ticket else {
            return RequestReport {
                marker: marker.into(),
                outcome: RequestOutcome::NotRun,
                attempts: 0,
                time_to_first_byte: Duration::ZERO,
                error_kind: "no ticket".into(),
                unanswered,
            };
        };
        let report = self.call_with_issued_ticket(&ticket, path, marker).await;
        RequestReport {
            unanswered: [unanswered, report.unanswered].concat(),
            ..report
        }
    }

    /// Makes a service call that must not run twice, with a ticket that was issued before.
    pub async fn call_with_issued_ticket(
        &self,
        ticket: &str,
        path: &str,
        marker: &str,
    ) -> RequestReport {
        self.call_once("x-ticket", ticket, path, marker).await
    }

    /// Makes a service call that must not run twice, with `marker` as its idempotency key.
    pub async fn call_with_idempotency_key(&self, path: &str, marker: &str) -> RequestReport {
        self.call_once("idempotency-key", marker, path, marker)
            .await
    }

    /// Makes a service call that must not run twice, under the key in `header`.
    async fn call_once(
        &self,
        header: &'static str,
        value: &str,
        path: &str,
        marker: &str,
    ) -> RequestReport {
        let request = OutgoingRequest {
            path: format!("/v1/services/{path}"),
            headers: vec![(header, value.to_owned())],
            body: format!("marker:{marker} ok").into(),
        };
        let check = |bytes: &[u8]| check_call(bytes, marker);
        self.send_with_retries(marker, &request, check, false).await
    }

    /// Returns a ticket, if a daemon issued one, and the attempts without a response.
    pub async fn request_ticket(&self) -> (Option<String>, Vec<UnansweredAttempt>) {
        let request = OutgoingRequest {
            path: "/v1/tickets".into(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let mut unanswered = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            if let Attempt::Succeeded(body, _) = self.send(&request, &mut unanswered).await {
                let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                let ticket = body["ticket"].as_str().map(str::to_owned);
                return (ticket, unanswered);
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        (None, unanswered)
    }

    /// Makes one attempt at the next daemon, and adds it to `unanswered` if it gets no response.
    async fn send(
        &self,
        request: &OutgoingRequest,
        unanswered: &mut Vec<UnansweredAttempt>,
    ) -> Attempt {
        let address = self.balancer.next_address();
        let sent_at = Instant::now();
        let exchange = self.exchange(address, request);
        match tokio::time::timeout(self.options.attempt_timeout, exchange).await {
            Err(_) => {
                unanswered.push(UnansweredAttempt {
                    address,
                    sent_at,
                    given_up_at: Instant::now(),
                });
                timed_out()
            }
            Ok(Err(_)) => Attempt::ConnectionFailed,
            Ok(Ok(response)) => response.into_attempt(sent_at),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &OutgoingRequest,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let idle = self.idle_connection.borrow_mut().take();
        let idle = idle.filter(|(peer, _)| *peer == address);
        let idle = idle.map(|(_, connection)| connection);
        let connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT).await?,
        };
        let head = self.request_head(address, request);
        let (head, mut body) = connection
            .exchange(head, request.body.clone(), |_| true)
            .await?;
        let first_byte_at = Instant::now();
        let mut received = BytesMut::new();
        while let Some(bytes) = body.next().await? {
            received.extend_from_slice(&bytes);
        }
        if self.options.reuses_connections
            && let Some(connection) = body.into_connection()
        {
            *self.idle_connection.borrow_mut() = Some((address, connection));
        }
        let retry_after = head.headers().get(header::RETRY_AFTER);
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        Ok(ReceivedResponse {
            is_success: head.status.is_success(),
            retry_after: retry_after.map(Duration::from_secs),
            first_byte_at,
            body: received.freeze(),
        })
    }

    fn request_head(&self, address: SocketAddr, request: &OutgoingRequest) -> RequestHead {
        let mut headers = HeaderMap::new();
        let mut add = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        add("host", &address.to_string());
        add("authorization", &format!("Bearer {}", self.api_key));
        if !self.options.reuses_connections {
            add("connection", "close");
        }
        for (name, value) in &request.headers {
            add(name, value);
        }
        let mut head = RequestHead::default();
        head.method = Method::POST;
        head.uri = request.path.parse().unwrap_or(Uri::from_static("/"));
        head.headers = headers;
        head
    }

    /// Sends a request until it succeeds or must not be retried. Retries after "not run", after a
    /// timeout and after a connection failure. Retries after an unknown outcome only if the request
    /// may run twice or the response has a `Retry-After` header.
    async fn send_with_retries(
        &self,
        marker: &str,
        request: &OutgoingRequest,
        check: impl Fn(&[u8]) -> RequestOutcome,
        may_run_twice: bool,
    ) -> RequestReport {
        let mut report = RequestReport {
            marker: marker.into(),
            outcome: RequestOutcome::Lost,
            attempts: 0,
            time_to_first_byte: Duration::ZERO,
            error_kind: String::new(),
            unanswered: Vec::new(),
        };
        while report.attempts < MAX_ATTEMPTS {
            report.attempts += 1;
            let delay = match self.send(request, &mut report.unanswered).await {
                Attempt::Succeeded(bytes, time_to_first_byte) => {
                    report.outcome = check(&bytes);
                    report.time_to_first_byte = time_to_first_byte;
                    return report;
                }
                Attempt::Failed {
                    outcome,
                    error_kind,
                    retry_after,
                } => {
                    report.outcome = outcome;
                    report.error_kind = error_kind;
                    if outcome == RequestOutcome::Malformed {
                        return report;
                    }
                    if outcome == RequestOutcome::Unknown && !may_run_twice && retry_after.is_none()
                    {
                        return report;
                    }
                    retry_after.unwrap_or(Duration::from_millis(200))
                }
                Attempt::ConnectionFailed => {
                    report.outcome = RequestOutcome::Unknown;
                    report.error_kind = "no connection".into();
                    Duration::from_millis(200)
                }
            };
            tokio::time::sleep(delay.min(MAX_RETRY_DELAY)).await;
        }
        report
    }
}

/// A response with its complete body.
struct ReceivedResponse {
    is_success: bool,
    retry_after: Option<Duration>,
    first_byte_at: Instant,
    body: Bytes,
}

impl ReceivedResponse {
    fn into_attempt(self, sent_at: Instant) -> Attempt {
        if self.is_success {
            return successful_attempt(&self.body, self.first_byte_at.duration_since(sent_at));
        }
        failed_attempt(&self.body, self.retry_after)
    }
}

/// Result of an attempt whose response has a success status. A stream that fails after its head was
/// sent reports the error in its last event.
fn successful_attempt(body: &[u8], time_to_first_byte: Duration) -> Attempt {
    let text = String::from_utf8_lossy(body);
    if let Some((_, error)) = text.split_once("event: error\ndata: ") {
        return failed_attempt(error.trim().as_bytes(), None);
    }
    Attempt::Succeeded(body.to_vec(), time_to_first_byte)
}

/// Result of an attempt whose response is an error in JSON.
fn failed_attempt(body: &[u8], retry_after: Option<Duration>) -> Attempt {
    let parsed = serde_json::from_slice::<Value>(body).map(|body| {
        let error = &body["error"];
        let kind = error["kind"].as_str().map(str::to_owned);
        (error["outcome"].as_str().map(str::to_owned), kind)
    });
    let (outcome, error_kind) = match parsed {
        Ok((Some(reported), Some(kind))) if reported == "not_run" => (RequestOutcome::NotRun, kind),
        Ok((Some(reported), Some(kind))) if reported == "unknown" => {
            (RequestOutcome::Unknown, kind)
        }
        _ => (
            RequestOutcome::Malformed,
            String::from_utf8_lossy(body).into_owned(),
        ),
    };
    Attempt::Failed {
        outcome,
        error_kind,
        retry_after,
    }
}

fn timed_out() -> Attempt {
    Attempt::Failed {
        outcome: RequestOutcome::Lost,
        error_kind: "no response".into(),
        retry_after: None,
    }
}

/// Compares a chat response with what the engine streams: the marker as the first of `tokens`
/// tokens, then `[DONE]`.
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

/// Compares the response to a service call with the marker that was sent.
fn check_call(bytes: &[u8], marker: &str) -> RequestOutcome {
    let body = serde_json::from_slice::<Value>(bytes);
    match body {
        Ok(body) if body["done"].as_str() == Some(marker) => RequestOutcome::Whole,
        _ => RequestOutcome::Foreign,
    }
}
