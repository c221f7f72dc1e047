//! Replication of the operators' configuration to all nodes.
//!
//! Operators append changes to a log in the key-value service ([`ConfigCommit`]). Nodes read the
//! log or receive changes from peers ([`ConfigFollower`]) and apply them to a [`ServingState`].

mod change;
mod commit;
mod compact;
mod diff;
mod error;
mod follower;
mod gossip;
mod history;
mod message;
mod outcome;
mod relay;
mod schedule;
mod state;
mod store;
mod view;

pub use change::{ChangeId, ChangeMark, ConfigBase, ConfigChange, ConfigEdit, ConfigLog, OutScope};
pub use commit::ConfigCommit;
pub use compact::{
    MAX_BASE_MARKS, MAX_KEPT_BYTES, MAX_KEPT_CHANGES, MAX_LOG_BYTES, MAX_LOG_CHANGES,
};
pub use diff::{diff_lists, diff_states};
pub use error::ConfigError;
pub use follower::{ConfigFollower, FollowerEffect};
pub use gossip::{MAX_UNSOLICITED_BYTES, MIN_CONFIRMATION_ADVANCE, OFFER_INTERVAL};
pub use message::{ConfigMessage, ConfigOffer, ConfigPull, ConfigPush};
pub use outcome::{CommitConflict, CommitOutcome, CommitRequest, CommitStep};
pub use relay::{DOMAIN_DEGREE, RelayTopology, RelayVm, WATCHER_DEGREE, WATCHERS_PER_DOMAIN};
pub use schedule::{CONFIRMATION_TIMEOUT, WATCH_WAIT};
pub use state::{OnTimeObjective, PlanRow, ServiceLimitRow, ServingState, WorkspaceRow};
pub use store::{ConfigKey, MAX_VALUE_SIZE, StoreCall, StoreReply, decode_value, encode_value};
pub use view::{ConfigRead, ConfigView, ReadError, ReadStep};

/// Result of a configuration operation.
pub type Result<T> = std::result::Result<T, ConfigError>;
