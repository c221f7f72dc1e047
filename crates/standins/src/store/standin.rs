//! Startup and settings of the key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use super::calls::StoreHandler;
use crate::error::Result;
use crate::http::{ConnectionCloser, bind, serve};
use crate::running::{RunningStandin, Standin};
use crate::settings::settings_type;

settings_type! {
    /// Settings of the key-value service stand-in.
    StoreSettings {
        /// Maximum size of a value in bytes; larger ones get status 413.
        max_value_bytes, with_max_value_bytes: usize = 1024 * 1024;
    }
}

/// Stand-in for the platform's key-value service.
#[derive(Clone, Debug)]
pub struct StoreStandin {
    settings: StoreSettings,
}

impl StoreStandin {
    /// Creates a stand-in that is not started yet.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        Self { settings }
    }
}

impl Standin for StoreStandin {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let (listener, address) = bind(listen)?;
        let closer = ConnectionCloser::new();
        let handler = Arc::new(StoreHandler::new(self.settings.clone(), closer.clone()));
        let running = RunningStandin::new().with_address(address);
        let running = running.with_task(run_lease_expiry(Arc::clone(&handler)));
        Ok(running.with_task(serve(listener, handler, closer)))
    }
}

/// Expires leases when they are due, until the future is dropped.
async fn run_lease_expiry(handler: Arc<StoreHandler>) {
    loop {
        let next = handler.expire_leases(Instant::now());
        let changed = handler.leases_changed.notified();
        match next {
            Some(expiry) => tokio::select! {
                () = tokio::time::sleep_until(expiry) => {}
                () = changed => {}
            },
            None => changed.await,
        }
    }
}
