//! Names of the benchmarks and the effort spent on them.

use std::str::FromStr;
use std::time::Duration;

use amaranthgw_core::ParseError;
use serde::Serialize;

/// A benchmark, named as on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BenchKind {
    /// Latency and processor time that the entry and the sidecar add to a call.
    Hops,
    /// Quality of service while a failure domain leaves and returns.
    Move,
    /// Processor time, memory and message sizes of the control threads.
    Control,
}

impl BenchKind {
    /// Every benchmark.
    pub const ALL: [Self; 3] = [Self::Hops, Self::Move, Self::Control];

    const fn name(self) -> &'static str {
        match self {
            Self::Hops => "hops",
            Self::Move => "move",
            Self::Control => "control",
        }
    }
}

impl std::fmt::Display for BenchKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for BenchKind {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        let kind = Self::ALL.into_iter().find(|kind| kind.name() == text);
        kind.ok_or_else(|| ParseError::new("BenchKind", "hops, move or control", text))
    }
}

/// How many calls a benchmark makes and how long its loads last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BenchEffort {
    /// Enough calls for stable figures.
    Full,
    /// Few calls, for smoke tests.
    Quick,
}

impl BenchEffort {
    /// Sequential calls of each kind that are measured.
    pub(super) const fn sequential_calls(self) -> u32 {
        match self {
            Self::Full => 1_000,
            Self::Quick => 10,
        }
    }

    /// Duration of each measured load.
    pub(super) const fn load_duration(self) -> Duration {
        match self {
            Self::Full => Duration::from_secs(5),
            Self::Quick => Duration::from_millis(200),
        }
    }
}
