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
mod target;
mod times;

pub use caller::{CallAnswer, LoadCaller, WORKSPACE};
pub use error::{EmbeddedError, Result};
pub use fleet::{EmbeddedFleet, MODEL_SERVICE, PLAIN_SERVICE};
pub use load::{LoadPlan, run_load};
pub use shape::{FleetShape, PolicyChoice};
pub use tally::LoadTally;
pub use target::FleetTarget;
pub use times::NodeTimes;
