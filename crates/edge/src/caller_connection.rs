//! Connection of a caller. The server decodes all requests that it gets at once, and reads ahead of the
//! handlers of their bodies. This hands it one head at a time, and of a body what its request takes, so that a
//! connection holds little that no request has reserved.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use actix_http::Extensions;
use lapismoor_core::admission::ConnectionPhase;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connections::ConnectionLease;
use crate::in_flight::CallerGuard;

/// Bytes that are read from the socket at once.
const READ_BYTES: usize = 8 << 10;
/// Bytes that the server gets before it decodes them, or before the request takes them.
const READ_AHEAD_BYTES: usize = 8 << 10;
/// The same for bodies in chunks: a chunk of one byte takes six bytes, and some 50 in the server's queue.
const CHUNKS_AHEAD_BYTES: usize = 1 << 10;

/// Length of a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// It is so long, in bytes; zero if there is none.
    Stated(usize),
    /// It consists of chunks.
    Chunked,
}

/// What the server may get next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gate {
    /// Nothing until the request goes on.
    Closed,
    /// At most so many bytes.
    Bytes(usize),
    /// At most so many bytes, up to the next blank line, which ends a head and the chunks of a body.
    UntilBlankLine(usize),
}

/// Finds blank lines in bytes that come in pieces.
#[derive(Debug, Clone, Copy, Default)]
struct BlankLines {
    /// Whether the last byte ended a line.
    is_line_start: bool,
}

impl BlankLines {
    /// Number of bytes up to the end of the first blank line; `None` if there is none in `bytes`.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        for (position, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.is_line_start => {
                    self.is_line_start = false;
                    return Some(position + 1);
                }
                b'\n' => self.is_line_start = true,
                b'\r' => {}
                _ => self.is_line_start = false,
            }
        }
        None
    }
}

/// What those that serve the requests of a connection know about it.
pub(crate) struct ConnectionState {
    lease: ConnectionLease,
    phase: Cell<ConnectionPhase>,
    /// Requests whose answers were not written completely.
    open_requests: Cell<usize>,
    /// Guards of the requests whose answers are in the server's buffer: their bodies have ended, but the
    /// socket has not taken all bytes.
    unwritten: RefCell<Vec<CallerGuard>>,
    /// What is left of the body of the last request.
    body: Cell<BodyLength>,
    /// Whether the request waits for more of its body than the server has.
    wants_body: Cell<bool>,
    /// Bytes that the server got since the last head, or since the request took all.
    ahead_bytes: Cell<usize>,
    /// Whether the server discards what it gets, as the request was answered before its end.
    is_discarding: Cell<bool>,
    /// Whether the caller does not take all that is written.
    is_blocked: Cell<bool>,
    /// Woken when the server may read on.
    reader: RefCell<Option<Waker>>,
}

impl ConnectionState {
    pub(crate) fn new(lease: ConnectionLease) -> Rc<Self> {
        Rc::new(Self {
            lease,
            phase: Cell::new(ConnectionPhase::Idle),
            open_requests: Cell::new(0),
            unwritten: RefCell::default(),
            body: Cell::new(BodyLength::Stated(0)),
            wants_body: Cell::new(false),
            ahead_bytes: Cell::new(0),
            is_discarding: Cell::new(false),
            is_blocked: Cell::new(false),
            reader: RefCell::new(None),
        })
    }

    /// Whether there is room for the connection and its request.
    pub(crate) fn has_room(&self) -> bool {
        self.lease.has_room()
    }

    /// Records that the head of a request was read.
    pub(crate) fn begin_request(&self, body: BodyLength) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.is_discarding.set(false);
        self.body.set(body);
        self.wants_body.set(true);
        self.ahead_bytes.set(0);
        self.set_phase(match body {
            BodyLength::Stated(0) => ConnectionPhase::Serving,
            BodyLength::Stated(_) | BodyLength::Chunked => ConnectionPhase::Body,
        });
    }

    /// Lets the server read on, as the request has taken all of its body that arrived.
    pub(crate) fn read_on(&self) {
        self.ahead_bytes.set(0);
        self.wants_body.set(true);
        self.wake_reader();
    }

    /// Records that the body of a request was received. Returns whether there is room to serve it.
    pub(crate) fn end_body(&self) -> bool {
        self.body.set(BodyLength::Stated(0));
        self.set_phase(ConnectionPhase::Serving);
        self.lease.has_room()
    }

    /// Records that the answer to a request begins. What is left of its body is not needed any more.
    pub(crate) fn begin_answer(&self) {
        if self.phase.get() == ConnectionPhase::Body {
            self.set_phase(ConnectionPhase::Serving);
            self.is_discarding.set(true);
            self.wake_reader();
        }
    }

    /// Keeps a request in flight until the socket has taken its answer.
    pub(crate) fn keep_until_written(&self, guard: CallerGuard) {
        self.unwritten.borrow_mut().push(guard);
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.lease.set_phase(phase);
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    fn gate(&self) -> Gate {
        if self.is_blocked.get() {
            return Gate::Closed;
        }
        if self.open_requests.get() == 0 {
            return Gate::UntilBlankLine(READ_AHEAD_BYTES);
        }
        let ahead_bytes = if self.is_discarding.get() {
            0
        } else {
            self.ahead_bytes.get()
        };
        let allowed_bytes = READ_AHEAD_BYTES.saturating_sub(ahead_bytes);
        let gate = match self.body.get() {
            BodyLength::Stated(left_bytes) => Gate::Bytes(allowed_bytes.min(left_bytes)),
            BodyLength::Chunked if self.wants_body.get() || self.is_discarding.get() => {
                Gate::UntilBlankLine(CHUNKS_AHEAD_BYTES.saturating_sub(ahead_bytes))
            }
            BodyLength::Chunked => Gate::Closed,
        };
        match gate {
            Gate::Bytes(0) | Gate::UntilBlankLine(0) => Gate::Closed,
            open => open,
        }
    }

    /// Records bytes that the server gets, and whether a blank line ends them.
    fn record_passed(&self, bytes: usize, is_blank_line: bool) {
        self.ahead_bytes.set(self.ahead_bytes.get() + bytes);
        if self.open_requests.get() == 0 {
            return;
        }
        match self.body.get() {
            BodyLength::Stated(left_bytes) => {
                let left_bytes = left_bytes.saturating_sub(bytes);
                self.body.set(BodyLength::Stated(left_bytes));
            }
            // The body may have ended, so that a head follows.
            BodyLength::Chunked if is_blank_line => self.wants_body.set(false),
            BodyLength::Chunked => {}
        }
    }

    fn record_received(&self) {
        if self.phase.get() == ConnectionPhase::Idle {
            self.ahead_bytes.set(0);
            self.set_phase(ConnectionPhase::Head);
        }
        self.lease.record_received(self.ahead_bytes.get());
    }

    fn record_written(&self, is_complete: bool) {
        if self.is_blocked.get() && is_complete {
            self.lease.record_taken();
        } else if !self.is_blocked.get() && !is_complete {
            self.is_blocked.set(true);
            self.lease.record_written(true);
        }
    }

    /// Records that the socket has taken all that was written. `has_next` tells whether the caller has sent
    /// more.
    fn record_flushed(&self, has_next: bool) {
        if self.is_blocked.replace(false) {
            self.lease.record_written(false);
            self.wake_reader();
        }
        let written = std::mem::take(&mut *self.unwritten.borrow_mut()).len();
        if written == 0 {
            return;
        }
        let open_requests = self.open_requests.get().saturating_sub(written);
        self.open_requests.set(open_requests);
        if open_requests == 0 {
            // The rest of a request that was answered early has the time of a head.
            let is_head = has_next || self.is_discarding.get();
            self.set_phase(if is_head {
                ConnectionPhase::Head
            } else {
                ConnectionPhase::Idle
            });
            self.ahead_bytes.set(0);
            self.wake_reader();
        }
    }
}

/// Connection of a caller.
pub(crate) struct CallerConnection {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    /// Bytes that were read and that the server did not get.
    unread: Vec<u8>,
    blank_lines: BlankLines,
    /// Whether the server has to decode what it got before it gets more.
    is_turn_over: bool,
}

impl CallerConnection {
    pub(crate) fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self {
            stream,
            state,
            unread: Vec::new(),
            blank_lines: BlankLines::default(),
            is_turn_over: false,
        }
    }

    /// Lets requests on this connection find it.
    pub(crate) fn attach(&self, extensions: &mut Extensions) {
        extensions.insert(Rc::clone(&self.state));
    }

    /// Passes the part of `bytes` to the server that it may get, and keeps the rest. Returns the number of
    /// bytes that were passed.
    fn pass(&mut self, bytes: &[u8], buffer: &mut ReadBuf<'_>) -> usize {
        let (allowed_bytes, ends_at_blank_line) = match self.state.gate() {
            Gate::Closed => (0, false),
            Gate::Bytes(bytes) => (bytes, false),
            Gate::UntilBlankLine(bytes) => (bytes, true),
        };
        let allowed = &bytes[..bytes.len().min(allowed_bytes).min(buffer.remaining())];
        let blank_line = if ends_at_blank_line {
            self.blank_lines.find(allowed)
        } else {
            None
        };
        let passed = &allowed[..blank_line.unwrap_or(allowed.len())];
        buffer.put_slice(passed);
        self.unread = bytes[passed.len()..].to_vec();
        self.is_turn_over = !passed.is_empty();
        self.state.record_passed(passed.len(), blank_line.is_some());
        passed.len()
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = self.get_mut();
        if std::mem::take(&mut connection.is_turn_over) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut received = std::mem::take(&mut connection.unread);
        if received.is_empty() {
            // Also read while the server gets nothing, so that it learns when the caller leaves.
            let mut scratch = [0; READ_BYTES];
            let mut scratch = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut connection.stream).poll_read(context, &mut scratch))?;
            if scratch.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            connection.state.record_received();
            received = scratch.filled().to_vec();
        }
        if connection.pass(&received, buffer) > 0 {
            return Poll::Ready(Ok(()));
        }
        let reader = context.waker().clone();
        connection.state.reader.replace(Some(reader));
        Poll::Pending
    }
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let connection = self.get_mut();
        let written = Pin::new(&mut connection.stream).poll_write(context, bytes);
        connection.state.record_written(written.is_ready());
        written
    }

    /// The server flushes once the socket has taken all bytes of its buffer.
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let connection = self.get_mut();
        connection
            .state
            .record_flushed(!connection.unread.is_empty());
        Pin::new(&mut connection.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
