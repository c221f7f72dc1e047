//! Logs as numbered events, the journal that explains decisions, and metrics.

mod catalogue;
mod event;
mod journal;
mod log;
mod metrics;
mod observe;

pub use event::{EventLevel, NodeEvent};
pub use journal::{EventJournal, JournalEntry};
pub use log::EventLog;
pub use metrics::{
    MetricsHandle, TargetGauges, count_answer, count_attempt, count_ended, count_refusal,
    count_store_call,
};
pub use observe::{ReadinessCheck, serve_observers};
