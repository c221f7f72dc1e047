//! Measures how much of the reading time of held parts is saved.

use std::time::Duration;

/// Weight of a new sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Samples with and without held parts before a saving is trusted.
const MIN_SAMPLES: u32 = 20;
/// Least part of the expected saving that counts; below it, the difference is that of queues.
const MIN_SHARE: f64 = 0.3;

/// Time until a target began to answer, set against what its engine's figures let expect.
#[derive(Clone, Copy, Debug)]
pub struct SavingSample {
    /// Time from the send to the head of the answer.
    pub taken: Duration,
    /// Time that the engine needs to read the whole prompt.
    pub reading: Duration,
    /// Part of `reading` that held parts were expected to save; zero if none were.
    pub saving: Duration,
}

/// Running means of one kind of sample.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    samples: u32,
    /// Time beyond that of reading the whole prompt, in seconds.
    excess: f64,
    /// Expected saving, in seconds.
    saving: f64,
}

impl RunningMean {
    fn record(&mut self, sample: &SavingSample) {
        let excess = sample.taken.as_secs_f64() - sample.reading.as_secs_f64();
        let saving = sample.saving.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        // The first samples weigh as much as each other.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.excess += (excess - self.excess) * weight;
        self.saving += (saving - self.saving) * weight;
    }
}

/// Learns which share of the reading time of held parts is really saved.
///
/// Requests whose first parts a target is expected to hold are set against the others. If targets keep
/// nothing, both take as long, and the share is zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct SavingGauge {
    held: RunningMean,
    unheld: RunningMean,
}

impl SavingGauge {
    /// Creates a gauge without samples.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that waited for nothing but its own reading.
    pub fn record(&mut self, sample: &SavingSample) {
        if sample.saving.is_zero() {
            self.unheld.record(sample);
        } else {
            self.held.record(sample);
        }
    }

    /// Share of the expected saving that counts in choices, from 0 to 1; 0 until it is known.
    #[must_use]
    pub fn share(&self) -> f64 {
        let is_known = self.held.samples >= MIN_SAMPLES && self.unheld.samples >= MIN_SAMPLES;
        if !is_known || self.held.saving <= 0.0 {
            return 0.0;
        }
        let share = (self.unheld.excess - self.held.excess) / self.held.saving;
        if share < MIN_SHARE {
            return 0.0;
        }
        share.min(1.0)
    }
}
