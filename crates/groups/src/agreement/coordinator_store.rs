//! Reads and writes of the map record by the coordinator.

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranthgw_core::{MapVersion, StoreRevision};
use tokio::time::Instant;

use super::coordinator::CoordinatorStage;
use super::{MapCoordinator, MapRecord, MemberStatus, StoreAnswer};

impl MapCoordinator {
    /// Handles a response of the key-value service. [`Self::tick`] repeats a read or write whose
    /// response is lost.
    pub fn handle_store(&mut self, answer: &StoreAnswer, now: Instant) {
        match answer {
            StoreAnswer::Read(found) => self.on_read(found.as_ref(), now),
            StoreAnswer::Written(revision) => self.on_written(*revision, now),
            StoreAnswer::Conflict => self.on_conflict(now),
        }
    }

    fn on_read(&mut self, found: Option<&(StoreRevision, MapRecord)>, now: Instant) {
        let CoordinatorStage::Reading { written } = &self.stage else {
            return;
        };
        let is_own = written.is_some() && written.as_ref() == found.map(|(_, record)| record);
        self.known_record = found.cloned();
        self.stage = CoordinatorStage::Idle;
        self.next_send = now;
        if is_own {
            return self.start_loading();
        }
        self.resume_incomplete(found.map(|(_, record)| record));
    }

    /// Requests the recorded map if its version is newer than the committed one, because an earlier
    /// coordinator did not complete the switch to it. An existing request takes precedence.
    fn resume_incomplete(&mut self, found: Option<&MapRecord>) {
        let committed = self.status.map(|status| status.version);
        let incomplete = found.filter(|record| Some(record.version) > committed);
        if self.requested.is_none() {
            self.requested = incomplete.map(|record| Arc::clone(&record.map));
        }
    }

    fn on_written(&mut self, revision: StoreRevision, now: Instant) {
        let CoordinatorStage::Writing { record, .. } = &self.stage else {
            return;
        };
        self.known_record = Some((revision, record.clone()));
        self.next_send = now;
        self.start_loading();
    }

    /// Reads the record again: it was changed by a write of this coordinator whose response was
    /// lost, or by another coordinator.
    fn on_conflict(&mut self, now: Instant) {
        let CoordinatorStage::Writing { record, .. } = &self.stage else {
            return;
        };
        self.stage = CoordinatorStage::Reading {
            written: Some(record.clone()),
        };
        self.next_send = now;
    }

    pub(super) fn start_write(&mut self, status: MemberStatus) {
        self.drop_requested_in_force(status);
        let Some(map) = self.requested.clone() else {
            return;
        };
        let recorded = self
            .known_record
            .as_ref()
            .map_or(MapVersion::default(), |(_, it)| it.version);
        let version = recorded.max(status.floor).max(status.version).next();
        let expected = self
            .known_record
            .as_ref()
            .map_or(StoreRevision::default(), |(at, _)| *at);
        let record = MapRecord {
            version,
            author: self.identity.start,
            map,
        };
        self.stage = CoordinatorStage::Writing { expected, record };
    }

    /// Drops the requested map if the ranks committed it after this coordinator gave up on it.
    fn drop_requested_in_force(&mut self, status: MemberStatus) {
        let Some((_, record)) = &self.known_record else {
            return;
        };
        if record.version == status.version {
            self.requested.take_if(|requested| *requested == record.map);
        }
    }

    fn start_loading(&mut self) {
        let (Some(status), Some((_, record))) = (self.status, &self.known_record) else {
            return;
        };
        let (generation, version) = (status.generation, record.version);
        self.stage = CoordinatorStage::Loading {
            generation,
            version,
            loaded: BTreeMap::new(),
        };
    }
}
