//! Failure domains that operators took out of service.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranthgw_core::{DomainId, MilliSpan, StoreRevision};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::GatewayWorld;

/// Time after the key-value service has come back from an older copy for which evacuations that the copy lacks
/// stay in force. Operators write again within it what they had written.
const HOLD_TIME: Duration = Duration::from_secs(10);

/// Evacuations that a gateway holds although the key-value service lacks them, as peers are told of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEvacuations {
    /// Revision up to which the gateway knows what operators write.
    pub as_of: StoreRevision,
    /// The failure domains.
    pub domains: BTreeSet<DomainId>,
    /// Time for which they are still held.
    pub time: MilliSpan,
}

/// Evacuations that are read, and those that were in force before the key-value service came back from a copy.
#[derive(Debug, Default)]
pub(super) struct EvacuationView {
    read: BTreeSet<DomainId>,
    held: BTreeSet<DomainId>,
    held_until: Option<Instant>,
    /// Those that were read at any time since the service came back.
    read_since: BTreeSet<DomainId>,
}

impl EvacuationView {
    /// Keeps `in_force` until `until`, as the service has come back from a copy that may lack them.
    fn hold(&mut self, in_force: &BTreeSet<DomainId>, until: Instant) {
        self.held.clone_from(in_force);
        self.held_until = Some(until);
        self.read_since.clear();
    }

    /// Holds until `until`, too, what a peer holds, except what was read since the service came back: only
    /// operators end that.
    fn hold_also(&mut self, domains: BTreeSet<DomainId>, until: Instant) {
        let unread = domains
            .into_iter()
            .filter(|domain| !self.read_since.contains(domain));
        self.held.extend(unread);
        if !self.held.is_empty() {
            self.held_until = self.held_until.max(Some(until));
        }
    }

    /// Sets what is read. A held evacuation that is read again is held no more, so that it ends when operators
    /// take it back.
    fn set_read(&mut self, read: BTreeSet<DomainId>) {
        self.held.retain(|domain| !read.contains(domain));
        self.read_since.extend(read.iter().cloned());
        self.read = read;
    }

    /// Ends the hold if its time is over at `now`; returns whether that changes anything.
    fn expire(&mut self, now: Instant) -> bool {
        if self.held_until.is_none_or(|until| until > now) {
            return false;
        }
        self.held_until = None;
        !std::mem::take(&mut self.held).is_empty()
    }

    fn in_force(&self) -> BTreeSet<DomainId> {
        self.read.union(&self.held).cloned().collect()
    }
}

impl GatewayWorld {
    /// Replaces the failure domains that are out of service with those read at revision `as_of`,
    /// unless a later revision is known; returns whether the set changed. Those that were out of service
    /// before the key-value service came back from an older copy stay so for `HOLD_TIME`, unless operators
    /// take them back.
    ///
    /// Targets of a domain that returns get the rate of cold ones at first: their entries are read
    /// less often than the domain's state, and not at all by a gateway that the store turns away.
    pub fn adopt_evacuated(
        &mut self,
        evacuated: BTreeSet<DomainId>,
        as_of: StoreRevision,
        now: Instant,
    ) -> bool {
        if as_of < self.evacuated_as_of {
            return false;
        }
        if as_of.era() > self.evacuated_as_of.era() {
            self.evacuations.hold(&self.evacuated, now + HOLD_TIME);
        }
        self.evacuated_as_of = as_of;
        self.evacuations.set_read(evacuated);
        self.apply_evacuations(now)
    }

    /// Evacuations that are held, for peers; `None` if there are none.
    #[must_use]
    pub fn held_evacuations(&self, now: Instant) -> Option<HeldEvacuations> {
        let view = &self.evacuations;
        let until = view.held_until.filter(|_| !view.held.is_empty())?;
        Some(HeldEvacuations {
            as_of: self.evacuated_as_of,
            domains: view.held.clone(),
            time: MilliSpan::from_duration(until.saturating_duration_since(now)),
        })
    }

    /// Holds what a peer holds: a gateway that has started since the service came back has read only the copy.
    /// Returns whether the set in force changed.
    pub fn adopt_held(&mut self, held: HeldEvacuations, now: Instant) -> bool {
        if held.as_of.era() != self.evacuated_as_of.era() {
            return false;
        }
        let time = held.time.duration().min(HOLD_TIME);
        self.evacuations.hold_also(held.domains, now + time);
        self.apply_evacuations(now)
    }

    /// Ends evacuations that were held and not written again.
    pub(super) fn expire_evacuations(&mut self, now: Instant) {
        if self.evacuations.expire(now) {
            self.apply_evacuations(now);
        }
    }

    /// Puts what is read and held in force at `now`; returns whether that changes anything.
    fn apply_evacuations(&mut self, now: Instant) -> bool {
        let evacuated = self.evacuations.in_force();
        let has_changed = self.evacuated != evacuated;
        for row in self.targets.rows_mut() {
            let domain = &row.record.domain;
            if self.evacuated.contains(domain) && !evacuated.contains(domain) {
                let service = self.routes.services.get(&row.record.service);
                let cold_time = service.map_or(MilliSpan::default(), |service| service.cold_time);
                row.maybe_cold_until = now + cold_time.duration();
            }
        }
        self.evacuated = evacuated;
        self.is_changed |= has_changed;
        has_changed
    }
}
