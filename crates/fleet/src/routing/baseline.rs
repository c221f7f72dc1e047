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

/// Takes the open target with the least work in flight, by the other entries' part of its last
/// report and this entry's own count; equal ones in random order.
#[derive(Debug, Default)]
pub struct LeastLoadedPolicy;

impl RoutePolicy for LeastLoadedPolicy {
    fn choose(
        &self,
        routes: &ServiceRoutes,
        ask: &RouteAsk<'_>,
        _now: Instant,
    ) -> Result<RoutePlan> {
        let targets = routes.targets();
        let (before, after) = targets.split_at(fastrand::usize(..=targets.len()));
        let from_start = after.iter().chain(before);
        let open = from_start.filter(|route| is_candidate(route, ask));
        let chosen = open.min_by_key(|route| known_load(route));
        chosen.map(plan_for).ok_or_else(|| no_target(routes))
    }
}

fn known_load(route: &TargetRoute) -> u32 {
    let others = route.load.map_or(0, |load| {
        let own = load.own_in_flight.get();
        load.in_flight.get().saturating_sub(own)
    });
    others.saturating_add(route.own_in_flight())
}

fn open_targets<'a>(
    routes: &'a ServiceRoutes,
    ask: &'a RouteAsk<'_>,
) -> impl Iterator<Item = &'a TargetRoute> {
    let targets = routes.targets().iter();
    targets.filter(|route| is_candidate(route, ask))
}

fn is_candidate(route: &TargetRoute, ask: &RouteAsk<'_>) -> bool {
    route.is_open() && !ask.tried.contains(&route.target)
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
