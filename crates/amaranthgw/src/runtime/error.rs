//! Errors of starting and running a process.

use std::net::SocketAddr;

/// An error that keeps a process from starting or running on.
#[derive(Debug)]
pub enum RuntimeError {
    /// The listener could not be created.
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread, its event loop or a signal handler could not be started.
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread panicked.
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
            Self::Listen { address, source } => write!(f, "cannot listen on {address}: {source}"),
            Self::Thread { source } => write!(f, "cannot start a thread: {source}"),
            Self::Panicked { thread } => write!(f, "thread {thread} panicked"),
            Self::Actor => f.write_str("cannot start an actor of the control thread"),
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
