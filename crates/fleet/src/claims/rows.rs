//! Rows of a batcher: asks, ends and withdrawn claims that are not yet settled.

use amaranthgw_core::StoreRevision;
use tokio::time::Instant;

use super::{ClaimAsk, KeyHash, StoredAnswer};

/// An ask without a verdict.
#[derive(Clone, Debug)]
pub(super) struct AskRow {
    pub(super) ask: ClaimAsk,
    pub(super) asked_at: Instant,
    /// Expected revision of the last write that carried it.
    pub(super) written_on: Option<StoreRevision>,
}

/// An end that is not yet known to be stored.
#[derive(Clone, Debug)]
pub(super) struct FinishRow {
    pub(super) key: KeyHash,
    pub(super) answer: StoredAnswer,
    pub(super) due_at: Instant,
}

/// A claim that never ran and must not stay in the value.
#[derive(Clone, Debug)]
pub(super) struct WithdrawnRow {
    pub(super) key: KeyHash,
    /// A write with this expected revision may yet bring the claim in.
    pub(super) written_on: StoreRevision,
}
