//! Patterns in which the popularity of experts changes.

use crate::placement::LoadShare;

/// A pattern of change over one simulated day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriftPattern {
    /// Topics fade into each other through the day.
    SlowShift,
    /// The topic changes at once, three times.
    TopicJump,
    /// One expert of each layer becomes twenty times as popular for some hours.
    HotExpert,
    /// Popularity varies at random around a fixed mean.
    NoiseOnly,
}

/// Random variation of an expert's popularity from tick to tick, as a standard deviation.
const TICK_NOISE: f64 = 0.02;
const NOISE_ONLY: f64 = 0.10;
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
    hot: usize,
}

impl LayerDrift {
    pub(super) fn new(pattern: DriftPattern, experts: usize, rng: &mut fastrand::Rng) -> Self {
        let topics = (0..TOPICS).map(|_| topic(experts, rng)).collect();
        Self {
            pattern,
            topics,
            hot: rng.usize(..experts),
        }
    }

    /// Loads at a part of the day between 0 and 1, with random variation.
    pub(super) fn loads(&self, day: f64, rng: &mut fastrand::Rng) -> Vec<LoadShare> {
        let mut weights = self.weights(day);
        let noise = match self.pattern {
            DriftPattern::NoiseOnly => NOISE_ONLY,
            _ => TICK_NOISE,
        };
        for weight in &mut weights {
            *weight *= (1.0 + noise * normal(rng)).max(0.0);
        }
        let total: f64 = weights.iter().sum();
        weights.iter().map(|weight| weight / total).collect()
    }

    fn weights(&self, day: f64) -> Vec<f64> {
        match self.pattern {
            DriftPattern::SlowShift => self.blend(day),
            DriftPattern::TopicJump => self.topics[jump_topic(day)].clone(),
            DriftPattern::HotExpert => self.with_hot(day),
            DriftPattern::NoiseOnly => self.topics[0].clone(),
        }
    }

    fn with_hot(&self, day: f64) -> Vec<f64> {
        let mut weights = self.topics[0].clone();
        if (0.4..0.7).contains(&day) {
            weights[self.hot] *= HOT_FACTOR;
        }
        weights
    }

    /// Each topic is at its height once a day.
    fn blend(&self, day: f64) -> Vec<f64> {
        let mut weights = vec![0.0; self.topics[0].len()];
        for (index, topic) in self.topics.iter().enumerate() {
            let phase = day - [0.0, 0.25, 0.5, 0.75][index % TOPICS];
            let height = f64::midpoint(1.0, (phase * std::f64::consts::TAU).cos());
            for (weight, part) in weights.iter_mut().zip(topic) {
                *weight += part * height * height;
            }
        }
        weights
    }
}

fn jump_topic(day: f64) -> usize {
    match day {
        day if day < 0.25 => 0,
        day if day < 0.5 => 1,
        day if day < 0.75 => 2,
        _ => 3,
    }
}

/// A topic: log-normal popularity, so that few experts get many of the tokens.
fn topic(experts: usize, rng: &mut fastrand::Rng) -> Vec<f64> {
    const SPREAD: f64 = 0.8;
    (0..experts).map(|_| (SPREAD * normal(rng)).exp()).collect()
}

/// A normally distributed number with mean 0 and standard deviation 1.
pub(super) fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}
