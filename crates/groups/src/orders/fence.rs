//! Fencing check of a sidecar, for engines that do not check fencing tokens themselves.

use amaranthgw_core::FencingNumber;

/// Result of checking an order.
pub type Result<T> = std::result::Result<T, OrderError>;

/// Reason for the rejection of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// A later holder of the lease has already sent orders.
    OldFencing {
        /// Highest token seen.
        highest: FencingNumber,
        /// Token of the rejected order.
        offered: FencingNumber,
    },
}

impl std::fmt::Display for OrderError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::OldFencing { highest, offered } => {
                write!(
                    f,
                    "fencing token {offered} is lower than {highest}, the highest one seen"
                )
            }
        }
    }
}

impl std::error::Error for OrderError {}

/// Highest fencing token that a sidecar has seen for its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderFence {
    highest: FencingNumber,
}

impl OrderFence {
    /// Creates a fence that admits any token.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits an order and records its fencing token.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError::OldFencing`] for a token lower than one admitted before.
    pub fn admit(&mut self, offered: FencingNumber) -> Result<()> {
        if offered < self.highest {
            return Err(OrderError::OldFencing {
                highest: self.highest,
                offered,
            });
        }
        self.highest = offered;
        Ok(())
    }
}
