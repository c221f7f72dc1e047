//! Port reservations for servers that need to know their port before they start.

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};

use tokio::net::TcpSocket;

use crate::error::{Result, StandinError};

/// Attempts to find a port that is free on all addresses.
const MAX_ATTEMPTS: usize = 16;

/// A port that the system assigns to no other socket until this value is dropped.
///
/// The sockets are bound but don't listen, so a server can listen on the port, also again after a
/// restart, if it sets `SO_REUSEADDR`. Connections are refused while no server listens.
#[derive(Debug)]
pub struct ReservedPort {
    port: u16,
    _sockets: Vec<TcpSocket>,
}

impl ReservedPort {
    /// Reserves a port that is free on all `hosts`.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Listen`] if an address is not local or the hosts have no free port
    /// in common.
    pub fn new(hosts: &[IpAddr]) -> Result<Self> {
        let mut attempt = 1;
        loop {
            match Self::try_new(hosts) {
                Err(StandinError::Listen { source, .. })
                    if source.kind() == ErrorKind::AddrInUse && attempt < MAX_ATTEMPTS =>
                {
                    attempt += 1;
                }
                reserved => return reserved,
            }
        }
    }

    fn try_new(hosts: &[IpAddr]) -> Result<Self> {
        let mut port = 0;
        let mut sockets = Vec::with_capacity(hosts.len());
        for host in hosts {
            let address = SocketAddr::new(*host, port);
            let (socket, bound) =
                hold(address).map_err(|source| StandinError::Listen { address, source })?;
            port = bound.port();
            sockets.push(socket);
        }
        Ok(Self {
            port,
            _sockets: sockets,
        })
    }

    /// The reserved port.
    #[must_use]
    pub const fn port(&self) -> u16 {
        self.port
    }

    /// The reserved address on `host`, which must be one of those given to [`new`](Self::new).
    #[must_use]
    pub const fn address(&self, host: IpAddr) -> SocketAddr {
        SocketAddr::new(host, self.port)
    }
}

/// Binds a socket that doesn't listen.
fn hold(address: SocketAddr) -> std::io::Result<(TcpSocket, SocketAddr)> {
    let socket = new_socket(address)?;
    socket.bind(address)?;
    let bound = socket.local_addr()?;
    Ok((socket, bound))
}

/// Creates a socket of the family of `address` with `SO_REUSEADDR`.
pub(crate) fn new_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    Ok(socket)
}
