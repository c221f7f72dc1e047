//! Startup and settings of the proxy, and its connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::pin::pin;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::control::ProxyControl;
use super::faults::{
    FaultWatch, FlowDirection, ProxyFaults, ProxyMode, wait_for_close, wait_for_silence,
    wait_while_held,
};
use super::forward::forward_both;
use crate::error::{Result, StandinError};
use crate::http::{ConnectionCloser, accept_each, bind, serve};
use crate::running::{RunningStandin, Standin};
use crate::settings::settings_type;

/// Any free port on the loopback interface.
const FREE_LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

settings_type! {
    /// Settings of the fault proxy.
    ProxySettings {
        /// Address to which connections are forwarded; required.
        upstream, with_upstream: Option<SocketAddr> = None;
        /// Listening address of the control port.
        control, with_control: SocketAddr = FREE_LOOPBACK;
    }
}

/// TCP proxy that injects faults.
#[derive(Clone, Debug)]
pub struct ProxyStandin {
    settings: ProxySettings,
}

impl ProxyStandin {
    /// Creates a proxy that is not started yet.
    #[must_use]
    pub fn new(settings: ProxySettings) -> Self {
        Self { settings }
    }
}

impl Standin for ProxyStandin {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let upstream = self.settings.upstream.ok_or(StandinError::NoUpstream)?;
        let (listener, address) = bind(listen)?;
        let (control, control_address) = bind(self.settings.control)?;
        let (changes, faults) = watch::channel(ProxyFaults::default());
        let handler = Arc::new(ProxyControl::new(changes));
        let running = RunningStandin::new()
            .with_address(address)
            .with_control(control_address);
        let running = running.with_task(serve(control, handler, ConnectionCloser::new()));
        Ok(running.with_task(proxy_connections(listener, upstream, faults)))
    }
}

async fn proxy_connections(listener: TcpListener, upstream: SocketAddr, faults: FaultWatch) {
    accept_each(listener, |client| {
        proxy_connection(client, upstream, faults.clone())
    })
    .await;
}

async fn proxy_connection(client: TcpStream, upstream: SocketAddr, mut faults: FaultWatch) {
    if faults.borrow_and_update().mode == ProxyMode::Refuse {
        return;
    }
    let closing = faults.clone();
    let mut forwarding = pin!(connect_and_forward(client, upstream, faults.clone()));
    tokio::select! {
        () = wait_for_close(closing.clone()) => {}
        // The connection is kept open, and nothing is forwarded any more.
        () = wait_for_silence(faults) => wait_for_close(closing).await,
        () = &mut forwarding => {}
    }
}

async fn connect_and_forward(client: TcpStream, upstream: SocketAddr, mut faults: FaultWatch) {
    if wait_while_held(&mut faults, FlowDirection::ToUpstream)
        .await
        .is_none()
    {
        return;
    }
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        return;
    };
    if client.set_nodelay(true).is_ok() && upstream.set_nodelay(true).is_ok() {
        forward_both(client, upstream, &faults).await;
    }
}
