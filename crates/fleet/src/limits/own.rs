//! What this entry holds of the limits of one shard.

use amaranthgw_core::EntityTable;
use tokio::time::Instant;

use super::divide::{floor_amount, pool_amount, scale_amount};
use super::{HolderId, ShareAmount, ShareKey, ShareSettings, ShareValue};

/// What this entry may use of one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalShare {
    /// The part that needs no lease.
    pub floor: ShareAmount,
    /// The part that counts until the lease ends.
    pub leased: ShareAmount,
    /// When the lease ends, if there is one.
    pub leased_until: Option<Instant>,
}

/// One limit as far as this entry holds a part of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnRow {
    /// The smallest grant that the key-value service may have in force.
    pub ceiling: ShareAmount,
    /// What is used here; at most the ceiling.
    pub granted: ShareAmount,
    /// The largest pool that the shares may have been divided from.
    pub pool: ShareAmount,
}

/// What this entry holds of the limits of one shard.
#[derive(Debug, Default)]
pub(super) struct OwnTable {
    pub rows: EntityTable<ShareKey, OwnRow>,
    pub lease_until: Option<Instant>,
    aims: EntityTable<ShareKey, ShareAmount>,
    /// The largest pool of each key since the last write that is known to be in force was sent.
    seen_pools: EntityTable<ShareKey, ShareAmount>,
    /// The largest pool of each key since the last write was sent.
    sent_pools: EntityTable<ShareKey, ShareAmount>,
}

impl OwnTable {
    /// Takes over what `value`, whose content is known to be in force, grants to `holder`.
    ///
    /// What is used here stays as low as it is until [`Self::raise`].
    pub fn adopt(&mut self, value: &ShareValue, holder: &HolderId, lease_until: Option<Instant>) {
        let old = std::mem::take(&mut self.rows);
        for (key, shares) in value.keys.iter() {
            if let Some(row) = shares.holders.get(holder) {
                let used = old
                    .get(key)
                    .map_or_else(ShareAmount::default, |row| row.granted);
                let own = OwnRow {
                    ceiling: row.held,
                    granted: row.held.min(used),
                    pool: shares.pool.max(self.seen_pool(key)),
                };
                self.rows.insert(key.clone(), own);
            }
        }
        self.lease_until = self.lease_until.max(lease_until);
    }

    /// Notes the pool that `key` has at present.
    ///
    /// Another entry may divide it before this one sees the value again, so that under a later,
    /// smaller limit the shares are reduced from the largest pool since.
    pub fn note_pool(&mut self, key: &ShareKey, pool: ShareAmount) {
        if let Some(row) = self.rows.get_mut(key) {
            row.pool = row.pool.max(pool);
        }
        for pools in [&mut self.seen_pools, &mut self.sent_pools] {
            let seen = pools.get_or_insert_with(key.clone(), ShareAmount::default);
            *seen = seen.max(pool);
        }
    }

    /// Starts anew to note the pools since the write that is about to be sent.
    pub fn restart_pools(&mut self) {
        self.sent_pools.clear();
    }

    /// Forgets the pools noted before the write that is now known to be in force.
    ///
    /// Any other write in force after it was planned after it was sent. A read proves less:
    /// a write planned earlier, under a larger pool, may still come into force.
    pub fn forget_pools(&mut self) {
        self.seen_pools.clone_from(&self.sent_pools);
    }

    /// Lowers what is used of each key to at most what `targets` says.
    pub fn lower(&mut self, targets: &EntityTable<ShareKey, ShareAmount>) {
        for (key, row) in self.rows.iter_mut() {
            let target = targets.get(key).copied().unwrap_or_default();
            row.granted = row.granted.min(target);
        }
    }

    /// Sets what this entry aims at for each key.
    pub fn set_aims(&mut self, aims: EntityTable<ShareKey, ShareAmount>) {
        self.aims = aims;
    }

    /// Whether more is held of some key than this entry aims at.
    pub fn is_draining(&self) -> bool {
        let is_above = |(key, row): (&ShareKey, &OwnRow)| !row.ceiling.is_within(self.aim(key));
        self.rows.iter().any(is_above)
    }

    /// Lowers the ceilings to what `value` would grant to `holder`, as it may come into force.
    pub fn expect(&mut self, value: &ShareValue, holder: &HolderId) {
        for (key, row) in self.rows.iter_mut() {
            let shares = value.keys.get(key);
            let grant = shares.and_then(|shares| shares.holders.get(holder));
            let held = grant.map_or_else(ShareAmount::default, |grant| grant.held);
            row.ceiling = row.ceiling.min(held);
            row.granted = row.granted.min(held);
        }
    }

    /// Uses what this entry aims at, as far as the ceilings allow.
    pub fn raise_to_aims(&mut self) {
        for (key, row) in self.rows.iter_mut() {
            let aim = self.aims.get(key).copied().unwrap_or_default();
            row.granted = row.ceiling.min(aim);
        }
    }

    /// Uses everything that the ceilings allow.
    pub fn raise_to_ceilings(&mut self) {
        for (_, row) in self.rows.iter_mut() {
            row.granted = row.ceiling;
        }
    }

    /// What is used of `key`, whether or not the lease is over.
    pub fn granted(&self, key: &ShareKey) -> ShareAmount {
        let row = self.rows.get(key);
        row.map_or_else(ShareAmount::default, |row| row.granted)
    }

    /// What may be used of `key` under `limit`; `has_slot` tells whether this entry has a slot.
    pub fn share(
        &self,
        key: &ShareKey,
        limit: ShareAmount,
        has_slot: bool,
        settings: &ShareSettings,
    ) -> LocalShare {
        let floor = if has_slot {
            floor_amount(limit, settings)
        } else {
            ShareAmount::default()
        };
        let pool = pool_amount(limit, settings);
        let scaled = |row: &OwnRow| scale_amount(row.granted, pool, row.pool);
        let leased = self.rows.get(key).map_or_else(ShareAmount::default, scaled);
        LocalShare {
            floor,
            leased,
            leased_until: self.lease_until,
        }
    }

    fn aim(&self, key: &ShareKey) -> ShareAmount {
        self.aims.get(key).copied().unwrap_or_default()
    }

    fn seen_pool(&self, key: &ShareKey) -> ShareAmount {
        self.seen_pools.get(key).copied().unwrap_or_default()
    }
}
