//! Errors of benchmarks.

use amaranthgw_fleet::config::ConfigError;
use amaranthgw_fleet::lists::ListError;

use crate::embedded::EmbeddedError;

/// Result of a benchmark.
pub type Result<T> = std::result::Result<T, BenchError>;

/// Error of a benchmark.
#[derive(Debug)]
pub enum BenchError {
    /// An embedded fleet can't be started or controlled.
    Fleet(EmbeddedError),
    /// The runtime of the callers and stand-ins can't be created.
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The generated operator lists are invalid.
    Lists(ListError),
    /// The generated configuration is invalid.
    Config(ConfigError),
    /// A generated value or a received answer is invalid or missing.
    Malformed {
        /// Name of the value, for the message.
        value: &'static str,
    },
}

impl std::fmt::Display for BenchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Fleet(error) => write!(f, "embedded fleet failed: {error}"),
            Self::Runtime { source } => {
                write!(f, "failed to create the runtime of the callers: {source}")
            }
            Self::Lists(error) => write!(f, "invalid operator lists: {error}"),
            Self::Config(error) => write!(f, "invalid configuration: {error}"),
            Self::Malformed { value } => write!(f, "{value} is malformed or missing"),
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
