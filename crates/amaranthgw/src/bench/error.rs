//! Why a measurement can't be made.

use amaranthgw_fleet::config::ConfigError;
use amaranthgw_fleet::lists::ListError;

use crate::embedded::EmbeddedError;

/// Result of a measurement.
pub type Result<T> = std::result::Result<T, BenchError>;

/// Why a measurement can't be made.
#[derive(Debug)]
pub enum BenchError {
    /// An embedded fleet could not be started or driven.
    Fleet(EmbeddedError),
    /// The threads of the callers could not be started.
    Runtime {
        /// What the system answered.
        source: std::io::Error,
    },
    /// The lists made for the measurement are refused.
    Lists(ListError),
    /// The configuration made for the measurement is refused.
    Config(ConfigError),
    /// A value made for the measurement is malformed.
    Malformed {
        /// What the value stands for.
        value: &'static str,
    },
}

impl std::fmt::Display for BenchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Fleet(error) => write!(f, "the embedded fleet failed: {error}"),
            Self::Runtime { source } => write!(f, "the callers can't start: {source}"),
            Self::Lists(error) => write!(f, "the lists are refused: {error}"),
            Self::Config(error) => write!(f, "the configuration is refused: {error}"),
            Self::Malformed { value } => write!(f, "{value} is malformed"),
        }
    }
}

impl std::error::Error for BenchError {}

impl From<EmbeddedError> for BenchError {
    fn from(error: EmbeddedError) -> Self {
        Self::Fleet(error)
    }
}

impl From<ConfigError> for BenchError {
    fn from(error: ConfigError) -> Self {
        Self::Config(error)
    }
}
