//! Distribution of a service's requests over failure domains while some of them warm up.

use amaranthgw_core::{DomainId, EntityTable, SlotCount};
use serde::{Deserialize, Serialize};

use crate::gate::PartPercent;

/// Combined limits of the targets of one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainCapacity {
    /// Sum of the current limits of the gates.
    pub limit: SlotCount,
    /// Sum of the full limits of the gates.
    pub full: SlotCount,
}

impl DomainCapacity {
    fn is_warming(self) -> bool {
        self.limit < self.full
    }
}

/// Settings for the distribution over failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShareSettings {
    /// Maximum share of the requests that warming domains get before the others.
    pub warming_first: PartPercent,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            warming_first: PartPercent::new(30),
        }
    }
}

/// Distribution of requests over failure domains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharePlan {
    /// Planned requests in flight, by failure domain.
    pub shares: EntityTable<DomainId, SlotCount>,
    /// Requests that exceed the limits of all gates.
    pub surplus: SlotCount,
}

/// Distributes `demand` requests in flight over the domains within their limits.
///
/// Warming domains are filled first, up to a configured share of the requests, because a gate
/// raises its limit only under load. The remaining requests are distributed in proportion to the
/// free capacity of all domains. No domain gets more than its gates admit, so no request is
/// moved to a target that cannot handle it.
#[must_use]
pub fn plan_shares(
    domains: &EntityTable<DomainId, DomainCapacity>,
    demand: SlotCount,
    settings: &ShareSettings,
) -> SharePlan {
    let first = settings.warming_first.of(demand).min(demand);
    let unassigned = EntityTable::new();
    let warming = distribute(domains, &unassigned, first, |row| row.is_warming());
    let rest = demand.get() - (first.get() - warming.surplus.get());
    distribute(domains, &warming.shares, SlotCount::new(rest), |_| true)
}

/// Distributes `demand` in proportion to the free capacity of the chosen domains and adds the
/// result to `assigned`.
fn distribute(
    domains: &EntityTable<DomainId, DomainCapacity>,
    assigned: &EntityTable<DomainId, SlotCount>,
    demand: SlotCount,
    is_chosen: impl Fn(&DomainCapacity) -> bool,
) -> SharePlan {
    let assigned_to = |id: &DomainId| assigned.get(id).copied().unwrap_or_default().get();
    let free = |id: &DomainId, capacity: &DomainCapacity| {
        let free = capacity.limit.get().saturating_sub(assigned_to(id));
        if is_chosen(capacity) { free } else { 0 }
    };
    let free_slots = domains.iter().map(|(id, row)| u64::from(free(id, row)));
    let mut remaining_free: u64 = free_slots.sum();
    let mut remaining = u64::from(demand.get()).min(remaining_free);
    let surplus = u64::from(demand.get()) - remaining;
    let mut shares = EntityTable::new();
    for (id, capacity) in domains.iter() {
        let own_free = u64::from(free(id, capacity));
        let share = (remaining * own_free)
            .checked_div(remaining_free)
            .unwrap_or(0);
        // Rounding down must not leave more than the remaining domains have free.
        let share = share.max((remaining + own_free).saturating_sub(remaining_free));
        remaining -= share;
        remaining_free -= own_free;
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        shares.insert(
            id.clone(),
            SlotCount::new(assigned_to(id).saturating_add(share)),
        );
    }
    let surplus = SlotCount::new(u32::try_from(surplus).unwrap_or(u32::MAX));
    SharePlan { shares, surplus }
}
