//! The configuration log, its state and how nodes keep it in force.

mod change;
mod commit;
mod compact;
mod diff;
mod error;
mod follower;
mod history;
mod message;
mod outcome;
mod pace;
mod relay;
mod state;
mod store;
mod tell;
mod view;

pub use change::{ChangeId, ChangeMark, ConfigBase, ConfigChange, ConfigEdit, ConfigLog, OutScope};
pub use commit::ConfigCommit;
pub use compact::{
    KEPT_LOG_BYTES, KEPT_LOG_CHANGES, MAX_BASE_MARKS, MAX_LOG_BYTES, MAX_LOG_CHANGES,
};
pub use diff::{diff, diff_states};
pub use error::ConfigError;
pub use follower::{ConfigFollower, FollowerEffect};
pub use message::{ConfigMessage, ConfigOffer, ConfigPull, ConfigPush};
pub use outcome::{CommitAsk, CommitOutcome, CommitStep, RaceLoss};
pub use pace::{QUIET_LIMIT, WATCH_WAIT};
pub use relay::{DOMAIN_DEGREE, RelayPlan, RelayVm, WATCHER_DEGREE, WATCHERS_PER_DOMAIN};
pub use state::{ObjectiveShare, PlanRow, ServingState, UseRow, WorkspaceRow};
pub use store::{ConfigKey, MAX_VALUE, StoreCall, StoreReply, decode_value, encode_value};
pub use tell::{MAX_UNASKED_BYTES, OFFER_INTERVAL, TELL_STEP};
pub use view::{ConfigRead, ConfigView, ReadError, ReadStep};

/// Result of a configuration operation.
pub type Result<T> = std::result::Result<T, ConfigError>;
