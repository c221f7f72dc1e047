//! Decision on this entry's shares from the stored value and the demand.

use amaranthgw_core::{EntityTable, SlotCount};

use super::divide::{differs, fair_amount, pool_amount};
use super::own::OwnTable;
use super::{DemandRow, HolderId, ShareAmount, ShareKey, ShareRow, ShareSettings, ShareValue};

/// Inputs of one decision about the shares of a shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareDecision<'a> {
    pub holder: &'a HolderId,
    pub settings: &'a ShareSettings,
    pub has_slot: bool,
    pub own: &'a OwnTable,
    pub demand: &'a EntityTable<ShareKey, DemandRow>,
}

impl ShareDecision<'_> {
    /// Goal of each key that the entry holds, given the other holders' rows in `value`.
    pub fn goals(&self, value: &ShareValue) -> EntityTable<ShareKey, ShareAmount> {
        let keys = self.own.rows.ids();
        keys.map(|key| (key.clone(), self.goal(key, value)))
            .collect()
    }

    /// Writes the entry's rows into `next` and returns the goal of each key.
    pub fn put_own_rows(&self, next: &mut ShareValue) -> EntityTable<ShareKey, ShareAmount> {
        let known = next.keys.ids().filter(|key| !self.demand.contains(*key));
        let keys: Vec<ShareKey> = known.chain(self.demand.ids()).cloned().collect();
        let mut goals = EntityTable::new();
        for key in keys {
            let goal = self.put_own_row(&key, next);
            goals.insert(key, goal);
        }
        next.keys.retain(|_, shares| !shares.holders.is_empty());
        goals
    }

    /// Whether the entry's rows in `next` differ enough from those in `value` to be written.
    pub fn is_different(&self, value: &ShareValue, next: &ShareValue) -> bool {
        let own_row = |value: &ShareValue, key: &ShareKey| {
            let shares = value.keys.get(key)?;
            shares.holders.get(self.holder).copied()
        };
        let is_changed = |key: &ShareKey| match (own_row(value, key), own_row(next, key)) {
            (Some(old), Some(new)) => {
                differs(old.held, new.held) || differs(old.demand, new.demand)
            }
            (None, None) => false,
            _ => true,
        };
        next.keys.ids().any(is_changed) || value.keys.ids().any(is_changed)
    }

    /// Fair share of `key`, limited to what is free or already held.
    fn goal(&self, key: &ShareKey, value: &ShareValue) -> ShareAmount {
        let Some(row) = self.demand.get(key) else {
            return ShareAmount::default();
        };
        let others = self.others(key, value);
        let pool = pool_amount(row.limit, self.settings);
        let free = pool.minus(others.held);
        fair_amount(pool, row.demand, &others).min(free.max(self.held(key, value)))
    }

    /// Writes the entry's row of `key` into `next` and returns its goal.
    ///
    /// The stored share of requests in flight is not lowered below the share in use or the requests
    /// in flight beyond the floor. The recorded pool isn't lowered until the shares of all holders
    /// fit the smaller one.
    fn put_own_row(&self, key: &ShareKey, next: &mut ShareValue) -> ShareAmount {
        let row = self.demand.get(key).copied().unwrap_or_default();
        let pool = pool_amount(row.limit, self.settings);
        let others = self.others(key, next);
        let old = self.held(key, next);
        let goal = self.goal(key, next);
        let mut held = goal;
        held.in_flight = held
            .in_flight
            .max(self.in_use(key, &row).min(old.in_flight));
        let shares = next.keys.get_or_insert_with(key.clone(), Default::default);
        let fits_pool = others.held.plus(held).is_within(pool);
        shares.pool = if fits_pool {
            pool
        } else {
            shares.pool.max(pool)
        };
        if held == ShareAmount::default() && row.demand == ShareAmount::default() {
            shares.holders.remove(self.holder);
            return goal;
        }
        let demand = row.demand;
        shares
            .holders
            .insert(self.holder.clone(), ShareRow { held, demand });
        goal
    }

    /// The larger of the requests in flight beyond the floor and the share in use.
    fn in_use(&self, key: &ShareKey, row: &DemandRow) -> SlotCount {
        let local = self.own.share(key, row.limit, self.has_slot, self.settings);
        let beyond_floor = row.used.get().saturating_sub(local.floor.in_flight.get());
        let granted = self.own.granted(key).in_flight.get();
        SlotCount::new(beyond_floor.max(granted))
    }

    fn others(&self, key: &ShareKey, value: &ShareValue) -> ShareRow {
        let shares = value.keys.get(key);
        shares.map_or_else(ShareRow::default, |shares| shares.others(self.holder))
    }

    /// Share that `value` grants to this entry.
    fn held(&self, key: &ShareKey, value: &ShareValue) -> ShareAmount {
        let shares = value.keys.get(key);
        let row = shares.and_then(|shares| shares.holders.get(self.holder));
        row.map_or_else(ShareAmount::default, |row| row.held)
    }
}
