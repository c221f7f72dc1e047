//! What a sidecar checks before it asks the gate.

use std::time::Duration;

use amaranthgw_core::{ServiceId, TargetId};

use super::ServedTarget;
use crate::entry::TargetStatus;
use crate::routing::TargetStage;

/// The parts of an attempt that the check needs.
#[derive(Clone, Copy, Debug)]
pub struct OrderTerms<'a> {
    /// Target that the entry chose.
    pub target: &'a TargetId,
    /// Service that the caller named.
    pub service: &'a ServiceId,
    /// Time left until the answer is due.
    pub remaining: Duration,
}

/// Why an attempt is refused before it reaches the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// Another target or service lives here.
    WrongTarget,
    /// The target takes no new work.
    Leaving,
    /// The answer is due already.
    Expired,
}

impl std::fmt::Display for OrderRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::WrongTarget => "another target lives at this address",
            Self::Leaving => "the target takes no new work",
            Self::Expired => "the deadline has passed",
        })
    }
}

impl std::error::Error for OrderRefusal {}

/// Checks an attempt against the target and its published status.
///
/// # Errors
///
/// Returns an [`OrderRefusal`]; nothing was handed to the target.
pub fn check_order(
    served: &ServedTarget,
    status: &TargetStatus,
    terms: &OrderTerms<'_>,
) -> Result<(), OrderRefusal> {
    if served.target != *terms.target || served.service != *terms.service {
        return Err(OrderRefusal::WrongTarget);
    }
    if status.stage == TargetStage::Leaving {
        return Err(OrderRefusal::Leaving);
    }
    if terms.remaining.is_zero() {
        return Err(OrderRefusal::Expired);
    }
    Ok(())
}
