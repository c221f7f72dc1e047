//! Outgoing HTTP connections: dialling, pooling, and a client for small calls to one peer.

mod body;
mod dial;
mod error;
mod naming;
mod pool;
mod pooled;

pub use body::read_whole;
pub use dial::{DialSettings, HttpConnection, check_status, dial};
pub use error::NetError;
pub use pool::ConnectionPool;
pub use pooled::{PooledClient, WholeReply};

/// Result of a call to another process.
pub type Result<T> = std::result::Result<T, NetError>;
