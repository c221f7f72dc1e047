//! The measurements by name.

use std::str::FromStr;
use std::time::Duration;

use amaranthgw_core::ParseError;
use serde::Serialize;

/// A measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BenchKind {
    /// Latency and processor time that entry and sidecar add to a call.
    Hops,
    /// Service while a failure domain leaves and returns.
    Move,
    /// Processor time, memory and bytes of control.
    Control,
}

impl BenchKind {
    /// Every measurement.
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

/// How long a measurement of calls takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BenchEffort {
    /// Long enough for stable figures.
    Full,
    /// Only to see that it works.
    Quick,
}

impl BenchEffort {
    /// Calls of each kind that are made one at a time.
    pub(super) const fn single_calls(self) -> u32 {
        match self {
            Self::Full => 1_000,
            Self::Quick => 10,
        }
    }

    /// Length of a load.
    pub(super) const fn load_length(self) -> Duration {
        match self {
            Self::Full => Duration::from_secs(5),
            Self::Quick => Duration::from_millis(200),
        }
    }
}
