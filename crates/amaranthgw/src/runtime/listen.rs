//! A listening socket shared by several threads.

use std::net::{SocketAddr, TcpListener as StdListener};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

use super::{Result, RuntimeError};

/// Length of the kernel's queue of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// A bound socket from which several threads accept, each through its own handle.
///
/// `SO_REUSEPORT` is not set, so a second process cannot bind the same address.
#[derive(Debug)]
pub struct SharedListener {
    listener: StdListener,
    address: SocketAddr,
}

impl SharedListener {
    /// Binds `address`; with port 0, the system picks a free port.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Listen`] if the address is in use or not local.
    pub fn new(address: SocketAddr) -> Result<Self> {
        let listener = bind(address).map_err(|source| RuntimeError::Listen { address, source })?;
        let bound = listener.local_addr();
        let address = bound.map_err(|source| RuntimeError::Listen { address, source })?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Creates a handle to the socket, registered with the runtime of the current thread.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Listen`] if the socket cannot be duplicated or registered.
    pub fn handle(&self) -> Result<TcpListener> {
        let handle = self.listener.try_clone().and_then(TcpListener::from_std);
        handle.map_err(|source| RuntimeError::Listen {
            address: self.address,
            source,
        })
    }
}

fn bind(address: SocketAddr) -> std::io::Result<StdListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // Lets a restarted process bind while old connections are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
