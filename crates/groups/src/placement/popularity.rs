//! Smoothed popularity of experts that tells drift from noise.

use super::LoadShare;
use super::loads::count;

/// Smoothing of an expert whose popularity only varies at random.
const SLOW_GAIN: f64 = 0.05;
/// Smoothing of an expert whose popularity has clearly changed.
const FAST_GAIN: f64 = 0.8;
/// Smoothing of the signed error and of the noise.
const ERROR_GAIN: f64 = 0.1;
const NOISE_GAIN: f64 = 0.05;
/// Standard deviations of the smoothed error at which an expert counts as drifting.
const DRIFT_BEGINS: f64 = 2.0;
const DRIFT_CERTAIN: f64 = 5.0;
/// Standard deviations of the mean square over a layer at which the layer counts as drifting.
const DRIFT_DEVIATIONS: f64 = 6.0;
/// Observations for which a layer counts as drifting after a sign of drift.
const DRIFT_MEMORY: u32 = 40;
/// Mean absolute difference of two normal values in standard deviations.
const MEAN_DIFFERENCE: f64 = 1.128;
/// A difference adds at most this many times the known noise, so that a jump is not noise.
const MAX_DIFFERENCE: f64 = 3.0;

/// Popularity of one expert.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpertEstimate {
    /// Smoothed load.
    pub load: LoadShare,
    /// Standard deviation of one observation.
    pub noise: LoadShare,
    gain: f64,
    error: f64,
    deviations: f64,
    last: LoadShare,
}

impl ExpertEstimate {
    fn observe(&mut self, load: LoadShare, sampling: LoadShare, slow_gain: f64) {
        self.observe_noise(load, sampling);
        let error = load - self.load;
        self.error += ERROR_GAIN * (error - self.error);
        let spread = self.noise * (ERROR_GAIN / (2.0 - ERROR_GAIN)).sqrt();
        let deviations = self.error.abs() / spread.max(f64::MIN_POSITIVE);
        self.deviations = deviations;
        let certainty = (deviations - DRIFT_BEGINS) / (DRIFT_CERTAIN - DRIFT_BEGINS);
        self.gain = slow_gain + (FAST_GAIN - slow_gain).max(0.0) * certainty.clamp(0.0, 1.0);
        self.load += self.gain * error;
        self.error -= self.gain * self.error;
    }

    fn observe_noise(&mut self, load: LoadShare, sampling: LoadShare) {
        let difference = (load - self.last).abs() / MEAN_DIFFERENCE;
        let capped = difference.min(self.noise * MAX_DIFFERENCE);
        self.noise = (self.noise + NOISE_GAIN * (capped - self.noise)).max(sampling);
        self.last = load;
    }

    /// Standard deviation of the smoothed load.
    #[must_use]
    pub fn deviation(&self) -> LoadShare {
        self.noise * (self.gain / (2.0 - self.gain)).sqrt()
    }
}

/// Popularity of the experts of one layer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LayerPopularity {
    estimates: Vec<ExpertEstimate>,
    observations: u32,
    drifted_at: u32,
}

impl LayerPopularity {
    /// Creates the popularity of a layer that has not been observed.
    #[must_use]
    pub fn new(experts: u16) -> Self {
        Self {
            estimates: vec![ExpertEstimate::default(); usize::from(experts)],
            observations: 0,
            drifted_at: 0,
        }
    }

    /// Takes the tokens that each expert got since the last observation.
    pub fn observe(&mut self, tokens: &[u64]) {
        let total = tokens.iter().copied().map(to_f64).sum::<f64>();
        if total <= 0.0 {
            return;
        }
        let is_first = self.observations == 0;
        self.observations = self.observations.saturating_add(1);
        let slow_gain = (1.0 / f64::from(self.observations)).max(SLOW_GAIN);
        for (estimate, tokens) in self.estimates.iter_mut().zip(tokens) {
            let load = to_f64(*tokens) / total;
            let sampling = (load.max(1.0 / total) / total).sqrt();
            if is_first {
                *estimate = first_estimate(load, sampling);
            } else {
                estimate.observe(load, sampling, slow_gain);
            }
        }
        self.note_drift();
    }

    fn note_drift(&mut self) {
        let experts = count(self.estimates.len());
        let squares = self
            .estimates
            .iter()
            .map(|it| it.deviations * it.deviations);
        let bound = 1.0 + DRIFT_DEVIATIONS * (2.0 / experts).sqrt();
        if squares.sum::<f64>() / experts > bound {
            self.drifted_at = self.observations;
        }
    }

    /// Whether the experts together have lately changed more than at random, or are hardly known.
    #[must_use]
    pub fn is_drifting(&self) -> bool {
        self.observations - self.drifted_at <= DRIFT_MEMORY
    }

    /// Smoothed loads, by expert.
    #[must_use]
    pub fn loads(&self) -> Vec<LoadShare> {
        self.estimates
            .iter()
            .map(|estimate| estimate.load)
            .collect()
    }

    /// Estimates, by expert.
    #[must_use]
    pub fn estimates(&self) -> &[ExpertEstimate] {
        &self.estimates
    }

    /// Number of observations.
    #[must_use]
    pub fn observations(&self) -> u32 {
        self.observations
    }
}

/// The first observation says nothing about noise; it starts at a wide guess.
fn first_estimate(load: LoadShare, sampling: LoadShare) -> ExpertEstimate {
    const FIRST_NOISE: f64 = 0.2;
    let noise = (load * FIRST_NOISE).max(sampling);
    ExpertEstimate {
        load,
        noise,
        gain: SLOW_GAIN,
        error: 0.0,
        deviations: 0.0,
        last: load,
    }
}

fn to_f64(tokens: u64) -> f64 {
    const HALF: u32 = 32;
    let (high, low) = (tokens >> HALF, tokens & u64::from(u32::MAX));
    let part = |bits: u64| count(usize::try_from(bits).unwrap_or(usize::MAX));
    part(high) * (f64::from(u32::MAX) + 1.0) + part(low)
}
