//! Rows of the key-value service's tables.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{FencingNumber, StoreRevision};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::ids::LeaseId;

/// A value with the revision of its last write.
#[derive(Clone, Debug)]
pub(super) struct StoredValue {
    pub(super) bytes: Bytes,
    pub(super) revision: StoreRevision,
    pub(super) lease: Option<LeaseId>,
}

/// Everything that is kept for a key that was ever written or watched.
#[derive(Debug, Default)]
pub(super) struct KeyRow {
    pub(super) value: Option<StoredValue>,
    /// Revision of the last write or deletion.
    pub(super) changed_at: StoreRevision,
    /// Wakes the watches of this key.
    pub(super) changed: Arc<Notify>,
}

impl KeyRow {
    /// Revision of the present value; 0 where it is absent.
    pub(super) fn revision(&self) -> StoreRevision {
        self.value
            .as_ref()
            .map_or(StoreRevision::default(), |value| value.revision)
    }

    /// Whether a watch that last saw revision `after` (0: absent) has something to report.
    pub(super) fn is_news(&self, after: StoreRevision) -> bool {
        let saw_absent = after == StoreRevision::default();
        let is_still_absent = saw_absent && self.value.is_none();
        self.changed_at > after && !is_still_absent
    }
}

/// A granted lease.
#[derive(Debug)]
pub(super) struct LeaseRow {
    pub(super) fencing: FencingNumber,
    pub(super) ttl: Duration,
    pub(super) lapses_at: Instant,
}
