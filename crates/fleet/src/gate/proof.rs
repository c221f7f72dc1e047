//! Refusals of a gate and the proof that a request did not run.

use amaranthgw_core::SlotCount;
use serde::{Deserialize, Serialize};

/// Why a gate refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// As many requests as the limit allows are in flight.
    Full,
    /// It is not yet known what the target still runs.
    Settling,
    /// The target is kept free for, or runs, one suspect request.
    Alone,
    /// The target is not free of other work, as one suspect request needs it.
    NotEmpty,
    /// The queue is full of requests that are dearer to refuse.
    QueueFull,
    /// The request cannot start early enough to meet its deadline.
    TooLate,
}

impl std::fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Full => "the target's limit is reached",
            Self::Settling => "it is not yet known what the target still runs",
            Self::Alone => "the target is kept free for one suspect request",
            Self::NotEmpty => "the target runs other work beside a suspect request",
            Self::QueueFull => "the queue is full",
            Self::TooLate => "the request cannot meet its deadline",
        })
    }
}

/// A refusal made before anything was handed to the target: the request did not run.
///
/// Only the gate can create one. A refusal by the queue counts the waiting requests as both its
/// limit and its requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateRefusal {
    reason: RefusalReason,
    limit: SlotCount,
    in_flight: SlotCount,
}

impl GateRefusal {
    pub(super) const fn new(reason: RefusalReason, limit: SlotCount, in_flight: SlotCount) -> Self {
        Self {
            reason,
            limit,
            in_flight,
        }
    }

    /// Why the request was refused.
    #[must_use]
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Limit at the refusal.
    #[must_use]
    pub const fn limit(&self) -> SlotCount {
        self.limit
    }

    /// Requests in flight at the refusal.
    #[must_use]
    pub const fn in_flight(&self) -> SlotCount {
        self.in_flight
    }
}

impl std::fmt::Display for GateRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "not run: {} ({} in flight, limit {})",
            self.reason, self.in_flight, self.limit
        )
    }
}

impl std::error::Error for GateRefusal {}

/// What proves that a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunCause {
    /// The gate refused it.
    Gate(RefusalReason),
    /// The connection to the target was refused before a byte was sent.
    ConnectRefused,
    /// The sidecar refused it before its hand-over for another reason, such as a drain.
    RefusedBySidecar,
}

/// Proof that a request, or one attempt of it, did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof {
    cause: NotRunCause,
}

impl NotRunProof {
    /// Creates the proof for a connection that was refused before a byte was sent.
    #[must_use]
    pub const fn with_connect_refused() -> Self {
        Self {
            cause: NotRunCause::ConnectRefused,
        }
    }

    /// Creates the proof for a request that the sidecar refused before the hand-over.
    ///
    /// The caller states by this call that no byte of the request was handed to the target.
    #[must_use]
    pub const fn with_refusal_before_hand_over() -> Self {
        Self {
            cause: NotRunCause::RefusedBySidecar,
        }
    }

    /// What proves it.
    #[must_use]
    pub const fn cause(&self) -> NotRunCause {
        self.cause
    }
}

impl From<GateRefusal> for NotRunProof {
    fn from(refusal: GateRefusal) -> Self {
        Self {
            cause: NotRunCause::Gate(refusal.reason),
        }
    }
}
