//! Why an embedded fleet can't be started or driven.

use amaranthgw_fleet::settings::DocumentError;

use crate::platform::PlatformError;
use crate::runtime::RuntimeError;

/// Result of an operation on an embedded fleet.
pub type Result<T> = std::result::Result<T, EmbeddedError>;

/// Why an embedded fleet can't be started or driven.
#[derive(Debug)]
pub enum EmbeddedError {
    /// A stand-in could not be started.
    Standin(amaranthgw_standins::StandinError),
    /// An entry or sidecar could not be started.
    Node(RuntimeError),
    /// The settings made for a node are refused.
    Settings(DocumentError),
    /// A stand-in gave no usable answer.
    Platform(PlatformError),
    /// The fleet did not become ready in time.
    NotReady,
}

impl std::fmt::Display for EmbeddedError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Standin(error) => write!(f, "a stand-in can't start: {error}"),
            Self::Node(error) => write!(f, "a node can't start: {error}"),
            Self::Settings(error) => write!(f, "settings are refused: {error}"),
            Self::Platform(error) => write!(f, "a stand-in gave no usable answer: {error}"),
            Self::NotReady => f.write_str("the fleet did not become ready"),
        }
    }
}

impl std::error::Error for EmbeddedError {}

impl From<amaranthgw_standins::StandinError> for EmbeddedError {
    fn from(error: amaranthgw_standins::StandinError) -> Self {
        Self::Standin(error)
    }
}

impl From<RuntimeError> for EmbeddedError {
    fn from(error: RuntimeError) -> Self {
        Self::Node(error)
    }
}

impl From<DocumentError> for EmbeddedError {
    fn from(error: DocumentError) -> Self {
        Self::Settings(error)
    }
}

impl From<PlatformError> for EmbeddedError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}
