//! Tables of the key-value service and what its calls do to them.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{EntityTable, FencingNumber, StoreRevision};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::faults::{CallCounts, StoreFaults};
use super::ids::{LeaseId, StoreKey};
use super::rows::{KeyRow, LeaseRow, StoredValue};

/// Result of a write.
pub(super) type Result<T> = std::result::Result<T, WriteRefusal>;

/// Why a write did not take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteRefusal {
    /// The present revision is another one (0: absent).
    OtherRevision(StoreRevision),
    /// The lease is unknown or has lapsed.
    NoLease,
}

impl std::fmt::Display for WriteRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::OtherRevision(revision) => write!(f, "the present revision is {revision}"),
            Self::NoLease => f.write_str("the lease is unknown or has lapsed"),
        }
    }
}

impl std::error::Error for WriteRefusal {}

/// What a watch finds.
pub(super) enum WatchState {
    /// The value changed; `None` where it is absent now.
    Changed(Option<StoredValue>),
    /// Nothing new yet; the notifier wakes at the next change.
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
    /// The present value of `key`.
    pub(super) fn value(&self, key: &StoreKey) -> Option<StoredValue> {
        self.keys.get(key).and_then(|row| row.value.clone())
    }

    /// What a watch of `key` that last saw revision `after` has to report.
    pub(super) fn watch(&mut self, key: &StoreKey, after: StoreRevision) -> WatchState {
        let row = self.keys.get_or_insert_with(key.clone(), KeyRow::default);
        if row.is_news(after) {
            return WatchState::Changed(row.value.clone());
        }
        WatchState::Unchanged(Arc::clone(&row.changed))
    }

    /// Writes `bytes` under `key` if its revision is `expect` (0: absent).
    pub(super) fn put(
        &mut self,
        key: &StoreKey,
        expect: StoreRevision,
        bytes: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<StoreRevision> {
        if lease.is_some_and(|lease| !self.leases.contains(&lease)) {
            return Err(WriteRefusal::NoLease);
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

    /// Deletes the value of `key` if its revision is `expect`.
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

    /// Grants a lease for `ttl`.
    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> (LeaseId, FencingNumber) {
        self.fencing = self.fencing.next();
        let lease = LeaseId::new(self.fencing.get());
        let row = LeaseRow {
            fencing: self.fencing,
            ttl,
            lapses_at: now + ttl,
        };
        self.leases.insert(lease, row);
        (lease, self.fencing)
    }

    /// Prolongs `lease` to its whole time from `now`.
    pub(super) fn renew(&mut self, lease: LeaseId, now: Instant) -> Result<FencingNumber> {
        let row = self.leases.get_mut(&lease).ok_or(WriteRefusal::NoLease)?;
        row.lapses_at = now + row.ttl;
        Ok(row.fencing)
    }

    /// Ends `lease` and deletes the values under it.
    pub(super) fn end_lease(&mut self, lease: LeaseId) -> Result<()> {
        self.leases.remove(&lease).ok_or(WriteRefusal::NoLease)?;
        let is_under = |row: &KeyRow| row.value.as_ref().is_some_and(|v| v.lease == Some(lease));
        let under = self.keys.iter().filter(|(_, row)| is_under(row));
        let keys = under.map(|(key, _)| key.clone()).collect::<Vec<_>>();
        for key in &keys {
            self.next_revision();
            self.set_value(key, None);
        }
        Ok(())
    }

    /// Ends the leases that have lapsed by `now`.
    pub(super) fn end_lapsed(&mut self, now: Instant) {
        let lapsed = self.leases.iter().filter(|(_, row)| row.lapses_at <= now);
        let leases = lapsed.map(|(lease, _)| *lease).collect::<Vec<_>>();
        for lease in leases {
            let _is_known = self.end_lease(lease);
        }
    }

    /// When the next lease lapses.
    pub(super) fn next_lapse(&self) -> Option<Instant> {
        self.leases.rows().map(|row| row.lapses_at).min()
    }

    fn check_revision(&self, key: &StoreKey, expect: StoreRevision) -> Result<()> {
        let present = self
            .keys
            .get(key)
            .map_or(StoreRevision::default(), KeyRow::revision);
        if present == expect {
            return Ok(());
        }
        Err(WriteRefusal::OtherRevision(present))
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
