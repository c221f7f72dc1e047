//! What an entry would write, given a value and its demand.

use amaranthgw_core::{EntityTable, SlotCount};

use super::divide::{differs, fair_amount, pool_amount};
use super::own::OwnTable;
use super::{DemandRow, HolderId, ShareAmount, ShareKey, ShareRow, ShareSettings, ShareValue};

/// What one decision about shares is made from.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharePlan<'a> {
    pub holder: &'a HolderId,
    pub settings: &'a ShareSettings,
    pub has_slot: bool,
    pub own: &'a OwnTable,
    pub demand: &'a EntityTable<ShareKey, DemandRow>,
}

impl SharePlan<'_> {
    /// What the entry aims at for each key that it holds, given the others' rows in `value`.
    pub fn targets(&self, value: &ShareValue) -> EntityTable<ShareKey, ShareAmount> {
        let keys = self.own.rows.ids();
        keys.map(|key| (key.clone(), self.target(key, value)))
            .collect()
    }

    /// Puts the entry's rows into `next` and returns what it aims at for each key.
    pub fn put_own_rows(&self, next: &mut ShareValue) -> EntityTable<ShareKey, ShareAmount> {
        let known = next.keys.ids().filter(|key| !self.demand.contains(*key));
        let keys: Vec<ShareKey> = known.chain(self.demand.ids()).cloned().collect();
        let mut aims = EntityTable::new();
        for key in keys {
            let aim = self.put_own_row(&key, next);
            aims.insert(key, aim);
        }
        next.keys.retain(|_, shares| !shares.holders.is_empty());
        aims
    }

    /// Whether `next` changes the entry's own rows of `value` enough to be written.
    pub fn is_different(&self, value: &ShareValue, next: &ShareValue) -> bool {
        let own_row = |value: &ShareValue, key: &ShareKey| {
            let shares = value.keys.get(key)?;
            shares.holders.get(self.holder).copied()
        };
        let is_other = |key: &ShareKey| match (own_row(value, key), own_row(next, key)) {
            (Some(old), Some(new)) => {
                differs(old.held, new.held) || differs(old.wanted, new.wanted)
            }
            (None, None) => false,
            _ => true,
        };
        next.keys.ids().any(is_other) || value.keys.ids().any(is_other)
    }

    /// The entry's fair part of `key`, as far as it is free or held already.
    fn target(&self, key: &ShareKey, value: &ShareValue) -> ShareAmount {
        let Some(row) = self.demand.get(key) else {
            return ShareAmount::default();
        };
        let others = self.others(key, value);
        let pool = pool_amount(row.limit, self.settings);
        let free = pool.minus(others.held);
        fair_amount(pool, row.wanted, &others).min(free.max(self.held(key, value)))
    }

    fn put_own_row(&self, key: &ShareKey, next: &mut ShareValue) -> ShareAmount {
        let row = self.demand.get(key).copied().unwrap_or_default();
        let pool = pool_amount(row.limit, self.settings);
        let others = self.others(key, next);
        let old = self.held(key, next);
        let aim = self.target(key, next);
        let mut held = aim;
        held.in_flight = held
            .in_flight
            .max(self.in_use(key, &row).min(old.in_flight));
        let shares = next.keys.get_or_insert_with(key.clone(), Default::default);
        let is_divided = others.held.plus(held).is_within(pool);
        shares.pool = if is_divided {
            pool
        } else {
            shares.pool.max(pool)
        };
        if held == ShareAmount::default() && row.wanted == ShareAmount::default() {
            shares.holders.remove(self.holder);
            return aim;
        }
        let wanted = row.wanted;
        shares
            .holders
            .insert(self.holder.clone(), ShareRow { held, wanted });
        aim
    }

    /// Requests that may be in flight beyond the floor until a lower share has come into force.
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

    /// What `value` grants to this entry.
    fn held(&self, key: &ShareKey, value: &ShareValue) -> ShareAmount {
        let shares = value.keys.get(key);
        let row = shares.and_then(|shares| shares.holders.get(self.holder));
        row.map_or_else(ShareAmount::default, |row| row.held)
    }
}
