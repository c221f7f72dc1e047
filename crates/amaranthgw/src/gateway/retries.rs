//! Draws a request's retries from the budget of its service.

use std::sync::Arc;

use amaranthgw_fleet::gateway::{GatewaySnapshot, WindowBudget};
use tokio::time::Instant;

use super::run::CallRun;
use crate::telemetry::{NodeEvent, count_retry};

/// What a request has drawn from the retry budget of its service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BudgetDraw {
    /// Whether the budget has counted the request.
    is_counted: bool,
    /// Whether the budget has already granted the next retry.
    pub(super) is_granted: bool,
    /// Whether the budget has refused a retry; further refusals are not logged.
    is_refused: bool,
}

impl CallRun {
    /// Counts the first send of the request, or takes a retry from the budget for a later one; `false` if
    /// the budget is exhausted.
    pub(super) fn admit_send(&mut self, snapshot: &GatewaySnapshot, now: Instant) -> bool {
        if self.sends > 0 {
            return std::mem::take(&mut self.draw.is_granted) || self.take_retry(snapshot, now);
        }
        let was_counted = std::mem::replace(&mut self.draw.is_counted, true);
        if let Some(budget) = snapshot.budgets.get(&self.call.service)
            && !was_counted
        {
            budget.record_first(now);
        }
        true
    }

    /// Takes a retry from the budget; `false` if it is exhausted, or if there is none.
    fn take_retry(&mut self, snapshot: &GatewaySnapshot, now: Instant) -> bool {
        let Some(budget) = snapshot.budgets.get(&self.call.service) else {
            return false;
        };
        let decision = budget.spend(now);
        let was_refused = std::mem::replace(&mut self.draw.is_refused, !decision.is_granted);
        if was_refused && !decision.is_granted {
            return false;
        }
        count_retry(&self.call.service, decision.is_granted);
        self.thread.log.record(NodeEvent::RetryDecided {
            request: self.call.name(),
            service: self.call.service.clone(),
            granted: decision.is_granted,
            requests: decision.requests,
            retries: decision.retries,
            allowed: decision.allowed,
            gateways: snapshot.gateway_count,
        });
        decision.is_granted
    }

    /// Records that a target of the service sent data.
    pub(super) fn record_progress(&self) {
        if let Some(budget) = self.budget() {
            budget.record_progress(Instant::now());
        }
    }

    /// Retry budget of the service.
    pub(super) fn budget(&self) -> Option<Arc<WindowBudget>> {
        let snapshot = self.thread.shared.snapshot.load();
        snapshot.budgets.get(&self.call.service).cloned()
    }
}
