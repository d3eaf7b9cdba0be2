//! HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, number: usize) -> &str {
        self.start.split(' ').nth(number).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Link {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
    /// The daemon at the other end, at an engine.
    pub door: usize,
}

/// Why a message was not read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Short {
    /// The other end closed its side.
    Closed,
    Reset,
    TimedOut,
}

impl Link {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
            door: 0,
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    /// Reads more bytes, until `until` at most.
    pub fn fill(&mut self, until: Instant) -> Result<(), Short> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Short::TimedOut);
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut buffer = [0; 16 << 10];
        match self.stream.read(&mut buffer) {
            Ok(0) => Err(Short::Closed),
            Ok(count) => {
                self.unread.extend_from_slice(&buffer[..count]);
                Ok(())
            }
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Err(Short::TimedOut),
                io::ErrorKind::Interrupted => Ok(()),
                _ => Err(Short::Reset),
            },
        }
    }

    pub fn read_head(&mut self, until: Instant) -> Result<Message, Short> {
        loop {
            if let Some(end) = find(&self.unread, b"\r\n\r\n") {
                let head: Vec<u8> = self.unread.drain(..end + 4).collect();
                return Ok(parse_head(&head));
            }
            self.fill(until)?;
        }
    }

    pub fn read_bytes(&mut self, count: usize, until: Instant) -> Result<Vec<u8>, Short> {
        while self.unread.len() < count {
            self.fill(until)?;
        }
        Ok(self.unread.drain(..count).collect())
    }

    /// The next chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self, until: Instant) -> Result<Vec<u8>, Short> {
        loop {
            if let Some(end) = find(&self.unread, b"\r\n") {
                let line = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                self.unread.drain(..end + 2);
                let mut data = self.read_bytes(size + 2, until)?;
                data.truncate(size);
                return Ok(data);
            }
            self.fill(until)?;
        }
    }

    /// Reads the body that the head announces, with its length or in chunks.
    pub fn read_body(&mut self, head: &mut Message, until: Instant) -> Result<(), Short> {
        let is_chunked = head
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if is_chunked {
            loop {
                let chunk = self.read_chunk(until)?;
                if chunk.is_empty() {
                    return Ok(());
                }
                head.body.extend_from_slice(&chunk);
            }
        }
        let length = head.header("content-length").map(str::trim);
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        head.body = self.read_bytes(length, until)?;
        Ok(())
    }

    pub fn read_message(&mut self, until: Instant) -> Result<Message, Short> {
        let mut message = self.read_head(until)?;
        self.read_body(&mut message, until)?;
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other end has closed the connection, or sent something that was not asked for.
    pub fn is_ended(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let ended = match self.stream.peek(&mut byte) {
            Ok(_) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        ended
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn parse_head(bytes: &[u8]) -> Message {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Message {
        start,
        headers: headers.collect(),
        body: Vec::new(),
    }
}
