//! Admission control per target: slow start after a cold start and a limit on requests in flight.
//!
//! [`GateRow`] decides on the control thread how many requests the target may have in flight.
//! [`AdmissionSlots`] enforces the limit on the traffic threads without locks, and
//! [`publish_gate`] transfers state between the two.

mod abandoned;
mod evidence;
mod latency;
mod number;
mod proof;
mod queue;
mod row;
mod settings;
mod slots;
mod system;
mod transition;
mod word;

pub use evidence::{AnswerEvidence, GateEvidence, LoadEvidence};
pub use number::{PartPercent, TicketNumber};
pub use proof::{GateRefusal, NotRunCause, NotRunProof, RefusalReason};
pub use queue::{
    QueueRefusal, QueueRow, QueueSelection, QueueSettings, QueueTable, drop_expired, enqueue,
    take_next,
};
pub use row::GateRow;
pub use settings::GateSettings;
pub use slots::{AdmissionPermit, AdmissionSlots};
pub use system::publish_gate;
pub use transition::{ColdCause, GateStage, GateTransition, ShiftInputs};
pub use word::ConnectionFailureCount;

/// Result of an admission attempt.
pub type Result<T> = std::result::Result<T, GateRefusal>;
