//! Splits a stream of server-sent events so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// Identifier of an event, as text; its order is the server's.
pub type EventName = compact_str::CompactString;

/// Collects the bytes of an event stream and gives away whole events.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
    last_event: Option<EventName>,
    events: u32,
}

/// Bytes that may be pending without the end of an event; longer events are passed on in parts.
const MAX_PENDING_BYTES: usize = 256 * 1024;

impl EventScanner {
    /// Creates a scanner at the start of a stream that goes on after `last_event`.
    #[must_use]
    pub fn new(last_event: Option<EventName>) -> Self {
        Self {
            last_event,
            ..Self::default()
        }
    }

    /// Adds `part` and gives the whole events that are now complete.
    pub fn push(&mut self, part: &[u8]) -> Bytes {
        self.pending.extend_from_slice(part);
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..]) {
            let event = &self.pending[end..end + length];
            if let Some(name) = event_name(event) {
                self.last_event = Some(name);
                self.events += 1;
            }
            end += length;
        }
        if end == 0 && self.pending.len() > MAX_PENDING_BYTES {
            end = self.pending.len();
        }
        self.pending.split_to(end).freeze()
    }

    /// Drops the part of an event that never became whole.
    pub fn restart(&mut self) {
        self.pending.clear();
    }

    /// Whether a part of an event is pending.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Identifier of the last whole event; the stream goes on after it.
    #[must_use]
    pub fn last_event(&self) -> Option<&EventName> {
        self.last_event.as_ref()
    }

    /// Number of whole events with an identifier.
    #[must_use]
    pub const fn events(&self) -> u32 {
        self.events
    }
}

/// Length of the first event with the blank line that ends it.
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

/// Value of the `id` field of an event.
fn event_name(event: &[u8]) -> Option<EventName> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    let text = std::str::from_utf8(value).ok()?;
    Some(EventName::from(text.trim()))
}
