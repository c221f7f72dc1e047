//! Proofs that an attempt did not run.

use std::io;

use amaranthgw_core::{AttemptNumber, MilliSpan, RequestId};
use serde::{Deserialize, Serialize};

use super::Result;

/// Why a sidecar refused an attempt before it dispatched anything to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The target's gate has no free slot.
    GateFull,
    /// The target is leaving, or its failure domain is out of service.
    Leaving,
    /// The target is not ready.
    NotReady,
    /// The deadline cannot be met.
    DeadlineTooNear,
    /// The request has crashed the targets that ran it.
    CrashesTargets,
    /// Another attempt holds the claim on the idempotency key.
    KeyClaimed,
}

/// A sidecar's notification that it refused an attempt before dispatching it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarRefusal {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the refused attempt.
    pub attempt: AttemptNumber,
    /// Reason of the refusal.
    pub reason: RefusalReason,
}

/// Why an entry refused a request before starting an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryRefusalReason {
    /// The workspace is over the limit of its plan.
    OverLimit {
        /// Time after the refusal at which a request may be admitted again.
        retry_after: MilliSpan,
    },
    /// The plan does not include the service, or the workspace is unknown.
    NotInPlan,
    /// No target accepts new requests.
    NoTarget,
    /// The request was shed because of overload.
    Shed,
    /// The deadline cannot be met.
    DeadlineTooNear,
    /// The request has crashed the targets that ran it.
    CrashesTargets,
    /// The idempotency key could not be claimed.
    NoClaim,
    /// The entry is leaving.
    Leaving,
}

/// Evidence that an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofKind {
    /// The sidecar refused the attempt before it dispatched anything to the target. The variant's
    /// name appears in logs.
    RefusedBeforeHandOver(RefusalReason),
    /// The connection was refused, so no bytes were sent.
    ConnectionRefused,
    /// The entry refused the request instead of starting the attempt.
    RefusedAtEntry(EntryRefusalReason),
}

/// Proof that one attempt did not run, with the entry's evidence. The process that refuses a request
/// itself creates a [`gate::NotRunProof`](crate::gate::NotRunProof) instead.
///
/// Each constructor requires one kind of evidence; there is no other way to create a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof {
    kind: ProofKind,
}

impl NotRunProof {
    /// Creates the proof from the sidecar's refusal of the attempt `current` of `request`.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::OtherRequest`] or [`ProofError::OtherAttempt`] if the refusal belongs
    /// to another request or attempt.
    pub fn with_sidecar_refusal(
        request: &RequestId,
        current: AttemptNumber,
        refusal: &SidecarRefusal,
    ) -> Result<Self> {
        if refusal.request != *request {
            let refused = refusal.request.clone();
            return Err(ProofError::OtherRequest { refused });
        }
        if refusal.attempt != current {
            let refused = refusal.attempt;
            return Err(ProofError::OtherAttempt { current, refused });
        }
        let kind = ProofKind::RefusedBeforeHandOver(refusal.reason);
        Ok(Self { kind })
    }

    /// Creates the proof from the error with which the connection for the attempt failed.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::BytesMayBeSent`] for every error except a refused connection.
    pub fn with_connect_error(error: &io::Error) -> Result<Self> {
        if error.kind() != io::ErrorKind::ConnectionRefused {
            return Err(ProofError::BytesMayBeSent { kind: error.kind() });
        }
        let kind = ProofKind::ConnectionRefused;
        Ok(Self { kind })
    }

    /// Creates the proof for an attempt that the entry refuses to start.
    #[must_use]
    pub fn with_entry_refusal(refusal: EntryRefusalReason) -> Self {
        let kind = ProofKind::RefusedAtEntry(refusal);
        Self { kind }
    }

    /// The evidence of the proof.
    #[must_use]
    pub fn kind(&self) -> ProofKind {
        self.kind
    }
}

/// Why the evidence does not prove that an attempt did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProofError {
    /// The refusal belongs to another request.
    OtherRequest {
        /// Request that the refusal belongs to.
        refused: RequestId,
    },
    /// The refusal belongs to another attempt.
    OtherAttempt {
        /// Attempt that the proof is needed for.
        current: AttemptNumber,
        /// Attempt that the refusal belongs to.
        refused: AttemptNumber,
    },
    /// The connection failed, but bytes may have been sent before.
    BytesMayBeSent {
        /// Kind of the connection error.
        kind: io::ErrorKind,
    },
}

impl std::fmt::Display for ProofError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::OtherRequest { refused } => {
                write!(f, "the refusal belongs to another request, {refused}")
            }
            Self::OtherAttempt { current, refused } => {
                write!(
                    f,
                    "the refusal belongs to attempt {refused}, expected attempt {current}"
                )
            }
            Self::BytesMayBeSent { kind } => {
                write!(
                    f,
                    "bytes may have been sent before the connection failed: {kind}"
                )
            }
        }
    }
}

impl std::error::Error for ProofError {}
