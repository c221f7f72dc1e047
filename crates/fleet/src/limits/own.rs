//! This entry's own shares of the limits of one shard.

use amaranthgw_core::EntityTable;
use tokio::time::Instant;

use super::divide::{floor_amount, pool_amount, scale_amount};
use super::{HolderId, ShareAmount, ShareKey, ShareSettings, ShareValue};

/// Share of one limit that this entry may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalShare {
    /// Fixed part of the limit that belongs to this entry's slot and needs no lease.
    pub floor: ShareAmount,
    /// Granted part, which is valid until the lease ends.
    pub leased: ShareAmount,
    /// When the lease ends, if there is one.
    pub leased_until: Option<Instant>,
}

/// This entry's share of one limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnRow {
    /// Upper bound of the share in use: the smallest grant to this entry that the stored value may
    /// contain.
    pub ceiling: ShareAmount,
    /// Share in use at this entry; at most the ceiling.
    pub granted: ShareAmount,
    /// Largest pool from which the shares may have been granted.
    pub pool: ShareAmount,
}

/// This entry's shares of the limits of one shard.
#[derive(Debug, Default)]
pub(super) struct OwnTable {
    pub rows: EntityTable<ShareKey, OwnRow>,
    pub lease_until: Option<Instant>,
    goals: EntityTable<ShareKey, ShareAmount>,
    /// Largest pool of each key recorded since the last confirmed write was sent.
    pools_since_confirmed: EntityTable<ShareKey, ShareAmount>,
    /// Largest pool of each key recorded since the last write was sent.
    pools_since_sent: EntityTable<ShareKey, ShareAmount>,
}

impl OwnTable {
    /// Adopts the grants of `value`, which is known to be stored, to `holder`.
    ///
    /// The shares in use don't grow until [`Self::set_to_goals`] or [`Self::raise_to_ceilings`].
    pub fn adopt(&mut self, value: &ShareValue, holder: &HolderId, lease_until: Option<Instant>) {
        let old = std::mem::take(&mut self.rows);
        for (key, shares) in value.keys.iter() {
            if let Some(row) = shares.holders.get(holder) {
                let granted = old
                    .get(key)
                    .map_or_else(ShareAmount::default, |row| row.granted);
                let own = OwnRow {
                    ceiling: row.held,
                    granted: row.held.min(granted),
                    pool: shares.pool.max(self.pool_since_confirmed(key)),
                };
                self.rows.insert(key.clone(), own);
            }
        }
        self.lease_until = self.lease_until.max(lease_until);
    }

    /// Records the current pool of `key`.
    ///
    /// Another entry may divide this pool before this one reads the value again, so the stored
    /// shares may have been granted from any pool recorded since the last confirmed write was sent.
    /// If the limit is lowered, they are scaled down from the largest of these.
    pub fn record_pool(&mut self, key: &ShareKey, pool: ShareAmount) {
        if let Some(row) = self.rows.get_mut(key) {
            row.pool = row.pool.max(pool);
        }
        for pools in [&mut self.pools_since_confirmed, &mut self.pools_since_sent] {
            let seen = pools.get_or_insert_with(key.clone(), ShareAmount::default);
            *seen = seen.max(pool);
        }
    }

    /// Clears the pools recorded since the last write, as another one is about to be sent.
    pub fn clear_pools_since_sent(&mut self) {
        self.pools_since_sent.clear();
    }

    /// Drops the pools recorded before the confirmed write was sent.
    ///
    /// Any write that takes effect after the confirmed write was also planned after the confirmed
    /// write was sent. A successful read isn't enough: a write planned earlier, under a larger
    /// pool, may still take effect.
    pub fn drop_old_pools(&mut self) {
        self.pools_since_confirmed
            .clone_from(&self.pools_since_sent);
    }

    /// Lowers the share in use of each key to at most its goal in `goals`.
    pub fn lower(&mut self, goals: &EntityTable<ShareKey, ShareAmount>) {
        for (key, row) in self.rows.iter_mut() {
            let goal = goals.get(key).copied().unwrap_or_default();
            row.granted = row.granted.min(goal);
        }
    }

    /// Sets the goal of each key.
    pub fn set_goals(&mut self, goals: EntityTable<ShareKey, ShareAmount>) {
        self.goals = goals;
    }

    /// Whether the stored grant of some key exceeds its goal.
    pub fn is_draining(&self) -> bool {
        let is_above = |(key, row): (&ShareKey, &OwnRow)| !row.ceiling.is_within(self.goal(key));
        self.rows.iter().any(is_above)
    }

    /// Lowers the ceilings to the grants of `value` to `holder`, as `value` is about to be written.
    pub fn lower_ceilings(&mut self, value: &ShareValue, holder: &HolderId) {
        for (key, row) in self.rows.iter_mut() {
            let shares = value.keys.get(key);
            let grant = shares.and_then(|shares| shares.holders.get(holder));
            let held = grant.map_or_else(ShareAmount::default, |grant| grant.held);
            row.ceiling = row.ceiling.min(held);
            row.granted = row.granted.min(held);
        }
    }

    /// Sets the shares in use to the goals, at most the ceilings.
    pub fn set_to_goals(&mut self) {
        for (key, row) in self.rows.iter_mut() {
            let goal = self.goals.get(key).copied().unwrap_or_default();
            row.granted = row.ceiling.min(goal);
        }
    }

    /// Raises the shares in use to the ceilings.
    pub fn raise_to_ceilings(&mut self) {
        for (_, row) in self.rows.iter_mut() {
            row.granted = row.ceiling;
        }
    }

    /// Share of `key` in use, whether or not the lease has expired.
    pub fn granted(&self, key: &ShareKey) -> ShareAmount {
        let row = self.rows.get(key);
        row.map_or_else(ShareAmount::default, |row| row.granted)
    }

    /// Share of `key` that may be used under `limit`; without a slot the floor is empty.
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

    fn goal(&self, key: &ShareKey) -> ShareAmount {
        self.goals.get(key).copied().unwrap_or_default()
    }

    fn pool_since_confirmed(&self, key: &ShareKey) -> ShareAmount {
        self.pools_since_confirmed
            .get(key)
            .copied()
            .unwrap_or_default()
    }
}
