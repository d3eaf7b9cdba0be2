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

    /// Discards the bytes of an incomplete event, which the resumed stream sends again.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
    }

    /// Adds bytes and returns all events that are now complete; empty if there is none.
    ///
    /// # Errors
    /// [`EventTooLarge`] if an event exceeds 1 MiB before it ends.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, EventTooLarge> {
        let search_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.pending, search_from) else {
            if self.pending.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(Bytes::new());
        };
        let complete = self.pending.split_to(end).freeze();
        self.last_id = last_event_id(&complete).or(self.last_id);
        Ok(complete)
    }
}

/// An event exceeded 1 MiB without an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

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

fn last_event_id(events: &[u8]) -> Option<u64> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
