//! A complete fleet inside one process, used by the demo and the benchmarks.
//!
//! Entries and sidecars are the production ones, each with its own threads. The platform
//! services and the targets are stand-ins on loopback addresses.

mod caller;
mod error;
mod fleet;
mod load;
mod platform;
mod spec;
mod stats;
mod target;
mod times;

pub use caller::{CallAnswer, LoadCaller, WORKSPACE};
pub use error::{EmbeddedError, Result};
pub use fleet::{EmbeddedFleet, MODEL_SERVICE, PLAIN_SERVICE};
pub use load::{LoadPlan, run_load};
pub use spec::{FleetSpec, PolicyChoice};
pub use stats::LoadStats;
pub use target::FleetTarget;
pub use times::ProcessorTimes;
