//! The refusal of something that leaves.

use amaranthgw_core::ChangeNumber;

use super::DrainCause;
use crate::gate::NotRunProof;

/// New work is refused because the target or entry leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainRefusal {
    /// Why it leaves.
    pub cause: DrainCause,
    /// Configuration known to the refusing end, from which the other end learns that it is late.
    pub change: ChangeNumber,
}

impl DrainRefusal {
    /// The proof that the refused request did not run.
    #[must_use]
    pub const fn proof(&self) -> NotRunProof {
        NotRunProof::with_refusal_before_hand_over()
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

/// Result of asking for new work.
pub type Result<T> = std::result::Result<T, DrainRefusal>;
