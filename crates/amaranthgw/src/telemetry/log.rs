//! The event log, which writes events as JSON lines and keeps them in a journal.

use std::sync::{Arc, Mutex, PoisonError};

use serde_json::Value;
use slog::{Drain, KV, Level, Logger, Record, Serializer, o};

use super::{EventJournal, EventLevel, JournalEntry, NodeEvent};

/// Lines buffered for a slow reader of standard output.
const LOG_QUEUE_LINES: usize = 1024;

/// Records events to the log output and a journal.
///
/// Clones share the journal; [`EventLog::with_own_journal`] makes a log with a separate one.
#[derive(Clone, Debug)]
pub struct EventLog {
    logger: Logger,
    journal: Arc<EventJournal>,
    journals: Arc<Mutex<Vec<Arc<EventJournal>>>>,
}

impl EventLog {
    /// Creates a log that writes JSON lines of at least `level` to standard error.
    ///
    /// Lines are dropped while the queue (128 lines, the default of `slog_async`) is full, and
    /// their number is logged later.
    #[must_use]
    pub fn new(level: EventLevel) -> Self {
        let json = slog_json::Json::default(std::io::stderr()).ignore_res();
        let filtered = slog::LevelFilter::new(json, slog_level(level)).ignore_res();
        let drain = slog_async::Async::new(filtered).build().ignore_res();
        Self::with_logger(Logger::root(drain, o!()))
    }

    /// Creates a log that writes JSON lines of at least `level` to standard output.
    ///
    /// Lines are dropped while the queue is full, and their number is logged later.
    #[must_use]
    pub fn with_standard_output(level: EventLevel) -> Self {
        let json = slog_json::Json::default(std::io::stdout()).ignore_res();
        let filtered = slog::LevelFilter::new(json, slog_level(level)).ignore_res();
        let queue = slog_async::Async::new(filtered)
            .chan_size(LOG_QUEUE_LINES)
            .overflow_strategy(slog_async::OverflowStrategy::DropAndReport);
        Self::with_logger(Logger::root(queue.build().ignore_res(), o!()))
    }

    /// Creates a log that writes to `logger`.
    #[must_use]
    pub fn with_logger(logger: Logger) -> Self {
        let journal = Arc::new(EventJournal::default());
        let journals = Arc::new(Mutex::new(vec![Arc::clone(&journal)]));
        Self {
            logger,
            journal,
            journals,
        }
    }

    /// Creates a log that writes nothing and only keeps its journal.
    #[must_use]
    pub fn with_journal_only() -> Self {
        Self::with_logger(Logger::root(slog::Discard, o!()))
    }

    /// Creates a log with the same output and a separate journal, so that another thread records
    /// without contention. [`EventLog::explain`] covers the journals of all such logs.
    #[must_use]
    pub fn with_own_journal(&self) -> Self {
        let journal = Arc::new(EventJournal::default());
        let mut journals = self.journals.lock().unwrap_or_else(PoisonError::into_inner);
        journals.push(Arc::clone(&journal));
        drop(journals);
        Self {
            logger: self.logger.clone(),
            journal,
            journals: Arc::clone(&self.journals),
        }
    }

    /// Writes `event` to the log and adds it to the journal.
    pub fn record(&self, event: NodeEvent) {
        self.write(&event);
        self.journal.record(event);
    }

    /// Returns the kept events of all journals in which any field equals `subject`, oldest first.
    #[must_use]
    pub fn explain(&self, subject: &str) -> Vec<JournalEntry> {
        let journals = self
            .journals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut entries: Vec<_> = journals
            .iter()
            .flat_map(|journal| journal.explain(subject))
            .collect();
        entries.sort_by_key(|entry| entry.at_unix_ms);
        entries
    }

    /// Returns the result of [`EventLog::explain`] as JSON.
    #[must_use]
    pub fn explain_json(&self, subject: &str) -> bytes::Bytes {
        serde_json::to_vec(&self.explain(subject))
            .unwrap_or_default()
            .into()
    }

    fn write(&self, event: &NodeEvent) {
        let fields = EventFields(event);
        let logger = &self.logger;
        let (number, message) = (event.number(), event.message());
        match event.level() {
            EventLevel::Debug => slog::debug!(logger, "{}", message; "event" => number, fields),
            EventLevel::Info => slog::info!(logger, "{}", message; "event" => number, fields),
            EventLevel::Warning => slog::warn!(logger, "{}", message; "event" => number, fields),
            EventLevel::Error => slog::error!(logger, "{}", message; "event" => number, fields),
        }
    }
}

const fn slog_level(level: EventLevel) -> Level {
    match level {
        EventLevel::Debug => Level::Debug,
        EventLevel::Info => Level::Info,
        EventLevel::Warning => Level::Warning,
        EventLevel::Error => Level::Error,
    }
}

/// The fields of an event as key-value pairs of a log record.
struct EventFields<'a>(&'a NodeEvent);

impl KV for EventFields<'_> {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Ok(Value::Object(fields)) = serde_json::to_value(self.0) else {
            return Ok(());
        };
        for (key, value) in fields {
            emit_value(&value, key, serializer)?;
        }
        Ok(())
    }
}

fn emit_value(value: &Value, key: String, serializer: &mut dyn Serializer) -> slog::Result {
    match value {
        Value::String(text) => serializer.emit_str(key.into(), text),
        Value::Bool(flag) => serializer.emit_bool(key.into(), *flag),
        Value::Number(number) if number.is_u64() => {
            serializer.emit_u64(key.into(), number.as_u64().unwrap_or_default())
        }
        Value::Null => serializer.emit_none(key.into()),
        other => serializer.emit_arguments(key.into(), &format_args!("{other}")),
    }
}
