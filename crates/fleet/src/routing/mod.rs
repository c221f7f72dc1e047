//! Choosing a target for a request.

mod baseline;
mod snapshot;

pub use baseline::{LeastLoadedPolicy, RoundRobinPolicy};
pub use snapshot::{
    DomainDistance, LoadHint, RouteAsk, RouteError, RoutePlan, RoutePolicy, RouteSnapshot,
    ServiceKind, ServiceRoutes, TargetRoute, TargetStage,
};

/// Result of a routing decision.
pub type Result<T> = std::result::Result<T, RouteError>;
