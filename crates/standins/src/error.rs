//! Failures of starting and running a stand-in.

use std::net::SocketAddr;

/// Result of starting or running a stand-in.
pub type Result<T> = std::result::Result<T, StandinError>;

/// Why a stand-in could not be started or run.
#[derive(Debug)]
pub enum StandinError {
    /// The listening address cannot be used.
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// What the system answered.
        source: std::io::Error,
    },
}

impl std::fmt::Display for StandinError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Listen { address, .. } => write!(f, "cannot listen on {address}"),
        }
    }
}

impl std::error::Error for StandinError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Listen { source, .. } => Some(source),
        }
    }
}
