//! The policy of production: near targets, two choices, affinity bounded by load.

use tokio::time::Instant;

use super::candidate::{CandidateRow, FitClass, FitScore};
use super::table::TierTable;
use super::{
    Result, RouteAsk, RouteError, RoutePlan, RoutePolicy, ServiceKind, ServiceRoutes, TargetRoute,
};

/// Utilisation of the near choice above which farther targets are looked at.
const SPILL_UTILISATION: f32 = 0.8;
/// How much less utilised a farther target must be, for each step of distance.
const SPILL_MARGIN: f32 = 0.15;
/// How much above the mean utilisation a target may be and still keep its prefixes.
const AFFINITY_MARGIN: f32 = 0.25;
/// Draws that are spent on finding two targets that were not tried.
const MAX_DRAWS: usize = 6;

/// Chooses between two draws from the nearest targets and spills to farther ones under load.
///
/// Draws are weighted by what the gates admit, so that a warming target gets its part and no
/// more. Requests that share a prompt prefix go to the same target while it has room.
#[derive(Debug, Default)]
pub struct DomainNearPolicy;

impl DomainNearPolicy {
    /// Creates the policy.
    #[must_use]
    pub fn new() -> Self {
        Self
    }
}

impl RoutePolicy for DomainNearPolicy {
    fn choose(
        &self,
        routes: &ServiceRoutes,
        ask: &RouteAsk<'_>,
        now: Instant,
    ) -> Result<RoutePlan> {
        let search = RouteSearch { routes, ask, now };
        let route = search.find().ok_or_else(|| search.error())?;
        Ok(RoutePlan {
            route: route.clone(),
        })
    }
}

/// One decision.
struct RouteSearch<'a> {
    routes: &'a ServiceRoutes,
    ask: &'a RouteAsk<'a>,
    now: Instant,
}

/// A target that may be chosen and its judgement.
#[derive(Clone, Copy)]
struct RankedRow<'a> {
    row: &'a CandidateRow,
    score: FitScore,
}

impl<'a> RouteSearch<'a> {
    fn find(&self) -> Option<&'a TargetRoute> {
        if let Some(row) = self.prefix_home() {
            return Some(self.route(row));
        }
        let chosen = self.find_by_draw().or_else(|| self.scan_subset());
        match chosen {
            Some(ranked) => Some(self.route(ranked.row)),
            None => self.any_open(),
        }
    }

    /// A drawn target, unless one that suits better is left.
    ///
    /// Where every target is full, the draw stands: the best of old reports would be the same
    /// target for every entry.
    fn find_by_draw(&self) -> Option<RankedRow<'a>> {
        let drawn = self.draw_near()?;
        if drawn.score.class == FitClass::Fit {
            return Some(drawn);
        }
        let suits_better = |seen: &RankedRow<'_>| seen.score.class < drawn.score.class;
        Some(self.scan_subset().filter(suits_better).unwrap_or(drawn))
    }

    /// The target that keeps the request's prefix in its cache, while it is not overloaded.
    fn prefix_home(&self) -> Option<&'a CandidateRow> {
        let prefix_hash = self.ask.prefix_hash?;
        if self.routes.kind != ServiceKind::Model {
            return None;
        }
        let tier = self.routes.table().tiers().first()?;
        let ranked = tier
            .candidates()
            .iter()
            .map(|row| (row.home_rank(prefix_hash), row));
        let (_, home) = ranked.min_by(|(first, _), (second, _)| first.total_cmp(second))?;
        let ranked = self.rank(home)?;
        let bound = self.routes.load().utilisation() + AFFINITY_MARGIN;
        let has_room = ranked.score.class == FitClass::Fit && ranked.score.utilisation <= bound;
        has_room.then_some(home)
    }

    /// Draws from the nearest tier, and from farther ones while the choice is loaded.
    fn draw_near(&self) -> Option<RankedRow<'a>> {
        let mut best: Option<RankedRow<'a>> = None;
        for tier in self.routes.table().tiers() {
            let Some(drawn) = self.draw_two(tier) else {
                continue;
            };
            let chosen = best.map_or(drawn, |near| nearer_unless_loaded(near, drawn));
            let is_fit = chosen.score.class == FitClass::Fit;
            if is_fit && chosen.score.utilisation <= SPILL_UTILISATION {
                return Some(chosen);
            }
            best = Some(chosen);
        }
        best
    }

    /// The better of two different draws.
    fn draw_two(&self, tier: &'a TierTable) -> Option<RankedRow<'a>> {
        let mut first: Option<RankedRow<'a>> = None;
        for _ in 0..MAX_DRAWS {
            let Some(drawn) = self.rank(tier.draw()?) else {
                continue;
            };
            match first {
                None => first = Some(drawn),
                Some(seen) if seen.row.index == drawn.row.index => {}
                Some(seen) => return Some(self.better_despite_noise(seen, drawn)),
            }
        }
        first
    }

    /// The better of two draws as far as their reports can tell.
    fn better_despite_noise(&self, first: RankedRow<'a>, second: RankedRow<'a>) -> RankedRow<'a> {
        let noisy = |ranked: RankedRow<'a>| {
            let mut score = ranked.score;
            score.utilisation += ranked.row.noise(self.now);
            score
        };
        if noisy(second).is_better(noisy(first)) {
            return second;
        }
        first
    }

    /// The first target that fits from a random start, nearest tier first, else the best.
    fn scan_subset(&self) -> Option<RankedRow<'a>> {
        let mut best: Option<RankedRow<'a>> = None;
        for tier in self.routes.table().tiers() {
            let rows = tier.candidates();
            let start = fastrand::usize(..rows.len());
            for row in rows[start..].iter().chain(&rows[..start]) {
                let Some(ranked) = self.rank(row) else {
                    continue;
                };
                if ranked.score.class == FitClass::Fit && !row.is_slow {
                    return Some(ranked);
                }
                best = Some(best.map_or(ranked, |seen| better(seen, ranked)));
            }
        }
        best
    }

    /// Any open target outside the subset, once those within it have been tried.
    fn any_open(&self) -> Option<&'a TargetRoute> {
        let targets = self.routes.targets();
        if targets.is_empty() {
            return None;
        }
        let start = fastrand::usize(..targets.len());
        let mut from_start = targets[start..].iter().chain(&targets[..start]);
        from_start.find(|route| route.is_open() && !self.is_tried(route))
    }

    fn rank(&self, row: &'a CandidateRow) -> Option<RankedRow<'a>> {
        let route = self.route(row);
        if self.is_tried(route) {
            return None;
        }
        let score = row.score(route.own_in_flight(), self.ask.deadline, self.now);
        Some(RankedRow { row, score })
    }

    fn route(&self, row: &CandidateRow) -> &'a TargetRoute {
        &self.routes.targets()[row.index]
    }

    fn is_tried(&self, route: &TargetRoute) -> bool {
        self.ask.tried.contains(&route.target)
    }

    fn error(&self) -> RouteError {
        if self.routes.targets().iter().any(TargetRoute::is_open) {
            return RouteError::AllTried;
        }
        RouteError::NoOpenTarget
    }
}

fn better<'a>(first: RankedRow<'a>, second: RankedRow<'a>) -> RankedRow<'a> {
    if second.score.is_better(first.score) {
        return second;
    }
    first
}

/// The farther choice only where it is clearly less utilised.
fn nearer_unless_loaded<'a>(near: RankedRow<'a>, far: RankedRow<'a>) -> RankedRow<'a> {
    let mut charged = far.score;
    charged.utilisation += SPILL_MARGIN;
    if charged.is_better(near.score) {
        return far;
    }
    near
}
