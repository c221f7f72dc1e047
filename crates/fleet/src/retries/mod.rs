//! Retry decisions and budgets, proofs that an attempt did not run, and load shedding.

mod budget;
mod decision;
mod outcome;
mod proof;
mod shed;

pub use budget::{BudgetSettings, RetryBudget};
pub use decision::{GiveUpReason, RepeatRule, RetryDecision, RetryInput, RetrySettings};
pub use outcome::{AttemptLog, FailureCause, RunOutcome, UnknownCause};
pub use proof::{
    EntryRefusalReason, NotRunProof, ProofError, ProofKind, RefusalReason, SidecarRefusal,
};
pub use shed::{ShedInput, ShedReason, ShedThreshold, ShedVerdict, WeightLoad};

/// Result of creating a [`NotRunProof`].
pub type Result<T> = std::result::Result<T, ProofError>;
