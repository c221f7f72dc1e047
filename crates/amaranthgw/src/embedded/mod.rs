//! A whole fleet within one process, for the demo and for measurements.
//!
//! Entries and sidecars are the real ones with threads of their own; the platform and the
//! targets are stand-ins on loopback addresses.

mod caller;
mod error;
mod fleet;
mod load;
mod platform;
mod shape;
mod tally;

pub use caller::{CallAnswer, LoadCaller};
pub use error::{EmbeddedError, Result};
pub use fleet::{EmbeddedFleet, FleetTarget};
pub use load::{LoadPlan, run_load};
pub use shape::{FleetShape, PolicyChoice};
pub use tally::LoadTally;
