//! The coordinator's use of the key-value service.

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranthgw_core::{MapVersion, StoreRevision};
use tokio::time::Instant;

use super::coordinator::CoordinatorStage;
use super::{MapCoordinator, MapRecord, MemberStanding, StoreAnswer};

impl MapCoordinator {
    /// Takes an answer of the key-value service; a lost one is made up for by sending again.
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
        self.known = found.cloned();
        self.stage = CoordinatorStage::Idle;
        self.next_send = now;
        if is_own {
            return self.start_loading();
        }
        self.take_up(found.map(|(_, record)| record));
    }

    /// Goes on with a map that an earlier coordinator proposed and that is not in force.
    fn take_up(&mut self, found: Option<&MapRecord>) {
        let in_force = self.standing.map(|standing| standing.version);
        let left = found.filter(|record| Some(record.version) > in_force);
        if self.wanted.is_none() {
            self.wanted = left.map(|record| Arc::clone(&record.map));
        }
    }

    fn on_written(&mut self, revision: StoreRevision, now: Instant) {
        let CoordinatorStage::Writing { record, .. } = &self.stage else {
            return;
        };
        self.known = Some((revision, record.clone()));
        self.next_send = now;
        self.start_loading();
    }

    /// The record moved on: by an own write whose answer was lost, or by another coordinator.
    fn on_conflict(&mut self, now: Instant) {
        let CoordinatorStage::Writing { record, .. } = &self.stage else {
            return;
        };
        self.stage = CoordinatorStage::Reading {
            written: Some(record.clone()),
        };
        self.next_send = now;
    }

    pub(super) fn start_write(&mut self, standing: MemberStanding) {
        self.drop_wanted_in_force(standing);
        let Some(map) = self.wanted.clone() else {
            return;
        };
        let recorded = self
            .known
            .as_ref()
            .map_or(MapVersion::default(), |(_, it)| it.version);
        let version = recorded.max(standing.floor).max(standing.version).next();
        let expected = self
            .known
            .as_ref()
            .map_or(StoreRevision::default(), |(at, _)| *at);
        let record = MapRecord {
            version,
            author: self.place.start,
            map,
        };
        self.stage = CoordinatorStage::Writing { expected, record };
    }

    /// The ranks may have settled the last proposal after this coordinator gave it up.
    fn drop_wanted_in_force(&mut self, standing: MemberStanding) {
        let Some((_, record)) = &self.known else {
            return;
        };
        if record.version == standing.version {
            self.wanted.take_if(|wanted| *wanted == record.map);
        }
    }

    fn start_loading(&mut self) {
        let (Some(standing), Some((_, record))) = (self.standing, &self.known) else {
            return;
        };
        let (generation, version) = (standing.generation, record.version);
        self.stage = CoordinatorStage::Loading {
            generation,
            version,
            loaded: BTreeMap::new(),
        };
    }
}
