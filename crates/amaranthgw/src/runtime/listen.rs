//! A listening socket that several threads accept from.

use std::net::{SocketAddr, TcpListener as StdListener};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

use super::{Result, RuntimeError};

const BACKLOG: i32 = 1024;

/// One exclusively bound socket, from which each thread takes a handle of its own.
///
/// The address is not shared with other sockets, so a second process can't serve it.
#[derive(Debug)]
pub struct SharedListener {
    listener: StdListener,
    address: SocketAddr,
}

impl SharedListener {
    /// Binds `address`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Listen`] where the address is in use or not local.
    pub fn new(address: SocketAddr) -> Result<Self> {
        let listener = bind(address).map_err(|source| RuntimeError::Listen { address, source })?;
        let bound = listener.local_addr();
        let address = bound.map_err(|source| RuntimeError::Listen { address, source })?;
        Ok(Self { listener, address })
    }

    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// A handle to the socket for the runtime of the current thread.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Listen`] where the handle can't be made.
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
    // Lets a restarted process listen again while old connections linger.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
