//! Acceptance of orders by their fencing numbers.

use amaranthgw_core::FencingNumber;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct OrderBody<Order = Value> {
    /// Fencing number of the sender's lease.
    pub(crate) fencing: FencingNumber,
    /// What to do.
    pub(crate) order: Order,
}

/// Answer to an order: the largest fencing number seen.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct OrderReply {
    fencing: FencingNumber,
}

/// Remembers the largest fencing number and refuses older ones where it honours them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FencingGuard {
    honours: bool,
    largest: FencingNumber,
}

impl FencingGuard {
    pub(crate) fn new(honours: bool) -> Self {
        Self {
            honours,
            largest: FencingNumber::default(),
        }
    }

    /// Whether an order with `fencing` is to be carried out.
    pub(crate) fn accepts(&mut self, fencing: FencingNumber) -> bool {
        let is_old = fencing < self.largest;
        self.largest = self.largest.max(fencing);
        !is_old || !self.honours
    }

    /// Sets whether old numbers are refused.
    pub(crate) fn set_honours(&mut self, honours: bool) {
        self.honours = honours;
    }

    /// Forgets the numbers seen, as a restart does.
    pub(crate) fn forget(&mut self) {
        self.largest = FencingNumber::default();
    }

    /// The body of the answer to an order.
    pub(crate) fn reply(&self) -> OrderReply {
        OrderReply {
            fencing: self.largest,
        }
    }
}
