//! What the callers of a load received.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest time that the histograms tell apart, in microseconds.
const MAX_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and times of a load.
#[derive(Clone, Debug)]
pub struct LoadTally {
    /// Calls made.
    pub calls: u64,
    /// Whole answers with the right bytes within their deadline.
    pub on_time: u64,
    /// Whole answers with the right bytes after their deadline.
    pub late: u64,
    /// Answers that looked whole and had the wrong bytes.
    pub wrong: u64,
    /// Answers that were cut off visibly.
    pub cut: u64,
    /// Errors by their code.
    pub errors: BTreeMap<String, u64>,
    /// Times to the first byte, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Times to the end of the answer, in microseconds.
    pub total: Histogram<u64>,
}

impl LoadTally {
    /// Creates an empty tally.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histograms are constants that are valid.
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

    /// Adds the times of a whole answer.
    pub fn add_times(&mut self, first_byte: Option<Duration>, total: Duration) {
        if let Some(first_byte) = first_byte {
            self.first_byte.saturating_record(micros(first_byte));
        }
        self.total.saturating_record(micros(total));
    }

    /// Adds everything of `other`.
    pub fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.on_time += other.on_time;
        self.late += other.late;
        self.wrong += other.wrong;
        self.cut += other.cut;
        for (code, count) in &other.errors {
            *self.errors.entry(code.clone()).or_default() += count;
        }
        // Both histograms have the same bounds, so that adding can't fail.
        let _added = self.first_byte.add(&other.first_byte);
        let _added = self.total.add(&other.total);
    }

    /// Answers that were not whole and on time.
    #[must_use]
    pub fn missed(&self) -> u64 {
        self.calls - self.on_time
    }
}

impl Default for LoadTally {
    fn default() -> Self {
        Self::new()
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
