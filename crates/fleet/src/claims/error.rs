//! Claim refusals and grant errors.

use crate::gate::NotRunProof;

/// Reason why a claim was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimRefusal {
    /// The key-value service gave no usable reply before the deadline.
    StoreUnavailable,
    /// The stored value that would hold the claim has reached its maximum size.
    ShardFull,
    /// The stored value cannot be decoded; it is left unchanged.
    Unreadable,
    /// The key was already used for a request with another service, method, path or body.
    KeyReused,
}

impl ClaimRefusal {
    /// Proof that the refused request did not run: a request runs only with a grant.
    #[must_use]
    pub const fn proof(self) -> NotRunProof {
        NotRunProof::with_refusal_before_dispatch()
    }
}

impl std::fmt::Display for ClaimRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::StoreUnavailable => "not run: the key-value service is unavailable",
            Self::ShardFull => "not run: the claim store has no room for another claim",
            Self::Unreadable => "not run: the stored claims cannot be decoded",
            Self::KeyReused => "not run: the idempotency key was already used for another request",
        })
    }
}

impl std::error::Error for ClaimRefusal {}

/// Reason why a grant may not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// The deadline for dispatch has passed; the claim has to be released.
    GrantExpired,
}

impl std::fmt::Display for ClaimError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::GrantExpired => f.write_str("the claim grant expired before dispatch"),
        }
    }
}

impl std::error::Error for ClaimError {}

/// Result of checking a grant.
pub type Result<T> = std::result::Result<T, ClaimError>;
