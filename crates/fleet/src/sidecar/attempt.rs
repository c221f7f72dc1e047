//! Checks of an attempt before admission by the gate.

use std::time::Duration;

use amaranthgw_core::{ServiceId, TargetId};

use super::ServedTarget;
use crate::entry::TargetStatus;
use crate::routing::TargetStage;

/// Fields of an attempt that are checked.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInput<'a> {
    /// Target selected by the entry.
    pub target: &'a TargetId,
    /// Service requested by the caller.
    pub service: &'a ServiceId,
    /// Time left until the deadline.
    pub remaining: Duration,
}

/// Reason why an attempt is refused before it reaches the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptRefusal {
    /// This sidecar serves another target or service.
    WrongTarget,
    /// The target accepts no new work.
    Leaving,
    /// The deadline has passed.
    Expired,
}

impl std::fmt::Display for AttemptRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::WrongTarget => "the sidecar at this address serves another target or service",
            Self::Leaving => "the target accepts no new work",
            Self::Expired => "the deadline has passed",
        })
    }
}

impl std::error::Error for AttemptRefusal {}

/// Checks an attempt against the target and its published status.
///
/// # Errors
///
/// Returns an [`AttemptRefusal`] where the attempt may not run; nothing was sent to the target.
pub fn check_attempt(
    served: &ServedTarget,
    status: &TargetStatus,
    attempt: &AttemptInput<'_>,
) -> Result<(), AttemptRefusal> {
    if served.target != *attempt.target || served.service != *attempt.service {
        return Err(AttemptRefusal::WrongTarget);
    }
    if status.stage == TargetStage::Leaving {
        return Err(AttemptRefusal::Leaving);
    }
    if attempt.remaining.is_zero() {
        return Err(AttemptRefusal::Expired);
    }
    Ok(())
}
