//! Idle connections to many peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::HttpConnection;

/// An idle connection and when its peer may close it.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    usable_until: Instant,
}

/// Idle connections by address; the one used last is taken first.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a connection to `address` that its peer still keeps open.
    #[must_use]
    pub fn take(&self, address: SocketAddr) -> Option<HttpConnection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(last) = connections.pop() {
            if last.usable_until > now && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps `connection`, which its peer keeps open for at least `keep` more.
    pub fn put(&self, address: SocketAddr, mut connection: HttpConnection, keep: Duration) {
        let now = Instant::now();
        connection.mark_idle(now);
        let usable_until = now + keep;
        let idle = IdleConnection {
            connection,
            usable_until,
        };
        self.lock().entry(address).or_default().push(idle);
    }

    /// Closes connections that are no longer usable and forgets addresses that `keep` refuses.
    pub fn prune(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        self.lock().retain(|address, connections| {
            connections.retain(|idle| idle.usable_until > now && idle.connection.is_ready());
            keep(address) && !connections.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
