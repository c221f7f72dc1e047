//! Table of orders, and the system that sends them.

use amaranthgw_core::{EntityTable, FencingNumber, TargetId, TickSystem};
use tokio::time::Instant;

use super::{EngineOrder, OrderRow, OrderState, OrderTiming};

/// Number of an order within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber(pub u64);

impl std::fmt::Display for OrderNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Order to send now. The sender must drop it if it cannot send it at once, because the lease was
/// checked only for this time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderCommand {
    /// Number by which the answer is recorded.
    pub number: OrderNumber,
    /// Engine that receives the order.
    pub target: TargetId,
    /// Order to send.
    pub order: EngineOrder,
    /// Fencing token of the lease.
    pub fencing: FencingNumber,
}

/// Orders of a process.
#[derive(Debug, Default)]
pub struct OrderTables {
    orders: EntityTable<OrderNumber, OrderRow>,
    last_number: u64,
    /// Orders to send, in order.
    pub outbox: Vec<OrderCommand>,
}

impl OrderTables {
    /// Adds an order and supersedes older ones to the same target for the same slot.
    pub fn push(&mut self, mut row: OrderRow, timing: &OrderTiming) -> OrderNumber {
        for older in self.orders.iter_mut().map(|(_, older)| older) {
            let is_same_slot = older.target == row.target && older.order.slot() == row.order.slot();
            if !is_same_slot {
                continue;
            }
            row.settled_at = row.settled_at.max(older.arrives_by(timing));
            if !older.state.is_final() {
                older.state = OrderState::Superseded;
            }
        }
        self.last_number += 1;
        let number = OrderNumber(self.last_number);
        self.orders.insert(number, row);
        number
    }

    /// Records an engine's answer to an order.
    pub fn record_answer(&mut self, number: OrderNumber, is_accepted: bool, now: Instant) {
        if let Some(row) = self.orders.get_mut(&number) {
            row.record_answer(is_accepted, now);
        }
    }

    /// Delivery state of an order; `None` if it is unknown or was removed.
    #[must_use]
    pub fn state(&self, number: OrderNumber) -> Option<OrderState> {
        self.orders.get(&number).map(|row| row.state)
    }

    /// Removes final orders once neither they nor the orders that they superseded can still arrive.
    pub fn remove_final(&mut self, timing: &OrderTiming, now: Instant) {
        let may_arrive = |row: &OrderRow| row.arrives_by(timing).is_some_and(|until| until > now);
        self.orders
            .retain(|_, row| !row.state.is_final() || may_arrive(row));
    }
}

/// Sends pending orders.
#[derive(Debug)]
pub struct OrderSystem {
    timing: OrderTiming,
}

impl OrderSystem {
    /// Creates the system with its intervals and timeouts.
    #[must_use]
    pub fn new(timing: OrderTiming) -> Self {
        Self { timing }
    }
}

impl TickSystem<OrderTables> for OrderSystem {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn run(&mut self, world: &mut OrderTables, now: Instant) {
        for (number, row) in world.orders.iter_mut() {
            if !row.should_send(&self.timing, now) {
                continue;
            }
            row.mark_sent(now);
            world.outbox.push(OrderCommand {
                number: *number,
                target: row.target.clone(),
                order: row.order.clone(),
                fencing: row.lease.fencing(),
            });
        }
    }
}
