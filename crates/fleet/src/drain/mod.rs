//! Leaving and returning VMs and failure domains.
//!
//! Both ends of a call keep a [`DrainRow`]: the entry for each target it may call, the sidecar
//! for its own target. New work needs the consent of both, so it stops as soon as either knows.

mod error;
mod row;
mod share;
mod signals;

pub use error::{DrainRefusal, Result};
pub use row::{DrainRow, DrainSettings, DrainShift, DrainStage};
pub use share::{DomainCapacity, SharePlan, ShareSettings, plan_shares};
pub use signals::{DrainCause, DrainSignals, VmState};
