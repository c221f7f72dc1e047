//! How much of a service's work each failure domain gets while one returns.

use amaranthgw_core::{DomainId, EntityTable, SlotCount};
use serde::{Deserialize, Serialize};

use crate::gate::PartPercent;

/// What the targets of one failure domain admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainCapacity {
    /// Sum of the limits that the gates have in force.
    pub limit: SlotCount,
    /// Sum of the limits of the gates once warmed up.
    pub full: SlotCount,
}

impl DomainCapacity {
    fn is_warming(self) -> bool {
        self.limit < self.full
    }
}

/// Settings of the shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShareSettings {
    /// Largest share of the work that warming domains get before the others.
    pub warming_first: PartPercent,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            warming_first: PartPercent::new(30),
        }
    }
}

/// Work of each failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharePlan {
    /// Requests in flight that each domain should have.
    pub shares: EntityTable<DomainId, SlotCount>,
    /// Requests that no gate admits now.
    pub surplus: SlotCount,
}

/// Spreads `demand` requests in flight over the domains within their limits.
///
/// Warming domains are filled first, up to a share of the work: only work makes their gates rise,
/// so their limits grow as fast as the evidence allows. The rest follows the free limits of all
/// domains. No domain gets more than its gates admit, so survivors lose work only to targets
/// that can bear it.
#[must_use]
pub fn plan_shares(
    domains: &EntityTable<DomainId, DomainCapacity>,
    demand: SlotCount,
    settings: &ShareSettings,
) -> SharePlan {
    let first = settings.warming_first.of(demand).min(demand);
    let none = EntityTable::new();
    let warming = spread(domains, &none, first, |row| row.is_warming());
    let rest = demand.get() - (first.get() - warming.surplus.get());
    spread(domains, &warming.shares, SlotCount::new(rest), |_| true)
}

/// Adds `demand` to `taken` in proportion to the free limits of the chosen domains.
fn spread(
    domains: &EntityTable<DomainId, DomainCapacity>,
    taken: &EntityTable<DomainId, SlotCount>,
    demand: SlotCount,
    is_chosen: impl Fn(&DomainCapacity) -> bool,
) -> SharePlan {
    let used = |id: &DomainId| taken.get(id).copied().unwrap_or_default().get();
    let free = |id: &DomainId, capacity: &DomainCapacity| {
        let free = capacity.limit.get().saturating_sub(used(id));
        if is_chosen(capacity) { free } else { 0 }
    };
    let frees = domains.iter().map(|(id, row)| u64::from(free(id, row)));
    let mut free_left: u64 = frees.sum();
    let mut left = u64::from(demand.get()).min(free_left);
    let surplus = u64::from(demand.get()) - left;
    let mut shares = EntityTable::new();
    for (id, capacity) in domains.iter() {
        let own_free = u64::from(free(id, capacity));
        let share = (left * own_free).checked_div(free_left).unwrap_or(0);
        let share = share.max((left + own_free).saturating_sub(free_left));
        left -= share;
        free_left -= own_free;
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        shares.insert(id.clone(), SlotCount::new(used(id).saturating_add(share)));
    }
    let surplus = SlotCount::new(u32::try_from(surplus).unwrap_or(u32::MAX));
    SharePlan { shares, surplus }
}
