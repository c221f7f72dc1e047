//! Feed of the registered targets: one of the gateways reads the registry for all, and looks for changes by
//! operators that their watches have missed.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_fleet::gateway::{ReadWindow, RegistryEntry, RegistryListing};
use amaranthgw_platform::PlatformError;
use amaranthgw_platform::registry::decode_entry;
use amaranthgw_platform::store::{
    PlatformStore, REGISTRY_PREFIX, ReadFreshness, StoreItem, StoreListing,
};
use compact_str::{CompactString, ToCompactString};
use tokio::time::{Instant, sleep, sleep_until};

use super::basis::whole_millis;
use super::control::ControlMessage;
use super::feeds::STORE_TIMEOUT;
use super::gossip::GossipLink;
use super::operators::OperatorCheck;
use crate::telemetry::{EventLog, NodeEvent, count_store_call};

/// Age of what is known of the registry, from reads of any gateway, at which it is read again. The
/// longest is shorter than 2 s, the least time for which a draining target goes on serving.
const REGISTRY_WINDOW: ReadWindow =
    ReadWindow::new(Duration::from_millis(400), Duration::from_millis(1_100));

/// Interval between reads of the registry after an outage, and while it can't be read: short against
/// the time within which expired entries return.
const REGISTRY_RECOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after an outage in which the registry is read more often: expired entries return within it.
const REGISTRY_RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Reads of the registry per second that all gateways together make in an outage and after it, half of
/// what the store allows.
const RECOVERY_READS_PER_SECOND: u32 = 1_000;

/// Time limit of a read of the registry while the store answers at its usual speed of some
/// milliseconds. With it, two failed reads delay the next one by less than the 2 s for which a draining
/// target goes on serving.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(350);

/// Reads the registry of targets whenever no gateway has read it for a while, until the process
/// ends.
pub(super) async fn follow_registry(
    store: Arc<PlatformStore>,
    operators: OperatorCheck,
    link: GossipLink,
    log: EventLog,
) {
    let mut feed = RegistryFeed {
        store,
        operators,
        link,
        log,
        listed_at: None,
        failures: 0,
        unusable: 0,
        is_slow: false,
        recovers_until: Instant::now(),
    };
    loop {
        let retry_interval = feed.poll().await;
        if feed.failures == 0 {
            feed.operators.run(&feed.store, REGISTRY_TIMEOUT).await;
        }
        if let Some(interval) = retry_interval {
            sleep(interval).await;
            continue;
        }
        // The control thread has applied all that was read by the time that peers ask for it.
        let link = feed.link.clone();
        tokio::spawn(async move { link.announce_read().await });
        feed.wait_until_due().await;
    }
}

struct RegistryFeed {
    store: Arc<PlatformStore>,
    operators: OperatorCheck,
    link: GossipLink,
    log: EventLog,
    /// When the last listing was asked for.
    listed_at: Option<Instant>,
    /// Failed calls in a row.
    failures: u32,
    /// Undecodable entries of the last listing.
    unusable: u32,
    /// Whether the store takes longer than `REGISTRY_TIMEOUT` to answer.
    is_slow: bool,
    recovers_until: Instant,
}

impl RegistryFeed {
    /// Waits until what is known of the registry is too old.
    async fn wait_until_due(&self) {
        loop {
            let known_at = self.known_at();
            let gateways = self.link.shared.snapshot.load().gateway_count;
            let delay = REGISTRY_WINDOW.delay(gateways, fastrand::f64());
            let Some(known_at) = known_at else {
                return;
            };
            sleep_until(known_at + delay).await;
            if self.known_at() == Some(known_at) {
                return;
            }
        }
    }

    /// When the registry was last known to be current, from the own reads or those of peers.
    fn known_at(&self) -> Option<Instant> {
        let told_at = self.link.peer_registry.registry_known_at();
        self.listed_at.max(told_at)
    }

    /// Reads the registry once; returns the time until the next read in an outage and after it.
    async fn poll(&mut self) -> Option<Duration> {
        let asked_at = Instant::now();
        let time_limit = if self.is_slow {
            STORE_TIMEOUT
        } else {
            REGISTRY_TIMEOUT
        };
        let reading = self
            .store
            .list(REGISTRY_PREFIX, ReadFreshness::Linearizable, time_limit);
        let listed = reading.await;
        count_store_call("list_registry", &listed);
        self.is_slow = listed.is_err() || asked_at.elapsed() > REGISTRY_TIMEOUT;
        match listed {
            Ok(listing) => self.adopt(&listing, asked_at),
            Err(error) => Some(self.record_failure(&error)),
        }
    }

    fn adopt(&mut self, listing: &StoreListing, asked_at: Instant) -> Option<Duration> {
        let now = Instant::now();
        if self.failures > 0 {
            self.log.record(NodeEvent::RegistryRecovered {
                age_ms: self.age_ms(),
                failures: self.failures,
            });
            self.recovers_until = now + REGISTRY_RECOVERY_TIME;
        }
        self.failures = 0;
        self.listed_at = Some(asked_at);
        let entries = self.decode(&listing.items);
        let listing = RegistryListing {
            entries,
            as_of: listing.as_of,
            asked_at,
        };
        // Fails only while the process stops.
        drop(self.link.control.cast(ControlMessage::Registry(listing)));
        (now < self.recovers_until).then(|| self.recovery_interval())
    }

    fn record_failure(&mut self, error: &PlatformError) -> Duration {
        // Fails only while the process stops.
        drop(self.link.control.cast(ControlMessage::RegistryFailed));
        self.failures += 1;
        if self.failures == 1 {
            self.log.record(NodeEvent::RegistryUnavailable {
                reason: error.to_compact_string(),
                age_ms: self.age_ms(),
            });
        }
        self.recovery_interval()
    }

    /// Age of the last listing.
    fn age_ms(&self) -> Option<u64> {
        self.listed_at.map(|at| whole_millis(at.elapsed()))
    }

    /// Interval between reads in an outage and after it, which leaves each of the gateways its share
    /// of `RECOVERY_READS_PER_SECOND`.
    fn recovery_interval(&self) -> Duration {
        let gateways = self.link.shared.snapshot.load().gateway_count;
        let share = Duration::from_secs(1) * gateways / RECOVERY_READS_PER_SECOND;
        share.max(REGISTRY_RECOVERY_INTERVAL)
    }

    /// Decodes the entries; logs when more of them than before can't be decoded.
    fn decode(&mut self, items: &[StoreItem]) -> Vec<RegistryEntry> {
        let (mut unusable, mut reason) = (0, CompactString::default());
        let mut entries = Vec::with_capacity(items.len());
        for item in items {
            match decode_entry(item) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    unusable += 1;
                    reason = error.to_compact_string();
                }
            }
        }
        if std::mem::replace(&mut self.unusable, unusable) < unusable {
            self.log.record(NodeEvent::EntriesUnusable {
                entries: unusable,
                reason,
            });
        }
        entries
    }
}
