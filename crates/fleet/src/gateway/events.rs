//! Framing of server-sent event streams, so that events are forwarded whole.

use bytes::{Bytes, BytesMut};

/// Value of an event's `id` field; opaque to the gateway.
pub type EventId = compact_str::CompactString;

/// Buffers the bytes of an event stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
    /// Leading bytes of `pending` that are known not to end an event.
    scanned: usize,
    last_event: Option<EventId>,
    identified_events: u32,
}

/// Largest event; a longer one has no end.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Longest end of an event, a blank line.
const MAX_END_BYTES: usize = 3;

/// An event is longer than [`EventScanner`] accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OversizedEvent;

impl std::fmt::Display for OversizedEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "event longer than {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for OversizedEvent {}

impl EventScanner {
    /// Creates a scanner for a stream that resumes after `last_event`, or starts from the
    /// beginning.
    #[must_use]
    pub fn new(last_event: Option<EventId>) -> Self {
        Self {
            last_event,
            ..Self::default()
        }
    }

    /// Appends `part` and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns [`OversizedEvent`] if the buffered event is too long and not yet complete.
    pub fn push(&mut self, part: &[u8]) -> Result<Bytes, OversizedEvent> {
        self.pending.extend_from_slice(part);
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..], self.scanned) {
            let event = &self.pending[end..end + length];
            if let Some(id) = event_id(event) {
                self.last_event = Some(id);
                self.identified_events += 1;
            }
            end += length;
            self.scanned = 0;
        }
        let events = self.pending.split_to(end).freeze();
        self.scanned = self.pending.len().saturating_sub(MAX_END_BYTES);
        if events.is_empty() && self.pending.len() > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        Ok(events)
    }

    /// Discards the incomplete event, before the stream resumes on another connection.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Bytes of the incomplete event that is buffered.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Identifier of the last complete event that had one, or of the event that the stream resumed
    /// after; the stream can resume after it.
    #[must_use]
    pub fn last_event(&self) -> Option<&EventId> {
        self.last_event.as_ref()
    }

    /// Number of complete events that had an identifier.
    #[must_use]
    pub const fn identified_events(&self) -> u32 {
        self.identified_events
    }
}

/// Length of the first event, including the blank line that ends it; looks for its end from `from`.
fn event_length(bytes: &[u8], from: usize) -> Option<usize> {
    let newline = |at: usize| bytes.get(at) == Some(&b'\n');
    for at in from..bytes.len() {
        if !newline(at) {
            continue;
        }
        if newline(at + 1) {
            return Some(at + 2);
        }
        if bytes.get(at + 1) == Some(&b'\r') && newline(at + 2) {
            return Some(at + 3);
        }
    }
    None
}

/// Value of the last `id` field of an event.
fn event_id(event: &[u8]) -> Option<EventId> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    let text = std::str::from_utf8(value).ok()?;
    Some(EventId::from(text.trim()))
}
