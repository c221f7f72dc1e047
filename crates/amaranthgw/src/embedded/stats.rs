//! Outcome counts and latency histograms of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Upper bound of the histograms, in microseconds; longer times are recorded as this value.
const MAX_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome counts and latencies of a load.
#[derive(Clone, Debug)]
pub struct LoadStats {
    /// Calls made, with or without an answer.
    pub calls: u64,
    /// Complete and correct answers within their deadline.
    pub on_time: u64,
    /// Complete and correct answers after their deadline.
    pub late: u64,
    /// Successful answers that ended normally with unexpected bytes.
    pub wrong: u64,
    /// Answers that broke off with a transport error.
    pub cut: u64,
    /// Failed calls by error code; `no_answer` if no answer arrived.
    pub errors: BTreeMap<String, u64>,
    /// Times to the first byte of on-time and late answers, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Times to the end of on-time and late answers, in microseconds.
    pub total: Histogram<u64>,
}

impl LoadStats {
    /// Creates empty statistics.
    ///
    /// # Panics
    ///
    /// Never: the histogram bounds are valid constants.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS);
        let histogram = histogram.expect("constant bounds are valid");
        Self {
            calls: 0,
            on_time: 0,
            late: 0,
            wrong: 0,
            cut: 0,
            errors: BTreeMap::new(),
            first_byte: histogram.clone(),
            total: histogram,
        }
    }

    /// Records the latencies of a complete answer.
    pub fn record_times(&mut self, first_byte: Option<Duration>, total: Duration) {
        if let Some(first_byte) = first_byte {
            self.first_byte.saturating_record(micros(first_byte));
        }
        self.total.saturating_record(micros(total));
    }

    /// Adds the counts and histograms of `other`.
    pub fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.on_time += other.on_time;
        self.late += other.late;
        self.wrong += other.wrong;
        self.cut += other.cut;
        for (code, count) in &other.errors {
            *self.errors.entry(code.clone()).or_default() += count;
        }
        // All histograms have the same bounds, so adding them can't fail.
        let _added = self.first_byte.add(&other.first_byte);
        let _added = self.total.add(&other.total);
    }

    /// Number of calls without a complete and correct answer in time.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.calls - self.on_time
    }
}

impl Default for LoadStats {
    fn default() -> Self {
        Self::new()
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
