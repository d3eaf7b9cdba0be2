//! Cuts the bytes of an event stream at event boundaries, so that a caller never gets part of an
//! event and a broken stream can go on after the last whole one.

use bytes::{Bytes, BytesMut};

/// Name and separator of the line that carries an event's number.
const ID_FIELD: &[u8] = b"id:";

/// Bytes of an event beyond which the stream is taken for broken: 1 MiB, far above any token text.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes and hands out whole events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    /// Bytes of an event that is not whole yet.
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A stream of which `last_id` was the last event delivered.
    #[must_use]
    pub fn resumed_after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Number of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether bytes of an unfinished event are held.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the bytes of an unfinished event.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
    }

    /// Takes bytes and returns all events that are whole now; empty when none is.
    ///
    /// # Errors
    /// [`EventTooLarge`] when an event does not end.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, EventTooLarge> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.pending, searched) else {
            if self.pending.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(Bytes::new());
        };
        let whole = self.pending.split_to(end).freeze();
        self.last_id = last_event_id(&whole).or(self.last_id);
        Ok(whole)
    }
}

/// An event grew beyond its limit without an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Position after the last empty line, looking at `bytes` from `from`.
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
