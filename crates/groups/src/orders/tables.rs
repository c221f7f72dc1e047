//! The table of orders and the system that sends them.

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

/// An order to send now. If it cannot be sent at once, it has to be dropped: the lease was
/// checked for this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderCommand {
    /// Number under which the answer is to be returned.
    pub number: OrderNumber,
    /// Engine that gets the order.
    pub target: TargetId,
    /// The order.
    pub order: EngineOrder,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
}

/// Orders of a process.
#[derive(Debug, Default)]
pub struct OrderTables {
    orders: EntityTable<OrderNumber, OrderRow>,
    last: u64,
    /// Orders to send, in order.
    pub outbox: Vec<OrderCommand>,
}

impl OrderTables {
    /// Adds an order; an older one to the same target for the same slot is not sent again.
    pub fn push(&mut self, mut row: OrderRow, timing: &OrderTiming) -> OrderNumber {
        for older in self.orders.iter_mut().map(|(_, older)| older) {
            let is_same = older.target == row.target && older.order.slot() == row.order.slot();
            if !is_same {
                continue;
            }
            row.settled_at = row.settled_at.max(older.late_until(timing));
            if !older.state.is_final() {
                older.state = OrderState::Superseded;
            }
        }
        self.last += 1;
        let number = OrderNumber(self.last);
        self.orders.insert(number, row);
        number
    }

    /// Takes an engine's answer to an order.
    pub fn answer(&mut self, number: OrderNumber, is_accepted: bool, now: Instant) {
        if let Some(row) = self.orders.get_mut(&number) {
            row.answer(is_accepted, now);
        }
    }

    /// How far an order has come.
    #[must_use]
    pub fn state(&self, number: OrderNumber) -> Option<OrderState> {
        self.orders.get(&number).map(|row| row.state)
    }

    /// Drops the orders that have come to an end and can no longer arrive.
    pub fn remove_final(&mut self, timing: &OrderTiming, now: Instant) {
        let may_arrive = |row: &OrderRow| row.late_until(timing).is_some_and(|until| until > now);
        self.orders
            .retain(|_, row| !row.state.is_final() || may_arrive(row));
    }
}

/// Sends the orders that are due.
#[derive(Debug)]
pub struct OrderSystem {
    timing: OrderTiming,
}

impl OrderSystem {
    /// Creates the system with its time limits.
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
            if !row.is_due(&self.timing, now) {
                continue;
            }
            row.send(now);
            world.outbox.push(OrderCommand {
                number: *number,
                target: row.target.clone(),
                order: row.order.clone(),
                fencing: row.lease.fencing(),
            });
        }
    }
}
