//! State of one order until its outcome is final.

use amaranthgw_core::{MilliSpan, TargetId};
use tokio::time::Instant;

use super::EngineOrder;
use crate::agreement::LeaseGuard;

/// Intervals and timeouts of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTiming {
    /// Interval between transmissions of an unanswered order.
    pub retry_interval: MilliSpan,
    /// Longest time between the transmission of an order and its arrival.
    pub max_delivery_time: MilliSpan,
}

/// Delivery state of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// Not yet sent.
    Waiting,
    /// Sent, but not yet answered.
    Sent {
        /// Time of the last transmission.
        at: Instant,
    },
    /// Accepted, but an older order for the same slot may still arrive; sent again at `at`.
    Repeating {
        /// Time of the next transmission.
        at: Instant,
    },
    /// Accepted by the engine.
    Done,
    /// Refused by the engine.
    Refused,
    /// Superseded by a newer order for the same slot.
    Superseded,
    /// The deadline passed before the order was done.
    Expired,
    /// The lease was not held when a transmission was due, so the order was not sent.
    Lapsed,
}

impl OrderState {
    /// Whether the order will not be sent again.
    #[must_use]
    pub fn is_final(self) -> bool {
        !matches!(
            self,
            Self::Waiting | Self::Sent { .. } | Self::Repeating { .. }
        )
    }
}

/// Order to one engine with its lease and delivery state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRow {
    /// Engine that receives the order.
    pub target: TargetId,
    /// Order to send.
    pub order: EngineOrder,
    /// Lease under which the order is sent.
    pub lease: LeaseGuard,
    /// Time after which the order is no longer sent.
    pub deadline: Instant,
    /// Delivery state.
    pub state: OrderState,
    /// Time from which older orders for the same slot can no longer arrive.
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

    /// Whether to send the order at `now`. Sets the final state if the deadline has passed, or if
    /// the lease is not held when a transmission is pending.
    pub(super) fn should_send(&mut self, timing: &OrderTiming, now: Instant) -> bool {
        let send_at = match self.state {
            OrderState::Waiting => now,
            OrderState::Sent { at } => at + timing.retry_interval.duration(),
            OrderState::Repeating { at } => at,
            _ => return false,
        };
        if now >= self.deadline {
            self.state = OrderState::Expired;
        } else if now >= send_at && !self.lease.is_held(now) {
            self.state = OrderState::Lapsed;
        }
        !self.state.is_final() && now >= send_at
    }

    /// Records the engine's answer.
    pub(super) fn record_answer(&mut self, is_accepted: bool, now: Instant) {
        if self.state.is_final() {
            return;
        }
        self.state = match self.settled_at.filter(|at| *at > now) {
            _ if !is_accepted => OrderState::Refused,
            Some(at) => OrderState::Repeating { at },
            None => OrderState::Done,
        };
    }

    /// Records a transmission at `now`.
    pub(super) fn mark_sent(&mut self, now: Instant) {
        self.state = OrderState::Sent { at: now };
        self.sent_at = Some(now);
    }

    /// Time by which all transmissions of this order, and of those that it superseded, have
    /// arrived; `None` if none was sent.
    pub(super) fn arrives_by(&self, timing: &OrderTiming) -> Option<Instant> {
        let sent_arrives_by = self
            .sent_at
            .map(|at| at + timing.max_delivery_time.duration());
        sent_arrives_by.max(self.settled_at)
    }
}
