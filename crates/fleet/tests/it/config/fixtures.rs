//! In-memory model of the key-value service, and builders of configuration edits.

use std::collections::BTreeMap;

use amaranthgw_core::{ChangeNumber, EntityTable, MilliSpan, PlanId, StoreRevision, WorkspaceId};
use amaranthgw_fleet::config::{
    ChangeId, CommitOutcome, CommitRequest, CommitStep, ConfigBase, ConfigChange, ConfigCommit,
    ConfigEdit, ConfigLog, ConfigRead, ConfigView, OnTimeObjective, OutScope, PlanRow, ReadStep,
    ServingState, StoreCall, StoreReply, WorkspaceRow, decode_value, encode_value,
};
use tokio::time::{Duration, Instant};

pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid identifier")
}

pub fn set_plan(plan: &str, refund_weight: u32) -> ConfigEdit {
    let row = PlanRow {
        deadline: MilliSpan::new(3_000),
        first_token: MilliSpan::new(940),
        token_gap: MilliSpan::new(67),
        objective: OnTimeObjective(9_950),
        refund_weight,
        uses: EntityTable::new(),
    };
    let plan = id(plan);
    ConfigEdit::SetPlan { plan, row }
}

pub fn remove_plan(plan: &str) -> ConfigEdit {
    let plan: PlanId = id(plan);
    ConfigEdit::RemovePlan { plan }
}

pub fn set_workspace(workspace: &str, plan: &str) -> ConfigEdit {
    let workspace: WorkspaceId = id(workspace);
    let row = WorkspaceRow { plan: id(plan) };
    ConfigEdit::SetWorkspace { workspace, row }
}

pub fn take_out(domain: &str) -> ConfigEdit {
    ConfigEdit::TakeOut(OutScope::Domain(id(domain)))
}

pub fn bring_back(domain: &str) -> ConfigEdit {
    ConfigEdit::BringBack(OutScope::Domain(id(domain)))
}

pub fn commit_request(change: u128, edits: Vec<ConfigEdit>) -> CommitRequest {
    CommitRequest {
        id: ChangeId::new(change),
        operator: id("operator-1"),
        made_at_unix_ms: 1,
        edits,
    }
}

/// Values under `config/`, with all versions of the log.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    pub logs: Vec<(ConfigLog, StoreRevision)>,
    pub bases: BTreeMap<ChangeNumber, (ConfigBase, StoreRevision)>,
    /// Every accepted change, in order.
    pub history: Vec<ConfigChange>,
    last_revision: u64,
}

impl StoreModel {
    pub fn log(&self) -> (ConfigLog, StoreRevision) {
        self.logs.last().cloned().unwrap_or_default()
    }

    /// Reply of a service that returns the log as it was `age` writes ago.
    pub fn old_log(&self, age: usize) -> StoreReply {
        let position = self.logs.len().checked_sub(age + 1);
        let (log, revision) =
            position.map_or_else(Default::default, |position| self.logs[position].clone());
        StoreReply::Log { log, revision }
    }

    /// State after the change `number`, computed from all accepted changes.
    pub fn state_at(&self, number: ChangeNumber) -> ServingState {
        let mut state = ServingState::default();
        for change in self.history.iter().filter(|change| change.number <= number) {
            state
                .apply(change)
                .expect("accepted changes follow each other");
        }
        state
    }

    pub fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::WatchLog { after, .. } if self.log().1 <= *after => StoreReply::Unchanged,
            StoreCall::ReadLog | StoreCall::WatchLog { .. } => self.old_log(0),
            StoreCall::ReadBase { number } => self
                .bases
                .get(number)
                .map_or(StoreReply::Absent, |(base, _)| {
                    StoreReply::Base(Box::new(stored(base)))
                }),
            StoreCall::WriteBase { base } => {
                let number = base.state.number;
                if let Some((_, revision)) = self.bases.get(&number) {
                    return StoreReply::Conflict(*revision);
                }
                let revision = self.next_revision();
                self.bases.insert(number, (stored(base), revision));
                StoreReply::Written(revision)
            }
            StoreCall::RemoveBase { number, expect } => {
                let current = self
                    .bases
                    .get(number)
                    .map_or_else(Default::default, |base| base.1);
                if current != *expect {
                    return StoreReply::Conflict(current);
                }
                self.bases.remove(number);
                StoreReply::Written(self.next_revision())
            }
            StoreCall::WriteLog { log, expect } => self.write_log(log, *expect),
        }
    }

    fn write_log(&mut self, log: &ConfigLog, expect: StoreRevision) -> StoreReply {
        let (_, current) = self.log();
        if current != expect {
            return StoreReply::Conflict(current);
        }
        let log = stored(log);
        self.check_extends(&log);
        let revision = self.next_revision();
        self.history.extend(log.changes.last().cloned());
        self.logs.push((log, revision));
        StoreReply::Written(revision)
    }

    /// Checks that a new log adds exactly one change, keeps all others and has an existing base.
    fn check_extends(&self, log: &ConfigLog) {
        assert_eq!(log.number().get(), self.history.len() as u64 + 1);
        let kept = &log.changes[..log.changes.len() - 1];
        assert!(
            self.history.ends_with(kept),
            "an accepted change was modified"
        );
        let last = log.changes.last().expect("a change");
        assert!(
            self.history.iter().all(|change| change.id != last.id),
            "a change was committed twice"
        );
        if log.base > ChangeNumber::default() {
            let (base, _) = self
                .bases
                .get(&log.base)
                .expect("base exists before the log refers to it");
            assert_eq!(base.state, self.state_at(log.base));
        }
    }

    fn next_revision(&mut self) -> StoreRevision {
        // The service numbers revisions over all keys, including those of other components.
        self.last_revision += 3;
        StoreRevision::new(self.last_revision)
    }
}

fn stored<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    let bytes = encode_value(value).expect("value within the limit");
    decode_value(&bytes).expect("readable value")
}

pub fn read(store: &mut StoreModel, now: Instant) -> ConfigView {
    let mut read = ConfigRead::new(now + Duration::from_secs(5));
    let mut step = read.start();
    loop {
        match step {
            ReadStep::Call { call, .. } => step = read.on_reply(store.call(&call), now),
            ReadStep::Done(view) => return *view,
            ReadStep::Failed(error) => panic!("{error}"),
        }
    }
}

pub fn commit(
    store: &mut StoreModel,
    request: CommitRequest,
    seen: ConfigView,
    now: Instant,
) -> CommitOutcome {
    let mut commit = ConfigCommit::new(request, seen, now + Duration::from_secs(5));
    let mut step = commit.start();
    loop {
        match step {
            CommitStep::Call { call, .. } => step = commit.on_reply(store.call(&call), now),
            CommitStep::Done(outcome) => return outcome,
        }
    }
}

/// Commits `edits` on the latest state and expects success.
pub fn accept(store: &mut StoreModel, change: u128, edits: Vec<ConfigEdit>, now: Instant) {
    let seen = read(store, now);
    let outcome = commit(store, commit_request(change, edits), seen, now);
    assert!(matches!(outcome, CommitOutcome::Accepted(_)), "{outcome:?}");
}
