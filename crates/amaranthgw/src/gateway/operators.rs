//! Feed of what operators write to the key-value service: the configuration, and failure domains taken out of
//! service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{DomainId, LeaseId, StoreRevision};
use amaranthgw_fleet::gateway::RouteTable;
use amaranthgw_platform::config::decode_config;
use amaranthgw_platform::store::{
    CONFIG_KEY, KEYS_REQUIRED_KEY, OPERATOR_PREFIX, PlatformStore, ReadFreshness, StoreChange,
    StoreItem, evacuated_domain,
};
use amaranthgw_platform::{PlatformError, Result};
use compact_str::ToCompactString;
use ractor::ActorRef;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::control::ControlMessage;
use super::feeds::{STORE_TIMEOUT, retry_delay};
use super::shared::GatewayShared;
use crate::telemetry::{EventLog, NodeEvent, count_store_call};

/// Longest wait of one watch of a single gateway; bounds the time to detect a dead connection.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Addition to that wait for each gateway. Together they begin five watches a second, and a change
/// that one of them sees reaches the others by gossip.
const WATCH_TIME_PER_GATEWAY: Duration = Duration::from_millis(200);
/// Longest wait of one watch.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a failed write of the mark that there are workspaces is repeated: short, as a gateway
/// that starts before it is written doesn't know of them.
const KEY_MARK_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A decoded configuration with its stored value.
#[derive(Debug)]
pub(super) struct StoredConfig {
    /// Route table of the configuration.
    pub(super) routes: Arc<RouteTable>,
    /// Value as stored.
    pub(super) value: Vec<u8>,
    /// Number of rows that could not be decoded and were skipped.
    pub(super) unusable_rows: u32,
}

impl StoredConfig {
    /// Decodes the stored `value`.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if `value` is not a configuration.
    pub(super) fn new(value: Vec<u8>) -> Result<Self> {
        let decoded = decode_config(&value)?;
        Ok(Self {
            routes: Arc::new(decoded.routes),
            value,
            unusable_rows: decoded.unusable_rows,
        })
    }
}

/// The failure domains taken out of service at one store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EvacuatedDomains {
    /// Store revision of the set.
    pub(super) as_of: StoreRevision,
    /// Failure domains taken out of service.
    pub(super) domains: BTreeSet<DomainId>,
}

/// Follows the keys that operators write, until the process ends.
pub(super) async fn follow_operators(
    store: Arc<PlatformStore>,
    shared: Arc<GatewayShared>,
    control: ActorRef<ControlMessage>,
    log: EventLog,
) {
    let mut feed = OperatorFeed {
        store,
        shared,
        control,
        log,
        evacuated: BTreeSet::new(),
        key_mark: KeyMark::Unknown,
        requires_keys: false,
        failures: 0,
    };
    loop {
        let Err(error) = feed.follow().await;
        feed.record_failure(&error);
        sleep(retry_delay(feed.failures)).await;
    }
}

/// What is known of the store's mark that a configuration had workspaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyMark {
    /// It was not read yet.
    Unknown,
    /// It was not there.
    Missing,
    /// It is there.
    Present,
}

struct OperatorFeed {
    store: Arc<PlatformStore>,
    shared: Arc<GatewayShared>,
    control: ActorRef<ControlMessage>,
    log: EventLog,
    evacuated: BTreeSet<DomainId>,
    key_mark: KeyMark,
    /// Whether a configuration that was read here has workspaces.
    requires_keys: bool,
    failures: u32,
}

impl OperatorFeed {
    /// Lists the operators' keys, then watches them until a call fails.
    async fn follow(&mut self) -> Result<std::convert::Infallible> {
        // Before the first configuration, which may have no workspaces any more.
        self.read_key_mark().await?;
        let listed = self
            .store
            .list(OPERATOR_PREFIX, ReadFreshness::Linearizable, STORE_TIMEOUT)
            .await;
        count_store_call("list_operators", &listed);
        let listed = listed?;
        self.record_success();
        self.evacuated.clear();
        for item in listed.items {
            self.apply(item);
        }
        self.send_evacuated(listed.as_of);
        let mut after = listed.as_of;
        loop {
            self.write_key_mark().await;
            after = self.watch(after).await?;
        }
    }

    /// Reads once whether an earlier configuration had workspaces.
    async fn read_key_mark(&mut self) -> Result<()> {
        if self.key_mark != KeyMark::Unknown {
            return Ok(());
        }
        let freshness = ReadFreshness::Linearizable;
        let listed = self.store.list(KEYS_REQUIRED_KEY, freshness, STORE_TIMEOUT);
        let listed = listed.await;
        count_store_call("read_key_mark", &listed);
        self.key_mark = if listed?.items.is_empty() {
            KeyMark::Missing
        } else {
            self.send(ControlMessage::KeysRequired);
            KeyMark::Present
        };
        Ok(())
    }

    /// Whether the mark has yet to be written.
    fn owes_key_mark(&self) -> bool {
        self.requires_keys && self.key_mark != KeyMark::Present
    }

    /// Writes the mark once a configuration has workspaces, for gateways that start when it has none
    /// any more. If this fails, it is tried again after the next watch, which then is short.
    async fn write_key_mark(&mut self) {
        if !self.owes_key_mark() {
            return;
        }
        let lease = LeaseId::default();
        let created = self
            .store
            .create(KEYS_REQUIRED_KEY, b"{}", lease, STORE_TIMEOUT)
            .await;
        count_store_call("write_key_mark", &created);
        if matches!(created, Ok(_) | Err(PlatformError::Conflict)) {
            self.key_mark = KeyMark::Present;
        }
    }

    async fn watch(&mut self, after: StoreRevision) -> Result<StoreRevision> {
        let watched = self
            .store
            .watch(OPERATOR_PREFIX, after, self.watch_timeout(), STORE_TIMEOUT)
            .await;
        count_store_call("watch_operators", &watched);
        let (changes, as_of) = watched?;
        let is_changed = !changes.is_empty();
        for change in changes {
            match change {
                StoreChange::Written(item) => self.apply(item),
                StoreChange::Removed(key) => {
                    if let Some(domain) = evacuated_domain(&key) {
                        self.evacuated.remove(&domain);
                    }
                }
            }
        }
        if is_changed {
            self.send_evacuated(as_of);
        }
        Ok(as_of)
    }

    fn watch_timeout(&self) -> Duration {
        if self.owes_key_mark() {
            return KEY_MARK_RETRY_INTERVAL;
        }
        let gateways = self.shared.snapshot.load().gateway_count;
        let timeout = WATCH_TIME_PER_GATEWAY.saturating_mul(gateways);
        timeout.clamp(MIN_WATCH_TIMEOUT, MAX_WATCH_TIMEOUT)
    }

    fn apply(&mut self, item: StoreItem) {
        if let Some(domain) = evacuated_domain(&item.key) {
            self.evacuated.insert(domain);
        }
        if item.key != CONFIG_KEY {
            return;
        }
        match StoredConfig::new(item.value) {
            Ok(config) => {
                self.requires_keys |= config.routes.requires_keys;
                self.send(ControlMessage::Config(config, "store"));
            }
            Err(error) => self.log.record(NodeEvent::ConfigUnusable {
                change: amaranthgw_core::ChangeNumber::default(),
                reason: error.to_compact_string(),
            }),
        }
    }

    fn send_evacuated(&self, as_of: StoreRevision) {
        let evacuated = EvacuatedDomains {
            as_of,
            domains: self.evacuated.clone(),
        };
        self.send(ControlMessage::Evacuated(evacuated, "store"));
    }

    fn send(&self, message: ControlMessage) {
        // Fails only while the process stops.
        drop(self.control.cast(message));
    }

    fn record_failure(&mut self, error: &PlatformError) {
        // The watched history was compacted: a new list follows, without an outage.
        if matches!(error, PlatformError::Compacted) {
            return;
        }
        self.failures += 1;
        if self.failures > 1 {
            return;
        }
        let reason = error.to_compact_string();
        self.log.record(NodeEvent::StoreUnavailable { reason });
    }

    fn record_success(&mut self) {
        if std::mem::take(&mut self.failures) > 0 {
            self.log.record(NodeEvent::StoreRecovered {});
        }
    }
}
