//! The gate of a target: cold start, ramp, bound on work in flight.
//!
//! [`GateRow`] decides on the control thread how many requests the target may have in flight.
//! [`AdmissionSlots`] enforces the decision on the traffic threads without a lock, and
//! [`publish_gate`] carries the state between the two.

mod evidence;
mod latency;
mod leftover;
mod number;
mod proof;
mod queue;
mod row;
mod settings;
mod shift;
mod slots;
mod system;
mod word;

pub use evidence::{AnswerEvidence, GateEvidence, LoadEvidence};
pub use number::{PartPercent, TicketNumber};
pub use proof::{GateRefusal, NotRunCause, NotRunProof, RefusalReason};
pub use queue::{
    QueueChange, QueueRow, QueueSettings, QueueTable, QueueTurn, drop_expired, enqueue, take_next,
};
pub use row::GateRow;
pub use settings::GateSettings;
pub use shift::{ColdCause, GateShift, GateStage, ShiftInputs};
pub use slots::{AdmissionPermit, AdmissionSlots};
pub use system::publish_gate;
pub use word::SetbackCount;

/// Result of an admission.
pub type Result<T> = std::result::Result<T, GateRefusal>;
