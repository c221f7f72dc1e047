//! Work of requests at targets: what a request will cost, what a target has to do already, and when a
//! request would begin there.

mod engine;
mod estimate;
mod load;
mod pace;
mod target;

pub use engine::EngineFigures;
pub use estimate::WorkEstimate;
pub use load::{LoadError, MAX_RANK_LOADS, RankLoad, RankLoadReport};
pub(super) use pace::GroupPace;
pub(super) use target::{RUNNING_SHARE, whole_millis};
pub use target::{ReportOutcome, TargetWork};
