//! Counts the requests of callers from the arrival of their heads until their answers are written.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use actix_http::header::{self, HeaderMap};
use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::dev::{Service, ServiceRequest, ServiceResponse};
use actix_web::{Error, HttpMessage, HttpRequest};
use bytes::Bytes;
use compact_str::CompactString;
use lapismoor_core::Moment;

use crate::buffers::BufferLease;
use crate::caller_connection::{BodyLength, ConnectionState};
use crate::context::Edge;
use crate::millis::millis;
use crate::serve::stated_length;

/// Largest number of requests that are logged when an exit cuts them off: well below the log's queue.
const MAX_CUT_OFF_LINES: usize = 256;

/// Number of a request since the start of the daemon.
type RequestNumber = u64;

/// A caller's request in flight.
#[derive(Debug)]
struct RequestInFlight {
    number: RequestNumber,
    /// Id of the request in logs; `None` until its head was read.
    id: Option<CompactString>,
    received: Moment,
    /// Whether its response was handed to the server.
    is_answered: bool,
}

/// The callers' requests in flight.
#[derive(Debug, Default)]
pub struct RequestsInFlight {
    last_number: Cell<RequestNumber>,
    /// Invariant: sorted by number.
    requests: RefCell<Vec<RequestInFlight>>,
    /// Whether the process exits, whatever is in flight.
    is_exiting: Cell<bool>,
}

impl RequestsInFlight {
    /// Number of requests.
    #[must_use]
    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Whether the process exits, so that requests end although their callers wait.
    pub(crate) fn is_exiting(&self) -> bool {
        self.is_exiting.get()
    }

    /// Logs the requests that the exit cuts off.
    pub(crate) fn report_exit(&self, now: Moment) {
        self.is_exiting.set(true);
        for request in self.requests.borrow().iter().take(MAX_CUT_OFF_LINES) {
            log::warn!(
                request = request.id.as_deref(),
                is_answered = request.is_answered,
                held_ms = millis(now.saturating_sub(request.received));
                "cut_off_by_exit"
            );
        }
    }

    fn add(&self, received: Moment) -> RequestNumber {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.requests.borrow_mut().push(RequestInFlight {
            number,
            id: None,
            received,
            is_answered: false,
        });
        number
    }

    fn remove(&self, number: RequestNumber) {
        let mut requests = self.requests.borrow_mut();
        if let Ok(position) = requests.binary_search_by_key(&number, |request| request.number) {
            requests.remove(position);
        }
    }

    fn update(&self, number: RequestNumber, change: impl FnOnce(&mut RequestInFlight)) {
        let mut requests = self.requests.borrow_mut();
        if let Ok(position) = requests.binary_search_by_key(&number, |request| request.number) {
            change(&mut requests[position]);
        }
    }
}

/// Counts a caller's request as in flight until the last clone is dropped. The server holds one for the
/// answer; a run that goes on without its caller holds another.
#[derive(Clone)]
pub(crate) struct CallerGuard {
    count: Rc<Count>,
    /// Whether the daemon accepted requests when this one arrived.
    pub is_accepted: bool,
}

struct Count {
    edge: Rc<Edge>,
    number: RequestNumber,
    /// Connection on which it arrived, which may be closed before the request ends.
    connection: Weak<ConnectionState>,
    /// Memory of its body, and of its answer if that came from another daemon.
    buffers: RefCell<Vec<BufferLease>>,
}

impl CallerGuard {
    fn new(edge: &Rc<Edge>, connection: Weak<ConnectionState>) -> Self {
        let count = Count {
            number: edge.in_flight.add(edge.now()),
            edge: Rc::clone(edge),
            connection,
            buffers: RefCell::default(),
        };
        Self {
            count: Rc::new(count),
            is_accepted: edge.accepts_requests(),
        }
    }

    /// Accepts a request that only this daemon may run, also if it refuses others.
    pub(crate) fn into_accepted(mut self) -> Self {
        self.is_accepted = true;
        self
    }

    /// Sets the id by which logs name the request.
    pub(crate) fn set_id(&self, id: &CompactString) {
        let in_flight = &self.count.edge.in_flight;
        in_flight.update(self.count.number, |request| request.id = Some(id.clone()));
    }

    /// Keeps memory for as long as the request is in flight.
    pub(crate) fn keep_buffer(&self, lease: BufferLease) {
        self.count.buffers.borrow_mut().push(lease);
    }

    fn set_answered(&self) {
        let in_flight = &self.count.edge.in_flight;
        in_flight.update(self.count.number, |request| request.is_answered = true);
    }

    /// The guard of a request that [`count`] counts.
    pub(crate) fn of(edge: &Rc<Edge>, request: &HttpRequest) -> Self {
        let counted = request.extensions().get::<Self>().cloned();
        counted.unwrap_or_else(|| Self::new(edge, Weak::new()))
    }

    /// Connection on which the request arrived, if it is open.
    pub(crate) fn connection(&self) -> Option<Rc<ConnectionState>> {
        self.count.connection.upgrade()
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.edge.in_flight.remove(self.number);
    }
}

/// Largest part of an answer that is handed to the server at once, in bytes. The server keeps a copy until
/// the socket has taken it.
const MAX_PART_BYTES: usize = 8 << 10;

/// Body of an answer; counts its request until the socket has taken the answer.
struct CountedBody {
    body: BoxBody,
    /// The rest of what the body yielded last.
    rest: Bytes,
    guard: CallerGuard,
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        if let Some(connection) = self.guard.connection() {
            connection.keep_until_written(self.guard.clone());
        }
    }
}

impl MessageBody for CountedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let answer = self.get_mut();
        if answer.rest.is_empty() {
            match std::task::ready!(Pin::new(&mut answer.body).poll_next(context)) {
                Some(Ok(bytes)) => answer.rest = bytes,
                end => return Poll::Ready(end),
            }
        }
        let part_bytes = answer.rest.len().min(MAX_PART_BYTES);
        Poll::Ready(Some(Ok(answer.rest.split_to(part_bytes))))
    }
}

/// Serves a request and counts it as in flight.
pub(crate) fn count<S>(
    edge: &Rc<Edge>,
    request: ServiceRequest,
    service: &S,
) -> impl Future<Output = Result<ServiceResponse<impl MessageBody + use<S>>, Error>> + use<S>
where
    S: Service<ServiceRequest, Response = ServiceResponse<BoxBody>, Error = Error>,
{
    let connection = request.conn_data::<Rc<ConnectionState>>().cloned();
    if let Some(connection) = &connection {
        connection.begin_request(body_length(request.headers()));
    }
    let connection = connection.as_ref().map(Rc::downgrade);
    let guard = CallerGuard::new(edge, connection.unwrap_or_default());
    request.extensions_mut().insert(guard.clone());
    let serving = service.call(request);
    async move {
        let response = serving.await?;
        guard.set_answered();
        if let Some(connection) = guard.connection() {
            connection.begin_answer();
        }
        Ok(response.map_body(|_, body| CountedBody {
            body,
            rest: Bytes::new(),
            guard,
        }))
    }
}

/// Length of the body that the headers of a request announce.
fn body_length(headers: &HeaderMap) -> BodyLength {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return BodyLength::Chunked;
    }
    BodyLength::Stated(stated_length(headers).unwrap_or_default())
}
