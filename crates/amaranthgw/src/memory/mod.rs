//! Reading of bodies within the memory budget of the process.

mod budget;
mod reader;

pub use budget::{ByteReservation, MemoryBudget};
pub use reader::{BodyReadError, HeldBody, read_held};

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyReadError>;
