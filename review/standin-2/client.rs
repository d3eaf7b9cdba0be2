//! Stand-in of a client.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{Link, Message, Short};

pub const HOST: &str = "ficu95.example";

#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: &'static str,
    pub deadline: Duration,
    pub body: Vec<u8>,
    pub last_event: Option<u64>,
    pub is_chunked: bool,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let Self { id, method, path, key, .. } = self;
        let deadline = self.deadline.as_millis();
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nLapismoor-Request-Id: {id}\r\n\
             Lapismoor-Request-Deadline: {deadline}\r\nLapismoor-Credential: {key}\r\n"
        );
        if let Some(last_event) = self.last_event {
            head += &format!("Last-Event-Id: {last_event}\r\n");
        }
        if path.contains("/stream/") {
            head += "Lapismoor-Model: m\r\nLapismoor-Token-Count: 460,80\r\n";
            head += &format!(
                "Lapismoor-Prompt-Prefix: 5c1e07a2:400,{}:60\r\n",
                &crate::engine::checksum(id.as_bytes())[..8]
            );
        }
        if *method == "GET" {
            return (head + "\r\n").into_bytes();
        }
        if self.is_chunked {
            let mut bytes = (head + "Transfer-Encoding: chunked\r\n\r\n").into_bytes();
            for chunk in self.body.chunks(700) {
                bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                bytes.extend_from_slice(chunk);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
            return bytes;
        }
        let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", self.body.len()).into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// How a request ended at its client.
#[derive(Debug, Clone)]
pub struct Ending {
    pub head: Option<Message>,
    /// Body, as far as it came.
    pub body: Vec<u8>,
    /// Why the answer is not whole; `None` if it is.
    pub short: Option<Short>,
    /// Whether the connection could be opened.
    pub is_connected: bool,
    /// Whether any byte of the answer came.
    pub began: bool,
}

impl Ending {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Message::status)
    }

    pub fn is_whole(&self) -> bool {
        self.short.is_none() && self.head.is_some()
    }

    fn none(is_connected: bool, short: Short) -> Self {
        Self {
            head: None,
            body: Vec::new(),
            short: Some(short),
            is_connected,
            began: false,
        }
    }
}

/// A client with a connection that it keeps while it may.
pub struct Client {
    pub daemon: SocketAddr,
    link: Option<Link>,
}

impl Client {
    pub fn new(daemon: SocketAddr) -> Self {
        Self { daemon, link: None }
    }

    pub fn has_connection(&self) -> bool {
        self.link.is_some()
    }

    pub fn forget_connection(&mut self) {
        self.link = None;
    }

    /// Sends a request and reads its answer. `on_bytes` is called with the body so far, and ends the reading
    /// by returning false.
    pub fn send(&mut self, request: &Request, on_bytes: &mut dyn FnMut(&[u8]) -> bool) -> Ending {
        let until = Instant::now() + request.deadline + Duration::from_millis(500);
        let mut link = match self.link.take().filter_map_open() {
            Some(link) => link,
            None => match Link::open(self.daemon, Duration::from_secs(1)) {
                Ok(link) => link,
                Err(_) => return Ending::none(false, Short::Closed),
            },
        };
        if link.send(&request.bytes()).is_err() {
            return Ending::none(true, Short::Reset);
        }
        let head = match link.read_head(until) {
            Ok(head) => head,
            Err(short) => {
                let mut ending = Ending::none(true, short);
                ending.began = !link.unread.is_empty();
                return ending;
            }
        };
        let mut ending = Ending {
            body: Vec::new(),
            short: None,
            is_connected: true,
            began: true,
            head: Some(head.clone()),
        };
        let is_chunked = head.header("transfer-encoding").is_some();
        let length: Option<usize> =
            head.header("content-length").and_then(|text| text.trim().parse().ok());
        let result = if is_chunked {
            loop {
                match link.read_chunk(until) {
                    Ok(chunk) if chunk.is_empty() => break Ok(()),
                    Ok(chunk) => ending.body.extend_from_slice(&chunk),
                    Err(short) => break Err(short),
                }
                if !on_bytes(&ending.body) {
                    ending.short = Some(Short::TimedOut);
                    return ending;
                }
            }
        } else if let Some(length) = length {
            link.read_bytes(length, until).map(|body| ending.body = body)
        } else {
            loop {
                match link.fill(until) {
                    Ok(()) => {}
                    Err(Short::Closed) => {
                        ending.body = std::mem::take(&mut link.unread);
                        break Ok(());
                    }
                    Err(short) => break Err(short),
                }
            }
        };
        ending.short = result.err();
        let closes = head.header("connection").is_some_and(|value| value.contains("close"));
        let has_end = is_chunked || length.is_some();
        if ending.short.is_none() && has_end && !closes && link.unread.is_empty() {
            self.link = Some(link);
        }
        ending
    }
}

trait OpenLink {
    fn filter_map_open(self) -> Option<Link>;
}

impl OpenLink for Option<Link> {
    /// The connection, if the other end has not closed it.
    fn filter_map_open(self) -> Option<Link> {
        let mut link = self?;
        (!link.is_ended()).then_some(link)
    }
}
