//! Follows the configuration in the key-value service.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::StoreRevision;
use amaranthgw_fleet::config::{ConfigBase, ConfigLog, ServingState};
use compact_str::{CompactString, format_compact};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::platform::{PlatformError, StoreClient, StoreValue};
use crate::telemetry::{EventLog, NodeEvent};

const LOG_KEY: &str = "config/log";
const WATCH_WAIT: Duration = Duration::from_secs(20);
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Receives each newer configuration.
pub type ConfigSink = Box<dyn Fn(Arc<ServingState>) + Send + Sync>;

/// Watches the configuration log and passes on each newer configuration.
#[derive(Debug)]
pub struct ConfigActor;

/// What the actor works with.
pub struct ConfigArguments {
    /// The key-value service.
    pub store: Arc<dyn StoreClient>,
    /// Where configurations go.
    pub sink: ConfigSink,
    /// Where events go.
    pub log: EventLog,
}

impl std::fmt::Debug for ConfigArguments {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConfigArguments")
            .field("store", &self.store)
            .finish_non_exhaustive()
    }
}

/// State of the actor.
#[derive(Debug)]
pub struct ConfigState {
    arguments: ConfigArguments,
    revision: StoreRevision,
    state: ServingState,
    is_available: bool,
}

/// Asks the actor to wait for the next change.
#[derive(Clone, Copy, Debug)]
pub struct WatchConfig;

impl Actor for ConfigActor {
    type Msg = WatchConfig;
    type State = ConfigState;
    type Arguments = ConfigArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(WatchConfig)?;
        Ok(ConfigState {
            arguments: args,
            revision: StoreRevision::default(),
            state: ServingState::default(),
            is_available: true,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        _message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        if state.watch().await {
            myself.cast(WatchConfig)?;
        } else {
            myself.send_after(RETRY_AFTER, || WatchConfig);
        }
        Ok(())
    }
}

impl ConfigState {
    /// Waits for one change and tells whether the service answered.
    async fn watch(&mut self) -> bool {
        let store = Arc::clone(&self.arguments.store);
        let answer = store.watch(LOG_KEY, self.revision, WATCH_WAIT).await;
        match answer {
            Ok(Some(value)) => self.take_in(value).await,
            Ok(None) => {
                self.note_available();
                true
            }
            Err(error) => self.note_unavailable(&error),
        }
    }

    async fn take_in(&mut self, value: StoreValue) -> bool {
        self.note_available();
        let Ok(log) = serde_json::from_slice::<ConfigLog>(&value.bytes) else {
            return self.note_unusable("the configuration log is malformed".into());
        };
        if log.base > self.state.number && !self.load_base(&log).await {
            return false;
        }
        let previous = self.state.number;
        for change in log.changes.iter().filter(|change| change.number > previous) {
            if let Err(error) = self.state.apply(change) {
                return self.note_unusable(format_compact!("{error}"));
            }
        }
        self.revision = value.revision;
        if self.state.number > previous {
            (self.arguments.sink)(Arc::new(self.state.clone()));
        }
        true
    }

    async fn load_base(&mut self, log: &ConfigLog) -> bool {
        let key = format!("config/base/{}", log.base);
        let read = self.arguments.store.read(&key).await;
        let value = match read {
            Ok(Some(value)) => value,
            Ok(None) => return self.note_unusable("the configuration base is absent".into()),
            Err(error) => return self.note_unavailable(&error),
        };
        match serde_json::from_slice::<ConfigBase>(&value.bytes) {
            Ok(base) if base.state.number == log.base => self.state = base.state,
            _ => return self.note_unusable("the configuration base is malformed".into()),
        }
        true
    }

    fn note_available(&mut self) {
        if !self.is_available {
            self.is_available = true;
            self.arguments.log.record(NodeEvent::StoreRecovered {});
        }
    }

    fn note_unavailable(&mut self, error: &PlatformError) -> bool {
        if self.is_available {
            self.is_available = false;
            let reason = format_compact!("{error}");
            self.arguments
                .log
                .record(NodeEvent::StoreUnavailable { reason });
        }
        false
    }

    fn note_unusable(&self, reason: CompactString) -> bool {
        let change = self.state.number;
        self.arguments
            .log
            .record(NodeEvent::ConfigUnusable { change, reason });
        false
    }
}
