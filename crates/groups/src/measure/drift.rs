//! Drift patterns: how the popularity of experts changes in a simulation.

use crate::placement::LoadShare;

/// Change of expert popularity over one simulated day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriftPattern {
    /// Topics fade into each other through the day.
    SlowShift,
    /// The topic changes abruptly, three times.
    TopicJump,
    /// One expert of each layer becomes 20 times as popular for some hours.
    HotExpert,
    /// Popularity varies at random around a fixed mean.
    NoiseOnly,
}

/// Relative standard deviation of an expert's popularity from tick to tick.
const TICK_NOISE: f64 = 0.02;
/// The same in the noise-only pattern.
const NOISE_ONLY_NOISE: f64 = 0.10;
/// Factor on the popularity of the hot expert.
const HOT_FACTOR: f64 = 20.0;
const TOPICS: usize = 4;

impl DriftPattern {
    /// All patterns.
    pub const ALL: [Self; 4] = [
        Self::SlowShift,
        Self::TopicJump,
        Self::HotExpert,
        Self::NoiseOnly,
    ];

    /// Name in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::SlowShift => "slow shift",
            Self::TopicJump => "topic jump",
            Self::HotExpert => "hot expert",
            Self::NoiseOnly => "noise only",
        }
    }
}

/// Popularity of the experts of one layer over a day.
#[derive(Debug)]
pub(super) struct LayerDrift {
    pattern: DriftPattern,
    topics: Vec<Vec<f64>>,
    hot_expert: usize,
}

impl LayerDrift {
    pub(super) fn new(pattern: DriftPattern, experts: usize, rng: &mut fastrand::Rng) -> Self {
        let topics = (0..TOPICS).map(|_| random_topic(experts, rng)).collect();
        Self {
            pattern,
            topics,
            hot_expert: rng.usize(..experts),
        }
    }

    /// Expert loads at a fraction of the day between 0 and 1, with noise.
    pub(super) fn loads(&self, day_fraction: f64, rng: &mut fastrand::Rng) -> Vec<LoadShare> {
        let mut weights = self.weights(day_fraction);
        let noise = match self.pattern {
            DriftPattern::NoiseOnly => NOISE_ONLY_NOISE,
            _ => TICK_NOISE,
        };
        for weight in &mut weights {
            *weight *= (1.0 + noise * normal(rng)).max(0.0);
        }
        let total: f64 = weights.iter().sum();
        weights.iter().map(|weight| weight / total).collect()
    }

    fn weights(&self, day_fraction: f64) -> Vec<f64> {
        match self.pattern {
            DriftPattern::SlowShift => self.blended_topics(day_fraction),
            DriftPattern::TopicJump => self.topics[jump_topic(day_fraction)].clone(),
            DriftPattern::HotExpert => self.with_hot_expert(day_fraction),
            DriftPattern::NoiseOnly => self.topics[0].clone(),
        }
    }

    fn with_hot_expert(&self, day_fraction: f64) -> Vec<f64> {
        let mut weights = self.topics[0].clone();
        if (0.4..0.7).contains(&day_fraction) {
            weights[self.hot_expert] *= HOT_FACTOR;
        }
        weights
    }

    /// Mix of topics in which each peaks once a day.
    fn blended_topics(&self, day_fraction: f64) -> Vec<f64> {
        let mut weights = vec![0.0; self.topics[0].len()];
        for (index, topic) in self.topics.iter().enumerate() {
            let phase = day_fraction - [0.0, 0.25, 0.5, 0.75][index % TOPICS];
            let amplitude = f64::midpoint(1.0, (phase * std::f64::consts::TAU).cos());
            for (weight, part) in weights.iter_mut().zip(topic) {
                *weight += part * amplitude * amplitude;
            }
        }
        weights
    }
}

fn jump_topic(day_fraction: f64) -> usize {
    match day_fraction {
        fraction if fraction < 0.25 => 0,
        fraction if fraction < 0.5 => 1,
        fraction if fraction < 0.75 => 2,
        _ => 3,
    }
}

/// Random topic with log-normal popularity, so that a few experts get many of the tokens.
fn random_topic(experts: usize, rng: &mut fastrand::Rng) -> Vec<f64> {
    const SPREAD: f64 = 0.8;
    (0..experts).map(|_| (SPREAD * normal(rng)).exp()).collect()
}

/// Samples a standard normal value by the Box-Muller transform.
pub(super) fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}
