//! Target selection of an entry: subsetting, load estimates and routing policies.
//!
//! An entry accepts callers' requests and dispatches them to the sidecars of targets, which admit
//! requests and report the target's load. Gateways, which forward requests directly to targets, use
//! the policies in [`gateway`](crate::gateway) instead.

mod alias;
mod baseline;
mod candidate;
mod hash;
mod locality;
mod snapshot;
mod subset;
mod table;

pub use baseline::{LeastLoadedPolicy, RoundRobinPolicy};
pub use locality::LocalityPolicy;
pub use snapshot::{
    DomainDistance, LoadReport, RouteChoice, RouteError, RouteInput, RoutePolicy, RouteSnapshot,
    ServiceKind, ServiceRoutes, TargetRoute, TargetStage,
};
pub use subset::SubsetSettings;
pub use table::SubsetLoad;

use table::SubsetTable;

/// Result of a routing decision; fails with a [`RouteError`].
pub type Result<T> = std::result::Result<T, RouteError>;
