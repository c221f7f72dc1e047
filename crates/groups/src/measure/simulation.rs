//! Simulation of a rank group over one day under each placement policy.

use std::cmp::Ordering;

use amaranthgw_core::{ByteCount, ByteRate, MilliSpan};

use super::drift::{DriftPattern, LayerDrift, normal};
use super::report::PolicyFigures;
use crate::placement::{
    ExpertMap, GainPolicy, GroupShape, LayerPopularity, LoadShare, MoveCost, PlacementInput,
    PlacementPlan, PlacementPolicy, RepackPolicy, StaticPolicy, pack_layer, rank_loads, skew,
};

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Shape of the group.
    pub shape: GroupShape,
    /// Number of simulated layers.
    pub layers: usize,
    /// Ticks per day; popularity is observed once per tick.
    pub ticks: u32,
    /// Length of a tick.
    pub tick: MilliSpan,
    /// Tokens that each layer processes per tick.
    pub tokens_per_tick: f64,
    /// Tick at which the map is repacked from the observed popularity, so that every policy starts
    /// from the same map.
    pub pack_at: u32,
    /// Ticks for which every policy may settle before figures are collected.
    pub warm_up: u32,
    /// Cost model of a map change.
    pub cost: MoveCost,
}

impl SimulationSettings {
    /// A group of 256 ranks and 256 experts per layer, over one day in ticks of 30 s.
    #[must_use]
    pub fn new() -> Self {
        Self {
            shape: GroupShape {
                ranks: 256,
                experts: 256,
                slots: 2,
            },
            layers: 2,
            ticks: 2_880,
            tick: MilliSpan::new(30_000),
            tokens_per_tick: 5.0e7,
            pack_at: 20,
            warm_up: 60,
            cost: MoveCost {
                step_duration: MilliSpan::new(50),
                expert_size: ByteCount::new(44_000_000),
                load_rate: ByteRate::new(4_000_000_000),
                switch_steps: 1,
                load_loss: 0.02,
                horizon: MilliSpan::new(1_800_000),
            },
        }
    }
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self::new()
    }
}

/// Simulates one pattern under every policy, with the same popularity for each.
#[must_use]
pub fn simulate(
    pattern: DriftPattern,
    settings: &SimulationSettings,
    seed: u64,
) -> Vec<PolicyFigures> {
    let policies: [Box<dyn PlacementPolicy>; 3] = [
        Box::new(StaticPolicy),
        Box::new(RepackPolicy),
        Box::new(GainPolicy::new()),
    ];
    let runs = policies
        .iter()
        .map(|policy| GroupRun::new(pattern, settings, seed).run(policy.as_ref()));
    runs.collect()
}

/// State of one simulation run.
#[derive(Debug)]
struct GroupRun<'a> {
    settings: &'a SimulationSettings,
    pattern: DriftPattern,
    rng: fastrand::Rng,
    drift: Vec<LayerDrift>,
    popularity: Vec<LayerPopularity>,
    map: ExpertMap,
    /// Plan whose weights are being loaded, and the seconds until they are complete.
    loading: Option<(PlacementPlan, f64)>,
    figures: PolicyFigures,
}

impl<'a> GroupRun<'a> {
    fn new(pattern: DriftPattern, settings: &'a SimulationSettings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let experts = usize::from(settings.shape.experts);
        let drift: Vec<LayerDrift> = (0..settings.layers)
            .map(|_| LayerDrift::new(pattern, experts, &mut rng))
            .collect();
        let first = drift
            .iter()
            .map(|drift| pack_layer(settings.shape, &drift.loads(0.0, &mut rng)));
        let map = ExpertMap {
            layers: first.collect(),
        };
        let popularity = vec![LayerPopularity::new(settings.shape.experts); settings.layers];
        let figures = PolicyFigures::new(pattern.name(), "");
        Self {
            settings,
            pattern,
            rng,
            drift,
            popularity,
            map,
            loading: None,
            figures,
        }
    }

    fn run(mut self, policy: &dyn PlacementPolicy) -> PolicyFigures {
        for tick in 0..self.settings.ticks {
            let day_fraction = f64::from(tick) / f64::from(self.settings.ticks);
            let drift = std::mem::take(&mut self.drift);
            let loads: Vec<Vec<LoadShare>> = drift
                .iter()
                .map(|layer| layer.loads(day_fraction, &mut self.rng))
                .collect();
            self.drift = drift;
            self.run_tick(&loads, tick > self.settings.warm_up);
            self.observe(&loads);
            match tick.cmp(&self.settings.pack_at) {
                Ordering::Less => {}
                Ordering::Equal => self.map = self.packed(),
                Ordering::Greater => self.plan(policy),
            }
            if tick == self.settings.warm_up {
                self.figures = PolicyFigures::new(self.pattern.name(), policy.name());
            }
        }
        self.figures
    }

    /// Runs the steps of one tick; the map changes within the tick once its weights are loaded.
    fn run_tick(&mut self, loads: &[Vec<LoadShare>], is_measured: bool) {
        let tick = self.settings.tick.duration().as_secs_f64();
        let loading_seconds = self
            .loading
            .as_ref()
            .map_or(f64::INFINITY, |(_, seconds)| *seconds);
        let until_switch = loading_seconds.min(tick);
        let loading_fraction = if self.loading.is_some() {
            until_switch / tick
        } else {
            0.0
        };
        if is_measured && until_switch > 0.0 {
            self.figures
                .add_steps(self.step_skew(loads), until_switch / tick);
        }
        self.figures.lost_seconds += loading_fraction * tick * self.settings.cost.load_loss;
        if let Some((plan, seconds)) = self.loading.take() {
            if seconds > tick {
                self.loading = Some((plan, seconds - tick));
                return;
            }
            self.map = plan.map;
            self.figures.switches += 1;
            self.figures.stalled_steps += u64::from(self.settings.cost.switch_steps);
            if is_measured {
                self.figures
                    .add_steps(self.step_skew(loads), 1.0 - until_switch / tick);
            }
        }
    }

    /// Duration of a step relative to perfect balance; the layers run one after the other.
    fn step_skew(&self, loads: &[Vec<LoadShare>]) -> f64 {
        let ranks = usize::from(self.settings.shape.ranks);
        let layers = self.map.layers.iter().zip(loads);
        let skews: Vec<f64> = layers
            .map(|(map, loads)| skew(&rank_loads(map, loads, ranks)))
            .collect();
        let layer_count = f64::from(u32::try_from(skews.len()).unwrap_or(u32::MAX));
        skews.iter().sum::<f64>() / layer_count
    }

    fn observe(&mut self, loads: &[Vec<LoadShare>]) {
        for (popularity, loads) in self.popularity.iter_mut().zip(loads) {
            let tokens: Vec<u64> = loads
                .iter()
                .map(|load| sample(load * self.settings.tokens_per_tick, &mut self.rng))
                .collect();
            popularity.observe(&tokens);
        }
    }

    /// Map packed from the observed popularity, with which every policy starts.
    fn packed(&self) -> ExpertMap {
        let layers = self.popularity.iter();
        let pack = |layer: &LayerPopularity| pack_layer(self.settings.shape, &layer.loads());
        ExpertMap {
            layers: layers.map(pack).collect(),
        }
    }

    fn plan(&mut self, policy: &dyn PlacementPolicy) {
        if self.loading.is_some() {
            return;
        }
        let input = PlacementInput {
            shape: self.settings.shape,
            cost: &self.settings.cost,
            map: &self.map,
            popularity: &self.popularity,
        };
        if let Some(plan) = policy.plan(input) {
            let seconds = self.settings.cost.load_seconds(plan.new_replicas);
            self.figures.loaded_replicas += u64::try_from(plan.new_replicas).unwrap_or(u64::MAX);
            self.figures.bytes += self.settings.cost.bytes(plan.new_replicas).get();
            self.loading = Some((plan, seconds));
        }
    }
}

/// Samples a number of tokens with the given mean.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "at least 0"
)]
fn sample(mean: f64, rng: &mut fastrand::Rng) -> u64 {
    (mean + mean.sqrt() * normal(rng)).max(0.0).round() as u64
}
