//! The configuration log, its state and how nodes keep it in force.

mod change;
mod commit;
mod compact;
mod diff;
mod error;
mod follower;
mod history;
mod message;
mod pace;
mod relay;
mod state;
mod store;
mod view;

pub use change::{ChangeId, ChangeMark, ConfigBase, ConfigChange, ConfigEdit, ConfigLog, OutScope};
pub use commit::{CommitAsk, CommitOutcome, CommitStep, ConfigCommit, RaceLoss};
pub use compact::{
    KEPT_LOG_BYTES, KEPT_LOG_CHANGES, MAX_BASE_MARKS, MAX_LOG_BYTES, MAX_LOG_CHANGES,
};
pub use diff::{diff, diff_states};
pub use error::ConfigError;
pub use follower::{ConfigFollower, FollowerEffect, MAX_UNASKED_BYTES, TELL_STEP};
pub use message::{ConfigMessage, ConfigOffer, ConfigPull, ConfigPush};
pub use pace::{QUIET_LIMIT, WATCH_WAIT};
pub use relay::{DOMAIN_DEGREE, RelayPlan, RelayVm, WATCHER_DEGREE, WATCHERS_PER_DOMAIN};
pub use state::{ObjectiveShare, PlanRow, ServingState, UseRow, WorkspaceRow};
pub use store::{ConfigKey, MAX_VALUE, StoreCall, StoreReply, decode_value, encode_value};
pub use view::{ConfigRead, ConfigView, ReadError, ReadStep};

/// Result of a configuration operation.
pub type Result<T> = std::result::Result<T, ConfigError>;
