//! Logging of numbered events, the event journal, metrics and health endpoints.

mod catalogue;
mod event;
mod group_event;
mod health;
mod journal;
mod level;
mod log;
mod metrics;

pub use event::NodeEvent;
pub use health::{ReadinessCheck, serve_health_and_metrics};
pub use journal::{EventJournal, JournalEntry};
pub use level::EventLevel;
pub use log::EventLog;
pub use metrics::{
    MetricsHandle, TargetGauges, WaitLabels, count_answer, count_attempt, count_call, count_demand,
    count_eviction, count_refusal, count_retry, count_store_call, count_wait, record_choice,
    record_switch, set_admission, set_demand_share, set_held_bytes, set_held_parts,
};
