//! Rows of a batcher: pending claims, unsaved answers and withdrawn claims.

use amaranthgw_core::StoreRevision;
use tokio::time::Instant;

use super::{ClaimSubmission, KeyHash, StoredAnswer};

/// Submitted claim without a verdict.
#[derive(Clone, Debug)]
pub(super) struct PendingClaim {
    pub(super) submission: ClaimSubmission,
    pub(super) submitted_at: Instant,
    /// Expected revision of the last swap that contained the claim.
    pub(super) written_on: Option<StoreRevision>,
}

/// Answer to a claimed request that is not yet known to be stored.
#[derive(Clone, Debug)]
pub(super) struct FinishRow {
    pub(super) key: KeyHash,
    pub(super) answer: StoredAnswer,
    pub(super) due_at: Instant,
}

/// Claim whose request never ran and which must not remain stored.
#[derive(Clone, Debug)]
pub(super) struct WithdrawnRow {
    pub(super) key: KeyHash,
    /// A delayed swap with this expected revision may still store the claim.
    pub(super) written_on: StoreRevision,
}
