//! Admission refusals and proofs that a request did not run.

use amaranthgw_core::SlotCount;
use serde::{Deserialize, Serialize};

/// Reason why a gate refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The limit on requests in flight is reached; the limit is 0 while the gate settles.
    Full,
    /// It is not yet known which earlier requests the target still runs. A gate that settles
    /// refuses with [`Self::Full`] instead.
    Settling,
    /// The target is reserved for, or runs, one suspect request.
    Alone,
    /// A suspect request must run alone, and the target still runs other work or is not reserved.
    NotEmpty,
    /// The queue is full of requests that cost as much or more to refuse.
    QueueFull,
    /// The latest start of the request has passed, or not all waiting requests can start in time
    /// and this one costs least to refuse.
    TooLate,
}

impl std::fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Full => "the limit of the target is reached",
            Self::Settling => "it is not yet known which earlier requests the target still runs",
            Self::Alone => "the target is reserved for one suspect request",
            Self::NotEmpty => "the target runs other work, and a suspect request must run alone",
            Self::QueueFull => "the queue is full",
            Self::TooLate => "the request cannot meet its deadline",
        })
    }
}

/// Refusal before anything was sent to the target: the request did not run.
///
/// Only the `gate` module can create one. A refusal by the queue holds the number of requests still
/// queued in both `limit` and `in_flight`, instead of the numbers of the target.
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

    /// Reason of the refusal.
    #[must_use]
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Limit at the time of the refusal; for a refusal by the queue, the requests still queued.
    #[must_use]
    pub const fn limit(&self) -> SlotCount {
        self.limit
    }

    /// Requests in flight at the time of the refusal; for a refusal by the queue, the requests
    /// still queued.
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

/// Reason why a request is known not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunCause {
    /// The gate refused it.
    Gate(RefusalReason),
    /// The connection to the target was refused before a byte was sent.
    ConnectRefused,
    /// It was refused before dispatch for another reason, such as a drain or a claim.
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

    /// Creates the proof for a request that was refused before dispatch.
    ///
    /// By calling this, the caller asserts that no byte of the request was sent to the target.
    #[must_use]
    pub const fn with_refusal_before_dispatch() -> Self {
        Self {
            cause: NotRunCause::RefusedBySidecar,
        }
    }

    /// Reason why the request is known not to have run.
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
