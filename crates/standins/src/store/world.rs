//! State of the key-value service and the operations of its calls.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{EntityTable, FencingNumber, StoreRevision};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::faults::{CallCounts, StoreFaults};
use super::ids::{LeaseId, StoreKey};
use super::rows::{KeyRow, LeaseRow, StoredValue};

/// Result of a write or a lease operation.
pub(super) type Result<T> = std::result::Result<T, WriteError>;

/// Why a write or a lease operation did not take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteError {
    /// The key's current revision, which differs from the expected one (0: absent).
    RevisionMismatch(StoreRevision),
    /// The lease is unknown or has expired.
    LeaseNotFound,
}

impl std::fmt::Display for WriteError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::RevisionMismatch(revision) => {
                write!(f, "revision mismatch: the current revision is {revision}")
            }
            Self::LeaseNotFound => f.write_str("the lease is unknown or has expired"),
        }
    }
}

impl std::error::Error for WriteError {}

/// Result of checking a watched key.
pub(super) enum WatchState {
    /// The value has changed; `None` if it is absent now.
    Changed(Option<StoredValue>),
    /// No change yet; the notifier fires at the next one.
    Unchanged(Arc<Notify>),
}

/// State of the key-value service.
#[derive(Debug, Default)]
pub(super) struct StoreWorld {
    keys: EntityTable<StoreKey, KeyRow>,
    leases: EntityTable<LeaseId, LeaseRow>,
    revision: StoreRevision,
    fencing: FencingNumber,
    pub(super) faults: StoreFaults,
    pub(super) counts: CallCounts,
}

impl StoreWorld {
    /// The current value of `key`.
    pub(super) fn value(&self, key: &StoreKey) -> Option<StoredValue> {
        self.keys.get(key).and_then(|row| row.value.clone())
    }

    /// Checks `key` for a change since revision `after`.
    pub(super) fn watch(&mut self, key: &StoreKey, after: StoreRevision) -> WatchState {
        let row = self.keys.get_or_insert_with(key.clone(), KeyRow::default);
        if row.has_change_after(after) {
            return WatchState::Changed(row.value.clone());
        }
        WatchState::Unchanged(Arc::clone(&row.changed))
    }

    /// Writes `bytes` under `key` if its current revision is `expect` (0: absent).
    pub(super) fn put(
        &mut self,
        key: &StoreKey,
        expect: StoreRevision,
        bytes: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<StoreRevision> {
        if lease.is_some_and(|lease| !self.leases.contains(&lease)) {
            return Err(WriteError::LeaseNotFound);
        }
        self.check_revision(key, expect)?;
        let revision = self.next_revision();
        let value = StoredValue {
            bytes,
            revision,
            lease,
        };
        self.set_value(key, Some(value));
        Ok(revision)
    }

    /// Deletes the value of `key` if its current revision is `expect`.
    pub(super) fn delete(
        &mut self,
        key: &StoreKey,
        expect: StoreRevision,
    ) -> Result<StoreRevision> {
        self.check_revision(key, expect)?;
        let revision = self.next_revision();
        self.set_value(key, None);
        Ok(revision)
    }

    /// Grants a lease for `ttl` and returns it with its fencing token.
    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> (LeaseId, FencingNumber) {
        self.fencing = self.fencing.next();
        let lease = LeaseId::new(self.fencing.get());
        let row = LeaseRow {
            fencing: self.fencing,
            ttl,
            expires_at: now + ttl,
        };
        self.leases.insert(lease, row);
        (lease, self.fencing)
    }

    /// Renews `lease` for its full TTL from `now`.
    pub(super) fn renew(&mut self, lease: LeaseId, now: Instant) -> Result<FencingNumber> {
        let row = self
            .leases
            .get_mut(&lease)
            .ok_or(WriteError::LeaseNotFound)?;
        row.expires_at = now + row.ttl;
        Ok(row.fencing)
    }

    /// Ends `lease` and deletes the values attached to it.
    pub(super) fn end_lease(&mut self, lease: LeaseId) -> Result<()> {
        self.leases
            .remove(&lease)
            .ok_or(WriteError::LeaseNotFound)?;
        let is_attached = |row: &KeyRow| row.value.as_ref().is_some_and(|v| v.lease == Some(lease));
        let attached = self.keys.iter().filter(|(_, row)| is_attached(row));
        let keys = attached.map(|(key, _)| key.clone()).collect::<Vec<_>>();
        for key in &keys {
            self.next_revision();
            self.set_value(key, None);
        }
        Ok(())
    }

    /// Ends the leases whose TTL has passed at `now`.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, row)| row.expires_at <= now);
        let leases = expired.map(|(lease, _)| *lease).collect::<Vec<_>>();
        for lease in leases {
            let _is_known = self.end_lease(lease);
        }
    }

    /// When the next lease expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.rows().map(|row| row.expires_at).min()
    }

    fn check_revision(&self, key: &StoreKey, expect: StoreRevision) -> Result<()> {
        let current = self
            .keys
            .get(key)
            .map_or(StoreRevision::default(), KeyRow::revision);
        if current == expect {
            return Ok(());
        }
        Err(WriteError::RevisionMismatch(current))
    }

    fn next_revision(&mut self) -> StoreRevision {
        self.revision = self.revision.next();
        self.revision
    }

    fn set_value(&mut self, key: &StoreKey, value: Option<StoredValue>) {
        let row = self.keys.get_or_insert_with(key.clone(), KeyRow::default);
        row.value = value;
        row.changed_at = self.revision;
        row.changed.notify_waiters();
    }
}
