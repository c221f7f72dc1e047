//! Error-budget burn per plan and service, measured against the service-level objective.

mod counts;
mod error;
mod render;
mod report;
mod row;
mod window;

pub use counts::{BurnOutcome, OutcomeCounts};
pub use error::BurnError;
pub use render::{render_json, render_table};
pub use report::{BurnLine, BurnReport, SourceRow, SourceState, WindowSpans};
pub use row::{BurnKey, BurnRow, BurnTable, ServiceLevel};
pub use window::{BurnWindow, WindowShape};

/// Result of merging or encoding reports.
pub type Result<T> = std::result::Result<T, BurnError>;
