//! In-process stand-ins for the users' platform: metadata store, target servers and rank groups.
//!
//! A handle clones cheaply and shares its state with the started stand-in, so tests set faults and
//! read results without HTTP calls.

mod config;
mod group;
mod store;
mod target;

pub use config::site_config;
pub use group::{SiteGroup, SiteRank};
pub use store::{ListingFault, SiteStore, StoreCopy, StoreFault};
pub use target::{SiteArrival, SiteRun, SiteTarget, StreamPause, TargetBehaviour};
