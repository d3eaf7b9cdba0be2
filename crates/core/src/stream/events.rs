//! Splits an event stream at event boundaries, so that a caller never receives a partial event and
//! a broken stream can be resumed after the last complete one.

use bytes::{Bytes, BytesMut};

/// Field name and separator of the line that carries an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Size above which an event makes the stream invalid: 1 MiB, far more than the text of any token.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    /// Bytes of an event that is not complete yet.
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`.
    #[must_use]
    pub fn resumed_after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last complete event that had one, including events before the stream was resumed.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Capacity of the buffer of an incomplete event, in bytes; zero if there is none.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        if self.pending.is_empty() {
            0
        } else {
            self.pending.capacity()
        }
    }

    /// Discards the bytes of an incomplete event, which the resumed stream sends again.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
    }

    /// Adds bytes and returns all events that are now complete; empty if there is none. Events
    /// before one that is malformed are returned first, and the error with the next bytes.
    ///
    /// # Errors
    /// [`EventError::TooLarge`] if an event exceeds 1 MiB before it ends; [`EventError::Malformed`]
    /// if it is none, or was sent before.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, EventError> {
        let search_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.pending, search_from) else {
            if self.pending.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            return Ok(Bytes::new());
        };
        let (valid, last_id) = valid_prefix(&self.pending[..end], self.last_id);
        if valid == 0 {
            return Err(EventError::Malformed);
        }
        self.last_id = last_id;
        Ok(self.pending.split_to(valid).freeze())
    }
}

/// Why the bytes of a stream are no events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeded 1 MiB without an end.
    TooLarge,
    /// A line is no field of an event, or an event's id does not follow the one before.
    Malformed,
}

impl EventError {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "event_too_large",
            Self::Malformed => "event_malformed",
        }
    }
}

/// Length of the valid events at the beginning of complete ones, and the last id among them and
/// before.
fn valid_prefix(complete: &[u8], mut last_id: Option<u64>) -> (usize, Option<u64>) {
    let mut valid = 0;
    let mut position = 0;
    let mut id = None;
    for line in complete.split_inclusive(|byte| *byte == b'\n') {
        position += line.len();
        let line = line.trim_ascii_end();
        if !line.is_empty() {
            if !is_field(line) {
                break;
            }
            id = event_id(line).or(id);
            continue;
        }
        if id.is_some() && last_id.is_some() && id <= last_id {
            break;
        }
        last_id = id.take().or(last_id);
        valid = position;
    }
    (valid, last_id)
}

/// Whether a line is a field or a comment. The text of an error or the head of an answer is none.
fn is_field(line: &[u8]) -> bool {
    let Some(end) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let is_of_name = |byte: &u8| byte.is_ascii_lowercase() || *byte == b'-';
    line[..end].iter().all(is_of_name)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the position after the last empty line that ends at or after `from`.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len())
        .rev()
        .find(|position| bytes[*position] == b'\n' && ends_event(&bytes[..*position]))
        .map(|position| position + 1)
}

fn ends_event(before: &[u8]) -> bool {
    before.ends_with(b"\n") || before.ends_with(b"\n\r")
}
