//! Pool of idle connections to many peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::HttpConnection;

/// An idle connection and the time from which its peer may close it.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    usable_until: Instant,
}

/// Idle connections by address. The most recently used connection is taken first, so that
/// surplus ones expire.
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

    /// Takes the most recently used connection to `address` that is open and has not expired; drops
    /// those that have.
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

    /// Adds the idle `connection`, which may be reused until `keep_alive` has passed. Closes it if that is
    /// longer than the clock can tell.
    pub fn put(&self, address: SocketAddr, mut connection: HttpConnection, keep_alive: Duration) {
        let now = Instant::now();
        connection.mark_idle(now);
        // A time that can't be represented is as good as none.
        let Some(usable_until) = now.checked_add(keep_alive) else {
            return;
        };
        let idle = IdleConnection {
            connection,
            usable_until,
        };
        self.lock().entry(address).or_default().push(idle);
    }

    /// Closes connections that have expired or were closed by the peer, and all connections to
    /// addresses for which `keep` returns `false`.
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
