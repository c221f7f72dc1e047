//! Draining and return to service of VMs, failure domains and entries.
//!
//! A [`DrainRow`] is the view that one end of a call has of a drain. If new work needs the consent
//! of both ends, entry and sidecar, it stops as soon as one of them learns of the drain.
//!
//! The control threads of entry and sidecar use neither [`DrainRow`] nor [`plan_shares`]: they decide
//! on drains in systems of their own.

mod error;
mod row;
mod share;
mod signals;

pub use error::{DrainRefusal, Result};
pub use row::{DrainRow, DrainSettings, DrainStage, DrainTransition};
pub use share::{DomainCapacity, SharePlan, ShareSettings, plan_shares};
pub use signals::{DrainCause, DrainSignals, VmListing};
