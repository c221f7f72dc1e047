//! Framing of server-sent event streams, so that events are forwarded whole, except very long ones.

use bytes::{Bytes, BytesMut};

/// Value of an event's `id` field; opaque to the gateway.
pub type EventId = compact_str::CompactString;

/// Buffers the bytes of an event stream and returns complete events, very long ones in parts.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
    last_event: Option<EventId>,
    identified_events: u32,
}

/// Maximum size of an incomplete event that is buffered; a longer one is forwarded in parts.
const MAX_PENDING_BYTES: usize = 256 * 1024;

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

    /// Appends `part` and returns the events that are now complete, or the buffered part of an
    /// event that is too long to buffer.
    pub fn push(&mut self, part: &[u8]) -> Bytes {
        self.pending.extend_from_slice(part);
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..]) {
            let event = &self.pending[end..end + length];
            if let Some(id) = event_id(event) {
                self.last_event = Some(id);
                self.identified_events += 1;
            }
            end += length;
        }
        if end == 0 && self.pending.len() > MAX_PENDING_BYTES {
            end = self.pending.len();
        }
        self.pending.split_to(end).freeze()
    }

    /// Discards the incomplete event, before the stream resumes on another connection.
    pub fn restart(&mut self) {
        self.pending.clear();
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
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

/// Length of the first event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let newline = |at: usize| bytes.get(at) == Some(&b'\n');
    for at in 0..bytes.len() {
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
