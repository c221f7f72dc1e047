//! Errors of starting and controlling an embedded fleet.

use amaranthgw_fleet::settings::DocumentError;

use crate::platform::ServiceError;
use crate::runtime::RuntimeError;

/// Result of an operation on an embedded fleet.
pub type Result<T> = std::result::Result<T, EmbeddedError>;

/// Error of starting or controlling an embedded fleet.
#[derive(Debug)]
pub enum EmbeddedError {
    /// A stand-in failed to start.
    Standin(amaranthgw_standins::StandinError),
    /// An entry or sidecar failed to start, or one of its threads panicked.
    Node(RuntimeError),
    /// The settings generated for a node are invalid.
    Settings(DocumentError),
    /// A request to a stand-in failed.
    Platform(ServiceError),
    /// The fleet did not reach the requested state in time or gave no usable answer, or an
    /// identifier or operators' list is invalid.
    NotReady,
}

impl std::fmt::Display for EmbeddedError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Standin(error) => write!(f, "failed to start a stand-in: {error}"),
            Self::Node(error) => write!(f, "failed to run a node: {error}"),
            Self::Settings(error) => write!(f, "invalid node settings: {error}"),
            Self::Platform(error) => write!(f, "request to a stand-in failed: {error}"),
            Self::NotReady => f.write_str("the fleet did not reach the requested state"),
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

impl From<ServiceError> for EmbeddedError {
    fn from(error: ServiceError) -> Self {
        Self::Platform(error)
    }
}
