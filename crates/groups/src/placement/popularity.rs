//! Smoothed expert popularity, adaptive so that it follows drift but not noise.

use super::LoadShare;
use super::loads::as_f64;

/// Smoothing gain for an expert whose popularity varies only at random.
const SLOW_GAIN: f64 = 0.05;
/// Smoothing gain for an expert whose popularity has clearly changed.
const FAST_GAIN: f64 = 0.8;
/// Smoothing gain of the signed error.
const ERROR_GAIN: f64 = 0.1;
/// Smoothing gain of the noise.
const NOISE_GAIN: f64 = 0.05;
/// Smoothed error, in standard deviations, above which the gain rises from its slow value:
/// [`SLOW_GAIN`], or more in the first observations.
const DRIFT_MIN_DEVIATIONS: f64 = 2.0;
/// Smoothed error, in standard deviations, at which the gain reaches [`FAST_GAIN`].
const DRIFT_FULL_DEVIATIONS: f64 = 5.0;
/// A layer counts as drifting if the mean square of its experts' errors, each in standard
/// deviations, exceeds its expected value of 1 by this many standard deviations of that mean.
const LAYER_DRIFT_DEVIATIONS: f64 = 6.0;
/// Observations for which a layer counts as drifting after drift was detected.
const DRIFT_OBSERVATIONS: u32 = 40;
/// Mean absolute difference of two independent normal values, in standard deviations.
const MEAN_DIFFERENCE: f64 = 1.128;
/// Cap on the difference between successive loads, as a multiple of the estimated noise, so that a
/// jump isn't taken for noise.
const MAX_NOISE_MULTIPLE: f64 = 3.0;

/// Popularity estimate of one expert.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpertEstimate {
    /// Smoothed load.
    pub load: LoadShare,
    /// Standard deviation of one observation.
    pub noise: LoadShare,
    /// Smoothing gain of the last observation; [`SLOW_GAIN`] after the first.
    gain: f64,
    /// Smoothed signed difference between observed and estimated load.
    error: f64,
    /// Size of the smoothed error at the last observation, before the estimate was corrected, in
    /// standard deviations of that error.
    error_in_deviations: f64,
    /// Last observed load.
    last: LoadShare,
}

impl ExpertEstimate {
    fn observe(&mut self, load: LoadShare, sampling_noise: LoadShare, slow_gain: f64) {
        self.observe_noise(load, sampling_noise);
        let error = load - self.load;
        self.error += ERROR_GAIN * (error - self.error);
        let error_deviation = self.noise * (ERROR_GAIN / (2.0 - ERROR_GAIN)).sqrt();
        let deviations = self.error.abs() / error_deviation.max(f64::MIN_POSITIVE);
        self.error_in_deviations = deviations;
        let certainty =
            (deviations - DRIFT_MIN_DEVIATIONS) / (DRIFT_FULL_DEVIATIONS - DRIFT_MIN_DEVIATIONS);
        self.gain = slow_gain + (FAST_GAIN - slow_gain).max(0.0) * certainty.clamp(0.0, 1.0);
        self.load += self.gain * error;
        self.error -= self.gain * self.error;
    }

    fn observe_noise(&mut self, load: LoadShare, sampling_noise: LoadShare) {
        let difference = (load - self.last).abs() / MEAN_DIFFERENCE;
        let capped = difference.min(self.noise * MAX_NOISE_MULTIPLE);
        self.noise = (self.noise + NOISE_GAIN * (capped - self.noise)).max(sampling_noise);
        self.last = load;
    }

    /// Standard deviation of the smoothed load.
    #[must_use]
    pub fn deviation(&self) -> LoadShare {
        self.noise * (self.gain / (2.0 - self.gain)).sqrt()
    }
}

/// Popularity estimates of the experts of one layer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LayerPopularity {
    estimates: Vec<ExpertEstimate>,
    observations: u32,
    /// Number of the last observation with drift; 0 if there was none.
    last_drift_observation: u32,
}

impl LayerPopularity {
    /// Creates the estimates of a layer without observations.
    #[must_use]
    pub fn new(experts: u16) -> Self {
        Self {
            estimates: vec![ExpertEstimate::default(); usize::from(experts)],
            observations: 0,
            last_drift_observation: 0,
        }
    }

    /// Updates the estimates with the number of tokens that each expert got since the last
    /// observation.
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
            let sampling_noise = (load.max(1.0 / total) / total).sqrt();
            if is_first {
                *estimate = first_estimate(load, sampling_noise);
            } else {
                estimate.observe(load, sampling_noise, slow_gain);
            }
        }
        self.record_drift();
    }

    fn record_drift(&mut self) {
        let experts = as_f64(self.estimates.len());
        let squares = self
            .estimates
            .iter()
            .map(|estimate| estimate.error_in_deviations * estimate.error_in_deviations);
        let threshold = 1.0 + LAYER_DRIFT_DEVIATIONS * (2.0 / experts).sqrt();
        if squares.sum::<f64>() / experts > threshold {
            self.last_drift_observation = self.observations;
        }
    }

    /// Whether the popularity of the experts has recently changed more than noise explains, or the
    /// layer has few observations.
    #[must_use]
    pub fn is_drifting(&self) -> bool {
        self.observations - self.last_drift_observation <= DRIFT_OBSERVATIONS
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

/// Estimate from the first observation, which carries no information on noise: the noise starts at
/// a wide guess.
fn first_estimate(load: LoadShare, sampling_noise: LoadShare) -> ExpertEstimate {
    /// As a fraction of the load.
    const INITIAL_NOISE: f64 = 0.2;
    let noise = (load * INITIAL_NOISE).max(sampling_noise);
    ExpertEstimate {
        load,
        noise,
        gain: SLOW_GAIN,
        error: 0.0,
        error_in_deviations: 0.0,
        last: load,
    }
}

fn to_f64(tokens: u64) -> f64 {
    const HALF_BITS: u32 = 32;
    let (high, low) = (tokens >> HALF_BITS, tokens & u64::from(u32::MAX));
    let part = |bits: u64| as_f64(usize::try_from(bits).unwrap_or(usize::MAX));
    part(high) * (f64::from(u32::MAX) + 1.0) + part(low)
}
