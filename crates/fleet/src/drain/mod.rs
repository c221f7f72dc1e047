//! Draining and return to service of VMs, failure domains and entries.
//!
//! Both ends of a call keep a [`DrainRow`]: the entry for each target it may call, the sidecar for
//! its own target. Both must admit new work, so it stops as soon as either learns of the drain.

mod error;
mod row;
mod share;
mod signals;

pub use error::{DrainRefusal, Result};
pub use row::{DrainRow, DrainSettings, DrainStage, DrainTransition};
pub use share::{DomainCapacity, SharePlan, ShareSettings, plan_shares};
pub use signals::{DrainCause, DrainSignals, VmState};
