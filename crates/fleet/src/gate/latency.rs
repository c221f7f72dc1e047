//! Detection of a step increase in the time to the first chunk.

use std::time::Duration;

use amaranthgw_core::SlotCount;

use super::PartPercent;

/// Number of load bands; each is twice as wide as the previous one.
const BAND_COUNT: usize = 16;
/// Samples a band needs before new samples are compared with its baseline.
const MIN_BASELINE_SAMPLES: u32 = 8;
/// Weight of a new sample in the moving average of its band.
const BASELINE_WEIGHT: f64 = 1.0 / 32.0;
/// Samples above this multiple of the baseline are clamped before they enter the average.
const MAX_SAMPLE_RATIO: f64 = 1.5;
/// Number of recent ratios of which the median is taken.
const RECENT_COUNT: usize = 9;

#[derive(Clone, Copy, Debug, Default)]
struct LoadBand {
    baseline_ms: f64,
    samples: u32,
}

impl LoadBand {
    /// Ratio of the sample to the baseline, or `None` while the band has too few samples.
    fn ratio(&self, sample_ms: f64) -> Option<f64> {
        (self.samples >= MIN_BASELINE_SAMPLES).then(|| sample_ms / self.baseline_ms)
    }

    fn update_baseline(&mut self, sample_ms: f64) {
        self.samples = self.samples.saturating_add(1);
        let early_weight = 1.0 / f64::from(self.samples);
        let weight = early_weight.max(BASELINE_WEIGHT);
        let sample_ms = if self.samples > MIN_BASELINE_SAMPLES {
            sample_ms.min(self.baseline_ms * MAX_SAMPLE_RATIO)
        } else {
            sample_ms
        };
        self.baseline_ms += (sample_ms - self.baseline_ms) * weight;
    }
}

/// Computes the ratio of each sample to the baseline of its load band and checks the median of the
/// recent ratios.
///
/// Samples are compared only within a load band, so that a change of load alone is not reported
/// as a step. The median ignores single slow answers.
#[derive(Clone, Debug)]
pub(super) struct StepDetector {
    bands: [LoadBand; BAND_COUNT],
    recent: Vec<f64>,
    threshold: PartPercent,
}

impl StepDetector {
    pub(super) fn new(threshold: PartPercent) -> Self {
        Self {
            bands: [LoadBand::default(); BAND_COUNT],
            recent: Vec::with_capacity(RECENT_COUNT),
            threshold,
        }
    }

    /// Adds a sample and returns the median ratio to the baseline in percent if it reaches the
    /// threshold.
    pub(super) fn observe(&mut self, in_flight: SlotCount, first_chunk: Duration) -> Option<u32> {
        // Never zero, because baselines are divided by.
        let sample_ms = first_chunk.as_secs_f64().mul_add(1_000.0, f64::EPSILON);
        let band = &mut self.bands[band_index(in_flight)];
        let ratio = band.ratio(sample_ms);
        band.update_baseline(sample_ms);
        self.push_recent(ratio?);
        self.step_percent()
    }

    /// Discards all samples and baselines.
    pub(super) fn reset(&mut self) {
        *self = Self::new(self.threshold);
    }

    fn push_recent(&mut self, ratio: f64) {
        if self.recent.len() == RECENT_COUNT {
            self.recent.remove(0);
        }
        self.recent.push(ratio);
    }

    fn step_percent(&self) -> Option<u32> {
        if self.recent.len() < RECENT_COUNT {
            return None;
        }
        let mut sorted = self.recent.clone();
        sorted.sort_by(f64::total_cmp);
        let median_percent = sorted[RECENT_COUNT / 2] * 100.0;
        if median_percent < f64::from(self.threshold.get()) {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive ratio for a log line; the cast saturates"
        )]
        let percent = median_percent as u32;
        Some(percent)
    }
}

fn band_index(in_flight: SlotCount) -> usize {
    let band = in_flight.get().max(1).ilog2() as usize;
    band.min(BAND_COUNT - 1)
}
