//! The configuration log, its state and how nodes keep it in force.

mod change;
mod diff;
mod error;
mod state;

pub use change::{ChangeId, ChangeMark, ConfigBase, ConfigChange, ConfigEdit, ConfigLog, OutScope};
pub use diff::diff;
pub use error::ConfigError;
pub use state::{ObjectiveShare, PlanRow, ServingState, UseRow, WorkspaceRow};

/// Result of a configuration operation.
pub type Result<T> = std::result::Result<T, ConfigError>;
