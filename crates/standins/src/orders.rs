//! Orders and the check of their fencing tokens.

use amaranthgw_core::FencingNumber;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct OrderBody<Order = Value> {
    /// Fencing token of the sender's lease.
    pub(crate) fencing: FencingNumber,
    /// The order itself.
    pub(crate) order: Order,
}

/// Answer to an order: the largest fencing token seen.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct OrderReply {
    fencing: FencingNumber,
}

/// Tracks the largest fencing token and rejects smaller ones, if set to honour them.
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

    /// Records the token `fencing` and returns whether its order is accepted.
    pub(crate) fn accepts(&mut self, fencing: FencingNumber) -> bool {
        let is_outdated = fencing < self.largest;
        self.largest = self.largest.max(fencing);
        !is_outdated || !self.honours
    }

    /// Sets whether orders with outdated tokens are rejected.
    pub(crate) fn set_honours(&mut self, honours: bool) {
        self.honours = honours;
    }

    /// Clears the largest token, as a restart does; whether outdated tokens are rejected
    /// stays as set.
    pub(crate) fn reset(&mut self) {
        self.largest = FencingNumber::default();
    }

    /// Body of the answer to an order.
    pub(crate) fn reply(&self) -> OrderReply {
        OrderReply {
            fencing: self.largest,
        }
    }
}
