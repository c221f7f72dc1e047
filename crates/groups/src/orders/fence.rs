//! The fence of a sidecar, for engines that do not check fencing numbers themselves.

use amaranthgw_core::FencingNumber;

/// Result of checking an order.
pub type Result<T> = std::result::Result<T, OrderError>;

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// A later holder of the lease has given orders.
    OldFencing {
        /// Highest number seen.
        held: FencingNumber,
        /// Number of the refused order.
        offered: FencingNumber,
    },
}

impl std::fmt::Display for OrderError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::OldFencing { held, offered } => {
                write!(f, "fencing number {offered} is older than {held}")
            }
        }
    }
}

impl std::error::Error for OrderError {}

/// Highest fencing number that a sidecar has seen for its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderFence {
    held: FencingNumber,
}

impl OrderFence {
    /// Creates a fence that has seen no order.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets an order pass and remembers its number.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError::OldFencing`] for a number below one that has passed.
    pub fn admit(&mut self, offered: FencingNumber) -> Result<()> {
        if offered < self.held {
            return Err(OrderError::OldFencing {
                held: self.held,
                offered,
            });
        }
        self.held = offered;
        Ok(())
    }
}
