//! Default policy: power of two choices by locality, with prefix affinity bounded by load.

use tokio::time::Instant;

use super::candidate::{CandidateRow, FitClass, FitScore};
use super::table::TierTable;
use super::{
    Result, RouteChoice, RouteError, RouteInput, RoutePolicy, ServiceKind, ServiceRoutes,
    TargetRoute,
};

/// Utilisation of the nearer choice above which farther targets are considered even if it fits.
const SPILL_UTILISATION: f32 = 0.8;
/// Difference in utilisation required to prefer a target of a farther tier of the same class.
const SPILL_MARGIN: f32 = 0.15;
/// Maximum excess over the mean utilisation at which a target still receives the requests of its
/// prefixes.
const AFFINITY_MARGIN: f32 = 0.25;
/// Maximum draws for finding two different targets that were not tried.
const MAX_DRAWS: usize = 6;

/// Chooses the better of two random nearby targets, and spills over to farther ones under load.
///
/// Targets are drawn in proportion to their concurrency limits, so that a warming target gets no
/// more than its share. Requests with the same prompt prefix go to the same target while it has
/// room.
#[derive(Debug, Default)]
pub struct LocalityPolicy;

impl LocalityPolicy {
    /// Creates the policy.
    #[must_use]
    pub fn new() -> Self {
        Self
    }
}

impl RoutePolicy for LocalityPolicy {
    fn choose(
        &self,
        routes: &ServiceRoutes,
        input: &RouteInput<'_>,
        now: Instant,
    ) -> Result<RouteChoice> {
        let search = RouteSearch { routes, input, now };
        let route = search.find().ok_or_else(|| search.error())?;
        Ok(RouteChoice {
            route: route.clone(),
        })
    }
}

/// State of one routing decision.
struct RouteSearch<'a> {
    routes: &'a ServiceRoutes,
    input: &'a RouteInput<'a>,
    now: Instant,
}

/// An eligible target with its score.
#[derive(Clone, Copy)]
struct ScoredRow<'a> {
    row: &'a CandidateRow,
    score: FitScore,
}

impl<'a> RouteSearch<'a> {
    fn find(&self) -> Option<&'a TargetRoute> {
        if let Some(row) = self.affinity_target() {
            return Some(self.route(row));
        }
        let chosen = self.draw_or_scan().or_else(|| self.scan_subset());
        let is_fit = |scored: &ScoredRow<'_>| scored.score.class == FitClass::Fit;
        let fitting = chosen.filter(is_fit).or_else(|| self.fitting_spare());
        match fitting.or(chosen) {
            Some(scored) => Some(self.route(scored.row)),
            None => self.any_open(),
        }
    }

    /// Draws a target; if it does not fit, scans the subset for one of a better class.
    ///
    /// If none has a better class, the drawn one is kept rather than the best of the scan: all
    /// entries have the same stale reports and would find the same best target.
    fn draw_or_scan(&self) -> Option<ScoredRow<'a>> {
        let drawn = self.draw_by_tier()?;
        if drawn.score.class == FitClass::Fit {
            return Some(drawn);
        }
        let is_better_class = |seen: &ScoredRow<'_>| seen.score.class < drawn.score.class;
        Some(self.scan_subset().filter(is_better_class).unwrap_or(drawn))
    }

    /// The target of the nearest tier that serves, and therefore caches, the request's prefix,
    /// unless it is overloaded.
    fn affinity_target(&self) -> Option<&'a CandidateRow> {
        let prefix_hash = self.input.prefix_hash?;
        if self.routes.kind != ServiceKind::Model {
            return None;
        }
        let tier = self.routes.table().tiers().first()?;
        let scored = tier
            .candidates()
            .iter()
            .map(|row| (row.rendezvous_score(prefix_hash), row));
        let (_, preferred) = scored.min_by(|(first, _), (second, _)| first.total_cmp(second))?;
        let scored = self.score_row(preferred)?;
        let max_utilisation = self.routes.load().utilisation() + AFFINITY_MARGIN;
        let has_room =
            scored.score.class == FitClass::Fit && scored.score.utilisation <= max_utilisation;
        has_room.then_some(preferred)
    }

    /// Draws from the nearest tier, and from farther tiers while the choice is highly utilised or
    /// does not fit.
    fn draw_by_tier(&self) -> Option<ScoredRow<'a>> {
        let mut best: Option<ScoredRow<'a>> = None;
        for tier in self.routes.table().tiers() {
            let Some(drawn) = self.draw_two(tier) else {
                continue;
            };
            let chosen = best.map_or(drawn, |near| prefer_nearer(near, drawn));
            let is_fit = chosen.score.class == FitClass::Fit;
            if is_fit && chosen.score.utilisation <= SPILL_UTILISATION {
                return Some(chosen);
            }
            best = Some(chosen);
        }
        best
    }

    /// The better of two different random targets of a tier.
    fn draw_two(&self, tier: &'a TierTable) -> Option<ScoredRow<'a>> {
        let mut first: Option<ScoredRow<'a>> = None;
        for _ in 0..MAX_DRAWS {
            let Some(drawn) = self.score_row(tier.draw()?) else {
                continue;
            };
            match first {
                None => first = Some(drawn),
                Some(seen) if seen.row.index == drawn.row.index => {}
                Some(seen) => return Some(self.better_with_noise(seen, drawn)),
            }
        }
        first
    }

    /// The better of two targets after random utilisation, larger for older reports, is added to
    /// both.
    fn better_with_noise(&self, first: ScoredRow<'a>, second: ScoredRow<'a>) -> ScoredRow<'a> {
        let noisy = |scored: ScoredRow<'a>| {
            let mut score = scored.score;
            score.utilisation += scored.row.noise(self.now);
            score
        };
        if noisy(second).is_better(noisy(first)) {
            return second;
        }
        first
    }

    /// Scans the tiers, each from a random start, for a target that fits and is not slow; otherwise
    /// returns the best one.
    fn scan_subset(&self) -> Option<ScoredRow<'a>> {
        let mut best: Option<ScoredRow<'a>> = None;
        for tier in self.routes.table().tiers() {
            let rows = tier.candidates();
            let start = fastrand::usize(..rows.len());
            for row in rows[start..].iter().chain(&rows[..start]) {
                let Some(scored) = self.score_row(row) else {
                    continue;
                };
                if scored.score.class == FitClass::Fit && !row.is_slow {
                    return Some(scored);
                }
                best = Some(best.map_or(scored, |seen| better(seen, scored)));
            }
        }
        best
    }

    /// A target outside the subset that fits by its last report, from a random start.
    fn fitting_spare(&self) -> Option<ScoredRow<'a>> {
        let spares = self.routes.table().spares();
        if spares.is_empty() {
            return None;
        }
        let start = fastrand::usize(..spares.len());
        let mut from_start = spares[start..].iter().chain(&spares[..start]);
        from_start.find_map(|row| {
            let scored = self.score_row(row)?;
            (scored.score.class == FitClass::Fit).then_some(scored)
        })
    }

    /// A random open target of the service, after those of the subset have been tried.
    fn any_open(&self) -> Option<&'a TargetRoute> {
        let targets = self.routes.targets();
        if targets.is_empty() {
            return None;
        }
        let start = fastrand::usize(..targets.len());
        let mut from_start = targets[start..].iter().chain(&targets[..start]);
        from_start.find(|route| route.is_open() && !self.is_tried(route))
    }

    fn score_row(&self, row: &'a CandidateRow) -> Option<ScoredRow<'a>> {
        let route = self.route(row);
        if self.is_tried(route) {
            return None;
        }
        let score = row.score(route.own_in_flight(), self.input.deadline, self.now);
        Some(ScoredRow { row, score })
    }

    fn route(&self, row: &CandidateRow) -> &'a TargetRoute {
        &self.routes.targets()[row.index]
    }

    fn is_tried(&self, route: &TargetRoute) -> bool {
        self.input.tried.contains(&route.target)
    }

    fn error(&self) -> RouteError {
        if self.routes.targets().iter().any(TargetRoute::is_open) {
            return RouteError::AllTried;
        }
        RouteError::NoOpenTarget
    }
}

fn better<'a>(first: ScoredRow<'a>, second: ScoredRow<'a>) -> ScoredRow<'a> {
    if second.score.is_better(first.score) {
        return second;
    }
    first
}

/// Prefers `near` unless `far` has a better class, or the same and is less utilised by more than
/// [`SPILL_MARGIN`].
fn prefer_nearer<'a>(near: ScoredRow<'a>, far: ScoredRow<'a>) -> ScoredRow<'a> {
    let mut penalised = far.score;
    penalised.utilisation += SPILL_MARGIN;
    if penalised.is_better(near.score) {
        return far;
    }
    near
}
