//! One simulated day of a rank group under each policy.

use std::cmp::Ordering;

use amaranthgw_core::{ByteCount, ByteRate, MilliSpan};

use super::drift::{DriftPattern, LayerDrift, normal};
use super::report::PolicyFigures;
use crate::placement::{
    EachTickPolicy, ExpertMap, GainPolicy, GroupShape, LayerPopularity, LoadShare, MovePrice,
    PlacementInput, PlacementPlan, PlacementPolicy, StaticPolicy, pack_layer, rank_loads, skew,
};

/// Setting of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationSetting {
    /// Sizes of the group.
    pub shape: GroupShape,
    /// Layers.
    pub layers: usize,
    /// Ticks of the day; popularity is observed once per tick.
    pub ticks: u32,
    /// Length of a tick.
    pub tick: MilliSpan,
    /// Tokens that each layer works on in a tick.
    pub tokens: f64,
    /// Tick after which every policy begins with the same packed map.
    pub pack_at: u32,
    /// Ticks before the first figure, in which every policy may settle.
    pub warm_up: u32,
    /// Prices of a change.
    pub price: MovePrice,
}

impl SimulationSetting {
    /// A group of 256 ranks and 256 experts a layer over one day of ticks of 30 s.
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
            tokens: 5.0e7,
            pack_at: 20,
            warm_up: 60,
            price: MovePrice {
                step: MilliSpan::new(50),
                expert: ByteCount::new(44_000_000),
                rate: ByteRate::new(4_000_000_000),
                switch_steps: 1,
                load_slowdown: 0.02,
                horizon: MilliSpan::new(1_800_000),
            },
        }
    }
}

impl Default for SimulationSetting {
    fn default() -> Self {
        Self::new()
    }
}

/// Runs one pattern with every policy on the same popularity.
#[must_use]
pub fn simulate(
    pattern: DriftPattern,
    setting: &SimulationSetting,
    seed: u64,
) -> Vec<PolicyFigures> {
    let policies: [Box<dyn PlacementPolicy>; 3] = [
        Box::new(StaticPolicy),
        Box::new(EachTickPolicy),
        Box::new(GainPolicy::new()),
    ];
    let runs = policies
        .iter()
        .map(|policy| GroupRun::new(pattern, setting, seed).run(policy.as_ref()));
    runs.collect()
}

/// State of one run.
#[derive(Debug)]
struct GroupRun<'a> {
    setting: &'a SimulationSetting,
    pattern: DriftPattern,
    rng: fastrand::Rng,
    drift: Vec<LayerDrift>,
    popularity: Vec<LayerPopularity>,
    map: ExpertMap,
    /// Plan whose weights load, and the seconds that this still takes.
    loading: Option<(PlacementPlan, f64)>,
    figures: PolicyFigures,
}

impl<'a> GroupRun<'a> {
    fn new(pattern: DriftPattern, setting: &'a SimulationSetting, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let experts = usize::from(setting.shape.experts);
        let drift: Vec<LayerDrift> = (0..setting.layers)
            .map(|_| LayerDrift::new(pattern, experts, &mut rng))
            .collect();
        let first = drift
            .iter()
            .map(|drift| pack_layer(setting.shape, &drift.loads(0.0, &mut rng)));
        let map = ExpertMap {
            layers: first.collect(),
        };
        let popularity = vec![LayerPopularity::new(setting.shape.experts); setting.layers];
        let figures = PolicyFigures::new(pattern.name(), "");
        Self {
            setting,
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
        for tick in 0..self.setting.ticks {
            let day = f64::from(tick) / f64::from(self.setting.ticks);
            let drift = std::mem::take(&mut self.drift);
            let loads: Vec<Vec<LoadShare>> = drift
                .iter()
                .map(|layer| layer.loads(day, &mut self.rng))
                .collect();
            self.drift = drift;
            self.run_tick(&loads, tick > self.setting.warm_up);
            self.observe(&loads);
            match tick.cmp(&self.setting.pack_at) {
                Ordering::Less => {}
                Ordering::Equal => self.map = self.packed(),
                Ordering::Greater => self.plan(policy),
            }
            if tick == self.setting.warm_up {
                self.figures = PolicyFigures::new(self.pattern.name(), policy.name());
            }
        }
        self.figures
    }

    /// The steps of one tick; the map may change in the middle, when its weights have arrived.
    fn run_tick(&mut self, loads: &[Vec<LoadShare>], is_counted: bool) {
        let tick = self.setting.tick.duration().as_secs_f64();
        let ends_in = self
            .loading
            .as_ref()
            .map_or(f64::INFINITY, |(_, seconds)| *seconds);
        let before = ends_in.min(tick);
        let loading_part = if self.loading.is_some() {
            before / tick
        } else {
            0.0
        };
        if is_counted && before > 0.0 {
            self.figures.add_steps(self.step_skew(loads), before / tick);
        }
        self.figures.slowed += loading_part * tick * self.setting.price.load_slowdown;
        if let Some((plan, seconds)) = self.loading.take() {
            if seconds > tick {
                self.loading = Some((plan, seconds - tick));
                return;
            }
            self.map = plan.map;
            self.figures.switches += 1;
            self.figures.stalled_steps += u64::from(self.setting.price.switch_steps);
            if is_counted {
                self.figures
                    .add_steps(self.step_skew(loads), 1.0 - before / tick);
            }
        }
    }

    /// Time of a step over its time under perfect balance; the layers run one after the other.
    fn step_skew(&self, loads: &[Vec<LoadShare>]) -> f64 {
        let ranks = usize::from(self.setting.shape.ranks);
        let layers = self.map.layers.iter().zip(loads);
        let skews: Vec<f64> = layers
            .map(|(map, loads)| skew(&rank_loads(map, loads, ranks)))
            .collect();
        let number = f64::from(u32::try_from(skews.len()).unwrap_or(u32::MAX));
        skews.iter().sum::<f64>() / number
    }

    fn observe(&mut self, loads: &[Vec<LoadShare>]) {
        for (popularity, loads) in self.popularity.iter_mut().zip(loads) {
            let tokens: Vec<u64> = loads
                .iter()
                .map(|load| sample(load * self.setting.tokens, &mut self.rng))
                .collect();
            popularity.observe(&tokens);
        }
    }

    /// The map with which every policy begins.
    fn packed(&self) -> ExpertMap {
        let layers = self.popularity.iter();
        let pack = |layer: &LayerPopularity| pack_layer(self.setting.shape, &layer.loads());
        ExpertMap {
            layers: layers.map(pack).collect(),
        }
    }

    fn plan(&mut self, policy: &dyn PlacementPolicy) {
        if self.loading.is_some() {
            return;
        }
        let input = PlacementInput {
            shape: self.setting.shape,
            price: &self.setting.price,
            map: &self.map,
            popularity: &self.popularity,
        };
        if let Some(plan) = policy.plan(input) {
            let seconds = self.setting.price.load_seconds(plan.loads);
            self.figures.moves += u64::try_from(plan.loads).unwrap_or(u64::MAX);
            self.figures.bytes += self.setting.price.bytes(plan.loads).get();
            self.loading = Some((plan, seconds));
        }
    }
}

/// A sampled number of tokens with the given mean.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "at least 0"
)]
fn sample(mean: f64, rng: &mut fastrand::Rng) -> u64 {
    (mean + mean.sqrt() * normal(rng)).max(0.0).round() as u64
}
