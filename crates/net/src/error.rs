//! Why a call to another process failed.

use std::time::Duration;

/// Why a call to another process failed.
#[derive(Debug)]
pub enum NetError {
    /// No connection came about, so nothing was sent.
    Dial {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The handshake of the protocol failed, so nothing was sent.
    Handshake {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The connection had closed before any byte of the request left.
    Unsent,
    /// The connection broke after the request, or a part of it, may have left.
    Broken {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// No whole answer came in time.
    TimedOut {
        /// How long the call waited.
        waited: Duration,
    },
    /// The request can't be written as HTTP.
    Malformed {
        /// Error of the HTTP library.
        source: http::Error,
    },
}

impl NetError {
    /// Whether the peer can't have received any part of the request.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Dial { .. } | Self::Handshake { .. } | Self::Unsent | Self::Malformed { .. }
        )
    }
}

impl std::fmt::Display for NetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Dial { source } => write!(f, "can't connect: {source}"),
            Self::Handshake { source } => write!(f, "handshake failed: {source}"),
            Self::Unsent => f.write_str("connection closed before the request was sent"),
            Self::Broken { source } => write!(f, "connection broke: {source}"),
            Self::TimedOut { waited } => write!(f, "no answer within {} ms", waited.as_millis()),
            Self::Malformed { source } => write!(f, "request can't be written: {source}"),
        }
    }
}

impl std::error::Error for NetError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Dial { source } => Some(source),
            Self::Handshake { source } | Self::Broken { source } => Some(source),
            Self::Malformed { source } => Some(source),
            Self::Unsent | Self::TimedOut { .. } => None,
        }
    }
}
