//! Sources from which ranks load experts.

use std::net::SocketAddr;
use std::pin::Pin;

use amaranthgw_core::{MilliSpan, ModelId};

use super::maps::ExpertKey;
use super::settings::GroupSettings;
use crate::http::{FetchError, fetch};

/// Future of one expert load.
pub(super) type ExpertFetch = Pin<Box<dyn Future<Output = Result<(), FetchError>> + Send>>;

/// Source of expert weights.
pub(super) trait ExpertSource: std::fmt::Debug + Send + Sync {
    /// Starts to load the expert `key`.
    fn load(&self, key: ExpertKey) -> ExpertFetch;
}

/// Creates the source that `settings` select: the weight store if one is set, else a timer.
pub(super) fn create_source(settings: &GroupSettings) -> Box<dyn ExpertSource> {
    match (settings.weights, &settings.model) {
        (Some(address), Some(model)) => Box::new(StoreSource {
            address,
            model: model.clone(),
        }),
        _ => Box::new(TimedSource {
            span: settings.load_span,
        }),
    }
}

/// Simulated source with a fixed load time.
#[derive(Debug)]
struct TimedSource {
    span: MilliSpan,
}

impl ExpertSource for TimedSource {
    fn load(&self, _key: ExpertKey) -> ExpertFetch {
        let span = self.span.duration();
        Box::pin(async move {
            tokio::time::sleep(span).await;
            Ok(())
        })
    }
}

/// Reads experts from the weight store stand-in.
#[derive(Debug)]
struct StoreSource {
    address: SocketAddr,
    model: ModelId,
}

impl ExpertSource for StoreSource {
    fn load(&self, (layer, expert): ExpertKey) -> ExpertFetch {
        let path = format!("/v1/weights/{}/{layer}/{expert}", self.model);
        Box::pin(fetch(self.address, path))
    }
}
