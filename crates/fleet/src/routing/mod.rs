//! Target selection of an entry: subsetting, load estimates and routing policies.

mod alias;
mod baseline;
mod candidate;
mod hash;
mod near;
mod snapshot;
mod subset;
mod table;

pub use baseline::{LeastLoadedPolicy, RoundRobinPolicy};
pub use near::LocalityPolicy;
pub use snapshot::{
    DomainDistance, LoadHint, RouteError, RouteInput, RoutePlan, RoutePolicy, RouteSnapshot,
    ServiceKind, ServiceRoutes, TargetRoute, TargetStage,
};
pub use subset::SubsetSettings;
pub use table::SubsetLoad;

use table::RouteTable;

/// Result of a routing decision; fails with a [`RouteError`].
pub type Result<T> = std::result::Result<T, RouteError>;
