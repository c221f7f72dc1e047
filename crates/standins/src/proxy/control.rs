//! Control port of the proxy.

use std::sync::Arc;

use http::StatusCode;
use tokio::sync::watch;

use super::faults::ProxyFaults;
use crate::http::{Call, CallError, CallHandler, Reply, ReplyFuture, empty_reply};

/// Handles the calls of the control port.
#[derive(Debug)]
pub(super) struct ProxyControl {
    faults: watch::Sender<ProxyFaults>,
}

impl ProxyControl {
    pub(super) fn new(faults: watch::Sender<ProxyFaults>) -> Self {
        Self { faults }
    }

    fn answer(&self, call: &Call) -> Result<Reply, CallError> {
        match (call.method(), call.segments().as_slice()) {
            ("POST", ["admin", "faults"]) => {
                self.faults.send_replace(call.json()?);
                Ok(empty_reply(StatusCode::OK))
            }
            _ => Ok(empty_reply(StatusCode::NOT_FOUND)),
        }
    }
}

impl CallHandler for ProxyControl {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        let reply = self.answer(&call).unwrap_or_else(|error| error.reply());
        Box::pin(std::future::ready(Ok(reply)))
    }
}
