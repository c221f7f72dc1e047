//! Why a process can't start or go on.

use std::net::SocketAddr;

/// Why a process can't start or go on.
#[derive(Debug)]
pub enum RuntimeError {
    /// The address can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread or its event loop could not be started.
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread ended by a panic.
    Panicked {
        /// Name of the thread.
        thread: String,
    },
    /// An actor of the control thread could not be started.
    Actor,
}

impl std::fmt::Display for RuntimeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Listen { address, source } => write!(f, "can't listen on {address}: {source}"),
            Self::Thread { source } => write!(f, "can't start a thread: {source}"),
            Self::Panicked { thread } => write!(f, "thread {thread} panicked"),
            Self::Actor => f.write_str("an actor of the control thread could not be started"),
        }
    }
}

impl std::error::Error for RuntimeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Listen { source, .. } | Self::Thread { source } => Some(source),
            Self::Panicked { .. } | Self::Actor => None,
        }
    }
}
