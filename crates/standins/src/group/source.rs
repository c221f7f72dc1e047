//! Where ranks load experts from.

use std::net::SocketAddr;
use std::pin::Pin;

use amaranthgw_core::{MilliSpan, ModelId};

use super::maps::ExpertKey;
use super::settings::GroupSettings;
use crate::http::{FetchError, fetch};

/// The loading of one expert.
pub(super) type ExpertFetch = Pin<Box<dyn Future<Output = Result<(), FetchError>> + Send>>;

/// Loads experts.
pub(super) trait ExpertSource: std::fmt::Debug + Send + Sync {
    /// Starts to load the expert `key`.
    fn load(&self, key: ExpertKey) -> ExpertFetch;
}

/// The source that `settings` name.
pub(super) fn source_of(settings: &GroupSettings) -> Box<dyn ExpertSource> {
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

/// Takes the same time for every expert.
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

/// Reads experts from a weight store.
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
