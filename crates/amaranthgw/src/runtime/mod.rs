//! Threads, listeners, signals and orderly shutdown.

mod accept;
mod error;
mod listen;
mod open;
mod stop;
mod supervise;
mod threads;

pub use accept::accept_each;
pub use error::RuntimeError;
pub use listen::SharedListener;
pub use open::{OpenGuard, OpenTracker};
pub use stop::{StopPhase, StopSignal, wait_for_termination};
pub use supervise::{ProcessSupervisor, SettingsSink};
pub use threads::{ThreadGroup, spawn_thread};

/// Result of starting, running or joining a process.
pub type Result<T> = std::result::Result<T, RuntimeError>;
