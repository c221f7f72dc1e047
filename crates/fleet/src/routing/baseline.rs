//! Simple policies that measurements compare against.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::time::Instant;

use super::{Result, RouteAsk, RouteError, RoutePlan, RoutePolicy, ServiceRoutes, TargetRoute};

/// Takes the open targets in turn.
#[derive(Debug, Default)]
pub struct RoundRobinPolicy {
    next: AtomicUsize,
}

impl RoutePolicy for RoundRobinPolicy {
    fn choose(
        &self,
        routes: &ServiceRoutes,
        ask: &RouteAsk<'_>,
        _now: Instant,
    ) -> Result<RoutePlan> {
        let open_count = open_targets(routes, ask).count();
        if open_count == 0 {
            return Err(no_target(routes));
        }
        let turn = self.next.fetch_add(1, Ordering::Relaxed) % open_count;
        let chosen = open_targets(routes, ask).nth(turn);
        chosen.map(plan_for).ok_or_else(|| no_target(routes))
    }
}

/// Takes the open target with the least work in flight by its last report and this entry's count.
#[derive(Debug, Default)]
pub struct LeastLoadedPolicy;

impl RoutePolicy for LeastLoadedPolicy {
    fn choose(
        &self,
        routes: &ServiceRoutes,
        ask: &RouteAsk<'_>,
        _now: Instant,
    ) -> Result<RoutePlan> {
        let known_load = |route: &&TargetRoute| {
            let reported = route.load.map_or(0, |load| load.in_flight.get());
            reported.max(route.own_in_flight())
        };
        let chosen = open_targets(routes, ask).min_by_key(known_load);
        chosen.map(plan_for).ok_or_else(|| no_target(routes))
    }
}

fn open_targets<'a>(
    routes: &'a ServiceRoutes,
    ask: &'a RouteAsk<'_>,
) -> impl Iterator<Item = &'a TargetRoute> {
    let is_candidate = |route: &&TargetRoute| route.is_open() && !ask.tried.contains(&route.target);
    routes.targets().iter().filter(is_candidate)
}

fn plan_for(route: &TargetRoute) -> RoutePlan {
    RoutePlan {
        route: route.clone(),
    }
}

fn no_target(routes: &ServiceRoutes) -> RouteError {
    if routes.targets().iter().any(TargetRoute::is_open) {
        RouteError::AllTried
    } else {
        RouteError::NoOpenTarget
    }
}
