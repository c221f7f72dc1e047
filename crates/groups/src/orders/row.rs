//! One order on its way to an engine.

use amaranthgw_core::{MilliSpan, TargetId};
use tokio::time::Instant;

use super::EngineOrder;
use crate::agreement::LeaseGuard;

/// Time limits of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTiming {
    /// Between two sendings of an unanswered order.
    pub retry: MilliSpan,
    /// Longest time between sending an order and its arrival.
    pub lateness: MilliSpan,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// Not sent.
    Waiting,
    /// Sent and not answered.
    Sent {
        /// Time of the last sending.
        at: Instant,
    },
    /// Carried out, but an older order for the same slot may still arrive: sent again at `at`.
    Repeating {
        /// Time of the repetition.
        at: Instant,
    },
    /// Carried out.
    Done,
    /// The engine refused it.
    Refused,
    /// Replaced by a newer order for the same slot.
    Superseded,
    /// The deadline passed before an answer.
    Expired,
    /// The lease was not held when the order was due to be sent.
    Lapsed,
}

impl OrderState {
    /// Whether nothing more will be sent.
    #[must_use]
    pub fn is_final(self) -> bool {
        !matches!(
            self,
            Self::Waiting | Self::Sent { .. } | Self::Repeating { .. }
        )
    }
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRow {
    /// Engine that gets the order.
    pub target: TargetId,
    /// The order.
    pub order: EngineOrder,
    /// Lease under which the order is given.
    pub lease: LeaseGuard,
    /// Time after which the order is no longer sent.
    pub deadline: Instant,
    /// How far it has come.
    pub state: OrderState,
    /// Time at which an older order for the same slot can no longer arrive.
    pub(super) settled_at: Option<Instant>,
    sent_at: Option<Instant>,
}

impl OrderRow {
    /// Creates an order that has not been sent.
    #[must_use]
    pub fn new(target: TargetId, order: EngineOrder, lease: LeaseGuard, deadline: Instant) -> Self {
        Self {
            target,
            order,
            lease,
            deadline,
            state: OrderState::Waiting,
            settled_at: None,
            sent_at: None,
        }
    }

    /// Whether the order is to be sent now. Checks the deadline and the lease at this moment.
    pub(super) fn is_due(&mut self, timing: &OrderTiming, now: Instant) -> bool {
        let due_at = match self.state {
            OrderState::Waiting => now,
            OrderState::Sent { at } => at + timing.retry.duration(),
            OrderState::Repeating { at } => at,
            _ => return false,
        };
        if now >= self.deadline {
            self.state = OrderState::Expired;
        } else if now >= due_at && !self.lease.is_held(now) {
            self.state = OrderState::Lapsed;
        }
        !self.state.is_final() && now >= due_at
    }

    /// Takes the engine's answer.
    pub(super) fn answer(&mut self, is_accepted: bool, now: Instant) {
        if self.state.is_final() {
            return;
        }
        self.state = match self.settled_at.filter(|at| *at > now) {
            _ if !is_accepted => OrderState::Refused,
            Some(at) => OrderState::Repeating { at },
            None => OrderState::Done,
        };
    }

    /// Notes that the order is sent at `now`.
    pub(super) fn send(&mut self, now: Instant) {
        self.state = OrderState::Sent { at: now };
        self.sent_at = Some(now);
    }

    /// Time until which a sending of this order, or of one that it replaced, may still arrive.
    pub(super) fn late_until(&self, timing: &OrderTiming) -> Option<Instant> {
        let sent_until = self.sent_at.map(|at| at + timing.lateness.duration());
        sent_until.max(self.settled_at)
    }
}
