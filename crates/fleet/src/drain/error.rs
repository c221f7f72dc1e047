//! Refusal of new work during a drain.

use amaranthgw_core::ChangeNumber;

use super::DrainCause;
use crate::gate::NotRunProof;

/// New work was refused because the target or entry is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainRefusal {
    /// Cause of the drain.
    pub cause: DrainCause,
    /// Last configuration change known to the process that refuses; the other process can compare it
    /// with its own.
    pub change: ChangeNumber,
}

impl DrainRefusal {
    /// Proof that the refused request did not run.
    #[must_use]
    pub const fn proof(&self) -> NotRunProof {
        NotRunProof::with_refusal_before_dispatch()
    }
}

impl std::fmt::Display for DrainRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "not run: {} (configuration change {})",
            self.cause, self.change
        )
    }
}

impl std::error::Error for DrainRefusal {}

/// Result of an admission check.
pub type Result<T> = std::result::Result<T, DrainRefusal>;
