//! Rows of a batcher: pending claims, unsaved answers and withdrawn claims.

use amaranthgw_core::StoreRevision;
use tokio::time::Instant;

use super::{ClaimSubmission, KeyHash, StoredAnswer};

/// Submitted claim without a verdict.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    pub(super) submission: ClaimSubmission,
    pub(super) submitted_at: Instant,
    /// Revision that the last swap with the claim expected; `None` before the first.
    pub(super) expected_revision: Option<StoreRevision>,
}

/// Answer to a claimed request that is not yet known to be stored.
#[derive(Clone, Debug)]
pub(super) struct UnsavedAnswer {
    pub(super) key: KeyHash,
    pub(super) answer: StoredAnswer,
    pub(super) due_at: Instant,
}

/// Claim whose request never ran and which must not remain stored.
#[derive(Clone, Debug)]
pub(super) struct WithdrawnClaim {
    pub(super) key: KeyHash,
    /// Revision expected by the last swap that may still store the claim; 0 where none can, as for
    /// a released claim.
    pub(super) expected_revision: StoreRevision,
}
