//! Plan limits, their division among entries and their enforcement at each entry.
//!
//! Each limit is divided through a value in the key-value service that entries update by
//! compare-and-swap. [`ShareBatcher`] plans these updates for one value, [`ShareManager`] runs all
//! batchers of an entry, and [`UsageMeter`] enforces the resulting shares on traffic threads.

mod batcher;
mod cell;
mod decision;
mod demand;
mod divide;
mod error;
mod in_flight;
mod key;
mod manager;
mod own;
mod peers;
mod rate;
mod rate_meter;
mod settings;
mod usage;
mod value;

pub use batcher::{ReadReply, ShareBatcher, ShareCall, WriteReply};
pub use demand::DemandEstimate;
pub use divide::DemandRow;
pub use error::LimitError;
pub use in_flight::{InFlightMeter, InFlightPermit};
pub use key::{HolderId, ShareKey, ShareShard};
pub use manager::{LimitRow, LimitTable, ShareManager};
pub use own::LocalShare;
pub use rate::MilliRate;
pub use rate_meter::RateMeter;
pub use settings::ShareSettings;
pub use usage::UsageMeter;
pub use value::{KeyShares, RenewalNumber, ShareAmount, ShareRow, ShareValue};

/// Result of an admission check.
pub type Result<T> = std::result::Result<T, LimitError>;
