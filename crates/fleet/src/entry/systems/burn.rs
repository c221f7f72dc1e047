//! Service-level accounting.

use amaranthgw_core::TickSystem;
use tokio::time::Instant;

use crate::burn::{BurnKey, ServiceLevel};
use crate::entry::EntryWorld;

/// Adds the outcomes since the last tick to the burn table.
#[derive(Debug)]
pub struct BurnSystem;

impl TickSystem<EntryWorld> for BurnSystem {
    fn name(&self) -> &'static str {
        "burn"
    }

    fn run(&mut self, world: &mut EntryWorld, now: Instant) {
        for record in std::mem::take(&mut world.inbox.outcomes) {
            let Some(plan) = world.config.plans.get(&record.plan) else {
                // The plan was removed while the request ran, so no objective applies.
                continue;
            };
            let level = ServiceLevel::with_plan(plan);
            let key = BurnKey {
                plan: record.plan,
                service: record.service,
            };
            world.burn.record(key, level, record.outcome, now);
        }
    }
}
