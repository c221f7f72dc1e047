//! Start of the key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use super::calls::StoreHandler;
use crate::error::Result;
use crate::http::{ConnectionSwitch, bind, serve};
use crate::running::{RunningStandin, Standin};
use crate::settings::settings_type;

settings_type! {
    /// Settings of the key-value service.
    StoreSettings {
        /// Largest value, in bytes.
        max_value_bytes, with_max_value_bytes: usize = 1024 * 1024;
    }
}

/// Stand-in for the platform's key-value service.
#[derive(Clone, Debug)]
pub struct StoreStandin {
    settings: StoreSettings,
}

impl StoreStandin {
    /// Creates the stand-in.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        Self { settings }
    }
}

impl Standin for StoreStandin {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let (listener, address) = bind(listen)?;
        let switch = ConnectionSwitch::new();
        let handler = Arc::new(StoreHandler::new(self.settings.clone(), switch.clone()));
        let running = RunningStandin::new(address);
        let running = running.with_task(end_leases(Arc::clone(&handler)));
        Ok(running.with_task(serve(listener, handler, switch)))
    }
}

/// Ends each lease when its time has passed.
async fn end_leases(handler: Arc<StoreHandler>) {
    loop {
        let next = handler.end_lapsed(Instant::now());
        let changed = handler.leases_changed.notified();
        match next {
            Some(lapse) => tokio::select! {
                () = tokio::time::sleep_until(lapse) => {}
                () = changed => {}
            },
            None => changed.await,
        }
    }
}
