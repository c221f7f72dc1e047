//! Proofs that an attempt did not run.

use std::io;

use amaranthgw_core::{AttemptNumber, MilliSpan, RequestId};
use serde::{Deserialize, Serialize};

use super::Result;

/// Why a sidecar refused an attempt before it handed anything to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The gate of the target is full.
    GateFull,
    /// The target is leaving or its failure domain is out.
    Leaving,
    /// The target is not ready.
    NotReady,
    /// The deadline cannot be met.
    DeadlineTooNear,
    /// The request crashes the targets that run it.
    CrashesTargets,
    /// The idempotency key is claimed by another attempt.
    KeyClaimed,
}

/// A sidecar's statement that it refused an attempt before the hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SidecarRefusal {
    /// The refused request.
    pub request: RequestId,
    /// The refused attempt.
    pub attempt: AttemptNumber,
    /// Why it was refused.
    pub reason: RefusalReason,
}

/// Why an entry refused a request before it started an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryRefusal {
    /// The workspace is over the limit of its plan.
    OverLimit {
        /// When a request may be admitted again, counted from the refusal.
        retry_after: MilliSpan,
    },
    /// The plan does not include the service, or the workspace is unknown.
    NotInPlan,
    /// No target accepts new work.
    NoTarget,
    /// The request was shed under overload.
    Shed,
    /// The deadline cannot be met.
    DeadlineTooNear,
    /// The request crashes the targets that run it.
    CrashesTargets,
    /// The claim on the idempotency key could not be made.
    NoClaim,
    /// The entry is leaving.
    Leaving,
}

/// What a proof rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofKind {
    /// The sidecar refused before it handed anything to the target.
    RefusedBeforeHandOver(RefusalReason),
    /// The connection was refused, so that no byte left.
    ConnectionRefused,
    /// The entry refused before it started the attempt.
    RefusedAtEntry(EntryRefusal),
}

/// Proof that one attempt did not run.
///
/// It can only be made from the evidence that each constructor names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof {
    kind: ProofKind,
}

impl NotRunProof {
    /// Creates the proof from the sidecar's refusal of the attempt `current` of `request`.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::OtherRequest`] or [`ProofError::OtherAttempt`] where the refusal
    /// speaks of something else.
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

    /// Creates the proof from the error of opening a connection for the attempt.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::BytesMayHaveLeft`] for every error but a refused connection.
    pub fn with_connect_error(error: &io::Error) -> Result<Self> {
        if error.kind() != io::ErrorKind::ConnectionRefused {
            return Err(ProofError::BytesMayHaveLeft { kind: error.kind() });
        }
        let kind = ProofKind::ConnectionRefused;
        Ok(Self { kind })
    }

    /// Creates the proof of an attempt that the entry refuses instead of starting it.
    #[must_use]
    pub fn with_entry_refusal(refusal: EntryRefusal) -> Self {
        let kind = ProofKind::RefusedAtEntry(refusal);
        Self { kind }
    }

    /// What the proof rests on.
    #[must_use]
    pub fn kind(&self) -> ProofKind {
        self.kind
    }
}

/// Why something does not prove that an attempt did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProofError {
    /// The refusal belongs to another request.
    OtherRequest {
        /// The request that was refused.
        refused: RequestId,
    },
    /// The refusal belongs to another attempt.
    OtherAttempt {
        /// The attempt in question.
        current: AttemptNumber,
        /// The attempt that was refused.
        refused: AttemptNumber,
    },
    /// The connection failed in a way that does not show that no byte left.
    BytesMayHaveLeft {
        /// Kind of the connection's error.
        kind: io::ErrorKind,
    },
}

impl std::fmt::Display for ProofError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::OtherRequest { refused } => {
                write!(f, "the refusal belongs to request {refused}")
            }
            Self::OtherAttempt { current, refused } => {
                write!(
                    f,
                    "the refusal of attempt {refused} says nothing of {current}"
                )
            }
            Self::BytesMayHaveLeft { kind } => {
                write!(
                    f,
                    "bytes may have left before the connection failed: {kind}"
                )
            }
        }
    }
}

impl std::error::Error for ProofError {}
