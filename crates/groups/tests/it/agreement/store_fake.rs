//! Fake key-value service that holds the map record of a group and can be set to be down.

use amaranthgw_core::StoreRevision;
use amaranthgw_groups::agreement::{GroupEffect, MapRecord, StoreAnswer};

#[derive(Debug, Default)]
pub(super) struct StoreFake {
    pub(super) is_down: bool,
    record: Option<(StoreRevision, MapRecord)>,
    revision: StoreRevision,
}

impl StoreFake {
    pub(super) fn call(&mut self, effect: &GroupEffect) -> Option<StoreAnswer> {
        if self.is_down {
            return None;
        }
        match effect {
            GroupEffect::ReadStore => Some(StoreAnswer::Read(self.record.clone())),
            GroupEffect::WriteStore { expected, record } => Some(self.write(*expected, record)),
            _ => None,
        }
    }

    fn write(&mut self, expected: StoreRevision, record: &MapRecord) -> StoreAnswer {
        let current = self
            .record
            .as_ref()
            .map_or(StoreRevision::default(), |(at, _)| *at);
        if current != expected {
            return StoreAnswer::Conflict;
        }
        self.revision = self.revision.next();
        self.record = Some((self.revision, record.clone()));
        StoreAnswer::Written(self.revision)
    }
}
