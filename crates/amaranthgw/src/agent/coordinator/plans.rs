//! Placements that a coordinator plans for the demand, and the switches that it starts to them.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{MapVersion, saturating_whole};
use amaranthgw_groups::rebalance::{
    GroupPlacement, PlacementDelta, PlannerInput, PlannerLimits, RankOrder, RankView, SwitchPhase,
    plan_change,
};
use tokio::time::Instant;

use super::super::dispatch::MemberOrder;
use super::super::known_map::{KnownMap, StartedSwitch};
use super::super::switch_report::SwitchReport;
use super::GroupCoordinator;
use crate::telemetry::NodeEvent;

/// Age from which the demand is too old to plan for it.
const DEMAND_MAX_AGE: Duration = Duration::from_millis(600);
/// Imbalance (largest over mean load) below which an expert set is left as it is.
const TOLERATED_IMBALANCE: f64 = 1.08;
/// A replica is added only if it reduces the largest load by at least this share of the mean load.
const MIN_REPLICA_GAIN: f64 = 0.02;
/// Smallest reduction of the mean imbalance (largest over mean load) for which a switch is started.
const MIN_SWITCH_GAIN: f64 = 0.25;
/// Time that one rank may spend on copies for one switch: the popularity of experts changes every
/// few seconds, and steps take longer while weights are copied.
const COPY_TIME_BUDGET: Duration = Duration::from_millis(570);

impl GroupCoordinator {
    /// Brings the demand up to date with the selections that arrived.
    pub(super) fn observe_demand(&mut self, now: Instant) {
        if let Some((demand, selections)) = self.demand.as_mut().zip(self.selections.take()) {
            demand.observe(&selections, now);
        }
    }

    /// Starts a switch if it reduces the mean imbalance by at least `MIN_SWITCH_GAIN`.
    pub(super) fn plan(&mut self, now: Instant) {
        let Some(version) = self.driver.common_map(now) else {
            return;
        };
        self.refresh_known_map(version);
        let (Some(shape), Some(demand)) = (self.shape, self.demand.as_ref()) else {
            return;
        };
        let observed_at = demand.observed_at();
        if observed_at.is_none_or(|at| now.saturating_duration_since(at) > DEMAND_MAX_AGE) {
            return;
        }
        let Some(known) = self.known_map.clone() else {
            return;
        };
        let limits = PlannerLimits {
            places: shape.places,
            new_per_set: shape.new_per_set,
            new_per_rank: shape.copies_within(COPY_TIME_BUDGET),
            tolerated_imbalance: TOLERATED_IMBALANCE,
            min_gain: MIN_REPLICA_GAIN,
        };
        let slowdown: Vec<f64> = self.driver.views().map(RankView::slowdown).collect();
        let input = PlannerInput {
            placement: &known.placement,
            demand: demand.recent(),
            long_term: demand.long_term(),
            slowdown: &slowdown,
        };
        let change = plan_change(input, &limits);
        let Some(change) = change.filter(|it| it.before - it.after >= MIN_SWITCH_GAIN) else {
            return;
        };
        self.log.record(NodeEvent::PlacementPlanned {
            group: self.group.clone(),
            version,
            copies: u64::try_from(change.copies).unwrap_or(u64::MAX),
            most_copies: u64::try_from(change.most_copies).unwrap_or(u64::MAX),
            before_percent: percent(change.before),
            after_percent: percent(change.after),
        });
        let copy_time = shape.copy_time(change.most_copies);
        self.start(&known, &change.placement, copy_time, now);
    }

    /// Starts the switch from the map in use to `target`.
    fn start(
        &mut self,
        known: &KnownMap,
        target: &GroupPlacement,
        copy_time: Duration,
        now: Instant,
    ) {
        let delta = PlacementDelta::new(known.version, &known.placement, target);
        let Some(delta) = delta else {
            return;
        };
        // The placement in the order in which agents will have it.
        let Ok(placement) = delta.apply(&known.placement) else {
            return;
        };
        let placement = Arc::new(placement);
        if !self.driver.start(Arc::clone(&placement), copy_time, now) {
            return;
        }
        let SwitchPhase::Preparing { version, .. } = self.driver.phase() else {
            return;
        };
        self.started = Some(StartedSwitch {
            map: KnownMap {
                generation: known.generation,
                version: *version,
                placement,
            },
            delta: Arc::new(delta),
            report: Some(SwitchReport::new(now)),
        });
    }

    /// Learns the placement of the common map: from the switch that led to it, or from the experts
    /// that the ranks report.
    fn refresh_known_map(&mut self, version: MapVersion) {
        let Some(generation) = self.driver.views().next().map(|view| view.generation) else {
            return;
        };
        let is_common = |map: &KnownMap| map.key() == (generation, version);
        if self.known_map.as_ref().is_some_and(is_common) {
            return;
        }
        let started = self.started.as_ref().map(|started| &started.map);
        self.known_map = started.filter(|map| is_common(map)).cloned().or_else(|| {
            Some(KnownMap {
                generation,
                version,
                placement: Arc::new(self.driver.common_placement()?),
            })
        });
    }

    /// The difference by which a batch of orders can carry its placement.
    pub(super) fn delta_for(&self, batch: &[MemberOrder]) -> Option<&Arc<PlacementDelta>> {
        let started = self.started.as_ref()?;
        let pending = &batch.first()?.pending;
        let RankOrder::Prepare { version, .. } = pending.order else {
            return None;
        };
        (started.map.key() == (pending.generation, version)).then_some(&started.delta)
    }
}

fn percent(ratio: f64) -> u64 {
    saturating_whole((ratio * 100.0).round())
}
