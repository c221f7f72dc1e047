//! Table rows of the key-value service.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{FencingNumber, StoreRevision};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::ids::LeaseId;

/// A value with the revision of its last write and the lease that it is attached to.
#[derive(Clone, Debug)]
pub(super) struct StoredValue {
    pub(super) bytes: Bytes,
    pub(super) revision: StoreRevision,
    pub(super) lease: Option<LeaseId>,
}

/// State of a key that was ever written or watched.
#[derive(Debug, Default)]
pub(super) struct KeyRow {
    pub(super) value: Option<StoredValue>,
    /// Revision of the last write or deletion; 0 if there was none.
    pub(super) changed_at: StoreRevision,
    /// Wakes the watches of the key.
    pub(super) changed: Arc<Notify>,
}

impl KeyRow {
    /// Revision of the current value; 0 if absent.
    pub(super) fn revision(&self) -> StoreRevision {
        self.value
            .as_ref()
            .map_or(StoreRevision::default(), |value| value.revision)
    }

    /// Whether the value has changed since revision `after` (0: absent).
    pub(super) fn has_change_after(&self, after: StoreRevision) -> bool {
        let saw_absent = after == StoreRevision::default();
        let is_still_absent = saw_absent && self.value.is_none();
        self.changed_at > after && !is_still_absent
    }
}

/// Row of a granted lease.
#[derive(Debug)]
pub(super) struct LeaseRow {
    pub(super) fencing: FencingNumber,
    pub(super) ttl: Duration,
    pub(super) expires_at: Instant,
}
