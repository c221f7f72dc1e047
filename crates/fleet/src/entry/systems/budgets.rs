//! Retry budgets, one per service.

use std::sync::Arc;

use amaranthgw_core::TickSystem;
use tokio::time::Instant;

use crate::entry::EntryWorld;
use crate::retries::{BudgetSettings, RetryBudget};

/// Adds budgets for new services and removes those of services without targets.
#[derive(Debug)]
pub struct BudgetSystem;

impl TickSystem<EntryWorld> for BudgetSystem {
    fn name(&self) -> &'static str {
        "budgets"
    }

    fn run(&mut self, world: &mut EntryWorld, now: Instant) {
        if !world.needs_snapshot {
            return;
        }
        let EntryWorld {
            targets, budgets, ..
        } = world;
        budgets.retain(|service, _budget| targets.rows().any(|row| row.service == *service));
        for row in targets.rows() {
            let make = || Arc::new(RetryBudget::new(BudgetSettings::new(), now));
            budgets.get_or_insert_with(row.service.clone(), make);
        }
    }
}
