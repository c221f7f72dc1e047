//! Refusals and errors of the claims.

use crate::gate::NotRunProof;

/// Why no claim was granted although the key may be free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimRefusal {
    /// The key-value service gave no usable answer in time.
    StoreUnavailable,
    /// The value that would hold the claim is full.
    ShardFull,
    /// The content of the value cannot be read; it is left as it is.
    Unreadable,
    /// The key was first used for a request that asks for something else.
    OtherBody,
}

impl ClaimRefusal {
    /// The proof that the refused request did not run: a request runs only with a grant.
    #[must_use]
    pub const fn proof(self) -> NotRunProof {
        NotRunProof::with_refusal_before_hand_over()
    }
}

impl std::fmt::Display for ClaimRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::StoreUnavailable => "not run: the key-value service is unavailable",
            Self::ShardFull => "not run: no room for another claim",
            Self::Unreadable => "not run: stored claims cannot be read",
            Self::OtherBody => "not run: the key belongs to another request",
        })
    }
}

impl std::error::Error for ClaimRefusal {}

/// Why a grant may not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// It is too late to begin the request; the claim has to be released.
    GrantExpired,
}

impl std::fmt::Display for ClaimError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::GrantExpired => f.write_str("the grant was not used in time"),
        }
    }
}

impl std::error::Error for ClaimError {}

/// Result of using a grant.
pub type Result<T> = std::result::Result<T, ClaimError>;
