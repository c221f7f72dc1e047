//! Running statistics: window minimum, mean with deviation, rate.

use std::time::Duration;

use tokio::time::Instant;

/// Least value of the last one to two windows.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowMinimum {
    window: Duration,
    began_at: Option<Instant>,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl WindowMinimum {
    pub(super) const fn new(window: Duration) -> Self {
        Self {
            window,
            began_at: None,
            current: None,
            previous: None,
        }
    }

    pub(super) fn record(&mut self, value: Duration, now: Instant) {
        let began_at = *self.began_at.get_or_insert(now);
        if now.saturating_duration_since(began_at) >= self.window {
            self.began_at = Some(now);
            self.previous = self.current.take();
        }
        self.current = Some(self.current.map_or(value, |least| least.min(value)));
    }

    pub(super) fn get(&self) -> Option<Duration> {
        self.current.into_iter().chain(self.previous).min()
    }
}

/// Weight of a new value in a [`UsualTime`].
const USUAL_GAIN: f64 = 0.125;
/// Deviations above the mean that cover most values.
const COVERED_DEVIATIONS: f64 = 2.0;

/// Exponentially weighted mean of durations, with their mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsualTime {
    mean: Option<f64>,
    deviation: f64,
}

impl UsualTime {
    pub(super) fn record(&mut self, value: Duration) {
        let value = value.as_secs_f64();
        let Some(mean) = self.mean else {
            self.mean = Some(value);
            return;
        };
        self.deviation += USUAL_GAIN * ((value - mean).abs() - self.deviation);
        self.mean = Some(mean + USUAL_GAIN * (value - mean));
    }

    /// The mean; zero without a value.
    pub(super) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or_default().max(0.0))
    }

    /// Time that most values stay under.
    pub(super) fn covering(&self) -> Duration {
        self.mean() + Duration::from_secs_f64(self.deviation.max(0.0) * COVERED_DEVIATIONS)
    }
}

/// Time constant of a [`RateMeter`].
const METER_TIME: Duration = Duration::from_secs(1);

/// Decaying count of events, as a rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateMeter {
    count: f64,
    updated_at: Instant,
}

impl RateMeter {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            updated_at: now,
        }
    }

    pub(super) fn record(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// Events per second.
    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) / METER_TIME.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.count * (-age.as_secs_f64() / METER_TIME.as_secs_f64()).exp()
    }
}
