//! Feed of what operators write to the key-value service: the configuration, and failure domains taken out of
//! service.

use std::collections::BTreeSet;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{DomainId, LeaseId, StoreEra, StoreRevision};
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
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

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

/// Time for which the watch may still return a change that another connection has returned.
const WATCH_GRACE: Duration = Duration::from_millis(100);
/// Longest wait until changes that the watch missed are applied.
const APPLY_TIMEOUT: Duration = Duration::from_millis(250);

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

/// Changes under the operators' prefix, and the revision up to which they are known.
type OperatorChanges = (Vec<StoreChange>, StoreRevision);

/// Changes that the watch may have missed, or why there is no telling.
struct CheckedChanges {
    found: Result<OperatorChanges>,
    /// Dropped once the changes are applied.
    _applied: oneshot::Sender<()>,
}

/// Looks for changes that the operators' watch has missed. A connection can go silent without being closed,
/// which a watch doesn't notice before its wait is over.
#[derive(Debug)]
pub(super) struct OperatorCheck {
    /// Revision after which the feed watches; `None` while it doesn't.
    watched_after: watch::Receiver<Option<StoreRevision>>,
    checked: mpsc::Sender<CheckedChanges>,
}

impl OperatorCheck {
    /// Asks `store`, whose connection has just been used, for changes within `time_limit`. Returns once the
    /// feed has applied them.
    pub(super) async fn run(&self, store: &PlatformStore, time_limit: Duration) {
        let Some(after) = *self.watched_after.borrow() else {
            return;
        };
        let found = store.changes(OPERATOR_PREFIX, after, time_limit).await;
        count_store_call("check_operators", &found);
        match &found {
            Ok((changes, _as_of)) if changes.is_empty() => return,
            Ok(_) | Err(PlatformError::Compacted) => {}
            // Counted; the next read of the registry is followed by another check.
            Err(_failed) => return,
        }
        let (guard, when_applied) = oneshot::channel();
        let checked = CheckedChanges {
            found,
            _applied: guard,
        };
        if self.checked.try_send(checked).is_ok() {
            // Ends with an error, as the sender is dropped.
            drop(timeout(APPLY_TIMEOUT, when_applied).await);
        }
    }
}

/// Creates the feed of the keys that operators write, and the check of its watch.
pub(super) fn operator_feed(
    store: Arc<PlatformStore>,
    shared: Arc<GatewayShared>,
    control: ActorRef<ControlMessage>,
    log: EventLog,
) -> (OperatorFeed, OperatorCheck) {
    let (watched_after, seen_after) = watch::channel(None);
    let (sender, checked) = mpsc::channel(1);
    let feed = OperatorFeed {
        watched_after,
        checked,
        store,
        shared,
        control,
        log,
        era: None,
        evacuated: BTreeSet::new(),
        key_mark: KeyMark::Unknown,
        requires_keys: false,
        failures: 0,
    };
    let check = OperatorCheck {
        watched_after: seen_after,
        checked: sender,
    };
    (feed, check)
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

/// Follows the keys that operators write.
pub(super) struct OperatorFeed {
    watched_after: watch::Sender<Option<StoreRevision>>,
    checked: mpsc::Receiver<CheckedChanges>,
    store: Arc<PlatformStore>,
    shared: Arc<GatewayShared>,
    control: ActorRef<ControlMessage>,
    log: EventLog,
    /// Era of the last listing.
    era: Option<StoreEra>,
    evacuated: BTreeSet<DomainId>,
    key_mark: KeyMark,
    /// Whether a configuration that was read here has workspaces.
    requires_keys: bool,
    failures: u32,
}

impl OperatorFeed {
    /// Follows the keys until the process ends.
    pub(super) async fn run(mut self) {
        loop {
            let Err(error) = self.follow().await;
            self.watched_after.send_replace(None);
            self.record_failure(&error);
            sleep(retry_delay(self.failures)).await;
        }
    }

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
        self.note_era(listed.as_of).await?;
        self.evacuated.clear();
        for item in listed.items {
            self.apply(item);
        }
        self.send_evacuated(listed.as_of);
        let mut after = listed.as_of;
        loop {
            self.write_key_mark().await;
            self.watched_after.send_replace(Some(after));
            after = self.apply_next(after).await?;
        }
    }

    /// Notes the era of a listing. In a later one than before, the store has come back from an older copy,
    /// which may lack the mark.
    async fn note_era(&mut self, as_of: StoreRevision) -> Result<()> {
        let previous = self.era.replace(as_of.era());
        if previous.is_none_or(|previous| previous >= as_of.era()) {
            return Ok(());
        }
        self.log.record(NodeEvent::StoreReturned { as_of });
        self.key_mark = KeyMark::Unknown;
        self.read_key_mark().await
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

    /// Applies the next changes after the revision `after`; returns the revision up to which they are known.
    async fn apply_next(&mut self, after: StoreRevision) -> Result<StoreRevision> {
        let store = Arc::clone(&self.store);
        let wait = self.watch_timeout();
        let mut watching = pin!(store.watch(OPERATOR_PREFIX, after, wait, STORE_TIMEOUT));
        let checked = tokio::select! {
            biased;
            watched = &mut watching => {
                count_store_call("watch_operators", &watched);
                return Ok(self.apply_changes(watched?));
            }
            Some(checked) = self.checked.recv() => checked,
        };
        if let Ok(watched) = timeout(WATCH_GRACE, watching).await {
            count_store_call("watch_operators", &watched);
            return Ok(self.apply_changes(watched?));
        }
        let (changes, as_of) = checked.found?;
        if as_of <= after {
            // The check began before the changes up to `after` were known.
            return Ok(after);
        }
        self.log.record(NodeEvent::WatchSilent { after, as_of });
        Ok(self.apply_changes((changes, as_of)))
    }

    fn apply_changes(&mut self, (changes, as_of): OperatorChanges) -> StoreRevision {
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
        as_of
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
