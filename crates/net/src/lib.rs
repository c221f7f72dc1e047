//! Outgoing HTTP connections: dialling, pooling, and a client for small calls to one peer.

mod dial;
mod error;
mod kept;
mod pool;

pub use dial::{DialSettings, HttpConnection, dial};
pub use error::NetError;
pub use kept::{KeptClient, WholeReply};
pub use pool::ConnectionPool;

/// Result of a call to another process.
pub type Result<T> = std::result::Result<T, NetError>;
