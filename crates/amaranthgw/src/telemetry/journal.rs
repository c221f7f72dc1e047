//! An in-memory ring buffer of recent events, queried to explain past decisions.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde_json::Value;

use super::NodeEvent;

/// Number of events kept.
const JOURNAL_CAPACITY: usize = 4096;

/// A recorded event with its timestamp.
#[derive(Clone, Debug, Serialize)]
pub struct JournalEntry {
    /// Time of recording, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Number of the event in the catalogue.
    pub number: u16,
    /// Fixed message of the event.
    pub message: &'static str,
    /// Fields of the event.
    pub fields: NodeEvent,
}

/// A ring buffer of the most recent events, safe to share between threads.
#[derive(Debug, Default)]
pub struct EventJournal {
    entries: Mutex<VecDeque<JournalEntry>>,
}

impl EventJournal {
    /// Appends `event`, dropping the oldest one if the journal is full.
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

    /// Returns the kept events in which any field equals `subject`, oldest first.
    #[must_use]
    pub fn explain(&self, subject: &str) -> Vec<JournalEntry> {
        let mentions_subject = |entry: &&JournalEntry| mentions(&entry.fields, subject);
        self.lock()
            .iter()
            .filter(mentions_subject)
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<JournalEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn mentions(event: &NodeEvent, subject: &str) -> bool {
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
