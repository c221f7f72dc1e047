//! The last events of the process, kept to explain its decisions.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde_json::Value;

use super::NodeEvent;

const JOURNAL_CAPACITY: usize = 4096;

/// One event with its time.
#[derive(Clone, Debug, Serialize)]
pub struct JournalEntry {
    /// Milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Number of the event.
    pub number: u16,
    /// Message of the event.
    pub message: &'static str,
    /// Fields of the event.
    pub fields: NodeEvent,
}

/// A bounded ring of the last events.
#[derive(Debug, Default)]
pub struct EventJournal {
    entries: Mutex<VecDeque<JournalEntry>>,
}

impl EventJournal {
    /// Adds `event` and drops the oldest one where the journal is full.
    pub fn record(&self, event: NodeEvent) {
        let entry = JournalEntry {
            at_unix_ms: unix_ms(),
            number: event.number(),
            message: event.message(),
            fields: event,
        };
        let mut entries = self.lock();
        if entries.len() == JOURNAL_CAPACITY {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// The kept events that name `subject` in any field, oldest first.
    #[must_use]
    pub fn explain(&self, subject: &str) -> Vec<JournalEntry> {
        let names_subject = |entry: &&JournalEntry| names(&entry.fields, subject);
        self.lock().iter().filter(names_subject).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<JournalEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn names(event: &NodeEvent, subject: &str) -> bool {
    let Ok(Value::Object(fields)) = serde_json::to_value(event) else {
        return false;
    };
    fields.values().any(|value| value.as_str() == Some(subject))
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
