//! Division of a limit into the fixed part of each slot and a pool that is divided by demand.

use amaranthgw_core::SlotCount;

use super::{MilliRate, ShareAmount, ShareRow, ShareSettings};

/// Limit, demand and use of one workspace and service at one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandRow {
    /// Amount that the plan allows the workspace over all entries.
    pub limit: ShareAmount,
    /// Demand of the callers at this entry.
    pub demand: ShareAmount,
    /// Requests in flight at this entry, counted after the last reduction of its share was applied.
    pub used: SlotCount,
}

/// Largest share of an entry as a multiple of its demand.
const MAX_DEMAND_MULTIPLE: u64 = 2;

/// Fixed part of `limit` for one entry slot.
pub(super) fn floor_amount(limit: ShareAmount, settings: &ShareSettings) -> ShareAmount {
    let slots = u64::from(settings.entry_slots.max(1));
    let percent = u64::from(settings.floor_percent.min(100));
    let share = |amount: u64| amount.saturating_mul(percent) / (100 * slots);
    map_amount(limit, share)
}

/// Part of `limit` that is divided by demand.
pub(super) fn pool_amount(limit: ShareAmount, settings: &ShareSettings) -> ShareAmount {
    let floor = floor_amount(limit, settings);
    let slots = u64::from(settings.entry_slots.max(1));
    let floors = map_amount(floor, |amount| amount.saturating_mul(slots));
    limit.minus(floors)
}

/// Share of `pool` in proportion to `demand` among the demands of all holders.
pub(super) fn fair_amount(
    pool: ShareAmount,
    demand: ShareAmount,
    others: &ShareRow,
) -> ShareAmount {
    let rate = fair_part(pool.rate.get(), demand.rate.get(), others.demand.rate.get());
    let in_flight = fair_part(
        u64::from(pool.in_flight.get()),
        u64::from(demand.in_flight.get()),
        u64::from(others.demand.in_flight.get()),
    );
    ShareAmount::new(MilliRate::new(rate), in_flight_count(in_flight))
}

/// Minimum demand that an entry reports, even if idle. `holders` entries share `limit`; `others`
/// is the sum of the other entries' rows.
///
/// It is a fraction of what the others' demand leaves of the limit, so that the first requests of a
/// workspace find a share and a loaded entry still gets nearly the whole limit. The fraction
/// shrinks with the number of holders, so that idle entries that react to each other's demand
/// converge.
pub(super) fn idle_amount(limit: ShareAmount, others: &ShareRow, holders: u64) -> ShareAmount {
    // Largest and smallest part: a quarter and a fiftieth of the limit.
    const MAX_PART_DIVISOR: u64 = 4;
    const MIN_PART_DIVISOR: u64 = 50;
    let left = limit.minus(others.demand);
    let part = map_amount(left, |amount| amount / (2 * holders.max(1)));
    let max_part = map_amount(limit, |amount| amount.div_ceil(MAX_PART_DIVISOR));
    let min_part = map_amount(limit, |amount| amount.div_ceil(MIN_PART_DIVISOR));
    part.min(max_part).max(min_part)
}

/// Scales `amount`, a share of the pool `from`, down in proportion if the pool `to` is smaller.
pub(super) fn scale_amount(amount: ShareAmount, to: ShareAmount, from: ShareAmount) -> ShareAmount {
    let rate = scale_part(amount.rate.get(), to.rate.get(), from.rate.get());
    let in_flight = scale_part(
        u64::from(amount.in_flight.get()),
        u64::from(to.in_flight.get()),
        u64::from(from.in_flight.get()),
    );
    ShareAmount::new(MilliRate::new(rate), in_flight_count(in_flight))
}

fn fair_part(pool: u64, demand: u64, others: u64) -> u64 {
    let total = demand.saturating_add(others);
    if total == 0 {
        return 0;
    }
    let part = (u128::from(pool) * u128::from(demand)).div_ceil(u128::from(total));
    let part = u64::try_from(part).unwrap_or(u64::MAX);
    part.min(demand.saturating_mul(MAX_DEMAND_MULTIPLE))
}

fn scale_part(amount: u64, to: u64, from: u64) -> u64 {
    if to >= from {
        return amount;
    }
    let scaled = u128::from(amount) * u128::from(to) / u128::from(from);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Whether a component of `new` differs from that of `old` by more than a tenth.
pub(super) fn differs(old: ShareAmount, new: ShareAmount) -> bool {
    const TOLERANCE_DIVISOR: u64 = 10;
    let is_far = |old: u64, new: u64| old.abs_diff(new).saturating_mul(TOLERANCE_DIVISOR) > old;
    is_far(old.rate.get(), new.rate.get())
        || is_far(
            u64::from(old.in_flight.get()),
            u64::from(new.in_flight.get()),
        )
}

fn map_amount(amount: ShareAmount, map: impl Fn(u64) -> u64) -> ShareAmount {
    let rate = MilliRate::new(map(amount.rate.get()));
    let in_flight = in_flight_count(map(u64::from(amount.in_flight.get())));
    ShareAmount::new(rate, in_flight)
}

fn in_flight_count(count: u64) -> SlotCount {
    SlotCount::new(u32::try_from(count).unwrap_or(u32::MAX))
}
