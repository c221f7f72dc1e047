//! Simple policies, as baselines for measurements.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::time::Instant;

use super::{Result, RouteChoice, RouteError, RouteInput, RoutePolicy, ServiceRoutes, TargetRoute};

/// Chooses open targets in turn.
#[derive(Debug, Default)]
pub struct RoundRobinPolicy {
    next: AtomicUsize,
}

impl RoutePolicy for RoundRobinPolicy {
    fn choose(
        &self,
        routes: &ServiceRoutes,
        input: &RouteInput<'_>,
        _now: Instant,
    ) -> Result<RouteChoice> {
        let open_count = open_targets(routes, input).count();
        if open_count == 0 {
            return Err(no_target(routes));
        }
        let turn = self.next.fetch_add(1, Ordering::Relaxed) % open_count;
        let chosen = open_targets(routes, input).nth(turn);
        chosen.map(choice_of).ok_or_else(|| no_target(routes))
    }
}

/// Chooses the open target with the lowest estimated load: the requests of other entries as last
/// reported, and those of this entry. Ties are broken at random.
#[derive(Debug, Default)]
pub struct LeastLoadedPolicy;

impl RoutePolicy for LeastLoadedPolicy {
    fn choose(
        &self,
        routes: &ServiceRoutes,
        input: &RouteInput<'_>,
        _now: Instant,
    ) -> Result<RouteChoice> {
        let targets = routes.targets();
        let (before, after) = targets.split_at(fastrand::usize(..=targets.len()));
        let from_start = after.iter().chain(before);
        let open = from_start.filter(|route| is_candidate(route, input));
        let chosen = open.min_by_key(|route| estimated_load(route));
        chosen.map(choice_of).ok_or_else(|| no_target(routes))
    }
}

fn estimated_load(route: &TargetRoute) -> u32 {
    let others = route.load.map_or(0, |load| {
        let own = load.own_in_flight.get();
        load.in_flight.get().saturating_sub(own)
    });
    others.saturating_add(route.own_in_flight())
}

fn open_targets<'a>(
    routes: &'a ServiceRoutes,
    input: &'a RouteInput<'_>,
) -> impl Iterator<Item = &'a TargetRoute> {
    let targets = routes.targets().iter();
    targets.filter(|route| is_candidate(route, input))
}

fn is_candidate(route: &TargetRoute, input: &RouteInput<'_>) -> bool {
    route.is_open() && !input.tried.contains(&route.target)
}

fn choice_of(route: &TargetRoute) -> RouteChoice {
    RouteChoice {
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
